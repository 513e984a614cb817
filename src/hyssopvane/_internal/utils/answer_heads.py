"""Check the heads of answers before they are parsed."""

import re

_BLANK_LINE = re.compile(rb"\n\r?\n")
_BLANK_LINE_BYTES = 3
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] ([1-5][0-9]{2})[ \r\n]")
_INVALID_BYTES = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|\n[ \t]")
"""Control bytes, and lines that begin with a blank.

The parser joins such a line to the field before it, so that its name would become part
of that field's value.
"""
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL = 200


class InvalidHead(Exception):
    """Report a head that is not valid in HTTP/1.1."""


class HeadChecker:
    """Check what is received of one answer, up to the end of its head."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self._has_ended = False

    def check(self, data: bytes) -> None:
        """Check the next bytes; raise `InvalidHead`."""
        if self._has_ended:
            return
        start = max(0, len(self._pending) - _BLANK_LINE_BYTES)
        self._pending += data
        while found := _BLANK_LINE.search(self._pending, start):
            status = _check_head(bytes(self._pending[: found.end()]))
            del self._pending[: found.end()]
            if status >= _FIRST_FINAL or status == _SWITCHING_PROTOCOLS:
                self._has_ended = True
                self._pending.clear()
                return
            # The head of an interim answer; another one follows.
            start = 0


def _check_head(head: bytes) -> int:
    """Return the status of a head; raise `InvalidHead`."""
    line = _STATUS_LINE.match(head)
    if line is None:
        raise InvalidHead(f"no valid status line: {head[:40]!r}")
    invalid = _INVALID_BYTES.search(head)
    if invalid is not None:
        raise InvalidHead(f"not valid in a head: {invalid[0]!r}")
    return int(line[1])

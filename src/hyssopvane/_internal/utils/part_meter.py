"""Bound the work for an answer that comes in very small parts."""

import trio

PARTS_IN_A_ROW = 16
"""Parts that are handled before other tasks run, and deadlines take effect."""

SMALL_PART_BYTES = 8
"""Mean size below which the parts of an answer cost more than they bring."""

MAX_SMALL_PARTS = 4_096
"""Number of parts after which an answer must not consist of small parts."""

MAX_INTERIM_ANSWERS = 16
"""Interim answers, such as 103, that may precede an answer."""


class TooManyParts(Exception):
    """Report an answer with more small parts or interim answers than allowed."""


class PartMeter:
    """Count the parts of one answer.

    A connection whose buffer holds the next part is read without waiting, so that a
    task which reads parts without end would let no other task run.
    """

    def __init__(self) -> None:
        self._interim = 0
        self._parts = 0
        self._bytes = 0
        self._in_a_row = 0

    def record_interim(self) -> None:
        """Count an interim answer; raise `TooManyParts`."""
        self._interim += 1
        if self._interim > MAX_INTERIM_ANSWERS:
            raise TooManyParts(f"more than {MAX_INTERIM_ANSWERS} interim answers")

    def record_part(self, size: int) -> None:
        """Count a part of the body and its bytes; raise `TooManyParts`."""
        self._parts += 1
        self._bytes += size
        is_small = self._bytes < self._parts * SMALL_PART_BYTES
        if self._parts > MAX_SMALL_PARTS and is_small:
            raise TooManyParts(f"{self._parts} parts in {self._bytes} bytes")

    async def yield_to_others(self) -> None:
        """Let other tasks run, and deadlines take effect, after some parts."""
        self._in_a_row += 1
        if self._in_a_row >= PARTS_IN_A_ROW:
            self._in_a_row = 0
            await trio.lowlevel.checkpoint()

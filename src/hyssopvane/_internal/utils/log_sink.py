"""Write log lines without ever waiting for whoever reads them."""

import os
from collections import deque

MAX_PENDING_BYTES = 256 * 1024
"""Lines that are kept while the reader takes none; about a second at the worst load."""


class LogSink:
    """Write lines to a file descriptor, and drop the newest ones when it is stuck.

    A reader of standard output that stops would otherwise stop the whole process with
    all its requests at the next line. What was dropped is counted in the first line
    that goes out again.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        """Lines dropped since the start."""
        self._unreported_drops = 0

    def start(self) -> None:
        """Take the descriptor into use."""
        os.set_blocking(self._descriptor, False)

    def close(self) -> None:
        """Write what is kept, waiting for the reader, and release the descriptor."""
        os.set_blocking(self._descriptor, True)
        self._flush()

    def write(self, line: str) -> None:
        """Write a line, or keep it until the reader takes it."""
        data = line.encode("utf-8", "replace")
        self._flush()
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops and not self._pending:
            self._append(
                f"event=log-lines-dropped count={self._unreported_drops}\n".encode()
            )
            self._unreported_drops = 0
        self._append(data)
        self._flush()

    def _append(self, data: bytes) -> None:
        self._pending.append(data)
        self._pending_bytes += len(data)

    def _flush(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read again; the process goes on without its log.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            remaining = self._pending[0][written:]
            if remaining:
                self._pending[0] = remaining
            else:
                self._pending.popleft()

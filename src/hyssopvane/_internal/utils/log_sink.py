"""Write log lines without blocking on their reader."""

import os
from collections import deque

MAX_PENDING_BYTES = 256 * 1024
"""Size of buffered lines while the reader stalls; about a second at peak load."""


class LogSink:
    """Write lines to a file descriptor, and drop the newest ones while it is blocked.

    Otherwise a stalled reader of standard output would block the process and all its
    requests at the next line. The first line written after that has the number of
    dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        """Number of lines dropped since the start."""
        self._unreported_drops = 0

    def start(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self._descriptor, False)

    def close(self) -> None:
        """Make the descriptor blocking and write all buffered lines."""
        os.set_blocking(self._descriptor, True)
        self._flush()

    def write(self, line: str) -> None:
        """Write a line; buffer or drop it while the reader is stalled."""
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
                # The reader is gone for good; the process continues without a log.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            remaining = self._pending[0][written:]
            if remaining:
                self._pending[0] = remaining
            else:
                self._pending.popleft()

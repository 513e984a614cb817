"""Read a connection, and tell whether everything that it has received was handled."""

import array
import fcntl
import select
import socket
import struct
import termios
import time
from contextlib import suppress
from math import inf
from typing import Any

import trio

from hyssopvane._internal.transport.loop_watch import LoopWatch

SATURATED_S = 0.05
"""Time after which a connection that always has unread bytes counts as saturated."""

MAX_READ_AGE_S = 0.25
"""Age of the newest handled bytes up to which a saturated connection is up to date:
half of the time after which no work may be in progress for a caller that has left."""

_SO_TIMESTAMPNS = 35
"""Option by which Linux tells when the bytes of a read were received."""

_TIMESTAMP = struct.Struct("@qq")
_ANCILLARY_BYTES = socket.CMSG_SPACE(_TIMESTAMP.size)
_NANOSECONDS = 1_000_000_000
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_EVENTS = select.POLLIN | select.POLLRDHUP


def enable_timestamps(listener: socket.socket) -> None:
    """Let the kernel keep the time at which bytes are received, if it can."""
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, _SO_TIMESTAMPNS, 1)


def count_unread(stream: Any) -> int:
    """Return the number of received bytes that are unread in the kernel."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(stream.socket.fileno(), termios.FIONREAD, count)
    except (OSError, ValueError):
        # The connection is already closed.
        return 0
    return count[0]


class WatchedInput:
    """Read a connection in one task, and let others wait until it is up to date.

    A process that stood still or was busy finds a request and the end of its caller in
    the kernel at the same time. It reads them one after the other, and must not act on
    the request before it has read the end.
    """

    def __init__(
        self, stream: trio.SocketStream, *, loop: LoopWatch | None = None
    ) -> None:
        self._stream = stream
        self._loop = loop
        """Bounds the delays that are measured, None to measure none."""
        self._read_at = -inf
        self.delay_s = 0.0
        """Time for which the bytes of the last read had waited, as far as known."""
        self._poll = select.poll()
        self._poll.register(stream.socket.fileno(), _EVENTS)
        self._waits = False
        """Whether the reader has handled all bytes that it has read."""
        self.holds_back = False
        """Whether the reader leaves bytes in the kernel, as none may be handled yet."""
        self._received = 0
        self._handled = 0
        self._progress = trio.Event()
        self._current_at = -inf
        """Time up to which everything was handled, if the connection is saturated."""
        self._ended = False

    async def receive(self, max_bytes: int) -> bytes:
        """Wait for bytes and return them, none at the end of the connection.

        The bytes that were returned before count as handled.
        """
        if self._stream.socket.fileno() < 0:
            raise trio.ClosedResourceError
        self._waits = True
        self._handled = self._received
        self._wake()
        data = None
        while data is None:
            try:
                await trio.lowlevel.wait_readable(self._stream.socket)
            finally:
                self._waits = False
            data = self._read(max_bytes)
        self._received += len(data)
        return data

    def end(self) -> None:
        """Record that nothing more is read; those who wait go on to wait."""
        self._ended = True

    def is_current(self) -> bool:
        """Return whether all that has been received was handled."""
        flags = self._check()
        if self._ended or flags & _ENDED:
            return False
        if not flags and (self._waits or self.holds_back):
            return True
        return trio.current_time() - self._current_at < MAX_READ_AGE_S

    async def wait_until_current(self) -> None:
        """Wait until all that has been received was handled, for ever at the end."""
        began_at = trio.current_time()
        while not self.is_current():
            checked_at = trio.current_time()
            target = self._measure_target()
            while self._handled < target or self._ended:
                await self._progress.wait()
            if trio.current_time() - began_at > SATURATED_S:
                self._current_at = max(self._current_at, checked_at)

    def _read(self, max_bytes: int) -> bytes | None:
        """Return the bytes that are there, None if there are none."""
        # No other task may run between the read and the return of its bytes, or the
        # connection would seem to be idle.
        sock: socket.socket = self._stream.socket._sock  # type: ignore[attr-defined]
        try:
            if self._loop is None:
                return sock.recv(max_bytes)
            data, ancillary, _, _ = sock.recvmsg(max_bytes, _ANCILLARY_BYTES)
        except BlockingIOError:
            self._waits = True
            return None
        except OSError as error:
            raise trio.BrokenResourceError from error
        self._measure_delay(self._loop, ancillary, has_ended=not data)
        return data

    def _measure_delay(
        self,
        loop: LoopWatch,
        ancillary: list[tuple[int, int, bytes]],
        *,
        has_ended: bool,
    ) -> None:
        # The time of day may have been set meanwhile, so the delay is bounded by what
        # the steady clock tells.
        now = trio.current_time()
        longest_s = now - max(self._read_at, loop.idle_at)
        self._read_at = now
        # The kernel tells no time of the end of a connection.
        self.delay_s = min(loop.late_s, longest_s) if has_ended else 0.0
        for level, kind, value in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, _SO_TIMESTAMPNS):
                seconds, nanoseconds = _TIMESTAMP.unpack(value)
                received_at = seconds + nanoseconds / _NANOSECONDS
                self.delay_s = min(max(0.0, time.time() - received_at), longest_s)

    def _measure_target(self) -> float:
        """Return the number of bytes after which all that is there now was handled."""
        if self._ended or self._check() & _ENDED:
            # The reader ends when it finds the end behind the bytes.
            return inf
        return self._received + (0 if self.holds_back else count_unread(self._stream))

    def _check(self) -> int:
        """Return what the kernel tells of the connection."""
        if self._stream.socket.fileno() < 0:
            return _ENDED
        flags = sum(found for _, found in self._poll.poll(0))
        return flags & _ENDED if self.holds_back else flags

    def _wake(self) -> None:
        if self._progress.statistics().tasks_waiting:
            self._progress.set()
            self._progress = trio.Event()

"""Read on from a connection whose protocol can't take more data yet."""

import select
from collections.abc import Callable

import trio

from hyssopvane._internal.transport.watched_input import WatchedInput

MAX_READ_AHEAD_BYTES = 64 * 1024
"""Bytes that are kept for a protocol; more stay in the kernel until it takes them."""

HANGUP_INTERVAL_S = 0.1
"""Pause between two checks whether a caller left behind bytes that stay unread."""

_MAX_RECEIVE_BYTES = 64 * 1024


class CallerLeft(Exception):
    """Report that a caller closed its connection while its request was running."""


class ReadingEnded(Exception):
    """Report that this process ends the connection, and takes no further request."""


class ReadAhead:
    """Wait for the end of an answer, and notice meanwhile when the caller leaves.

    Hypercorn's HTTP/1.1 protocol waits for an event when more bytes have arrived than
    belong to the running request. It does so in the task that reads the connection, so
    that its end would not be noticed. This class replaces the event.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        received: WatchedInput,
        *,
        is_ended: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._input = received
        self._is_ended = is_ended
        self._data = bytearray()
        self._answered = False
        self._scope = trio.CancelScope()
        self.read_s = 0.0
        """Total time for which `wait` has read."""

    def __len__(self) -> int:
        return len(self._data)

    def take(self) -> bytes:
        """Return the bytes that were read ahead, and forget them."""
        data = bytes(self._data)
        self._data.clear()
        return data

    async def clear(self) -> None:
        """Begin to wait for the end of the running answer."""
        self._answered = False

    async def set(self) -> None:
        """Report the end of the answer."""
        self._answered = True
        self._scope.cancel()

    async def wait(self) -> None:
        """Read until the answer ends; raise `CallerLeft` or `ReadingEnded`."""
        if self._is_ended():
            raise ReadingEnded
        began_at = trio.current_time()
        try:
            await self._read()
        finally:
            self.read_s += trio.current_time() - began_at

    async def _read(self) -> None:
        while not self._answered:
            data: bytes | bytearray = b""
            with trio.CancelScope() as self._scope:
                if len(self._data) < MAX_READ_AHEAD_BYTES:
                    data = await self._receive()
                else:
                    await self._wait_for_hangup()
            if data:
                self._data += data
            elif not self._scope.cancelled_caught:
                raise CallerLeft

    async def _receive(self) -> bytes | bytearray:
        try:
            return await self._input.receive(_MAX_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""

    async def _wait_for_hangup(self) -> None:
        # The end of a connection can't be read before the bytes in front of it, but the
        # kernel tells it.
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLRDHUP)
        self._input.holds_back = True
        try:
            while not poll.poll(0):
                await trio.sleep(HANGUP_INTERVAL_S)
        finally:
            self._input.holds_back = False

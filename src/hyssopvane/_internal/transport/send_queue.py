"""Send the bytes of one connection in order, without blocking its reader."""

from collections import deque

import trio


class SendQueue:
    """Queue the bytes that several tasks send on one connection.

    A task that is cancelled while it sends leaves its bytes to a task of the queue, so
    the bytes behind them still start at a frame's boundary.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._socket = stream.socket
        self._parts: deque[memoryview] = deque()
        self._queued = 0
        """Number of bytes queued since the start."""
        self._sent = 0
        """Number of bytes sent or discarded since the start."""
        self._progress = trio.Event()
        self._writing = False
        self._broken = False
        self._nursery: trio.Nursery | None = None
        self._writer = trio.CancelScope()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that the kernel has not taken yet."""
        return self._queued - self._sent

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery for the task that sends what no caller waits for."""
        self._nursery = nursery

    def close(self) -> None:
        """Discard the unsent bytes; tasks that wait for them get an error."""
        self._break()
        self._writer.cancel()

    def put(self, data: bytes) -> None:
        """Queue bytes without waiting until they are sent."""
        if self._broken:
            return
        self._append(data)
        if self._parts and not self._writing:
            self._start_writer()

    async def send(self, data: bytes) -> None:
        """Queue bytes and wait until they are sent; raise `trio.BrokenResourceError`.

        When cancelled, the bytes are still sent.
        """
        self._append(data)
        await self._wait_sent(self._queued)

    async def flush(self) -> None:
        """Wait until all queued bytes are sent; raise `trio.BrokenResourceError`."""
        await self._wait_sent(self._queued)

    async def _wait_sent(self, until: int) -> None:
        if not self._writing:
            try:
                await self._write(until)
            finally:
                if self._parts:
                    self._start_writer()
        while self._sent < until and not self._broken:
            await self._progress.wait()
        if self._broken:
            raise trio.BrokenResourceError("the connection is closed")

    def _append(self, data: bytes) -> None:
        if data and not self._broken:
            self._parts.append(memoryview(data))
            self._queued += len(data)

    async def _write(self, until: int) -> None:
        self._writing = True
        try:
            while self._sent < until:
                part = self._parts[0]
                sent = await self._socket.send(part)
                if self._broken:
                    return
                if sent < len(part):
                    self._parts[0] = part[sent:]
                else:
                    self._parts.popleft()
                self._sent += sent
                self._wake()
        except (OSError, trio.ClosedResourceError):
            self._break()
        finally:
            self._writing = False

    def _start_writer(self) -> None:
        assert self._nursery is not None
        # Set before the task starts, so that only one is started.
        self._writing = True
        self._writer = trio.CancelScope()
        self._nursery.start_soon(self._write_rest)

    async def _write_rest(self) -> None:
        with self._writer:
            while self._parts:
                await self._write(self._queued)

    def _break(self) -> None:
        self._broken = True
        self._parts.clear()
        self._sent = self._queued
        self._wake()

    def _wake(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

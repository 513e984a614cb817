"""Send and receive length-prefixed frames over a stream."""

import trio

from hyssopvane._internal.exceptions import PeerLost, ProtocolError
from hyssopvane._internal.transport.watched_input import WatchedInput

LENGTH_BYTES = 4
# Large enough for a batch of full chunks. The limit keeps a garbage length from a peer
# from making this process allocate that much memory.
MAX_FRAME_BYTES = 4 * 1024 * 1024
_READ_BYTES = 64 * 1024


class FramedStream:
    """Send and receive frames with a length prefix on one stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._input: WatchedInput | None = None
        if isinstance(stream, trio.SocketStream):
            self._input = WatchedInput(stream)

    async def wait_until_current(self) -> None:
        """Wait until the reader has handled all frames that have been received."""
        if self._input is not None:
            await self._input.wait_until_current()

    async def send_frame(self, payload: bytes) -> None:
        """Send one frame; raise `PeerLost` when the connection is closed."""
        try:
            await self._stream.send_all(
                len(payload).to_bytes(LENGTH_BYTES, "big") + payload
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerLost("the connection closed while sending") from error

    async def receive_frame(self) -> bytes:
        """Receive one frame.

        Raise `PeerLost` when the connection is closed and `ProtocolError` when the
        frame exceeds the size limit.
        """
        header = await self._receive_exactly(LENGTH_BYTES)
        length = int.from_bytes(header, "big")
        if length > MAX_FRAME_BYTES:
            raise ProtocolError(
                f"a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}",
                hint="run the same version on both ends",
            )
        return await self._receive_exactly(length)

    async def send_end(self) -> None:
        """Close the sending direction; frames from the peer are still received."""
        if not isinstance(self._stream, trio.abc.HalfCloseableStream):
            return
        try:
            await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerLost("the connection closed before its end was sent") from error

    async def close(self) -> None:
        """Close the connection immediately."""
        with trio.move_on_after(0):
            await self._stream.aclose()

    async def _receive_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            try:
                data = await self._receive_some()
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise PeerLost("the connection closed while receiving") from error
            if not data:
                raise PeerLost("the peer closed the connection")
            self._buffer += data
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        return taken

    async def _receive_some(self) -> bytes | bytearray:
        if self._input is None:
            return await self._stream.receive_some(_READ_BYTES)
        return await self._input.receive(_READ_BYTES)

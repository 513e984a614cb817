"""Exchange HTTP/1.1 requests and answers with a replica on one connection."""

from collections.abc import Callable
from enum import Enum, auto
from functools import lru_cache

import h11
import trio

from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.transport.raw_stream import RawStream, WriteError
from hyssopvane._internal.utils.answer_heads import HeadChecker, InvalidHead
from hyssopvane._internal.utils.part_meter import PartMeter, TooManyParts

READ_BYTES = 64 * 1024

MAX_INCOMPLETE_BYTES = 100 * 1024
"""Largest head of an answer, or line of a chunked body, that is buffered."""

MAX_JOINED_BYTES = 64 * 1024
"""Largest body that is sent in one write with the head of its request."""

_CACHED_HEADERS = 2
"""Requests with more headers are not the same each time."""


class InvalidMessage(Exception):
    """Report a message that does not conform to HTTP/1.1."""


class RemoteProtocolError(InvalidMessage):
    """Report an invalid answer, or the end of a connection within one."""


class LocalProtocolError(InvalidMessage):
    """Report a request that can't be sent."""


class _Phase(Enum):
    IDLE = auto()
    EXCHANGING = auto()
    CLOSED = auto()


class ClientConnection:
    """Send requests on a connection, one after the other, and read their answers."""

    def __init__(self, stream: RawStream) -> None:
        self.stream = stream
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_INCOMPLETE_BYTES
        )
        self._phase = _Phase.IDLE
        self._requests = 0
        self._sent_whole = True
        self._head = HeadChecker()
        self._meter = PartMeter()

    @property
    def is_idle(self) -> bool:
        """Return whether another request may be sent."""
        return self._phase is _Phase.IDLE

    @property
    def has_surplus(self) -> bool:
        """Return whether bytes were received after a complete answer."""
        return bool(self._parser.trailing_data[0])

    def has_expired(self) -> bool:
        """Return whether the remote end has closed an idle connection."""
        return self._requests > 0 and self.is_idle and self.stream.is_readable()

    async def exchange(
        self, method: str, target: bytes, headers: Headers, body: bytes
    ) -> h11.Response | h11.InformationalResponse:
        """Send a request and return the head of its answer; close when that fails."""
        self._phase = _Phase.EXCHANGING
        self._requests += 1
        self._sent_whole = False
        self._head = HeadChecker()
        self._meter = PartMeter()
        try:
            try:
                await self._send(method, target, headers, body)
                self._sent_whole = True
            except WriteError:
                # A replica may answer and close the connection before it has read the
                # whole request.
                pass
            return await self._receive_head()
        except BaseException:
            with trio.CancelScope(shield=True):
                await self.aclose()
            raise

    async def read_part(self) -> bytes:
        """Return the next part of the body; empty when the answer has ended."""
        while True:
            event = await self._receive_event()
            if not isinstance(event, h11.Data):
                return b""
            if event.data:
                self._count(self._meter.record_part, len(event.data))
                return bytes(event.data)

    async def finish(self) -> None:
        """Prepare for the next request, or close if the answer was not read whole."""
        parser = self._parser
        is_done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        # The parser does not know that a part of the body was not sent.
        if is_done and self._sent_whole:
            parser.start_next_cycle()
            self._phase = _Phase.IDLE
        else:
            await self.aclose()

    async def aclose(self) -> None:
        """Close the connection."""
        self._phase = _Phase.CLOSED
        await self.stream.aclose()

    async def _send(
        self, method: str, target: bytes, headers: Headers, body: bytes
    ) -> None:
        make = _make_request if len(headers) > _CACHED_HEADERS else _reuse_request
        try:
            head = self._parser.send(make(method, target, headers)) or b""
            rest = self._parser.send(h11.Data(data=body)) if body else b""
            end = self._parser.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise LocalProtocolError(error) from error
        tail = (rest or b"") + end
        if len(tail) <= MAX_JOINED_BYTES:
            await self.stream.write(head + tail)
        else:
            await self.stream.write(head)
            await self.stream.write(tail)

    async def _receive_head(self) -> h11.Response | h11.InformationalResponse:
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.Response):
                return event
            if (
                isinstance(event, h11.InformationalResponse)
                and event.status_code == 101
            ):
                return event
            self._count(self._meter.record_interim)

    def _count(self, record: Callable[..., None], *arguments: int) -> None:
        try:
            record(*arguments)
        except TooManyParts as error:
            raise RemoteProtocolError(error) from error

    async def _receive_event(self) -> object:
        await self._meter.yield_to_others()
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise RemoteProtocolError(error) from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.stream.read(READ_BYTES)
            if not data and self._parser.their_state is h11.SEND_RESPONSE:
                raise RemoteProtocolError(
                    "Server disconnected without sending a response."
                )
            try:
                self._head.check(data)
            except InvalidHead as error:
                raise RemoteProtocolError(error) from error
            self._parser.receive_data(data)


def _make_request(method: str, target: bytes, headers: Headers) -> h11.Request:
    return h11.Request(method=method, target=target, headers=list(headers))


_reuse_request = lru_cache(maxsize=32)(_make_request)
"""Returns the request of the same arguments, as a rank is polled all the time."""

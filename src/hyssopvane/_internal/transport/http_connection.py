"""Serve one HTTP connection with hypercorn, and end it without cutting an answer."""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from copy import copy
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.events import Event as StreamEvent
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ASGIFramework, ConnectionState

from hyssopvane._internal.transport.buffer_guard import ReaderStalled
from hyssopvane._internal.transport.caller_presence import (
    ConnectedCaller,
    add_presence,
)
from hyssopvane._internal.transport.loop_watch import LoopWatch
from hyssopvane._internal.transport.read_ahead import (
    CallerLeft,
    ReadAhead,
    ReadingEnded,
)
from hyssopvane._internal.transport.send_queue import SendQueue
from hyssopvane._internal.transport.upload_windows import UploadWindows
from hyssopvane._internal.transport.watched_input import WatchedInput, count_unread
from hyssopvane._internal.utils.logs import log_event

if TYPE_CHECKING:
    from h2.events import Event as Http2Event
    from hypercorn.protocol.ws_stream import WSStream

LINGER_S = 1.0
"""Time that an idle connection stays open at a shutdown, and time for which bytes that
arrive after its end are read.

A caller may send its next request before it receives the end of the connection, so the
time is longer than one round trip to any caller.
"""

DISCARD_S = 30.0
"""Time for a caller to finish the body of a request that is already answered."""

MIN_IDLE_BEFORE_GOAWAY_S = 0.5
"""Time that an HTTP/2 connection must be idle before it gets GOAWAY.

Common clients drop an answer that they have received but not yet read when GOAWAY
follows it directly; half a second is enough to read it.
"""

MAX_UNREAD_S = 0.5
"""Time after which a connection that is not read is logged: a caller that leaves is
noticed no sooner than its connection is read."""

MAX_UNSENT_BYTES = 1024 * 1024
"""Unsent bytes at which a connection ends if its caller demands more acknowledgements.

It has not read what was sent before. The heads of a thousand answers have fewer bytes.
"""

_HTTP2 = "2"
_CLIENT_ERROR_START = b"HTTP/1.1 4"
_LINE_END = b"\r\n"
_REQUEST_TIMEOUT = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n"
)

SelectApp = Callable[[bool], ASGIFramework]
"""Returns the application for a request; the argument is whether it uses HTTP/2."""


class EndReason(StrEnum):
    """Name the reason why the server ends an idle connection."""

    IDLE = "idle"
    SHUTDOWN = "shutdown"


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """Describe an idle connection that the server ended."""

    reason: EndReason
    age_s: float
    idle_s: float
    """Time since the last answer, or since the connection was opened."""
    unread_bytes: int
    """Bytes that were received after the end and dropped."""


RecordEnd = Callable[[ConnectionEnd], None]


class HttpConnection(TCPServer):
    """Run one connection and track the requests in progress on it."""

    def __init__(
        self,
        select_app: SelectApp,
        stream: trio.SocketStream,
        *,
        config: Config,
        leaving: trio.Event,
        record_malformed: Callable[[], bytes],
        describe_late: Callable[[], bytes],
        record_end: RecordEnd,
        should_close: Callable[[], bool] = lambda: False,
        bounds_buffers: bool = False,
        loop: LoopWatch | None = None,
    ) -> None:
        super().__init__(
            self._serve,  # type: ignore[arg-type]
            config,
            WorkerContext(None),
            ConnectionState({}),
            stream,  # type: ignore[arg-type]
        )
        self._select_app = select_app
        self._leaving = leaving
        self._record_malformed = record_malformed
        self._describe_late = describe_late
        self._record_end = record_end
        self._should_close = should_close
        self._bounds_buffers = bounds_buffers
        self._opened_at = trio.current_time()
        self._end_reason: EndReason | None = None
        self._receiving = trio.CancelScope()
        self._is_reading = False
        self._ended = False
        self._unread_bytes = 0
        self._open_requests = 0
        self._open_answers = 0
        self._idle_since = trio.current_time()
        self._goaway_sent = False
        self._sends = SendQueue(stream)
        self._input = WatchedInput(stream, loop=loop)
        self._read_ahead = ReadAhead(stream, self._input, is_ended=lambda: self._ended)
        self._uploads: UploadWindows | None = None
        self._reader: trio.lowlevel.Task | None = None

    async def protocol_send(self, event: Event) -> None:
        if (
            isinstance(event, RawData)
            and not self._open_answers
            and event.data.startswith(_CLIENT_ERROR_START)
        ):
            # Hypercorn itself refuses bytes that are not a request, without calling an
            # application. The added headers tell the caller that nothing ran.
            line, _, rest = event.data.partition(_LINE_END)
            event = RawData(line + _LINE_END + self._record_malformed() + rest)
        if isinstance(event, RawData):
            await self._send_bytes(event.data)
        elif isinstance(event, Closed):
            await self.protocol.handle(event)
            await self._close()
        else:
            await super().protocol_send(event)
        protocol = self._get_http2()
        if protocol is not None and self._uploads is None:
            await self._prepare_http2(protocol)

    async def _send_bytes(self, data: bytes) -> None:
        if trio.lowlevel.current_task() is self._reader:
            # The reader must not wait for a caller that does not read, as it could not
            # notice that the caller cancels a request or leaves.
            self._put_bytes(data)
            return
        if self._get_http2() is None:
            # The bytes belong to the request of this task. If it is cancelled, a late
            # 500 from hypercorn would look like the target's answer. On HTTP/2 they may
            # belong to another request's answer or to the flow control of another's
            # upload, whose caller would wait forever.
            await trio.lowlevel.checkpoint_if_cancelled()
        try:
            await self._sends.send(data)
        except trio.BrokenResourceError:
            # The reader tells all requests of the connection that it has ended. This
            # task may be cancelled as soon as its own request is told.
            self._receiving.cancel()

    def _put_bytes(self, data: bytes) -> None:
        self._sends.put(data)
        if self._sends.unsent_bytes > MAX_UNSENT_BYTES:
            raise CallerLeft

    async def _prepare_http2(self, protocol: H2Protocol) -> None:
        self._uploads = UploadWindows(protocol)
        self._uploads.start()
        protocol.config = copy(self.config)
        protocol.config.max_app_queue_size = inf  # type: ignore[assignment]
        protocol.streams = _StreamTable()
        # Hypercorn counts the HTTP/2 preface as a request. Without this event, a
        # connection that never sends a request would stay open forever.
        await super().protocol_send(Updated(idle=True))

    async def _read_data(self) -> None:
        nursery = self._task_group._nursery
        assert nursery is not None
        self._sends.start(nursery)
        self._prepare_http1()
        self._reader = trio.lowlevel.current_task()
        self._is_reading = True
        try:
            await self._receive()
        except CallerLeft:
            pass
        finally:
            self._is_reading = False
            self._reader = None
            self._input.end()
        await self.protocol.handle(Closed())
        protocol = self._get_http2()
        if protocol is not None:
            # Nothing is sent any more, and an application that waits for its data to
            # be sent would wait forever.
            self._sends.close()
            for buffer in protocol.stream_buffers.values():
                await buffer.close()
        # Stop hypercorn's idle timer. Otherwise it would continue after the caller
        # closed its end, and the connection would count as open until it fires.
        await self.context.terminated.set()
        if self._end_reason is not None:
            self._record_end(self._describe_end(self._end_reason))

    def _prepare_http1(self) -> None:
        protocol = self.protocol.protocol
        if isinstance(protocol, H11Protocol):
            protocol.can_read = self._read_ahead  # type: ignore[assignment]
            protocol.connection = _Http1Parser(
                h11.SERVER,
                max_incomplete_event_size=self.config.h11_max_incomplete_size,
            )

    async def _receive(self) -> None:
        while True:
            data: bytes | bytearray = self._read_ahead.take()
            if not data:
                try:
                    with self._receiving:
                        data = await self._input.receive(MAX_RECV)
                except (trio.ClosedResourceError, trio.BrokenResourceError):
                    return
                if self._receiving.cancelled_caught:
                    return
                self._receiving = trio.CancelScope(deadline=self._receiving.deadline)
            if self._ended:
                # Closing a socket with unread bytes sends a reset, and the caller would
                # lose data that was sent to it before.
                self._unread_bytes += len(data)
            else:
                await self._handle_data(bytes(data))
            if not data:
                return

    async def _handle_data(self, data: bytes) -> None:
        received_at = trio.current_time()
        read_s = self._read_ahead.read_s
        with suppress(ReadingEnded):
            await self.protocol.handle(RawData(data))
        unread_s = trio.current_time() - received_at - self._read_ahead.read_s + read_s
        if unread_s > MAX_UNREAD_S:
            log_event(
                "info",
                "connection-unread",
                unread_s=round(unread_s, 3),
                unread_bytes=count_unread(self.stream),
                http2=self._get_http2() is not None,
            )

    async def end_if_idle(
        self, *, closed_at: float | None, skip_idle_wait: bool = False
    ) -> None:
        """Announce the end of an idle connection by GOAWAY, or end it.

        `closed_at` is the time at which the listener closed, None before. With
        `skip_idle_wait`, GOAWAY is sent without a minimum idle time.
        """
        if not hasattr(self, "protocol") or not self._is_idle():
            return
        now = trio.current_time()
        idle_s = now - self._idle_since
        if self._get_http2() is not None:
            if self._goaway_sent and idle_s >= LINGER_S:
                await self._end(EndReason.SHUTDOWN)
            elif not self._goaway_sent and (
                skip_idle_wait or idle_s >= MIN_IDLE_BEFORE_GOAWAY_S
            ):
                await self._send_goaway()
        elif closed_at is not None and min(idle_s, now - closed_at) >= LINGER_S:
            await self._end(EndReason.SHUTDOWN)

    async def _initiate_server_close(self) -> None:
        if self._is_reading and not self._ended and self._get_http2() is not None:
            # Without GOAWAY, a caller that sends a request while the connection ends
            # would not know whether it ran.
            await self._send_goaway()
            await trio.sleep(LINGER_S)
        idle_since = self._idle_since
        await self._end(EndReason.IDLE)
        while self._is_reading and not self._ended and self._is_idle():
            # The received bytes were no complete request, and no timer runs any more.
            await trio.sleep(LINGER_S)
            if self._idle_since != idle_since:
                return
            await self._end(EndReason.IDLE)

    async def _end(self, reason: EndReason) -> None:
        """End an idle connection; bytes that the caller still sends are dropped."""
        if self._ended or not self._is_reading or not self._is_idle():
            return
        unread = count_unread(self.stream) or len(self._read_ahead)
        if not self._goaway_sent and unread:
            # A request has been received but not read yet.
            return
        self._end_reason = reason
        self._ended = True
        await self.context.terminated.set()
        if self._get_http2() is None:
            await self._answer_late_request()
        await self.protocol.handle(Closed())
        await self._close()

    async def _answer_late_request(self) -> None:
        # HTTP/1.1 has no way to announce the end of an idle connection. A caller that
        # sends a request meanwhile takes this for the answer and knows that the request
        # was not read. Any other caller sees that the connection is closed.
        with trio.move_on_after(LINGER_S):
            await self.protocol_send(
                RawData(_REQUEST_TIMEOUT + self._describe_late() + _LINE_END)
            )

    async def _close(self) -> None:
        if not self._is_reading:
            await super()._close()
            return
        # Keep reading, as bytes that arrive on a closed stream also cause a reset.
        self._ended = True
        self._receiving.deadline = trio.current_time() + LINGER_S
        try:
            with trio.move_on_after(LINGER_S):
                await self._sends.flush()
            await self.stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller has already disconnected, and the reader ends by itself.
            return

    def _describe_end(self, reason: EndReason) -> ConnectionEnd:
        now = trio.current_time()
        return ConnectionEnd(
            reason,
            age_s=now - self._opened_at,
            idle_s=now - self._idle_since,
            unread_bytes=self._unread_bytes,
        )

    async def _serve(
        self, scope: Any, receive: Any, send: Any, spawn: Any, call_soon: Any
    ) -> None:
        # Read the number first: the answer may close the stream.
        stream: int = send.__self__.stream_id
        answer = _Answer(
            partial(self._receive_message, receive, stream),
            send,
            scope,
            lambda: self._leaving.is_set() or self._should_close(),
            close_queue=receive.__self__.close,
        )
        add_presence(
            scope,
            ConnectedCaller(
                self._input,
                is_open=partial(self._is_open, stream),
                received_at=trio.current_time() - self._input.delay_s,
            ),
        )
        self._open_requests += 1
        await self.idle_task.stop()
        try:
            await self._select_app(answer.http2)(
                scope, answer.receive, self._track_answer(answer, stream)
            )
        except ReaderStalled:
            await self._discard_answer(stream)
            raise
        finally:
            self._open_requests -= 1
            self._idle_since = trio.current_time()
            if self._uploads is not None:
                self._uploads.close(stream)
                self._flush_acknowledgements()
            if answer.open:
                self._open_answers -= 1
                if not self._is_reading:
                    # The caller has left, and the rest of its answer is not sent.
                    self._sends.close()
                await self._reset_http2_stream(stream)

    def _is_open(self, stream: int) -> bool:
        """Return whether the caller has not been found to have left a request."""
        protocol = self.protocol.protocol
        if isinstance(protocol, H2Protocol):
            return stream in protocol.streams
        return self._is_reading and protocol.stream is not None

    async def _receive_message(self, receive: Any, stream: int) -> Any:
        message = await receive()
        if self._uploads is not None and message.get("more_body", False):
            self._uploads.take(stream)
            self._flush_acknowledgements()
        return message

    def _flush_acknowledgements(self) -> None:
        protocol = self._get_http2()
        if protocol is not None and (data := protocol.connection.data_to_send()):
            self._sends.put(data)

    def _track_answer(self, answer: "_Answer", stream: int) -> Callable[[Any], Any]:
        async def send(message: Any) -> None:
            was_open = answer.open
            await answer.send(message)
            self._open_answers += answer.open - was_open
            if self._bounds_buffers and message.get("body"):
                await self._wait_sent(stream)

        return send

    async def _wait_sent(self, stream: int) -> None:
        """Wait until the buffer of an HTTP/2 stream is empty.

        Hypercorn keeps 32 KiB of each stream, of which there may be a thousand. On
        HTTP/1.1 sending itself waits.
        """
        protocol = self._get_http2()
        buffer = None if protocol is None else protocol.stream_buffers.get(stream)
        if buffer is not None:
            await buffer.drain()

    async def _discard_answer(self, stream: int) -> None:
        """Discard what a caller has not read of its answer, and end the answer."""
        protocol = self._get_http2()
        if protocol is not None:
            # The reset of the stream follows.
            if (buffer := protocol.stream_buffers.get(stream)) is not None:
                await buffer.close()
            return
        # Otherwise the kernel keeps what it holds until the caller reads it.
        with suppress(OSError):
            self.stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self._sends.close()
        self._receiving.cancel()

    async def _reset_http2_stream(self, stream: int) -> None:
        # On HTTP/1.1 hypercorn closes the connection after an incomplete answer. On
        # HTTP/2 it only removes the stream, and the caller would wait forever. A reset
        # shows immediately that the answer is broken.
        protocol = self._get_http2()
        if protocol is None:
            return
        from h2.errors import ErrorCodes
        from h2.exceptions import ProtocolError

        with trio.CancelScope(shield=True), trio.move_on_after(LINGER_S):
            try:
                protocol.connection.reset_stream(stream, ErrorCodes.INTERNAL_ERROR)
            except ProtocolError:
                return
            await protocol._flush()

    async def _send_goaway(self) -> None:
        # Send GOAWAY only while no stream is open: common clients drop the answers in
        # progress when they receive it. GOAWAY contains the last stream that was
        # served, so a client retries a request that it sent meanwhile on another
        # connection.
        protocol = self._get_http2()
        if protocol is None or self._goaway_sent or not self._is_idle():
            return
        self._goaway_sent = True
        self._idle_since = trio.current_time()
        protocol.connection.close_connection()
        # Drop what arrives, but keep the connection open, so that a caller that sent a
        # request meanwhile can read GOAWAY before the connection closes.
        protocol.connection.receive_data = self._drop_data  # type: ignore[method-assign]
        # This task may be cancelled when the listener closes. GOAWAY would then be
        # taken from the protocol's buffer and lost, and a second later the connection
        # would close without an announcement.
        with trio.CancelScope(shield=True), trio.move_on_after(LINGER_S):
            await protocol._flush()

    def _is_idle(self) -> bool:
        # A stream is received before its application starts. GOAWAY sent in between
        # would mark it as served, and the rest of its body would be dropped.
        protocol = self.protocol.protocol
        streams = (
            protocol.connection.open_inbound_streams
            if isinstance(protocol, H2Protocol)
            else protocol.stream is not None
            or protocol.connection.their_state is not h11.IDLE
        )
        return not self._open_requests and not streams

    def _drop_data(self, data: object) -> "list[Http2Event]":
        self._idle_since = trio.current_time()
        return []

    def _get_http2(self) -> "H2Protocol | None":
        wrapper = getattr(self, "protocol", None)
        protocol = None if wrapper is None else wrapper.protocol
        return protocol if isinstance(protocol, H2Protocol) else None


class _Http1Parser(h11.Connection):
    """Pause at bytes behind the last request of a connection, as behind any other.

    h11 takes bytes behind a request with `Connection: close` for an error. Hypercorn
    then sends 400 and closes the connection while the request is running.
    """

    def next_event(self) -> Any:
        if self.their_state is h11.MUST_CLOSE and self.trailing_data[0]:
            return h11.PAUSED
        return super().next_event()


class _AnsweredStream(HTTPStream):
    def __init__(self) -> None:
        """Hold no state, as the caller already has its answer."""

    async def handle(self, event: StreamEvent) -> None:
        """Drop events that still arrive."""


class _StreamTable(dict[int, "HTTPStream | WSStream"]):
    """Provide a stream for the body of a request that is already answered.

    A caller whose request is refused by its headers alone continues to send the body.
    Hypercorn looks up the stream without a check, and the `KeyError` would end the
    process with all requests of all callers.
    """

    def __missing__(self, number: int) -> HTTPStream:
        return _AnsweredStream()


class _Answer:
    def __init__(
        self,
        receive: Any,
        send: Any,
        scope: Any,
        should_close: Callable[[], bool],
        *,
        close_queue: Callable[[], None],
    ) -> None:
        self._receive = receive
        self._send = send
        self._close_queue = close_queue
        self._body_ended = False
        self.http2 = scope["http_version"] == _HTTP2
        self._should_close = should_close
        self.open = False

    async def receive(self) -> Any:
        message = await self._receive()
        self._body_ended = not message.get("more_body", False)
        return message

    async def send(self, message: Any) -> None:
        if message["type"] == "http.response.body" and not message.get("more_body"):
            await self._discard_body()
        if message["type"] == "http.response.start":
            self.open = True
            if not self.http2 and self._should_close():
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = message | {"headers": headers}
        await self._send(message)
        if message["type"] == "http.response.body" and not message.get("more_body"):
            self.open = False

    async def _discard_body(self) -> None:
        # A caller whose request is refused by its headers alone continues to send the
        # body. Hypercorn queues a few parts of it for the application, which no longer
        # reads, and then blocks forever, with all requests of an HTTP/2 connection.
        with trio.move_on_after(DISCARD_S) as scope:
            while not self._body_ended:
                await self.receive()
        if scope.cancelled_caught:
            self._close_queue()

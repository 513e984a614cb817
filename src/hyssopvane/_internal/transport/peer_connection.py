"""Multiplex streams of messages over one connection between two processes."""

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, replace
from typing import TypeVar

import trio

from hyssopvane._internal.exceptions import PeerLost, ProtocolError
from hyssopvane._internal.protocol.codec import decode_frames, encode_frames
from hyssopvane._internal.protocol.messages import (
    PROTOCOL_VERSION,
    Answer,
    Cancel,
    Chunk,
    Credit,
    Frame,
    Heartbeat,
    Hello,
    Message,
    Notice,
    Open,
    Question,
)
from hyssopvane._internal.transport.framing import FramedStream
from hyssopvane._internal.utils.logs import log_event

CONNECTION_STREAM = 0
SYNC_TOPIC = "settle"
"""Topic without a handler: a peer answers unknown topics with an empty body."""

# A slow reader makes this process buffer at most this many bytes. They hold several
# hundred tokens, so a stream at full speed never waits for credit.
STREAM_WINDOW_BYTES = 64 * 1024
# Maximum size of a chunk, so that one upload can't fill a whole batch and delay the
# tokens of all other streams.
MAX_CHUNK_BYTES = 16 * 1024
# A batch holds the frames that are queued when it is written, up to this size.
MAX_BATCH_BYTES = 256 * 1024
MAX_BATCH_FRAMES = 512
_SMALL_FRAME_BYTES = 64

_Kind = TypeVar("_Kind", bound=Exception)


@dataclass(frozen=True, slots=True)
class ConnectionTimes:
    """Set the interval of heartbeats and the timeout of a silent peer."""

    heartbeat_s: float
    silence_s: float


class PeerHandler(ABC):
    """Define how a process handles the messages of its peers."""

    @abstractmethod
    def describe_health(self) -> Heartbeat:
        """Return the heartbeat to send now; the connection fills in its sequence."""

    @abstractmethod
    def receive_heartbeat(self, peer: "PeerConnection", heartbeat: Heartbeat) -> None:
        """Handle a heartbeat."""

    @abstractmethod
    async def serve_stream(self, stream: "PeerStream", opening: Open) -> None:
        """Serve a stream that the peer opened; the stream is closed afterwards."""

    @abstractmethod
    async def answer_question(
        self, peer: "PeerConnection", topic: str, body: bytes
    ) -> bytes:
        """Return the answer to a question."""

    @abstractmethod
    def receive_notice(self, peer: "PeerConnection", topic: str, body: bytes) -> None:
        """Handle a notice."""


class PeerStream:
    """Exchange the messages of one attempt or question."""

    def __init__(self, connection: "PeerConnection", number: int) -> None:
        self.connection = connection
        self.number = number
        self._inbox: deque[Message] = deque()
        self._arrived = trio.Event()
        self._credit = STREAM_WINDOW_BYTES
        self._credit_arrived = trio.Event()
        self._consumed = 0
        self._lost: PeerLost | None = None

    def send(self, message: Message) -> None:
        """Queue a message that needs no credit."""
        if self._lost is None:
            self.connection.queue_frame(Frame(self.number, message))

    async def send_data(self, data: bytes) -> None:
        """Send bytes of a body; wait while the peer's window is full."""
        view = memoryview(data)
        while view:
            while self._credit <= 0:
                self._raise_if_lost()
                self._credit_arrived = trio.Event()
                await self._credit_arrived.wait()
            size = min(len(view), self._credit, MAX_CHUNK_BYTES)
            self._raise_if_lost()
            self._credit -= size
            self.send(Chunk(bytes(view[:size])))
            view = view[size:]

    async def receive(self) -> Message:
        """Receive the next message; consecutive queued chunks are joined into one."""
        while not self._inbox:
            self._raise_if_lost()
            self._arrived = trio.Event()
            await self._arrived.wait()
        message = self._inbox.popleft()
        if isinstance(message, Chunk):
            message = self._join_ready_chunks(message)
            self._grant_credit(len(message.data))
        return message

    def cancel(self) -> None:
        """Make the peer stop its work on this stream; drop what is not sent yet."""
        if self._lost is None:
            self.connection.cancel_stream(self.number)

    def close(self) -> None:
        """Remove the stream from the connection, which drops its further frames."""
        self.connection.remove_stream(self.number)

    def deliver(self, message: Message) -> None:
        """Handle a message that the connection received for this stream."""
        if isinstance(message, Credit):
            self._credit += message.size
            self._credit_arrived.set()
            return
        self._inbox.append(message)
        self._arrived.set()

    def mark_lost(self, error: PeerLost) -> None:
        """Mark the connection as lost; messages received before stay readable."""
        self._lost = error
        self._arrived.set()
        self._credit_arrived.set()

    def _raise_if_lost(self) -> None:
        if self._lost is not None:
            raise PeerLost(self._lost.message, context=self._lost.context)

    def _join_ready_chunks(self, first: Chunk) -> Chunk:
        if not (self._inbox and isinstance(self._inbox[0], Chunk)):
            return first
        parts = [first.data]
        while self._inbox and isinstance(self._inbox[0], Chunk):
            following = self._inbox.popleft()
            assert isinstance(following, Chunk)
            parts.append(following.data)
        return Chunk(b"".join(parts))

    def _grant_credit(self, size: int) -> None:
        # Return credit in halves of the window, so that a stream of small tokens does
        # not cost a credit frame for each of them.
        self._consumed += size
        if self._consumed >= STREAM_WINDOW_BYTES // 2:
            self.send(Credit(self._consumed))
            self._consumed = 0


class PeerConnection:
    """Run one connection: handshake, heartbeats and streams, until it is lost."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        *,
        hello: Hello,
        handler: PeerHandler,
        times: ConnectionTimes,
        opener: bool,
    ) -> None:
        self._framed = FramedStream(stream)
        self._hello = hello
        self._handler = handler
        self._times = times
        # One end uses odd stream numbers and the other even ones. Numbers are never
        # reused, so a late frame can't reach another caller's stream.
        self._next_stream = 1 if opener else 2
        self._streams: dict[int, PeerStream] = {}
        self._serving: dict[int, trio.CancelScope] = {}
        self._outbox: deque[Frame] = deque()
        self._outbox_filled = trio.Event()
        self._finishing = False
        self._ended = trio.Event()
        self._scope = trio.CancelScope()
        self._lost: PeerLost | None = None
        self._last_received_at = 0.0
        self._heartbeats = 0
        self._next_heartbeat_at = 0.0
        self.peer: Hello | None = None
        self.last_heartbeat: Heartbeat | None = None
        self.dropped_frames = 0

    @property
    def lost(self) -> bool:
        """Return whether the connection has ended."""
        return self._lost is not None

    @property
    def peer_leaving(self) -> bool:
        """Return whether the peer has reported that it accepts no new work."""
        return self.last_heartbeat is not None and self.last_heartbeat.leaving

    @property
    def why_lost(self) -> str:
        """Return why the connection has ended, empty while it has not."""
        return "" if self._lost is None else str(self._lost)

    @property
    def open_streams(self) -> int:
        """Return the number of streams in use."""
        return len(self._streams)

    async def run(
        self, *, task_status: trio.TaskStatus[Hello] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchange hellos and serve until the connection ends; raise no `PeerLost`."""
        error = PeerLost("the connection was closed by this process")
        try:
            with self._scope:
                peer = await self._exchange_hello()
                task_status.started(peer)
                await self._serve()
        except* PeerLost as group:
            error = _get_first(group, PeerLost)
        except* ProtocolError as group:
            problem = _get_first(group, ProtocolError)
            error = PeerLost(problem.message, context=problem.context)
        except* Exception as group:
            # A fault of this process in handling one peer's message would end the
            # process with the answers of all callers. Caught here, it shows as
            # connections that fail repeatedly, and the log line contains the fault.
            fault = _get_first(group, Exception)
            error = PeerLost(
                "this process failed to handle a frame", context=repr(fault)
            )
            log_event("error", "connection-failed", why=repr(fault))
        finally:
            self._mark_lost(error)
            self._ended.set()
            with trio.CancelScope(shield=True):
                await self._framed.close()

    def close(self) -> None:
        """End the connection immediately."""
        self._scope.cancel()

    async def finish(self) -> None:
        """Send all queued frames, and end the connection once the peer has read them.

        Closing immediately would lose the frames in the queue, and, when bytes of the
        peer are unread here, also those in the kernel's send buffer.
        """
        self._finishing = True
        self._outbox_filled.set()
        with trio.move_on_after(self._times.silence_s):
            await self._ended.wait()
        self.close()

    async def sync(self) -> None:
        """Wait until the peer has read all sent frames, and its answer has arrived.

        Frames keep their order, so all frames that the peer sent before it read the
        last frame of this process have arrived by then.
        """
        with trio.move_on_after(self._times.silence_s):
            try:
                await self.ask(SYNC_TOPIC, b"")
            except PeerLost:
                # A lost peer sends no more frames.
                return

    async def wait_until_current(self) -> None:
        """Wait until all frames that have been received were handled.

        A cancellation may stand behind the frames of its stream.
        """
        await self._framed.wait_until_current()
        # Let a cancellation that was just handled end the waiting task.
        await trio.lowlevel.checkpoint()

    def queue_heartbeat(self) -> None:
        """Queue a heartbeat without waiting for the next interval."""
        self.queue_frame(self._make_heartbeat())

    def open_stream(self, opening: Open | Question) -> PeerStream:
        """Open a stream with its first message; raise `PeerLost`."""
        if self._lost is not None:
            raise PeerLost(self._lost.message, context=self._lost.context)
        number = self._next_stream
        self._next_stream += 2
        stream = self._streams[number] = PeerStream(self, number)
        self.queue_frame(Frame(number, opening))
        return stream

    async def ask(self, topic: str, body: bytes) -> bytes:
        """Send a question to the peer and return its answer; raise `PeerLost`."""
        stream = self.open_stream(Question(topic, body))
        try:
            message = await stream.receive()
        finally:
            stream.close()
        if not isinstance(message, Answer):
            raise PeerLost("the peer did not answer the question", context=topic)
        return message.body

    def notify(self, topic: str, body: bytes) -> None:
        """Queue a notice, which needs no answer."""
        self.queue_frame(Frame(CONNECTION_STREAM, Notice(topic, body)))

    def queue_frame(self, frame: Frame) -> None:
        """Queue a frame for the next batch."""
        self._outbox.append(frame)
        self._outbox_filled.set()

    def cancel_stream(self, number: int) -> None:
        """Drop the queued frames of a stream, and cancel it before all other frames.

        Behind the queue, a cancellation would wait until a slow connection has taken
        the bodies of other requests. Streams are independent, so it may overtake them.
        """
        unsent = [one for one in self._outbox if one.stream == number]
        if unsent:
            kept = (one for one in self._outbox if one.stream != number)
            self._outbox = deque(kept)
        if not any(isinstance(one.message, Open) for one in unsent):
            self._outbox.appendleft(Frame(number, Cancel()))
        self._outbox_filled.set()

    def remove_stream(self, number: int) -> None:
        """Remove a stream; frames that still arrive for it are dropped."""
        self._streams.pop(number, None)

    async def _exchange_hello(self) -> Hello:
        # A peer that accepts and then stays silent must not block a task forever.
        with trio.move_on_after(self._times.silence_s):
            await self._framed.send_frame(
                encode_frames([Frame(CONNECTION_STREAM, self._hello)])
            )
            frames = decode_frames(await self._framed.receive_frame())
            if len(frames) != 1 or not isinstance(frames[0].message, Hello):
                raise ProtocolError("the first message of the peer is not a hello")
            self.peer = frames[0].message
            self._check_hello(self.peer)
            return self.peer
        raise PeerLost("the peer sent no hello in time")

    def _check_hello(self, peer: Hello) -> None:
        if peer.version != PROTOCOL_VERSION:
            raise ProtocolError(
                f"the peer uses version {peer.version}, not {PROTOCOL_VERSION}",
                context=peer.vm,
                hint="run the same version on both VMs",
            )
        if peer.token != self._hello.token:
            raise ProtocolError(
                "the peer's token does not match",
                context=peer.vm,
                hint="put the same token into the settings of both VMs",
            )

    async def _serve(self) -> None:
        self._last_received_at = trio.current_time()
        self._next_heartbeat_at = self._last_received_at
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_batches)
            nursery.start_soon(self._send_heartbeats)
            nursery.start_soon(self._check_silence)
            await self._read_batches(nursery)

    async def _read_batches(self, nursery: trio.Nursery) -> None:
        while True:
            payload = await self._framed.receive_frame()
            self._last_received_at = trio.current_time()
            for frame in decode_frames(payload):
                self._dispatch(frame, nursery)

    def _dispatch(self, frame: Frame, nursery: trio.Nursery) -> None:
        message = frame.message
        if frame.stream == CONNECTION_STREAM:
            self._receive_for_connection(message)
        elif isinstance(message, Open | Question):
            self._accept_stream(frame.stream, message, nursery)
        elif isinstance(message, Cancel):
            scope = self._serving.get(frame.stream)
            if scope is not None:
                scope.cancel()
        elif (stream := self._streams.get(frame.stream)) is not None:
            stream.deliver(message)
        else:
            self.dropped_frames += 1

    def _receive_for_connection(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self.last_heartbeat = message
            self._handler.receive_heartbeat(self, message)
        elif isinstance(message, Notice):
            self._handler.receive_notice(self, message.topic, message.body)

    def _accept_stream(
        self, number: int, message: Open | Question, nursery: trio.Nursery
    ) -> None:
        if number in self._streams or number % 2 == self._next_stream % 2:
            # A duplicate frame must not start the same attempt twice.
            self.dropped_frames += 1
            return
        stream = self._streams[number] = PeerStream(self, number)
        if isinstance(message, Open):
            # A cancellation may be handled before the task has started.
            scope = self._serving[number] = trio.CancelScope()
            nursery.start_soon(self._serve_opened, stream, message, scope)
        else:
            nursery.start_soon(self._serve_question, stream, message)

    async def _serve_opened(
        self, stream: PeerStream, opening: Open, scope: trio.CancelScope
    ) -> None:
        with scope:
            try:
                await self._handler.serve_stream(stream, opening)
            except PeerLost:
                pass
            finally:
                self._serving.pop(stream.number, None)
                stream.close()

    async def _serve_question(self, stream: PeerStream, question: Question) -> None:
        try:
            answer = await self._handler.answer_question(
                self, question.topic, question.body
            )
            stream.send(Answer(answer))
        finally:
            stream.close()

    async def _write_batches(self) -> None:
        while True:
            while not self._outbox:
                if self._finishing:
                    await self._framed.send_end()
                    return
                self._outbox_filled = trio.Event()
                await self._outbox_filled.wait()
            frames = self._take_batch()
            if self._is_heartbeat_due_soon():
                frames.append(self._make_heartbeat())
            await self._framed.send_frame(encode_frames(frames))

    def _take_batch(self) -> list[Frame]:
        frames: list[Frame] = []
        size = 0
        while self._outbox and size < MAX_BATCH_BYTES:
            if len(frames) == MAX_BATCH_FRAMES:
                break
            frame = self._outbox.popleft()
            frames.append(frame)
            size += _estimate_size(frame.message)
        return frames

    async def _send_heartbeats(self) -> None:
        while True:
            if trio.current_time() >= self._next_heartbeat_at:
                self.queue_frame(self._make_heartbeat())
            await trio.sleep_until(self._next_heartbeat_at)

    def _make_heartbeat(self) -> Frame:
        health = self._handler.describe_health()
        self._heartbeats += 1
        self._next_heartbeat_at = trio.current_time() + self._times.heartbeat_s
        heartbeat = replace(health, sequence=self._heartbeats)
        return Frame(CONNECTION_STREAM, heartbeat)

    def _is_heartbeat_due_soon(self) -> bool:
        # At the target size an entry sends heartbeats on 42 connections. A separate
        # heartbeat costs a segment and its acknowledgement. Added to a batch that is
        # sent anyway, it costs only its own bytes, so a busy connection sends no
        # separate ones.
        attach_from = self._next_heartbeat_at - self._times.heartbeat_s / 2
        return trio.current_time() >= attach_from

    async def _check_silence(self) -> None:
        # A device between the two ends may lose its state of an open connection. Then
        # nothing arrives and no call fails, but the frequent heartbeats stop. Closing
        # makes the owner open a new connection instead of considering the target lost.
        checked_at = trio.current_time()
        while True:
            await trio.sleep(self._times.heartbeat_s)
            now = trio.current_time()
            late_s = now - checked_at - self._times.heartbeat_s
            checked_at = now
            if late_s > self._times.heartbeat_s:
                # This process itself was stalled and has not yet read what the peer
                # sent meanwhile. Treated as silence of the peer, the stall would cut
                # every answer on a working connection.
                self._last_received_at = min(now, self._last_received_at + late_s)
            silent_s = now - self._last_received_at
            if silent_s > self._times.silence_s:
                raise PeerLost(f"the connection was silent for {silent_s:.1f} s")

    def _mark_lost(self, error: PeerLost) -> None:
        self._lost = error
        for stream in list(self._streams.values()):
            stream.mark_lost(error)
        self._streams.clear()


def _estimate_size(message: Message) -> int:
    return len(message.data) if isinstance(message, Chunk) else _SMALL_FRAME_BYTES


def _get_first(group: BaseExceptionGroup[_Kind], kind: type[_Kind]) -> _Kind:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            return _get_first(error, kind)
        return error
    raise AssertionError("an exception group is never empty")

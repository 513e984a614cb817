"""Test connections between two processes."""

import pytest
import trio
import trio.testing

from hyssopvane._internal.exceptions import PeerLost
from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.protocol.codec import decode_frames, encode_frames
from hyssopvane._internal.protocol.messages import (
    Cancel,
    Chunk,
    End,
    Frame,
    Head,
    Heartbeat,
    Refused,
)
from hyssopvane._internal.roles.call import ReplyWriter
from hyssopvane._internal.roles.exchange import NotStarted, exchange
from hyssopvane._internal.transport.caller_presence import ASSUMED_PRESENCE
from hyssopvane._internal.transport.peer_connection import (
    MAX_BATCH_BYTES,
    MAX_CHUNK_BYTES,
    STREAM_WINDOW_BYTES,
    PeerConnection,
)
from tests.lib.peers import (
    TIMES,
    RecordingHandler,
    connect_pair,
    make_hello,
    make_opening,
)


def run(test):
    """Run an async test with a clock that skips waits."""
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


async def read_body(stream):
    """Return the joined chunks up to the end of the body."""
    parts = []
    while True:
        message = await stream.receive()
        if isinstance(message, End):
            return b"".join(parts)
        assert isinstance(message, Chunk)
        parts.append(message.data)


async def echo(stream, opening):
    """Answer with the received body."""
    stream.send(Head(200, ()))
    await stream.send_data(await read_body(stream))
    stream.send(End())


@pytest.mark.parametrize("size", [0, 1, STREAM_WINDOW_BYTES, 10 * STREAM_WINDOW_BYTES])
def test_stream_carries_bodies_of_any_size(size):
    async def main():
        async with connect_pair(echo) as pair:
            stream = pair.opener.open_stream(make_opening())
            body = bytes(range(256)) * (size // 256 + 1)
            body = body[:size]
            async with trio.open_nursery() as nursery:

                async def send():
                    await stream.send_data(body)
                    stream.send(End())

                nursery.start_soon(send)
                assert await stream.receive() == Head(200, ())
                assert await read_body(stream) == body

    run(main)


def test_slow_reader_uses_bounded_memory_and_blocks_no_other_stream():
    """Guard against a slow reader that exhausts memory or blocks other streams.

    Without a window, the whole answer would be buffered in the entry's memory. With one
    window for all streams, the other streams would wait for the slow one.
    """

    async def main():
        sent = {}

        async def produce(stream, opening):
            sent[opening.request_id] = 0
            for _ in range(100):
                await stream.send_data(b"x" * 4096)
                sent[opening.request_id] += 4096
            stream.send(End())

        async with connect_pair(produce) as pair:
            slow = pair.opener.open_stream(make_opening(request_id="slow"))
            fast = pair.opener.open_stream(make_opening(request_id="fast"))
            assert len(await read_body(fast)) == 100 * 4096
            await trio.testing.wait_all_tasks_blocked()
            assert sent["slow"] <= STREAM_WINDOW_BYTES
            assert len(await read_body(slow)) == 100 * 4096

    run(main)


def test_cancel_ends_the_attempt():
    """Guard against an attempt that occupies a slot after its caller disconnected."""

    async def main():
        ended = trio.Event()

        async def work(stream, opening):
            try:
                await trio.sleep_forever()
            finally:
                ended.set()

        async with connect_pair(work) as pair:
            stream = pair.opener.open_stream(make_opening())
            await trio.testing.wait_all_tasks_blocked()
            stream.send(Cancel())
            with trio.fail_after(1):
                await ended.wait()

    run(main)


async def connect_to_silent_peer(nursery):
    """Run a connection whose peer sends a hello and nothing else."""
    near, far = trio.testing.memory_stream_pair()
    connection = PeerConnection(
        near,
        hello=make_hello("a"),
        handler=RecordingHandler(),
        times=TIMES,
        opener=True,
    )
    nursery.start_soon(connection.run)
    greeting = encode_frames([Frame(0, make_hello("b"))])
    await far.send_all(len(greeting).to_bytes(4, "big") + greeting)
    await trio.testing.wait_all_tasks_blocked(0.01)
    return connection


def test_cancellation_overtakes_the_queue_of_a_full_connection():
    """Guard against work that goes on until the peer has taken other uploads."""

    async def main():
        received = {"upload": 0, "before-cancel": -1}

        async def serve(stream, opening):
            try:
                while True:
                    message = await stream.receive()
                    received[opening.request_id] += len(message.data)
            except trio.Cancelled:
                received["before-cancel"] = received["upload"]
                raise

        async with connect_pair(serve) as pair:
            received["cancelled"] = 0
            cancelled = pair.opener.open_stream(make_opening(request_id="cancelled"))
            cancelled.send(Chunk(b"x"))
            upload = pair.opener.open_stream(make_opening(request_id="upload"))
            await trio.testing.wait_all_tasks_blocked()
            assert received["cancelled"] == 1
            for _ in range(4 * MAX_BATCH_BYTES // MAX_CHUNK_BYTES):
                upload.send(Chunk(MAX_CHUNK_BYTES * b"x"))
            cancelled.cancel()
            cancelled.close()
            await trio.testing.wait_all_tasks_blocked()
            assert received["upload"] == 4 * MAX_BATCH_BYTES
            assert 0 <= received["before-cancel"] <= MAX_BATCH_BYTES

    run(main)


def test_attempt_cancelled_before_it_is_sent_does_not_reach_the_peer():
    """Guard against a start of work whose caller has already left."""

    async def main():
        served = []

        async def serve(stream, opening):
            served.append(opening.request_id)

        async with connect_pair(serve) as pair:
            cancelled = pair.opener.open_stream(make_opening(request_id="cancelled"))
            cancelled.send(Chunk(b"x"))
            pair.opener.open_stream(make_opening(request_id="kept"))
            cancelled.cancel()
            cancelled.close()
            await trio.testing.wait_all_tasks_blocked()
            assert served == ["kept"]

    run(main)


def test_silent_connection_is_closed():
    """Guard against an open connection whose state a firewall between two VMs lost.

    Nothing arrives on it any more, and a caller would wait until its deadline for a
    target that works.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            connection = await connect_to_silent_peer(nursery)
            stream = connection.open_stream(make_opening())
            with pytest.raises(PeerLost, match="silent"):
                await stream.receive()
            assert connection.lost

    run(main)


def test_stalled_process_closes_none_of_its_connections():
    """Guard against a process that takes its own stall for silence of its peers.

    A busy machine may not run a process for seconds, and the process has not read what
    its peers sent meanwhile. It would close all of its connections, and each caller on
    them would get an error.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            connection = await connect_to_silent_peer(nursery)
            clock.jump(10 * TIMES.silence_s)
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert not connection.lost
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock()
    trio.run(main, clock=clock)


def test_stream_keeps_messages_received_before_the_loss():
    async def main():
        async def answer_and_close(stream, opening):
            stream.send(Head(200, ()))
            await stream.send_data(b"part")
            await trio.sleep(1)
            stream.connection.close()

        async with connect_pair(answer_and_close) as pair:
            stream = pair.opener.open_stream(make_opening())
            await trio.sleep(2)
            assert await stream.receive() == Head(200, ())
            assert await stream.receive() == Chunk(b"part")
            with pytest.raises(PeerLost):
                await stream.receive()

    run(main)


@pytest.mark.parametrize(
    ("hello", "why"),
    [
        (make_hello("b", version=99), "version 99"),
        (make_hello("b", token="another-token-xx"), "token"),
    ],
)
def test_hello_is_checked(hello, why):
    async def main():
        near, far = trio.testing.memory_stream_pair()
        connection = PeerConnection(
            near,
            hello=make_hello("a"),
            handler=RecordingHandler(),
            times=TIMES,
            opener=True,
        )
        greeting = encode_frames([Frame(0, hello)])
        await far.send_all(len(greeting).to_bytes(4, "big") + greeting)
        await connection.run()
        assert why in connection.why_lost

    run(main)


@pytest.mark.parametrize(
    "data",
    [b"\xff\xff\xff\xff", b"\x00\x00\x00\x05hello", b"\x00\x00\x10\x00cut"],
    ids=["too-long", "garbage", "cut"],
)
def test_malformed_frames_end_the_connection(data):
    """Guard against a process that ends on garbage, a too long or a partial frame.

    Only this connection may end: the end of the process would fail the requests of all
    callers.
    """

    async def main():
        near, far = trio.testing.memory_stream_pair()
        connection = PeerConnection(
            near,
            hello=make_hello("a"),
            handler=RecordingHandler(),
            times=TIMES,
            opener=True,
        )
        await far.send_all(data)
        await far.send_eof() if hasattr(far, "send_eof") else None
        await connection.run()
        assert connection.why_lost

    run(main)


def test_duplicate_open_message_starts_one_attempt():
    """Guard against a duplicate frame that runs a request, such as a bid, twice."""

    async def main():
        started = []

        async def serve(stream, opening):
            started.append(opening.request_id)
            await trio.sleep(1)

        async with connect_pair(serve) as pair:
            stream = pair.opener.open_stream(make_opening())
            pair.opener.queue_frame(Frame(stream.number, make_opening()))
            await trio.sleep(0.5)
            assert started == ["r"]
            assert pair.accepter.dropped_frames == 1

    run(main)


def test_questions_notices_and_heartbeats_reach_the_peer():
    async def main():
        async with connect_pair() as pair:
            assert await pair.opener.ask("topic", b"body") == b"topic:body"
            pair.opener.notify("news", b"x")
            await trio.sleep(1.2)
            assert pair.accepter_handler.notices == [("news", b"x")]
            assert [one.sequence for one in pair.opener_handler.heartbeats] == [1, 2, 3]
            assert isinstance(pair.opener.last_heartbeat, Heartbeat)

    run(main)


@pytest.mark.parametrize(("message_every_s", "alone"), [(None, 10), (0.3, 0)])
def test_heartbeat_is_added_to_a_pending_batch(message_every_s, alone):
    """Guard against heartbeats in separate segments on a busy connection.

    At the target size an entry has 42 connections. Separate heartbeats would use up the
    traffic that a daemon may spend on control, which the entry's owner sees in the
    traffic of the VM.
    """

    async def main():
        async with connect_pair() as pair:
            # The first heartbeat follows the hello immediately.
            await trio.sleep(0.05)
            batches = []
            send_frame = pair.opener._framed.send_frame

            async def record(payload):
                batches.append([one.message for one in decode_frames(payload)])
                await send_frame(payload)

            pair.opener._framed.send_frame = record
            with trio.move_on_after(5.05):
                while message_every_s:
                    await trio.sleep(message_every_s)
                    pair.opener.notify("news", b"x")
                await trio.sleep_forever()
            beats = [one for batch in batches for one in batch if is_heartbeat(one)]
            assert 8 <= len(beats) <= 20
            assert sum(all(map(is_heartbeat, one)) for one in batches) == alone

    run(main)


def is_heartbeat(message):
    """Return whether a message is a heartbeat."""
    return isinstance(message, Heartbeat)


def test_attempt_received_during_a_shutdown_is_refused():
    """Guard against an unknown outcome of an attempt sent as its agent shuts down.

    The connection ended during the attempt, so its caller was told that the outcome is
    unknown, although the VM was replaced as the operators' page says.
    """

    async def main():
        async def refuse(stream, opening):
            stream.send(Refused("leaving"))

        async with connect_pair(refuse) as pair:
            stream = pair.opener.open_stream(make_opening())
            pair.accepter.queue_heartbeat()
            await pair.accepter.sync()
            await pair.accepter.finish()
            assert await stream.receive() == Refused("leaving")

    run(main)


def test_assigned_attempt_is_not_sent_after_a_leaving_heartbeat():
    """Guard against an attempt sent after its agent reported that it is shutting down.

    The entry chose the target before it read the report, and the connection would end
    during the attempt.
    """

    async def main():
        started = []

        async def serve(stream, opening):
            started.append(opening.request_id)

        async with connect_pair(serve) as pair:
            pair.accepter_handler.health = Heartbeat(sequence=0, leaving=True)
            pair.accepter.queue_heartbeat()
            await trio.sleep(0.1)
            end = await exchange(
                pair.opener,
                make_opening(),
                body=b"",
                reply=ReplyWriter(None, request_id="r"),
                presence=ASSUMED_PRESENCE,
                deadline=trio.current_time() + 1,
            )
            assert end == NotStarted(AgentRefusal.LEAVING)
            assert started == []

    run(main)


@pytest.mark.parametrize("topic", ["question", "stream"])
def test_fault_in_a_handler_ends_only_its_connection(topic):
    """Guard against a handler's fault on one message that ends the whole process.

    It ended an entry with the answers of all its callers.
    """

    async def main():
        async def fail(stream, opening):
            raise KeyError(opening.request_id)

        async with connect_pair(fail) as pair:
            pair.accepter_handler.answer_question = fail_on_question
            if topic == "question":
                with pytest.raises(PeerLost):
                    await pair.opener.ask("topic", b"")
            else:
                stream = pair.opener.open_stream(make_opening())
                with pytest.raises(PeerLost):
                    await stream.receive()
            assert "KeyError" in pair.accepter.why_lost

    run(main)


async def fail_on_question(peer, topic, body):
    raise KeyError(topic)

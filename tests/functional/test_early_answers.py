"""Test replicas that answer before they have read the whole body of a request."""

from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from functools import partial

import pytest
import trio

from hyssopvane._internal.policy.entry_pressure import (
    STALL_S,
    BufferLimits,
    ReaderKind,
)
from hyssopvane._internal.transport.buffer_guard import (
    REVIEW_INTERVAL_S,
    BufferGuard,
)
from hyssopvane._internal.transport.replica_client import (
    ReplicaClient,
    ReplicaFailed,
    ReplicaLost,
)
from hyssopvane._internal.transport.target_client import TargetClient, TargetFailed
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from tests.lib.direct_installation import (
    HANG_S,
    KEY,
    make_configuration,
    open_direct,
)
from tests.lib.direct_replica import DirectReplica, chunk, make_event
from tests.lib.raw_replica import RESET

BODY = 30_000_000 * b"x"
ANSWER_S = STALL_S + 2 * REVIEW_INTERVAL_S
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"


async def answer_slowly(stream):
    """Answer while the body waits to be read, which it never is."""
    await stream.send_all(HEAD + b"whole ")
    await trio.sleep(ANSWER_S)
    await stream.send_all(b"answer")


async def answer_and_reset(stream):
    """Answer whole, and reset the connection."""
    await stream.send_all(HEAD + b"whole answer")
    await trio.sleep(0.1)
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET)


async def serve(behave, stream):
    with suppress(trio.BrokenResourceError):
        await stream.receive_some(1)
        await behave(stream)
        while behave is answer_slowly and await stream.receive_some(65_536):
            pass


@pytest.mark.parametrize("behave", [answer_slowly, answer_and_reset])
def test_answer_that_begins_before_the_body_is_read_is_not_broken_off(behave):
    """Guard against taking a replica that has answered for one that has stalled: its
    answer would be lost, and the request would seem to crash replicas."""

    async def main():
        metrics = DeferredMetrics(role="direct-entry", vm="entry-1")
        guard = BufferGuard(BufferLimits(1_000), metrics)
        guard.ledger.hold(guard.ledger.open(ReaderKind.CALLER, "filler"), 2_000)
        client = ReplicaClient(guard=guard)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(
                    trio.serve_tcp,
                    partial(serve, behave),
                    0,
                    host="127.0.0.1",
                )
            )
            nursery.start_soon(guard.run)
            address = "{}:{}".format(*listeners[0].socket.getsockname())
            async with client.call(
                address,
                method="POST",
                target=b"/",
                headers=((b"host", b"x"), (b"content-length", b"%d" % len(BODY))),
                body=BODY,
            ) as response:
                await trio.sleep(ANSWER_S)
                assert await response.read(max_bytes=100) == b"whole answer"
            # The rest of the body would be read as the next request.
            assert not client.has_idle(address)
            nursery.cancel_scope.cancel()

    trio.run(main)


PAUSE_S = 0.05
PART_BYTES = 65_536
MAX_UPLOAD_BYTES = 4_194_304
PART = b"a part of the answer"
EVENTS = make_event(1) + make_event(2)


@dataclass(frozen=True)
class EarlyAnswer:
    """Define an answer that is sent before the request is read, and how it ends."""

    fields: bytes = b""
    body: bytes = b""
    version: bytes = b"1.1"
    end: str = "reset"
    is_whole: bool = False


CHUNKS = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: %d\r\n"


def make_early_answers(part):
    """Return answers with a body, or with a part of one, by name."""
    return {
        "reset": EarlyAnswer(body=part),
        "closed-unread": EarlyAnswer(body=part, end="close"),
        "empty": EarlyAnswer(body=b""),
        "old-version": EarlyAnswer(body=part, version=b"1.0"),
        "part-of-length": EarlyAnswer(LENGTH % 100, part),
        "part-of-chunks": EarlyAnswer(CHUNKS, chunk(part)),
        "length": EarlyAnswer(LENGTH % len(part), part, is_whole=True),
        "chunks": EarlyAnswer(CHUNKS, chunk(part) + chunk(b""), is_whole=True),
        "ended-then-reset": EarlyAnswer(body=part, end="end-and-reset", is_whole=True),
        "ended-and-read": EarlyAnswer(body=part, end="end-and-read", is_whole=True),
    }


ANSWERS = make_early_answers(PART)


def read_request_id(head):
    """Return the ID of the request that begins with these bytes."""
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"x-request-id: "):
            return line.partition(b": ")[2]
    return b""


async def answer_early(answer, stream):
    """Answer a request of which only the begin has been read."""
    request_id = read_request_id(await stream.receive_some(2_000))
    head = b"HTTP/%s 200 OK\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\n%s\r\n"
    await stream.send_all(
        head % (answer.version, request_id, answer.fields) + answer.body
    )
    # The request is still being sent, so that its sender sees the reset by writing.
    await trio.sleep(PAUSE_S)
    if answer.end.startswith("end"):
        await stream.send_eof()
        await trio.sleep(PAUSE_S)
    if answer.end == "end-and-read":
        while await stream.receive_some(65_536):
            pass
    elif answer.end != "close":
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET)
    await stream.aclose()


@asynccontextmanager
async def serve_early_answer(answer):
    """Serve an answer; yield the address."""

    async def handle(stream):
        with suppress(trio.BrokenResourceError):
            await answer_early(answer, stream)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, handle, 0, host="127.0.0.1")
        )
        yield "{}:{}".format(*listeners[0].socket.getsockname())
        nursery.cancel_scope.cancel()


async def call_replica(address, body):
    """Return the body of a replica's answer, None if it is not whole."""
    client = ReplicaClient()
    headers = ((b"host", b"x"), (b"content-length", b"%d" % len(body)))
    try:
        async with client.call(
            address, method="POST", target=b"/", headers=headers, body=body
        ) as response:
            return await response.read(max_bytes=1_000)
    except ReplicaLost:
        return None


async def call_target(address, body):
    """Return the body of a target's answer, None if it is not whole."""
    client = TargetClient(address)
    headers = ((b"content-length", b"%d" % len(body)),)

    async def iterate_parts():
        for start in range(0, len(body), PART_BYTES):
            yield body[start : start + PART_BYTES]

    try:
        async with client.call(
            method="POST", path=b"/", headers=headers, body=iterate_parts()
        ) as response:
            return await response.aread()
    except TargetFailed:
        return None
    finally:
        await client.close()


@pytest.mark.parametrize("size", [200_000, 4_000_000, len(BODY)])
@pytest.mark.parametrize("call", [call_replica, call_target])
@pytest.mark.parametrize("name", ANSWERS)
def test_part_of_an_answer_that_is_reset_within_an_upload_is_not_whole(
    name, call, size
):
    """Guard against a reset that only the sending of a request sees."""
    answer = ANSWERS[name]

    async def main():
        with trio.fail_after(HANG_S):
            async with serve_early_answer(answer) as address:
                expected = PART if answer.is_whole else None
                assert await call(address, BODY[:size]) == expected

    trio.run(main)


@pytest.mark.parametrize("path", ["/status/7", "/bids/7", "/once/7", "/drafts/7"])
@pytest.mark.parametrize("name", ANSWERS)
def test_caller_that_uploads_gets_no_part_of_an_answer_as_whole(name, path):
    """Guard against the same through an entry, for requests of all kinds."""
    is_stream = path in ("/once/7", "/drafts/7")
    part, service = (EVENTS, "drafting") if is_stream else (PART, "checks")
    answer = make_early_answers(part)[name]
    limits = make_configuration(1)["limits"] | {"max-body-bytes": MAX_UPLOAD_BYTES}

    async def main():
        with trio.fail_after(HANG_S):
            async with open_direct() as site, serve_early_answer(answer) as address:
                site.store.put("op/config", make_configuration(2, limits=limits))
                replica = DirectReplica("i-1", answer_early, address)
                site.register(replica, service=service)
                await site.wait_until(
                    lambda: (
                        "i-1" in str(site.entry.feed.replicas)
                        and site.entry.feed.table.version == 2
                    )
                )
                try:
                    got = await site.call(path, body=BODY[:1_000_000], key=KEY)
                except ReplicaFailed:
                    assert not answer.is_whole
                    return
                if answer.is_whole:
                    assert (got.status, got.body) == (200, part)
                else:
                    assert got.status == 502

    trio.run(main)

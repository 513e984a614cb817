"""Test answers with neither a length nor chunks, which end with their connection."""

import struct

import pytest
import trio

from hyssopvane._internal.transport.replica_client import ReplicaFailed
from tests.lib.direct_installation import HANG_S, open_direct
from tests.lib.direct_replica import make_answer, make_event

EVENTS = b"".join(make_event(number) for number in (1, 2, 3))
RESET = struct.pack("ii", 1, 0)
"""Option of a socket that is closed with a reset."""

PLAIN, STREAM = "/bids/7", "/once/7"
"""Paths of requests that run once at most, so that no replica hides another's fault."""


def make_replica_behavior(body, *, reset=False):
    """Return a replica that sends a body and closes the connection."""

    async def behave(replica, stream, request):
        kind = "text/event-stream" if request.target == STREAM else "text/plain"
        answer = make_answer(request, body=b"", headers=(("Content-Type", kind),))
        head = answer.replace(b"Content-Length: 0\r\n", b"")
        assert head != answer
        await stream.send_all(head + body)
        if reset:
            # The entry reads what was sent before the reset discards it.
            await trio.sleep(0.05)
            stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET)
        return False

    return behave


def call(path, body, *, reset=False):
    """Return the answer that a caller gets, None if it is not whole."""

    async def main():
        with trio.fail_after(HANG_S):
            async with open_direct() as site:
                service = "drafting" if path == STREAM else "checks"
                behave = make_replica_behavior(body, reset=reset)
                await site.add_replica("i-1", behave, service=service)
                try:
                    return await site.call(path)
                except ReplicaFailed:
                    return None

    return trio.run(main)


@pytest.mark.parametrize(
    ("path", "body"),
    [(PLAIN, b"whole answer"), (PLAIN, b""), (STREAM, EVENTS)],
    ids=["plain", "empty", "stream"],
)
def test_answer_that_ends_with_its_connection_is_whole(path, body):
    """Guard against whole answers that are taken for broken ones."""
    answer = call(path, body)
    assert (answer.status, answer.body) == (200, body)
    assert answer.headers["x-response-signature"]


@pytest.mark.parametrize(
    ("path", "body", "reset"),
    [
        (PLAIN, b"half an ans", True),
        (STREAM, EVENTS, True),
        (STREAM, EVENTS + b"id: 4", False),
        (STREAM, EVENTS + b"id: 4\n", False),
        (STREAM, EVENTS + b"id: 4\ndata: tok", False),
        (STREAM, EVENTS + b"id: 4\ndata: token4\n", False),
        (STREAM, b"id: 1\ndata: tok", False),
    ],
    ids=[
        "plain-reset",
        "stream-reset",
        "in-id",
        "behind-id",
        "in-data",
        "before-blank-line",
        "in-first-event",
    ],
)
def test_answer_that_is_broken_off_does_not_look_whole(path, body, reset):
    """Guard against callers that take a part of an answer for all of it."""
    answer = call(path, body, reset=reset)
    assert answer is None or answer.status == 502

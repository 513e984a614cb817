"""Test how an agent runs requests with idempotency keys and keeps their answers."""

import hashlib
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
import trio
import trio.testing

from hyssopvane._internal.protocol.messages import (
    ANSWER_DROPPED,
    Broken,
    Chunk,
    End,
    Head,
    Refused,
)
from hyssopvane._internal.roles.kept_answer import MAX_ANSWER_BYTES, AnswerBudget
from hyssopvane._internal.roles.keyed_runs import KeyedRuns
from hyssopvane._internal.state.attempts import AttemptRegister
from hyssopvane._internal.state.decisions import DecisionLog
from tests.lib.keys import make_key
from tests.lib.peers import connect_pair, make_opening

BODY = b"a bid"
FIRST, SECOND = b"attempt1", b"attempt2"


class FakeResponse:
    """Yield an answer in two parts, the second one when the test allows it."""

    status = 200
    headers = ()

    def __init__(self, target):
        self.target = target

    async def aiter_stream(self):
        yield b"first, "
        await self.target.may_continue.wait()
        yield self.target.rest


class FakeTarget:
    """Record the bodies of calls."""

    def __init__(self):
        self.calls = []
        self.may_continue = trio.Event()
        self.rest = b"second"

    @asynccontextmanager
    async def call(self, *, method, path, headers, body):
        self.calls.append(body)
        yield FakeResponse(self)


def make_keyed_opening(key, attempt, **changes):
    return make_opening(
        attempt=attempt,
        key=key,
        body_digest=hashlib.sha256(BODY).digest(),
        key_window_s=600,
        **changes,
    )


@asynccontextmanager
async def run_agent():
    """Run the keyed part of an agent; yield its target and a function to connect."""
    target = FakeTarget()
    runs = KeyedRuns(
        register=AttemptRegister(1), target=target, decision_log=DecisionLog()
    )

    async def serve(stream, opening):
        await runs.serve(stream, opening, leaving=False)

    async with trio.open_nursery() as nursery:
        runs.start(nursery)
        yield target, lambda: connect_pair(serve)
        nursery.cancel_scope.cancel()


async def open_run(pair, opening, body=BODY):
    stream = pair.opener.open_stream(opening)
    await stream.send_data(body)
    stream.send(End())
    return stream


async def receive_all(stream):
    """Return the messages of an answer, with adjacent chunks joined."""
    messages = []
    while True:
        message = await stream.receive()
        if isinstance(message, Chunk) and messages and isinstance(messages[-1], Chunk):
            messages[-1] = Chunk(messages[-1].data + message.data)
        else:
            messages.append(message)
        if isinstance(message, End | Broken | Refused):
            return messages


def run_test(function):
    trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0.0))


@pytest.mark.parametrize(
    ("resume_from", "data"), [(0, b"first, second"), (7, b"second")]
)
def test_repeat_gets_the_answer_after_the_entry_died(resume_from, data):
    """Guard against a run that ends with its connection.

    The entry's connection is lost while the answer streams. The run continues, and the
    repeated request gets the answer from the byte that the caller has reached.
    """

    async def run():
        key = make_key()
        async with run_agent() as (target, connect):
            async with connect() as pair:
                stream = await open_run(pair, make_keyed_opening(key, FIRST))
                assert isinstance(await stream.receive(), Head)
                assert await stream.receive() == Chunk(b"first, ")
            async with connect() as pair:
                opening = make_keyed_opening(
                    key, FIRST, join=True, resume_from=resume_from
                )
                stream = pair.opener.open_stream(opening)
                target.may_continue.set()
                assert await receive_all(stream) == [Head(200, ()), Chunk(data), End()]
            assert target.calls == [BODY]

    run_test(run)


@pytest.mark.parametrize("leaver", ["joined", "first"])
def test_caller_that_leaves_a_joined_run_ends_only_its_own_part(leaver):
    """Guard against a relay that goes on, or a run that ends, after one of two left."""

    async def run():
        key = make_key()
        async with run_agent() as (target, connect), connect() as pair:
            first = await open_run(pair, make_keyed_opening(key, FIRST))
            assert isinstance(await first.receive(), Head)
            opening = make_keyed_opening(key, FIRST, join=True)
            joined = pair.opener.open_stream(opening)
            assert isinstance(await joined.receive(), Head)
            await trio.testing.wait_all_tasks_blocked()
            assert len(pair.accepter._serving) == 2
            leaving, staying = (
                (joined, first) if leaver == "joined" else (first, joined)
            )
            leaving.cancel()
            leaving.close()
            await trio.testing.wait_all_tasks_blocked()
            assert len(pair.accepter._serving) == 1
            target.may_continue.set()
            assert await receive_all(staying) == [Chunk(b"first, second"), End()]
            assert target.calls == [BODY]

    run_test(run)


def test_late_copy_of_an_attempt_with_a_tombstone_is_refused():
    """Guard against a bid that is made twice.

    A repeat joins an attempt whose opening has not arrived yet. It is refused, and its
    entry starts another attempt. The late opening must not start after that.
    """

    async def run():
        key = make_key()
        async with run_agent() as (target, connect), connect() as pair:
            target.may_continue.set()
            join = pair.opener.open_stream(make_keyed_opening(key, FIRST, join=True))
            assert await join.receive() == Refused("tombstone")
            late = await open_run(pair, make_keyed_opening(key, FIRST))
            assert await late.receive() == Refused("tombstone")
            assert target.calls == []
            anew = await open_run(pair, make_keyed_opening(key, SECOND))
            assert (await receive_all(anew))[-1] == End()
            third = await open_run(pair, make_keyed_opening(key, b"attempt3"))
            assert await third.receive() == Refused("key-held")
            assert target.calls == [BODY]

    run_test(run)


def test_entry_that_dies_within_the_body_leaves_nothing_running():
    """Guard against a partial bid at the target when the entry dies within the body."""

    async def run():
        key = make_key()
        async with run_agent() as (target, connect):
            async with connect() as pair:
                opening = make_keyed_opening(key, FIRST)
                await pair.opener.open_stream(opening).send_data(BODY[:2])
                await trio.testing.wait_all_tasks_blocked()
            async with connect() as pair:
                opening = make_keyed_opening(key, FIRST, join=True)
                stream = pair.opener.open_stream(opening)
                assert isinstance(await stream.receive(), Refused)
            assert target.calls == []

    run_test(run)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"incarnation": 2}, "wrong-incarnation"),
        ({"incarnation": 2, "join": True}, "wrong-incarnation"),
        ({"key_window_s": 0}, "key-expired"),
    ],
)
def test_attempt_that_may_not_start_is_refused(changes, reason):
    async def run():
        opening = replace(make_keyed_opening(make_key(age_s=1), FIRST), **changes)
        async with run_agent() as (target, connect), connect() as pair:
            stream = await open_run(pair, opening)
            assert await stream.receive() == Refused(reason)
            assert target.calls == []

    run_test(run)


def test_answer_that_is_no_longer_kept_is_reported():
    """A repeat gets an error when its answer was too large to keep without a reader."""

    async def run():
        key = make_key()
        async with run_agent() as (target, connect), connect() as pair:
            target.rest = b"x" * (MAX_ANSWER_BYTES + 1)
            stream = await open_run(pair, make_keyed_opening(key, FIRST))
            assert isinstance(await stream.receive(), Head)
            stream.close()
            pair.opener.close()
            await trio.testing.wait_all_tasks_blocked()
            target.may_continue.set()
            await trio.testing.wait_all_tasks_blocked()
            async with connect() as again:
                opening = make_keyed_opening(key, FIRST, join=True)
                stream = again.opener.open_stream(opening)
                assert (await receive_all(stream))[-1] == Broken(ANSWER_DROPPED)
            assert target.calls == [BODY]

    run_test(run)


def test_budget_drops_the_oldest_ended_answer_first():
    async def run():
        budget = AnswerBudget(max_bytes=100)
        running, ended, fresh = (budget.add(name) for name in (b"a", b"b", b"c"))
        await running.append(b"x" * 40)
        await ended.append(b"x" * 40)
        ended.finish(End())
        await fresh.append(b"x" * 40)
        assert [one.size for one in (running, ended, fresh)] == [40, 0, 40]

    run_test(run)

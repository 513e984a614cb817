"""Run requests with idempotency keys, apart from the connections they came by."""

import hashlib
import time
from dataclasses import dataclass

import trio

from hyssopvane._internal.exceptions import PeerLost
from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.policy.target_backoff import TargetBackoff
from hyssopvane._internal.protocol import headers
from hyssopvane._internal.protocol.idempotency import parse_key
from hyssopvane._internal.protocol.messages import (
    Broken,
    Chunk,
    End,
    Head,
    Open,
    Refused,
)
from hyssopvane._internal.roles.kept_answer import AnswerBudget, KeptAnswer
from hyssopvane._internal.roles.target_refusal import (
    find_refusal,
    make_refused,
    observe_backoff,
)
from hyssopvane._internal.state.attempts import AttemptRegister, CustomerKey
from hyssopvane._internal.state.decisions import DecisionLog, DecisionRecord
from hyssopvane._internal.transport.peer_connection import PeerStream
from hyssopvane._internal.transport.target_client import (
    TargetClient,
    TargetFailed,
    TargetUnreachable,
)

_EXPIRE_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class _Run:
    owner: CustomerKey
    body_digest: bytes
    answer: KeptAnswer


class KeyedRuns:
    """Hold the runs of one agent and give their answers to whoever repeats them."""

    def __init__(
        self,
        *,
        register: AttemptRegister,
        target: TargetClient,
        memory: DecisionLog,
        rest: TargetBackoff | None = None,
    ) -> None:
        self._register = register
        self._target = target
        self._memory = memory
        self._rest = TargetBackoff() if rest is None else rest
        self._budget = AnswerBudget()
        self._runs: dict[bytes, _Run] = {}
        self._nursery: trio.Nursery | None = None
        self._busy = 0
        self._idle = trio.Event()

    @property
    def busy(self) -> int:
        """Return the number of runs and of answers being given."""
        return self._busy

    def start(self, nursery: trio.Nursery) -> None:
        """Run requests in a nursery that outlives their connections."""
        self._nursery = nursery
        nursery.start_soon(self._expire)

    async def wait_idle(self) -> None:
        """Wait until no run is in progress and no answer is being given."""
        while self._busy:
            self._idle = trio.Event()
            await self._idle.wait()

    async def serve(self, stream: PeerStream, opening: Open, *, leaving: bool) -> None:
        """Start or join the run of a key and give its answer to the stream."""
        refusal: AgentRefusal | None = None
        self._begin_work()
        try:
            owner = _read_owner(opening)
            if opening.join:
                refusal = await self._join(stream, opening, owner)
            else:
                refusal = self._accept(opening, owner, leaving=leaving)
                if refusal is None:
                    await self._receive_and_run(stream, opening, owner)
            if refusal is not None:
                self._record(opening, "refused", refusal.value)
                stream.send(make_refused(refusal, self._rest))
        finally:
            self._end_work()

    def _accept(
        self, opening: Open, owner: CustomerKey, *, leaving: bool
    ) -> AgentRefusal | None:
        now = time.time()
        why = find_refusal(self._rest, leaving=leaving)
        if why is not None and opening.incarnation == self._register.incarnation:
            told = self._register.add_tombstone(opening.attempt, owner=owner, now=now)
            return why if told.proves_not_run else told
        return self._register.accept(
            opening.attempt, incarnation=opening.incarnation, owner=owner, now=now
        )

    async def _join(
        self, stream: PeerStream, opening: Open, owner: CustomerKey
    ) -> AgentRefusal | None:
        if opening.incarnation != self._register.incarnation:
            return AgentRefusal.WRONG_INCARNATION
        run = self._runs.get(opening.attempt)
        if run is None:
            return self._register.add_tombstone(
                opening.attempt, owner=owner, now=time.time()
            )
        if run.owner.name != owner.name or run.body_digest != opening.body_digest:
            # Two keys whose hashes meet in the claims: neither may get the other's
            # answer.
            return AgentRefusal.KEY_OTHER
        self._record(opening, "joined", f"from byte {opening.resume_from}")
        await run.answer.relay(stream, resume_from=opening.resume_from)
        return None

    async def _receive_and_run(
        self, stream: PeerStream, opening: Open, owner: CustomerKey
    ) -> None:
        answer = self._budget.add(opening.attempt)
        self._runs[opening.attempt] = _Run(owner, opening.body_digest, answer)
        try:
            body = await _receive_body(stream, opening)
        except BaseException:
            # The entry died or gave up before the body was whole; nothing has reached
            # the target, and now nothing will.
            self._register.add_tombstone(opening.attempt, owner=owner, now=time.time())
            answer.finish(Refused(AgentRefusal.CANCELLED.value))
            raise
        if not self._register.start(opening.attempt):
            answer.finish(Refused(AgentRefusal.TOMBSTONE.value))
        else:
            assert self._nursery is not None
            # Not in the connection's nursery: an entry that dies takes its connections
            # with it, and the caller comes back for this answer by another entry.
            self._begin_work()
            self._nursery.start_soon(self._run, opening, body, answer)
        await answer.relay(stream, resume_from=opening.resume_from)

    async def _run(self, opening: Open, body: bytes, answer: KeptAnswer) -> None:
        self._record(opening, "started", "the key is claimed for this attempt")
        try:
            await self._call_target(opening, body, answer)
        except TargetUnreachable as error:
            # The connection was never made, so the target can't have seen the request.
            self._register.revert_start(opening.attempt)
            self._record(opening, "refused", f"target unreachable: {error}")
            answer.finish(Refused(AgentRefusal.TARGET_UNREACHABLE.value))
        except TargetFailed as error:
            self._record(opening, "broken", str(error))
            answer.finish(Broken(str(error)))
        else:
            self._record(opening, "answered", "the target's answer is whole")
            answer.finish(End())
        finally:
            if not answer.ended:
                answer.finish(Broken("the agent was stopped"))
            self._end_work()

    async def _call_target(
        self, opening: Open, body: bytes, answer: KeptAnswer
    ) -> None:
        async with self._target.call(
            method=opening.method,
            path=opening.path,
            headers=opening.headers,
            body=body,
        ) as response:
            observe_backoff(self._rest, response)
            fields = headers.select_for_caller(tuple(response.headers))
            answer.begin(Head(response.status, fields))
            async for data in response.aiter_stream():
                await answer.append(data)

    async def _expire(self) -> None:
        while True:
            await trio.sleep(_EXPIRE_INTERVAL_S)
            for attempt in self._register.expire(now=time.time()):
                self._budget.remove(attempt)
                self._runs.pop(attempt, None)

    def _begin_work(self) -> None:
        self._busy += 1

    def _end_work(self) -> None:
        self._busy -= 1
        if not self._busy:
            self._idle.set()

    def _record(self, opening: Open, decision: str, why: str) -> None:
        self._memory.record(
            opening.request_id, DecisionRecord(time.time(), decision, why)
        )


def _read_owner(opening: Open) -> CustomerKey:
    key = parse_key(opening.key)
    if key is None:
        raise PeerLost("the entry sent a malformed key", context=opening.key)
    return CustomerKey(
        opening.customer, opening.key, key.created_at, float(opening.key_window_s)
    )


async def _receive_body(stream: PeerStream, opening: Open) -> bytes:
    parts: list[bytes] = []
    while not isinstance(message := await stream.receive(), End):
        if not isinstance(message, Chunk):
            raise PeerLost("the entry sent something else than a body")
        parts.append(message.data)
    body = b"".join(parts)
    if hashlib.sha256(body).digest() != opening.body_digest:
        # The answer would be another request's, and the key would be spent on it.
        raise PeerLost("the body is not the one that was announced")
    return body

"""Run requests with idempotency keys independently of their connections."""

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
    """Hold the keyed runs of one agent and send their answers to repeated requests."""

    def __init__(
        self,
        *,
        register: AttemptRegister,
        target: TargetClient,
        decision_log: DecisionLog,
        backoff: TargetBackoff | None = None,
    ) -> None:
        self._register = register
        self._target = target
        self._decision_log = decision_log
        self._backoff = TargetBackoff() if backoff is None else backoff
        self._budget = AnswerBudget()
        self._runs: dict[bytes, _Run] = {}
        self._nursery: trio.Nursery | None = None
        self._active_count = 0
        self._idle = trio.Event()

    @property
    def active_count(self) -> int:
        """Return the number of running requests and of streams being served."""
        return self._active_count

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery for runs, which outlives connections, and start expiry."""
        self._nursery = nursery
        nursery.start_soon(self._expire)

    async def wait_idle(self) -> None:
        """Wait until no request is running and no stream is being served."""
        while self._active_count:
            self._idle = trio.Event()
            await self._idle.wait()

    async def serve(self, stream: PeerStream, opening: Open, *, leaving: bool) -> None:
        """Start or join the run of a key and relay its answer to the stream."""
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
                stream.send(make_refused(refusal, self._backoff))
        finally:
            self._end_work()

    def _accept(
        self, opening: Open, owner: CustomerKey, *, leaving: bool
    ) -> AgentRefusal | None:
        now = time.time()
        why = find_refusal(self._backoff, leaving=leaving)
        if why is not None and opening.incarnation == self._register.incarnation:
            tombstone_refusal = self._register.add_tombstone(
                opening.attempt, owner=owner, now=now
            )
            return why if tombstone_refusal.proves_not_run else tombstone_refusal
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
            # The hashes of two keys collide in the claims: neither may get the answer
            # of the other.
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
            # The entry died or cancelled before the body was complete. The target got
            # nothing, and the tombstone prevents a later start.
            self._register.add_tombstone(opening.attempt, owner=owner, now=time.time())
            answer.finish(Refused(AgentRefusal.CANCELLED.value))
            raise
        if not self._register.start(opening.attempt):
            answer.finish(Refused(AgentRefusal.TOMBSTONE.value))
        else:
            assert self._nursery is not None
            # Not in the connection's nursery: when an entry dies, its connections end,
            # and the caller retries through another entry to get this answer.
            self._begin_work()
            self._nursery.start_soon(self._run, opening, body, answer)
        await answer.relay(stream, resume_from=opening.resume_from)

    async def _run(self, opening: Open, body: bytes, answer: KeptAnswer) -> None:
        self._record(opening, "started", "the key is claimed for this attempt")
        try:
            await self._call_target(opening, body, answer)
        except TargetUnreachable as error:
            # No connection was established, so the target never received the request.
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
            observe_backoff(self._backoff, response)
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
        self._active_count += 1

    def _end_work(self) -> None:
        self._active_count -= 1
        if not self._active_count:
            self._idle.set()

    def _record(self, opening: Open, decision: str, why: str) -> None:
        self._decision_log.record(
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
            raise PeerLost("the entry sent another message instead of the body")
        parts.append(message.data)
    await stream.connection.wait_until_current()
    body = b"".join(parts)
    if hashlib.sha256(body).digest() != opening.body_digest:
        # Otherwise the key would be used up for the answer to a different request.
        raise PeerLost("the body doesn't match the digest in the opening")
    return body

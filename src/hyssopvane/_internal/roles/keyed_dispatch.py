"""Run requests with idempotency keys."""

import secrets
import time
from abc import ABC, abstractmethod

import trio

from hyssopvane._internal.coordination.claim_pages import ChangeStatus
from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.models.refusals import (
    AgentRefusal,
    Outcome,
    Refusal,
    RefusalReason,
)
from hyssopvane._internal.policy.keyed_request import (
    Join,
    KeyedRequest,
    Place,
    ReadClaim,
    Refuse,
    Send,
    Step,
    Write,
)
from hyssopvane._internal.protocol.idempotency import IdempotencyKey
from hyssopvane._internal.protocol.messages import ANSWER_DROPPED
from hyssopvane._internal.roles.call import (
    AnswerCut,
    CallerRequest,
    ReplyWriter,
    make_opening,
)
from hyssopvane._internal.roles.claim_router import ClaimRouter
from hyssopvane._internal.roles.exchange import (
    Answered,
    ExchangeEnd,
    Failed,
    Lost,
    NotStarted,
    exchange,
)
from hyssopvane._internal.roles.peer_pool import PeerPool
from hyssopvane._internal.state.claims import (
    ATTEMPT_BYTES,
    Claim,
    make_claim_key,
    truncate_digest,
)
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Placed,
    WorkRequest,
)
from hyssopvane._internal.transport.peer_connection import PeerConnection

FIRST_ATTEMPT_MAX_AGE_S = 2.0
"""Age below which a key is assumed to be on its first attempt.

The claim of such a key is written without a read before. At 870 keyed requests a second
this avoids nearly all reads; a repeat within this time is detected by the write.
"""

RECONNECT_TIMEOUT_S = 5.0
"""Time to wait for a reconnection; longer than the silence that closes a connection."""

_RECONNECT_POLL_INTERVAL_S = 0.1
_VOID_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0


class Placer(ABC):
    """Place requests at targets."""

    @abstractmethod
    async def submit(self, work: WorkRequest) -> Placed | Refusal:
        """Wait until the request is placed or refused."""

    @abstractmethod
    async def finish(
        self, work: WorkRequest, report: AttemptReport
    ) -> Placed | Refusal | None:
        """Release the place after an attempt; wait for another one if it is retried."""

    @abstractmethod
    def withdraw(self, work: WorkRequest) -> None:
        """Remove the request from the queue and release its place."""

    @abstractmethod
    def record(self, request_id: str, decision: str, why: str) -> None:
        """Record a decision for operators."""


class KeyedDispatch:
    """Run one request with an idempotency key."""

    def __init__(
        self,
        request: CallerRequest,
        reply: ReplyWriter,
        *,
        key: IdempotencyKey,
        placer: Placer,
        pool: PeerPool,
        claims: ClaimRouter,
    ) -> None:
        self._request = request
        self._work = request.work
        self._reply = reply
        self._key = key
        self._placer = placer
        self._pool = pool
        self._claims = claims
        self._claim_key = make_claim_key(self._work.customer, key.text, key.created_at)
        self._flow = KeyedRequest(
            self._claim_key, truncate_digest(self._work.body_digest)
        )
        self._placed = False

    async def run(self) -> Refusal | None:
        """Run the request; return the refusal, or `None` after an answer."""
        old = self._key.get_age(time.time()) > FIRST_ATTEMPT_MAX_AGE_S
        step = self._flow.begin(look=old)
        while True:
            if isinstance(step, Refuse):
                self._release_place()
                return self._refuse_or_cut(step.refusal)
            if isinstance(step, Send | Join):
                end = await self._exchange(step)
                if isinstance(end, Answered):
                    await self._report_answer(end)
                    return None
                if isinstance(end, Failed) and self._placed:
                    await self._report_failure()
                step = self._handle_end(step, end)
            else:
                step = await self._prepare(step)

    async def _report_failure(self) -> None:
        # The body may have crashed the target; the scheduler counts such failures.
        report = AttemptReport(AttemptResult.BROKEN, "target-broken", final=True)
        await self._placer.finish(self._work, report)
        self._placed = False

    async def _prepare(self, step: ReadClaim | Place | Write) -> Step:
        if isinstance(step, ReadClaim):
            return await self._read_claim()
        if isinstance(step, Place):
            return await self._request_place()
        return await self._write(step)

    async def _read_claim(self) -> Step:
        try:
            with trio.move_on_at(self._work.deadline):
                claim = await self._claims.find(self._claim_key)
                return self._flow.handle_claim(claim)
        except HyssopvaneError as error:
            return self._flow.handle_write_failure(error.message)
        return self._flow.handle_write_failure("the claim was not read in time")

    async def _request_place(self) -> Step:
        if self._placed:
            report = AttemptReport(AttemptResult.NOT_STARTED, "not-started")
            decision = await self._placer.finish(self._work, report)
        else:
            decision = await self._placer.submit(self._work)
        self._placed = isinstance(decision, Placed)
        if isinstance(decision, Placed):
            return self._flow.handle_target(
                decision.target, decision.incarnation, _make_attempt()
            )
        refusal = decision or Refusal(
            RefusalReason.RETRIES_SPENT, Outcome.NOT_RUN, _RETRY_AFTER_S
        )
        return self._flow.handle_no_target(refusal, attempt=_make_attempt())

    async def _write(self, step: Write) -> Step:
        deadline = self._work.deadline
        if step.change.claim.void:
            # A claim is often made void because the deadline has passed. A definite
            # outcome shortly after the deadline is better for the caller.
            deadline = max(deadline, trio.current_time() + _VOID_TIMEOUT_S)
        with trio.move_on_at(deadline):
            result = await self._claims.change(step.change)
            if result.status is ChangeStatus.KNOWN:
                next_step = self._flow.handle_written(result.claim)
                if not isinstance(next_step, Send):
                    self._release_place()
                return next_step
            if result.status is ChangeStatus.EXPIRED:
                return Refuse(Refusal(RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN))
            return self._flow.handle_write_failure(
                "the key-value service is out; the claim is not confirmed"
            )
        return self._flow.handle_write_failure("the claim was not confirmed in time")

    async def _exchange(self, step: Send | Join) -> ExchangeEnd:
        claim = step.claim
        join = isinstance(step, Join)
        if join:
            connection = await self._wait_for_connection(claim)
        else:
            connection = self._get_connection(claim)
        if connection is None:
            if join:
                return Lost("no connection to the agent that holds the key")
            return NotStarted(AgentRefusal.NOT_CONNECTED)
        self._placer.record(
            self._work.request_id, "joined" if join else "claimed", claim.target
        )
        opening = make_opening(
            self._request,
            attempt=claim.attempt.to_bytes(ATTEMPT_BYTES),
            incarnation=claim.incarnation,
            join=join,
            resume_from=self._reply.sent_bytes,
        )
        return await exchange(
            connection,
            opening,
            body=b"" if join else self._request.body,
            reply=self._reply,
            presence=self._request.presence,
            deadline=self._work.deadline,
        )

    def _handle_end(self, step: Send | Join, end: ExchangeEnd) -> Step:
        if isinstance(end, NotStarted):
            return self._flow.handle_agent_refusal(
                end.reason, joined=isinstance(step, Join)
            )
        if isinstance(end, Lost):
            if isinstance(step, Send) or self._pool.get_connection(step.claim.target):
                return self._flow.handle_lost_connection()
            return Refuse(
                Refusal(
                    RefusalReason.TARGET_LOST,
                    Outcome.UNKNOWN,
                    _RETRY_AFTER_S,
                    detail=end.why,
                )
            )
        if isinstance(end, Failed):
            if end.why == ANSWER_DROPPED:
                return Refuse(Refusal(RefusalReason.ANSWER_DROPPED, Outcome.RAN))
            return Refuse(
                Refusal(RefusalReason.TARGET_BROKEN, Outcome.UNKNOWN, detail=end.why)
            )
        detail = "the same key, sent again, gets the answer if it comes"
        return Refuse(
            Refusal(RefusalReason.DEADLINE_PASSED, Outcome.UNKNOWN, detail=detail)
        )

    async def _wait_for_connection(self, claim: Claim) -> PeerConnection | None:
        """Wait for a connection, since a silent one is closed and opened again."""
        with trio.move_on_at(
            min(self._work.deadline, trio.current_time() + RECONNECT_TIMEOUT_S)
        ):
            while True:
                connection = self._get_connection(claim)
                if connection is not None:
                    return connection
                await trio.sleep(_RECONNECT_POLL_INTERVAL_S)
        return None

    def _get_connection(self, claim: Claim) -> PeerConnection | None:
        connection = self._pool.get_connection(claim.target)
        return None if connection is None or connection.lost else connection

    async def _report_answer(self, end: Answered) -> None:
        if self._placed:
            report = AttemptReport(AttemptResult.ANSWERED, latency_s=end.latency_s)
            self._placed = False
            await self._placer.finish(self._work, report)

    def _release_place(self) -> None:
        if self._placed:
            self._placed = False
            self._placer.withdraw(self._work)

    def _refuse_or_cut(self, refusal: Refusal) -> Refusal:
        if self._reply.started:
            raise AnswerCut(refusal.reason.value)
        return refusal


def _make_attempt() -> int:
    return secrets.randbits(8 * ATTEMPT_BYTES - 1) + 1

"""Run callers' requests as the scheduler decides."""

import secrets
import time
from dataclasses import replace

import trio

from hyssopvane._internal.models.refusals import (
    AgentRefusal,
    Outcome,
    Refusal,
    RefusalReason,
)
from hyssopvane._internal.policy.scheduler import Scheduler
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
from hyssopvane._internal.roles.keyed_dispatch import KeyedDispatch, Placer
from hyssopvane._internal.roles.peer_pool import PeerPool
from hyssopvane._internal.state.claims import ATTEMPT_BYTES
from hyssopvane._internal.state.decisions import DecisionLog, DecisionRecord
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Decision,
    Placed,
    Waiting,
    WorkRequest,
)
from hyssopvane._internal.utils.metrics import Metrics

_RETRY_AFTER_S = 1.0


class Dispatcher(Placer):
    """Run requests: wait for a target, send, relay the answer, retry where allowed."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        pool: PeerPool,
        metrics: Metrics,
        decision_log: DecisionLog,
        claims: ClaimRouter,
    ) -> None:
        self._scheduler = scheduler
        self._pool = pool
        self._metrics = metrics
        self._decision_log = decision_log
        self._claims = claims
        self._waiting: dict[str, trio.MemorySendChannel[Decision]] = {}

    async def run(self, request: CallerRequest, reply: ReplyWriter) -> None:
        """Run a request and send its answer or refusal; withdraw it when cancelled."""
        request_id = request.work.request_id
        try:
            refusal = await self._run(request, reply)
        except AnswerCut:
            self._metrics.count_event("answer-cut")
            self.withdraw(request.work)
            raise
        except BaseException:
            self.withdraw(request.work)
            raise
        if refusal is not None:
            self.record(request_id, "refused", refusal.reason.value)
            self._metrics.count_refusal(refusal.reason.value)
            await reply.send_refusal(refusal)

    def deliver_decisions(self) -> None:
        """Pass the scheduler's new decisions to the waiting requests."""
        for request_id, decision in self._scheduler.collect(now=trio.current_time()):
            channel = self._waiting.pop(request_id, None)
            if channel is not None:
                channel.send_nowait(decision)

    async def watch_deadlines(self, *, interval_s: float) -> None:
        """Deliver decisions periodically, so that passed deadlines are reported."""
        while True:
            await trio.sleep(interval_s)
            self.deliver_decisions()

    async def submit(self, work: WorkRequest) -> Placed | Refusal:
        return await self._await_decision(
            work, self._scheduler.submit(work, now=trio.current_time())
        )

    async def finish(
        self, work: WorkRequest, report: AttemptReport
    ) -> Placed | Refusal | None:
        decision = self._scheduler.finish(
            work.request_id, report, now=trio.current_time()
        )
        self.deliver_decisions()
        if decision is None:
            return None
        self._metrics.count_retry(report.reason or report.result.value)
        self.record(work.request_id, "retried", report.reason)
        return await self._await_decision(work, decision)

    def withdraw(self, work: WorkRequest) -> None:
        self._scheduler.withdraw(work.request_id)
        self.deliver_decisions()

    def record(self, request_id: str, decision: str, why: str) -> None:
        self._decision_log.record(
            request_id, DecisionRecord(time.time(), decision, why)
        )

    async def _run(self, request: CallerRequest, reply: ReplyWriter) -> Refusal | None:
        if request.key is None:
            return await self._run_attempts(request, reply)
        keyed = KeyedDispatch(
            request,
            reply,
            key=request.key,
            placer=self,
            pool=self._pool,
            claims=self._claims,
        )
        return await keyed.run()

    async def _run_attempts(
        self, request: CallerRequest, reply: ReplyWriter
    ) -> Refusal | None:
        work = request.work
        decision: Placed | Refusal | None = await self.submit(work)
        refusal: Refusal | None = None
        while isinstance(decision, Placed):
            end = await self._attempt(request, decision, reply)
            if reply.started and not isinstance(end, Answered):
                # A truncated answer that looks complete would reach a family as the
                # final history, so the connection is closed and the client sees an
                # error. The scheduler still gets a report, since a body may crash its
                # target even after the first token.
                report = replace(_make_report(end)[0], final=True)
                await self.finish(work, report)
                raise AnswerCut(_describe_end(end))
            report, refusal = _make_report(end)
            decision = await self.finish(work, report)
        return refusal if decision is None else decision

    async def _await_decision(
        self, work: WorkRequest, decision: Decision
    ) -> Placed | Refusal:
        if isinstance(decision, Waiting):
            decision = await self._wait(work.request_id, work.deadline)
        assert not isinstance(decision, Waiting)
        if isinstance(decision, Placed):
            where = f"{decision.target} #{decision.attempt}"
            self.record(work.request_id, "placed", where)
        return decision

    async def _wait(self, request_id: str, deadline: float) -> Decision:
        sender, receiver = trio.open_memory_channel[Decision](1)
        self._waiting[request_id] = sender
        self.record(request_id, "queued", "no target has a free place")
        try:
            with trio.move_on_at(deadline):
                return await receiver.receive()
            self.deliver_decisions()
            return receiver.receive_nowait()
        finally:
            self._waiting.pop(request_id, None)

    async def _attempt(
        self, request: CallerRequest, placed: Placed, reply: ReplyWriter
    ) -> ExchangeEnd:
        connection = self._pool.get_connection(placed.target)
        if connection is None:
            return NotStarted(AgentRefusal.NOT_CONNECTED)
        opening = make_opening(
            request,
            attempt=secrets.token_bytes(ATTEMPT_BYTES),
            incarnation=placed.incarnation,
        )
        return await exchange(
            connection,
            opening,
            body=request.body,
            reply=reply,
            presence=request.presence,
            deadline=request.work.deadline,
        )


def _make_report(end: ExchangeEnd) -> tuple[AttemptReport, Refusal | None]:
    """Return the report to the scheduler and the refusal if there is no retry."""
    if isinstance(end, Answered):
        report = AttemptReport(AttemptResult.ANSWERED, latency_s=end.latency_s)
        return report, None
    if isinstance(end, NotStarted) and end.reason.proves_not_run:
        full = end.reason is AgentRefusal.TARGET_FULL
        return (
            AttemptReport(
                AttemptResult.NOT_STARTED,
                end.reason.value,
                retry_after_s=0.0 if full else end.retry_after_s,
                backoff_s=end.retry_after_s if full else 0.0,
            ),
            Refusal(RefusalReason.NO_TARGET, Outcome.NOT_RUN, _RETRY_AFTER_S),
        )
    if isinstance(end, Failed):
        return (
            AttemptReport(AttemptResult.BROKEN, "target-broken"),
            Refusal(RefusalReason.TARGET_BROKEN, Outcome.UNKNOWN, detail=end.why),
        )
    if isinstance(end, Lost | NotStarted):
        return (
            AttemptReport(AttemptResult.LOST, "connection-lost"),
            Refusal(
                RefusalReason.TARGET_LOST, Outcome.UNKNOWN, detail=_describe_end(end)
            ),
        )
    return (
        AttemptReport(AttemptResult.CANCELLED, "deadline"),
        Refusal(RefusalReason.DEADLINE_PASSED, Outcome.UNKNOWN),
    )


def _describe_end(end: ExchangeEnd) -> str:
    if isinstance(end, Failed | Lost):
        return end.why
    if isinstance(end, NotStarted):
        return end.reason.value
    return "the deadline passed"

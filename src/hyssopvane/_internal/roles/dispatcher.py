"""Carry out the scheduler's decisions about callers' requests."""

import os
import time
from functools import partial

import trio

from hyssopvane._internal.exceptions import PeerLost
from hyssopvane._internal.models.refusals import (
    AgentRefusal,
    Outcome,
    Refusal,
    RefusalReason,
)
from hyssopvane._internal.policy.scheduler import Scheduler
from hyssopvane._internal.protocol import headers
from hyssopvane._internal.protocol.messages import (
    Broken,
    Cancel,
    Chunk,
    End,
    Head,
    Message,
    Open,
    Refused,
)
from hyssopvane._internal.roles.call import AnswerCut, CallerRequest, ReplyWriter
from hyssopvane._internal.roles.peer_pool import PeerPool
from hyssopvane._internal.state.decisions import DecisionMemory, DecisionRecord
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Decision,
    Placed,
    Waiting,
)
from hyssopvane._internal.transport.peer_connection import PeerStream
from hyssopvane._internal.utils.metrics import Metrics

_ATTEMPT_ID_BYTES = 16
_MILLISECONDS = 1_000


class Dispatcher:
    """Run requests: wait for a place, send, relay the answer, retry where allowed."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        pool: PeerPool,
        metrics: Metrics,
        memory: DecisionMemory,
    ) -> None:
        self._scheduler = scheduler
        self._pool = pool
        self._metrics = metrics
        self._memory = memory
        self._waiting: dict[str, trio.MemorySendChannel[Decision]] = {}

    async def run(self, request: CallerRequest, reply: ReplyWriter) -> None:
        """Run a request and write its answer; withdraw it when cancelled."""
        request_id = request.work.request_id
        try:
            refusal = await self._run_attempts(request, reply)
        except BaseException:
            self._scheduler.withdraw(request_id)
            self.settle()
            raise
        if refusal is not None:
            self._record(request_id, "refused", refusal.reason.value)
            self._metrics.count_refusal(refusal.reason.value)
            await reply.send_refusal(refusal)

    def settle(self) -> None:
        """Wake the waiting requests about which there is a new decision."""
        for request_id, decision in self._scheduler.collect(now=trio.current_time()):
            channel = self._waiting.pop(request_id, None)
            if channel is not None:
                channel.send_nowait(decision)

    async def watch_deadlines(self, *, interval_s: float) -> None:
        """Settle at an interval, so that a passed deadline is told at once."""
        while True:
            await trio.sleep(interval_s)
            self.settle()

    async def _run_attempts(
        self, request: CallerRequest, reply: ReplyWriter
    ) -> Refusal | None:
        work = request.work
        decision: Decision | None = self._scheduler.submit(
            work, now=trio.current_time()
        )
        while True:
            if isinstance(decision, Waiting):
                decision = await self._wait(work.request_id, work.deadline)
            if isinstance(decision, Refusal):
                return decision
            assert isinstance(decision, Placed)
            self._record(
                work.request_id, "placed", f"{decision.target} #{decision.attempt}"
            )
            report, refusal = await self._attempt(request, decision, reply)
            decision = self._scheduler.finish(
                work.request_id, report, now=trio.current_time()
            )
            self.settle()
            if decision is None:
                return refusal
            self._metrics.count_retry(report.reason or report.result.value)
            self._record(work.request_id, "retried", report.reason)

    async def _wait(self, request_id: str, deadline: float) -> Decision:
        sender, receiver = trio.open_memory_channel[Decision](1)
        self._waiting[request_id] = sender
        self._record(request_id, "queued", "no target has a free place")
        try:
            with trio.move_on_at(deadline):
                return await receiver.receive()
            self.settle()
            return receiver.receive_nowait()
        finally:
            self._waiting.pop(request_id, None)

    async def _attempt(
        self, request: CallerRequest, placed: Placed, reply: ReplyWriter
    ) -> tuple[AttemptReport, Refusal | None]:
        connection = self._pool.get_connection(placed.target)
        if connection is None:
            return _report_not_started("not-connected")
        started_at = trio.current_time()
        try:
            stream = connection.open_stream(self._make_opening(request, placed))
        except PeerLost:
            return _report_not_started("not-connected")
        finished = False
        try:
            with trio.move_on_at(request.work.deadline):
                result = await self._exchange(stream, request, reply, started_at)
                finished = True
                return result
            return self._report_deadline(reply)
        finally:
            if not finished:
                stream.send(Cancel())
            stream.close()

    def _make_opening(self, request: CallerRequest, placed: Placed) -> Open:
        remaining_s = request.work.deadline - trio.current_time()
        return Open(
            request_id=request.work.request_id,
            attempt=os.urandom(_ATTEMPT_ID_BYTES),
            incarnation=placed.incarnation,
            customer=request.work.customer,
            method=request.method,
            path=request.path,
            headers=headers.select_for_target(
                request.headers, request_id=request.work.request_id
            )
            + ((b"content-length", str(len(request.body)).encode()),),
            deadline_ms=max(0, int(remaining_s * _MILLISECONDS)),
            key=request.key,
            body_digest=request.work.body_digest,
        )

    async def _exchange(
        self,
        stream: PeerStream,
        request: CallerRequest,
        reply: ReplyWriter,
        started_at: float,
    ) -> tuple[AttemptReport, Refusal | None]:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(_send_body, stream, request.body))
            try:
                first = await stream.receive()
            except PeerLost as error:
                nursery.cancel_scope.cancel()
                return (
                    AttemptReport(AttemptResult.LOST, "connection-lost"),
                    Refusal(
                        RefusalReason.TARGET_LOST, Outcome.UNKNOWN, detail=str(error)
                    ),
                )
            latency_s = trio.current_time() - started_at
            if isinstance(first, Head):
                await self._relay(stream, first, reply)
                nursery.cancel_scope.cancel()
                return (
                    AttemptReport(AttemptResult.ANSWERED, latency_s=latency_s),
                    None,
                )
            nursery.cancel_scope.cancel()
            return _report_failure(first)

    async def _relay(self, stream: PeerStream, head: Head, reply: ReplyWriter) -> None:
        await reply.send_head(head)
        while True:
            try:
                message: Message = await stream.receive()
            except PeerLost as error:
                message = Broken(str(error))
            if isinstance(message, Chunk):
                await reply.send_data(message.data)
            elif isinstance(message, End):
                await reply.send_end()
                return
            else:
                # A short answer that looks whole would reach a family as the final
                # history. Cutting the connection lets the caller's client see it.
                why = message.reason if isinstance(message, Broken) else "unexpected"
                self._metrics.count_event("answer-cut")
                raise AnswerCut(why)

    def _report_deadline(
        self, reply: ReplyWriter
    ) -> tuple[AttemptReport, Refusal | None]:
        if reply.started:
            self._metrics.count_event("answer-cut")
            raise AnswerCut("the deadline passed")
        return (
            AttemptReport(AttemptResult.CANCELLED, "deadline"),
            Refusal(RefusalReason.DEADLINE_PASSED, Outcome.UNKNOWN),
        )

    def _record(self, request_id: str, decision: str, why: str) -> None:
        self._memory.record(request_id, DecisionRecord(time.time(), decision, why))


async def _send_body(stream: PeerStream, body: bytes) -> None:
    try:
        await stream.send_data(body)
        stream.send(End())
    except PeerLost:
        # The receiving side meets the same loss and reports it.
        return


def _report_not_started(reason: str) -> tuple[AttemptReport, Refusal | None]:
    return (
        AttemptReport(AttemptResult.NOT_STARTED, reason),
        Refusal(RefusalReason.NO_TARGET, Outcome.NOT_RUN, retry_after_s=1.0),
    )


def _report_failure(message: Message) -> tuple[AttemptReport, Refusal | None]:
    if isinstance(message, Refused):
        report, refusal = _report_not_started(AgentRefusal(message.reason).value)
        return report, refusal
    why = message.reason if isinstance(message, Broken) else "unexpected message"
    return (
        AttemptReport(AttemptResult.BROKEN, "target-broken"),
        Refusal(RefusalReason.TARGET_BROKEN, Outcome.UNKNOWN, detail=why),
    )

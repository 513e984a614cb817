"""Decide where and when each request of an entry runs."""

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.policy.attempts import AttemptPlanner
from hyssopvane._internal.policy.retries import RetryAt
from hyssopvane._internal.state.table import Table
from hyssopvane._internal.state.work import (
    AttemptReport,
    Decision,
    LoadReport,
    Placed,
    TargetInfo,
    Waiting,
    WorkRequest,
)

_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _Request:
    request: WorkRequest


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limit the work of one service."""

    queue_limit: int = 1000


class Scheduler:
    """Hold the queue and the targets of one entry; the caller brings the clock."""

    def __init__(self, *, random: Random, availability_zone: str = "") -> None:
        self.planner = AttemptPlanner(
            random=random, availability_zone=availability_zone
        )
        self._requests: dict[str, _Request] = {}
        self._queue: OrderedDict[str, None] = OrderedDict()
        self._limits = ServiceLimits()
        self._now = 0.0

    def apply_table(self, table: Table) -> None:
        """Put the weights and limits of a table in force."""
        self.planner.apply_table(table)

    def connect_target(self, info: TargetInfo) -> None:
        """Start to place work on a target."""
        self.planner.connect(info, now=self._now)

    def disconnect_target(self, name: str) -> None:
        """Stop to place work on a target."""
        self.planner.disconnect(name)

    def observe_load(self, name: str, report: LoadReport) -> None:
        """Take note of what a target's agent reports."""
        self.planner.observe_load(name, report, now=self._now)

    def submit(self, request: WorkRequest, *, now: float) -> Decision:
        """Place, queue or refuse a new request."""
        self._now = now
        if now >= request.deadline:
            return Refusal(RefusalReason.DEADLINE_UNREACHABLE, Outcome.NOT_RUN)
        if not self.planner.placer.has_target(request.service):
            return Refusal(RefusalReason.NO_TARGET, Outcome.NOT_RUN, _RETRY_AFTER_S)
        refusal = self.planner.admit(request, now=now)
        if refusal is not None:
            return refusal
        entry = self._requests[request.request_id] = _Request(request)
        placed = self._place(entry, now=now)
        if placed is not None:
            return placed
        if len(self._queue) >= self._limits.queue_limit:
            del self._requests[request.request_id]
            return Refusal(RefusalReason.QUEUE_FULL, Outcome.NOT_RUN, _RETRY_AFTER_S)
        self._queue[request.request_id] = None
        return Waiting()

    def finish(
        self, request_id: str, report: AttemptReport, *, now: float
    ) -> Decision | None:
        """Take note of an attempt's end; return the next decision, None when done."""
        self._now = now
        entry = self._requests.get(request_id)
        if entry is None:
            return None
        return self._retry(entry, report, now=now)

    def withdraw(self, request_id: str) -> None:
        """Forget a request whose caller has gone."""
        self._queue.pop(request_id, None)
        entry = self._requests.pop(request_id, None)
        if entry is not None:
            self._release(entry)

    def collect(self, *, now: float) -> list[tuple[str, Decision]]:
        """Return new decisions about waiting requests."""
        self._now = now
        changed: list[tuple[str, Decision]] = []
        for request_id in list(self._queue):
            entry = self._requests[request_id]
            decision = self._place(entry, now=now)
            if decision is None and now >= entry.request.deadline:
                outcome = self.planner.forget(entry.request, now=now)
                decision = Refusal(RefusalReason.DEADLINE_UNREACHABLE, outcome)
                del self._requests[request_id]
            if decision is not None:
                del self._queue[request_id]
                changed.append((request_id, decision))
        return changed

    def count_requests(self) -> int:
        """Return the number of requests that wait or run."""
        return len(self._requests)

    def describe_targets(self) -> list[dict[str, object]]:
        """Return what is known of each target."""
        return self.planner.placer.describe(now=self._now)

    def _retry(
        self, entry: _Request, report: AttemptReport, *, now: float
    ) -> Decision | None:
        request_id = entry.request.request_id
        retry = self.planner.finish(request_id, report, now=now)
        if isinstance(retry, RetryAt):
            placed = self._place(entry, now=now)
            if placed is None:
                self._queue[request_id] = None
            return placed or Waiting()
        del self._requests[request_id]
        return retry if isinstance(retry, Refusal) else None

    def _place(self, entry: _Request, *, now: float) -> Placed | Refusal | None:
        decision = self.planner.place(entry.request, now=now)
        if isinstance(decision, Refusal):
            del self._requests[entry.request.request_id]
        return decision

    def _release(self, entry: _Request) -> None:
        self.planner.forget(entry.request, now=self._now)

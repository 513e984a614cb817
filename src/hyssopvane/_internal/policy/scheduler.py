"""Decide where and when each request of an entry runs."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Decision,
    LoadReport,
    Placed,
    TargetInfo,
    Waiting,
    WorkRequest,
)

_RETRY_AFTER_S = 1.0
_MAX_ATTEMPTS = 3


@dataclass(slots=True)
class _Target:
    info: TargetInfo
    in_flight: int = 0
    leaving: bool = False


@dataclass(slots=True)
class _Request:
    request: WorkRequest
    attempts: int = 0
    target: str = ""
    tried: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limit the work of one service."""

    queue_limit: int = 1000
    target_concurrency: int = 32


class Scheduler:
    """Hold the queue and the targets of one entry; the caller brings the clock."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._targets: dict[str, _Target] = {}
        self._requests: dict[str, _Request] = {}
        self._queue: OrderedDict[str, None] = OrderedDict()
        self._limits = ServiceLimits()

    def connect_target(self, info: TargetInfo) -> None:
        """Start to place work on a target."""
        self._targets[info.name] = _Target(info)

    def disconnect_target(self, name: str) -> None:
        """Stop to place work on a target."""
        self._targets.pop(name, None)

    def observe_load(self, name: str, report: LoadReport) -> None:
        """Take note of what a target's agent reports."""
        target = self._targets.get(name)
        if target is not None:
            target.leaving = report.leaving

    def submit(self, request: WorkRequest, *, now: float) -> Decision:
        """Place, queue or refuse a new request."""
        if now >= request.deadline:
            return Refusal(RefusalReason.DEADLINE_UNREACHABLE, Outcome.NOT_RUN)
        if not any(True for _ in self._find_targets(request.service)):
            return Refusal(RefusalReason.NO_TARGET, Outcome.NOT_RUN, _RETRY_AFTER_S)
        entry = self._requests[request.request_id] = _Request(request)
        placed = self._place(entry)
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
        entry = self._requests.get(request_id)
        if entry is None:
            return None
        self._release(entry)
        if report.result is AttemptResult.NOT_STARTED or (
            report.result is AttemptResult.LOST and entry.request.repeatable
        ):
            return self._retry(entry, now=now)
        del self._requests[request_id]
        return None

    def withdraw(self, request_id: str) -> None:
        """Forget a request whose caller has gone."""
        self._queue.pop(request_id, None)
        entry = self._requests.pop(request_id, None)
        if entry is not None:
            self._release(entry)

    def collect(self, *, now: float) -> list[tuple[str, Decision]]:
        """Return new decisions about waiting requests."""
        changed: list[tuple[str, Decision]] = []
        for request_id in list(self._queue):
            entry = self._requests[request_id]
            decision: Decision | None = self._place(entry)
            if decision is None and now >= entry.request.deadline:
                decision = Refusal(RefusalReason.DEADLINE_UNREACHABLE, Outcome.NOT_RUN)
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
        return [
            {
                "name": target.info.name,
                "service": target.info.service,
                "in_flight": target.in_flight,
                "leaving": target.leaving,
            }
            for target in self._targets.values()
        ]

    def _retry(self, entry: _Request, *, now: float) -> Decision:
        request_id = entry.request.request_id
        if entry.attempts >= _MAX_ATTEMPTS or now >= entry.request.deadline:
            del self._requests[request_id]
            return Refusal(RefusalReason.RETRIES_SPENT, Outcome.NOT_RUN, _RETRY_AFTER_S)
        placed = self._place(entry)
        if placed is not None:
            return placed
        self._queue[request_id] = None
        return Waiting()

    def _place(self, entry: _Request) -> Placed | None:
        candidates = [
            target
            for target in self._find_targets(entry.request.service)
            if target.in_flight < self._limits.target_concurrency
        ]
        fresh = [one for one in candidates if one.info.name not in entry.tried]
        if not (fresh or candidates):
            return None
        chosen = min(
            fresh or candidates,
            key=lambda target: (target.in_flight, self._random.random()),
        )
        chosen.in_flight += 1
        entry.attempts += 1
        entry.target = chosen.info.name
        entry.tried.add(entry.target)
        return Placed(entry.target, chosen.info.incarnation, entry.attempts)

    def _find_targets(self, service: str) -> Iterable[_Target]:
        return (
            target
            for target in self._targets.values()
            if target.info.service == service and not target.leaving
        )

    def _release(self, entry: _Request) -> None:
        target = self._targets.get(entry.target)
        if target is not None and entry.target:
            target.in_flight -= 1
        entry.target = ""

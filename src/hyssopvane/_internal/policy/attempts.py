"""Plan the attempts of each request: target, time and retries."""

from collections.abc import Set
from dataclasses import dataclass, field
from random import Random

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.policy.placement import Placer
from hyssopvane._internal.policy.retries import Retrier, RetryAt, RetryDenial
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.state.suspects import Crash, SuspectId
from hyssopvane._internal.state.table import ServiceRow, Table
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    LoadReport,
    Placed,
    TargetInfo,
    WorkRequest,
)

# Sent to callers whose retries are spent. Failing targets are ejected or detected as
# gone within this time, so the next request reaches other targets.
_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _Plan:
    request: WorkRequest
    attempts: int = 0
    target: TargetInfo | None = None
    tried: set[str] = field(default_factory=set)
    not_before: float = 0.0
    may_have_run: bool = False


class AttemptPlanner:
    """Combine placement, retries and crash suspects for the requests of one entry."""

    def __init__(self, *, random: Random, availability_zone: str = "") -> None:
        self.placer = Placer(random=random, availability_zone=availability_zone)
        self.retrier = Retrier(random=random)
        self.suspects = SuspectTracker()
        self._table = Table()
        self._suspect_targets: frozenset[str] = frozenset()
        self._plans: dict[str, _Plan] = {}

    def update_table(self, table: Table) -> None:
        """Apply the limits of a table."""
        self._table = table
        self.placer.update_table(table)
        for service in table.services.values():
            self.retrier.set_percent(service.name, service.retry_budget)

    def connect(self, info: TargetInfo, *, now: float) -> None:
        """Start placing work on a target."""
        self.placer.connect(info, now=now)

    def disconnect(self, name: str) -> None:
        """Stop placing work on a target."""
        self.placer.disconnect(name)

    def observe_load(self, name: str, report: LoadReport, *, now: float) -> None:
        """Record the load that a target's agent reports."""
        self.placer.observe_load(name, report, now=now)

    def refuse(self, request: WorkRequest, *, now: float) -> Refusal | None:
        """Refuse a new request whose body is quarantined."""
        if self.suspects.is_quarantined(_get_body(request), now=now):
            return Refusal(RefusalReason.QUARANTINED, Outcome.NOT_RUN)
        return None

    def add_fresh(self, request: WorkRequest, *, now: float) -> None:
        """Count an accepted request as fresh work, which adds to the retry budget."""
        self.retrier.add_fresh(request.service, now=now)

    def place(self, request: WorkRequest, *, now: float) -> Placed | Refusal | None:
        """Choose a target; return None when the request has to wait."""
        plan = self._plans.get(request.request_id)
        if plan is not None and now < plan.not_before:
            return None
        body = _get_body(request)
        if request.body_digest and self.suspects.is_quarantined(body, now=now):
            return Refusal(RefusalReason.QUARANTINED, self.discard(request, now=now))
        tried = plan.tried if plan is not None else frozenset()
        excluded = self._find_excluded(request, tried, now)
        if excluded is None:
            return None
        info = self.placer.place(request, now=now, tried=tried, excluded=excluded)
        if info is None:
            return None
        plan = self._plans.setdefault(request.request_id, plan or _Plan(request))
        plan.attempts += 1
        plan.target = info
        plan.tried.add(info.name)
        if request.body_digest:
            self.suspects.start(body, info.name)
        return Placed(info.name, info.incarnation, plan.attempts)

    def waits_on_own_condition(self, request: WorkRequest, *, now: float) -> bool:
        """Return whether a request waits for a condition of its own, not for capacity.

        The condition is the time of its retry or the end of another suspect. Such a
        request must not block the requests behind it in the queue.
        """
        plan = self._plans.get(request.request_id)
        if plan is not None and now < plan.not_before:
            return True
        return self.suspects.is_suspect(_get_body(request), now=now)

    def finish(
        self, request_id: str, report: AttemptReport, *, now: float
    ) -> RetryAt | RetryDenial | Refusal | None:
        """Record the end of an attempt; return None when it was answered or cancelled.

        After a `RetryAt` the request must be placed again; otherwise its plan is
        removed.
        """
        plan = self._plans.get(request_id)
        if plan is None:
            return None
        self._end_attempt(plan, report, now)
        if report.result in (AttemptResult.ANSWERED, AttemptResult.CANCELLED):
            del self._plans[request_id]
            return None
        plan.may_have_run |= report.result is not AttemptResult.NOT_STARTED
        request = plan.request
        if self.suspects.is_quarantined(_get_body(request), now=now):
            return Refusal(RefusalReason.QUARANTINED, self.discard(request, now=now))
        retry = self.retrier.decide(request, report, attempts=plan.attempts, now=now)
        if isinstance(retry, RetryAt):
            plan.not_before = retry.at
            return retry
        outcome = self.discard(request, now=now)
        if retry is RetryDenial.NOT_REPEATABLE:
            return retry
        return Refusal(
            RefusalReason.RETRIES_SPENT, outcome, _RETRY_AFTER_S, retry.value
        )

    def get_outcome(self, request_id: str) -> Outcome:
        """Return the provable outcome of a request that has no running attempt."""
        # A repeatable request may have run at a target that was lost and then be
        # refused at its second attempt. The caller must not receive the outcome "not
        # run" for it.
        plan = self._plans.get(request_id)
        ran = plan is not None and plan.may_have_run
        return Outcome.UNKNOWN if ran else Outcome.NOT_RUN

    def discard(self, request: WorkRequest, *, now: float) -> Outcome:
        """Remove a request in any state; return its provable outcome."""
        outcome = self.get_outcome(request.request_id)
        plan = self._plans.pop(request.request_id, None)
        if plan is not None and plan.target is not None:
            self._leave_target(plan, None, now)
        return outcome

    def set_suspect_targets(self, names: frozenset[str]) -> None:
        """Set the targets that run this entry's suspects.

        Each target runs the suspects of one entry only. Otherwise two entries could
        each try a suspect at the same target, and its crash would count against both.
        """
        self._suspect_targets = names

    def get_quarantine_s(self, service: str) -> float:
        """Return how long a body that crashes targets of a service is refused."""
        row = self._table.services.get(service) or ServiceRow(service)
        return float(row.quarantine_s)

    def _find_excluded(
        self, request: WorkRequest, tried: Set[str], now: float
    ) -> frozenset[str] | None:
        body = _get_body(request)
        excluded = self.suspects.find_excluded(body, now=now)
        if excluded is None or not self.suspects.is_suspect(body, now=now):
            return excluded
        names = self.placer.list_targets(request.service)
        own = names & self._suspect_targets - tried
        # An entry without such a target uses any target: most suspects are not the
        # cause of the crash and must not wait until their deadline.
        return excluded | (names - own) if own else excluded

    def _end_attempt(self, plan: _Plan, report: AttemptReport, now: float) -> None:
        target = plan.target
        if target is None:
            return
        self._leave_target(plan, report, now)
        body = _get_body(plan.request)
        if report.result is AttemptResult.ANSWERED:
            self.suspects.clear(body)
        # A lost connection is usually caused by the network or the VM, and 140 VMs fail
        # on an ordinary day. A report of a broken target from a live agent is proof.
        elif report.result is AttemptResult.BROKEN and plan.request.body_digest:
            self.suspects.record_crash(
                body,
                Crash(target.name, target.incarnation, now),
                quarantine_s=self.get_quarantine_s(plan.request.service),
                now=now,
            )

    def _leave_target(
        self, plan: _Plan, report: AttemptReport | None, now: float
    ) -> None:
        assert plan.target is not None
        self.placer.release(plan.request.request_id, report, now=now)
        if plan.request.body_digest:
            self.suspects.stop(_get_body(plan.request), plan.target.name)
        plan.target = None


def _get_body(request: WorkRequest) -> SuspectId:
    return SuspectId(request.service, request.body_digest)

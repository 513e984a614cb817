"""Decide whether and when a failed attempt is retried."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.state.work import AttemptReport, AttemptResult, WorkRequest

# Three attempts reach three targets. If all three fail, a fourth is more likely to
# spread the damage than to find a target that works.
MAX_ATTEMPTS = 3
# Maximum number of saved retries. When a target with 32 requests in flight leaves at a
# time of low load, half of them must not be refused.
BUDGET_BURST = 32.0
# Retries a second in addition to the share of fresh work. Otherwise a service with one
# request a minute would never earn one. 960 entries add at most 960 a second to 87,000.
BUDGET_PER_S = 1.0
# Bounds of the random backoff before the second attempt, doubled before the third.
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 2.0
# These reasons mean that another target is needed, not that there is too much work: a
# backoff would only delay the caller.
_IMMEDIATE_RETRY_REASONS = frozenset(
    {
        AgentRefusal.LEAVING.value,
        AgentRefusal.WRONG_INCARNATION.value,
        AgentRefusal.TARGET_UNREACHABLE.value,
        AgentRefusal.NOT_CONNECTED.value,
    }
)


class RetryDenial(StrEnum):
    """Name the reason why an attempt is not retried."""

    NOT_REPEATABLE = "not-repeatable"
    ATTEMPTS_SPENT = "attempts-spent"
    BUDGET_SPENT = "budget-spent"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Allow another attempt at a clock value, which may be now."""

    at: float
    reason: str
    """Why the last attempt failed, for the count of retries by reason."""


class RetryBudget:
    """Allow retries as a share of fresh work.

    When a service is saturated, each refused attempt leads to another, so the load
    grows by the number of attempts exactly when there is no capacity. With 10% the
    retries add at most 10% to the load, whatever fails.
    """

    def __init__(self, *, percent: int) -> None:
        self.percent = percent
        self._credit = BUDGET_BURST
        self._refilled_at: float | None = None

    def add_fresh(self, *, now: float) -> None:
        """Add credit for a fresh request."""
        self._refill(now)
        self._add(self.percent / 100)

    def take(self, *, now: float) -> bool:
        """Spend the credit for one retry; return False when there is none."""
        self._refill(now)
        if not self.percent or self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._add((now - self._refilled_at) * BUDGET_PER_S)
        self._refilled_at = now

    def _add(self, credit: float) -> None:
        self._credit = min(BUDGET_BURST, self._credit + credit)


class Retrier:
    """Decide on the retries of one entry, with a budget for each service."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._budgets: dict[str, RetryBudget] = {}

    def set_percent(self, service: str, percent: int) -> None:
        """Set the retry budget of a service in percent of fresh requests."""
        budget = self._get_budget(service)
        budget.percent = percent

    def add_fresh(self, service: str, *, now: float) -> None:
        """Count a fresh request."""
        self._get_budget(service).add_fresh(now=now)

    def decide(
        self,
        request: WorkRequest,
        report: AttemptReport,
        *,
        attempts: int,
        now: float,
    ) -> RetryAt | RetryDenial:
        """Decide whether and when a failed attempt is retried."""
        if not is_retry_safe(request, report):
            return RetryDenial.NOT_REPEATABLE
        if attempts >= MAX_ATTEMPTS:
            return RetryDenial.ATTEMPTS_SPENT
        at = now + self._get_delay(report, attempts)
        if at >= request.deadline:
            return RetryDenial.DEADLINE
        if not self._get_budget(request.service).take(now=now):
            return RetryDenial.BUDGET_SPENT
        return RetryAt(at, report.reason or report.result.value)

    def _get_delay(self, report: AttemptReport, attempts: int) -> float:
        if report.reason in _IMMEDIATE_RETRY_REASONS:
            return report.retry_after_s
        # Whole groups fail together, and 32 callers that retry in the same step would
        # hit the next group together.
        bound = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts - 1))
        return report.retry_after_s + self._random.uniform(bound / 2, bound)

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(percent=_DEFAULT_PERCENT)
        return budget


_DEFAULT_PERCENT = 10


def is_retry_safe(request: WorkRequest, report: AttemptReport) -> bool:
    """Return whether a retry cannot run a request twice that must run once.

    A timeout or a lost connection proves nothing. Only a refusal by the agent, which
    keeps a tombstone for the attempt, proves that it did not run and never will.
    """
    if report.final:
        return False
    if report.result is AttemptResult.NOT_STARTED:
        return True
    failed = report.result in (AttemptResult.LOST, AttemptResult.BROKEN)
    return failed and request.repeatable

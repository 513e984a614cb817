"""Estimate a target's load from delayed reports and the entry's own requests."""

import math
from collections import deque
from dataclasses import dataclass, field

from hyssopvane._internal.state.work import LoadReport

# Age of an engine's figures when they reach the entry, in seconds: a few hundred
# milliseconds. Without this correction an entry counts what it sent in that time twice
# or not at all, and 87,000 requests a second oscillate between the targets in step.
REPORT_LAG_S = 0.5
# Time constant of the mean load from other entries, in seconds. Without smoothing, the
# target that looks idle in one report is the choice of every entry until the next.
SMOOTHING_S = 10.0
# Up to this age a report has full weight, in seconds: twelve heartbeats of 0.5 s, or
# one of 4 s.
FRESH_REPORT_S = 6.0
# Age at which a report has lost all weight, in seconds. If a report kept its weight, a
# target that was busy when its reports stopped would get no work for minutes, and one
# that was idle would get too much.
REPORT_EXPIRY_S = 30.0

# A target is silent if its reports are missing for this many report intervals: its
# connection may have failed without notice. New work goes to other targets if possible,
# long before the connection is closed, which cuts its answers.
SILENT_INTERVALS = 4.0
_FIRST_INTERVAL_S = 0.5
# Tokens assumed for each request of other entries if a report contains requests but no
# tokens, as that of a plain service does.
DEFAULT_REQUEST_TOKENS = 500


@dataclass(slots=True)
class TargetLoad:
    """Track the load of one target: own requests, and those of others by report."""

    own_tokens: int = 0
    own_running: int = 0
    _others_tokens: float = 0.0
    _others_running: float = 0.0
    _reported_at: float | None = None
    _interval_s: float = _FIRST_INTERVAL_S
    _recent_changes: deque[tuple[float, int, int]] = field(default_factory=deque)

    def add(self, tokens: int, *, now: float) -> None:
        """Count a request that this entry sends."""
        self._change(tokens, 1, now)

    def remove(self, tokens: int, *, now: float) -> None:
        """Count a request of this entry that ended."""
        self._change(-tokens, -1, now)

    def observe(self, report: LoadReport, *, now: float) -> None:
        """Update the load from other entries by a report received now."""
        self._drop_old_changes(now)
        reported_own_tokens = self.own_tokens - sum(
            change[1] for change in self._recent_changes
        )
        reported_own_running = self.own_running - sum(
            change[2] for change in self._recent_changes
        )
        others_running = max(0, report.running - reported_own_running)
        if report.tokens_in_flight:
            others_tokens = max(0, report.tokens_in_flight - reported_own_tokens)
        else:
            others_tokens = others_running * DEFAULT_REQUEST_TOKENS
        share = 1.0
        if self._reported_at is not None:
            self._interval_s = max(_FIRST_INTERVAL_S, now - self._reported_at)
            share = 1.0 - math.exp(-self._interval_s / SMOOTHING_S)
        self._others_tokens += share * (others_tokens - self._others_tokens)
        self._others_running += share * (others_running - self._others_running)
        self._reported_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether reports have been missing for too long."""
        if self._reported_at is None:
            return False
        return now - self._reported_at > SILENT_INTERVALS * self._interval_s

    def estimate(self, now: float) -> tuple[float, float]:
        """Return the estimated tokens and requests in flight at the target."""
        weight = self._get_report_weight(now)
        return (
            self.own_tokens + self._others_tokens * weight,
            self.own_running + self._others_running * weight,
        )

    def _change(self, tokens: int, running: int, now: float) -> None:
        self.own_tokens += tokens
        self.own_running += running
        self._recent_changes.append((now, tokens, running))
        self._drop_old_changes(now)

    def _drop_old_changes(self, now: float) -> None:
        while self._recent_changes and self._recent_changes[0][0] <= now - REPORT_LAG_S:
            self._recent_changes.popleft()

    def _get_report_weight(self, now: float) -> float:
        if self._reported_at is None:
            return 0.0
        age = now - self._reported_at
        if age <= FRESH_REPORT_S:
            return 1.0
        fading = REPORT_EXPIRY_S - FRESH_REPORT_S
        return max(0.0, 1.0 - (age - FRESH_REPORT_S) / fading)

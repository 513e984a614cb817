"""Estimate a target's load from late reports and the entry's own work."""

from collections import deque
from dataclasses import dataclass, field

from hyssopvane._internal.state.work import LoadReport

# An engine's figures are a few hundred milliseconds old when they reach the entry.
# Without the correction an entry counts what it sent in that time twice or not at
# all, and 87,000 requests a second swing between the targets together.
REPORT_LAG_S = 0.5
# Up to this age a report is believed whole: six heartbeats of 0.5 s, or two of 3 s.
FRESH_REPORT_S = 6.0
# An older one fades. Kept for ever, a target that was busy when its reports stopped
# would get no work for minutes, and one that was idle would get too much.
FORGOTTEN_REPORT_S = 30.0

# Counted for each request of others where the report tells requests but no tokens, as
# that of a plain service does.
USUAL_TOKENS = 500


@dataclass(slots=True)
class TargetLoad:
    """Hold the load of one target: the entry's own, and the others' by report."""

    own_tokens: int = 0
    own_running: int = 0
    _others_tokens: int = 0
    _others_running: int = 0
    _reported_at: float = 0.0
    _changes: deque[tuple[float, int, int]] = field(default_factory=deque)

    def add(self, tokens: int, *, now: float) -> None:
        """Count a request that this entry sends."""
        self._change(tokens, 1, now)

    def remove(self, tokens: int, *, now: float) -> None:
        """Count a request of this entry that ended."""
        self._change(-tokens, -1, now)

    def observe(self, report: LoadReport, *, now: float) -> None:
        """Take the others' share from a report that arrives now."""
        self._forget_changes(now)
        seen_tokens = self.own_tokens - sum(change[1] for change in self._changes)
        seen_running = self.own_running - sum(change[2] for change in self._changes)
        self._others_running = max(0, report.running - seen_running)
        if report.tokens_in_flight:
            self._others_tokens = max(0, report.tokens_in_flight - seen_tokens)
        else:
            self._others_tokens = self._others_running * USUAL_TOKENS
        self._reported_at = now

    def estimate_tokens(self, now: float) -> float:
        """Return the tokens in flight at the target."""
        return self.own_tokens + self._others_tokens * self._trust(now)

    def estimate_running(self, now: float) -> float:
        """Return the requests in flight at the target."""
        return self.own_running + self._others_running * self._trust(now)

    def _change(self, tokens: int, running: int, now: float) -> None:
        self.own_tokens += tokens
        self.own_running += running
        self._changes.append((now, tokens, running))
        self._forget_changes(now)

    def _forget_changes(self, now: float) -> None:
        while self._changes and self._changes[0][0] <= now - REPORT_LAG_S:
            self._changes.popleft()

    def _trust(self, now: float) -> float:
        age = now - self._reported_at
        if age <= FRESH_REPORT_S:
            return 1.0
        fading = FORGOTTEN_REPORT_S - FRESH_REPORT_S
        return max(0.0, 1.0 - (age - FRESH_REPORT_S) / fading)

"""Let late requests fill a group that has just opened no faster than places come free.

Load: all machines were down, and hundreds of callers have waited for seconds when the
first groups open. If these took all places at once, all of them would be late, and so
would those that come until the first streams end: some two seconds of callers, of whom
nearly all can be on time. Filled at its usual rate, a group has served as many by then.
"""

from math import inf

from hyssopvane._internal.state.routing import EngineModel

INITIAL_SHARE = 0.05
"""Part of the limit that is open at once: the places of some 0.15 s, about the time
between two loads.
"""

MAX_RAMP_S = 3.0
"""Longest time until the limit applies, in seconds: if the duration of the requests is
overestimated, places stay empty.
"""


def estimate_duration_s(
    output_tokens: int, engine: EngineModel, pass_s: float
) -> float:
    """Return how long a stream of this many tokens takes, in passes of `pass_s`."""
    return output_tokens / engine.steps_per_pass * pass_s


class GroupRamp:
    """Track since when a group is open, and how far it may be filled."""

    def __init__(self) -> None:
        self.is_on = False
        """Whether the limit ramps up; set if the routes differ in priority."""
        self._is_open = False
        self._opened_at = -inf
        """Time at which the group opened; -inf if it is closed or was open for long."""
        self._has_observed = False
        self._now = 0.0
        self._base = 0.0
        """Requests that ran when the group opened."""
        self._level = 0.0
        """Limit at the last load."""

    def observe(
        self, *, is_open: bool, active: int, now: float, is_new: bool = False
    ) -> None:
        """Apply whether the group serves requests, and how many run.

        `is_new` tells that it was formed lately, though no load may have shown it
        closed. Otherwise a first load that shows it open is no opening: an entry that
        restarts would ramp up a group that has long been open.
        """
        self._now = max(self._now, now)
        has_opened = is_open and not self._is_open
        is_opening = is_new or (has_opened and self._has_observed)
        self._is_open = is_open
        self._has_observed = True
        if not is_open:
            self._opened_at = -inf
        elif is_opening:
            self._opened_at = now
            self._base = self._level = active
        elif active > self._level:
            # Entries of an earlier release don't wait. The others continue from what
            # runs, and would otherwise send nothing until the ramp has caught up.
            self._base += active - self._level
            # The limit may not be asked for until the next load.
            self._level = active

    @property
    def is_recent(self) -> bool:
        """Return whether the group may still ramp up."""
        return self.is_on and self.has_opened_lately

    @property
    def has_opened_lately(self) -> bool:
        """Return whether the group works off what has waited for its opening."""
        return self._now < self._opened_at + MAX_RAMP_S

    def advance(self, now: float) -> None:
        """Set the time for which the limit is asked."""
        self._now = max(self._now, now)

    def apply(self, limit: float, duration_s: float) -> float:
        """Return the part of a limit that may be used."""
        if not self.is_on or self._opened_at == -inf:
            return limit
        ramp_s = min(duration_s, MAX_RAMP_S)
        share = INITIAL_SHARE + (self._now - self._opened_at) / ramp_s
        self._level = min(limit, self._base + limit * share)
        return self._level

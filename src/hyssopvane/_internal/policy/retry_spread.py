"""Spread the retries of refused callers over the time that a backlog takes.

Load: hundreds of callers are refused while all groups of a service are closed, or have
just opened and can't take the backlog at once. A caller that comes back before a group
opens, or together with all others, is refused again and has no retry left. So each
refused caller gets a time of its own, after the opening and after those before it.
"""

from dataclasses import dataclass
from math import inf
from random import Random

from hyssopvane._internal.policy.early_refusal import MIN_RETRY_AFTER_S, RetryTime
from hyssopvane._internal.policy.outage_tracker import MAX_WAIT_SHARE


@dataclass(frozen=True, slots=True)
class Backlog:
    """Describe what goes before the callers that are refused now."""

    opens_at: float
    """Time by which a group is expected to serve requests; now if one does."""
    ahead: int
    """Requests that wait at this entry and are served first."""
    places_per_s: float
    """This entry's part of the places that come free in a second."""


class RetrySpread:
    """Choose the retry times of the callers that one entry refuses.

    An entry knows the callers that it has refused itself only, so it gives out times at
    its part of the rate at which places come free.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._promised_until = -inf
        """Time up to which places are meant for refused callers."""

    def choose(self, backlog: Backlog, deadline: float, now: float) -> RetryTime:
        """Return when a caller should come back, and when there is room for it."""
        latest_at = now + MAX_WAIT_SHARE * max(0.0, deadline - now)
        opens_at = max(backlog.opens_at, now)
        slot_s = 1 / backlog.places_per_s if backlog.places_per_s > 0 else 0.0
        # Each caller comes at random in its part of the time, since other entries
        # refuse callers as well.
        room_at = max(opens_at + backlog.ahead * slot_s, self._promised_until)
        room_at += self._random.uniform(0, 2) * slot_s
        if slot_s and room_at <= latest_at:
            retry_at = self._promised_until = room_at
        else:
            # Callers wait no longer than this. At their latest time, all that were
            # refused together would come back together.
            retry_at = self._random.uniform(min(opens_at, latest_at), latest_at)
        return RetryTime(max(MIN_RETRY_AFTER_S, retry_at - now), room_at - now)

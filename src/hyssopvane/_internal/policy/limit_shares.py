"""Divide a replica's limit on requests a second among the entries.

An overloaded replica sets the number of requests a second that it accepts from all
entries together. No entry knows what the others send. Each entry therefore keeps to a
share that is safe whatever the others do, provided that all count about the same
entries: within any few seconds the replica receives at most half as much again as its
limit, plus a handful of requests.
"""

from collections.abc import Iterable
from math import inf

from hyssopvane._internal.policy import rendezvous

WINDOW_S = 4.0
"""Seconds over which a replica's requests are counted against its limit."""

EXCESS = 1.5
"""Factor by which the requests in a window may exceed the limit."""

EXCESS_REQUESTS = 5
"""Requests allowed in a window beyond that factor, also when the limit is zero."""

PROBE_S = 1.25 * WINDOW_S
"""Maximum interval between two requests of an entry that may send to a limited replica.

Only an answer shows that a limit has ended. Two requests of one entry are never in the
same window, so `EXCESS_REQUESTS` entries may probe at a limit of zero.
"""

CATCH_UP_S = 0.02
"""Seconds that a late request may be ahead of its pace. Entries retry placement every
hundredth of a second, and would not use their full share without it."""

UNKNOWN_ENTRIES = 16
"""Number of senders assumed for a limited replica while no count is known.

Without it an entry that has just started would use the whole limit.
"""

COUNT_TTL_S = 5.0
"""Seconds for which a larger count of entries takes precedence over a smaller one. An
entry that is cut off from the entries that count may still send."""


class EntryCounter:
    """Count the entries that send requests, and track those of the own zone."""

    def __init__(self, *, availability_zone: str) -> None:
        self._zone = availability_zone
        self._own = ""
        self._seeds: dict[str, int] = {}
        self._counted = 0
        self._counted_at = -inf

    def observe(self, entries: int, *, now: float) -> None:
        """Record the number of entries that the leader of a group counts."""
        if entries >= self._counted or now - self._counted_at > COUNT_TTL_S:
            self._counted, self._counted_at = entries, now

    def update(self, own: str, zone_peers: Iterable[str]) -> None:
        """Set the entries of the own zone by their addresses."""
        names = {own, *zone_peers}
        self._own = own
        if names != self._seeds.keys():
            self._seeds = {name: rendezvous.hash_name(name) for name in names}

    def estimate(self) -> int:
        """Return the number of entries, a high one while no leader counts them."""
        return max(self._counted or UNKNOWN_ENTRIES, len(self._seeds), 1)

    def measure_share(self, replica: str, zone: str, per_s: float) -> float:
        """Return the requests a second that this entry may send to a limited replica.

        With `n` evenly paced senders, a window contains at most its part of the limit
        plus one request of each sender. That stays within the excess for up to
        `(EXCESS - 1) * WINDOW_S * per_s + EXCESS_REQUESTS` senders. If there are more
        entries, the rendezvous hash of the replica's address selects the senders among
        the entries of its zone.
        """
        most = int((EXCESS - 1) * WINDOW_S * per_s) + EXCESS_REQUESTS
        entries = self.estimate()
        if entries <= most:
            return max(per_s / entries, 1 / PROBE_S)
        if zone != self._zone:
            return 0.0
        senders = rendezvous.rank(replica.encode(), self._seeds, count=most)
        if self._own not in senders:
            return 0.0
        return max(per_s / len(senders), 1 / PROBE_S)


class RequestPace:
    """Pace one entry's requests to one limited replica.

    Unused requests are not saved: after a pause the next request is sent at once, and
    the one after it waits as usual. If each of thirty entries saved up a second's
    requests, the limit would be exceeded twofold.
    """

    def __init__(self, *, per_s: float, now: float, phase: float) -> None:
        self.per_s = per_s
        # All entries receive a limit within the same second. Each starts at another
        # phase of its own interval; otherwise all would send at the same moment
        # repeatedly.
        self._last_at = now - (phase / per_s if per_s > 0 else 0.0)

    def measure_due_s(self, now: float) -> float:
        """Return the seconds until the next request is due, 0 if it is due now."""
        if self.per_s <= 0:
            return inf
        return max(0.0, self._last_at + 1 / self.per_s - now)

    def take(self, now: float) -> None:
        """Count a request that is sent now."""
        due_at = self._last_at + 1 / self.per_s if self.per_s > 0 else now
        self._last_at = min(now, max(due_at, now - CATCH_UP_S))

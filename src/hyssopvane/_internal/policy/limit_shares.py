"""Divide the requests that a replica takes a second among the entries.

A replica in need names the requests a second that it takes from all entries together.
No entry sees what the others send. So each keeps to a part that is safe whatever the
others do, as long as they count about the same entries: the replica gets at most half
as much again as it asked for, and a handful more, in any few seconds.
"""

from collections.abc import Iterable
from math import inf

from hyssopvane._internal.policy import rendezvous

WINDOW_S = 4.0
"""Time over which a replica's requests are counted against its limit."""

EXCESS = 1.5
"""Factor by which the requests in a window may lie above the limit."""

EXCESS_REQUESTS = 5
"""Requests that may come in a window beyond that, also where the limit is zero."""

PROBE_S = 1.25 * WINDOW_S
"""Longest pause between two requests of an entry that may send to a limited replica.

Only an answer shows that a limit has ended. Two of one entry never fall into one
window, so `EXCESS_REQUESTS` entries may do so at a limit of zero.
"""

CATCH_UP_S = 0.02
"""Time that a late request may be ahead of its pace: entries look for a place each
hundredth of a second, and the part would not be used up without it."""

UNKNOWN_ENTRIES = 16
"""Entries that are assumed to send to a limited replica while none are counted.

An entry that has just started would otherwise take the limit for its own.
"""

COUNT_TTL_S = 5.0
"""Time for which a larger count of entries goes before a smaller one: an entry that is
cut off from those that count may still send."""


class EntryCensus:
    """Know how many entries send requests, and which ones are near."""

    def __init__(self, *, availability_zone: str) -> None:
        self._zone = availability_zone
        self._own = ""
        self._seeds: dict[str, int] = {}
        self._counted = 0
        self._counted_at = -inf

    def observe(self, entries: int, *, now: float) -> None:
        """Take the number of entries that the leader of a group hears."""
        if entries >= self._counted or now - self._counted_at > COUNT_TTL_S:
            self._counted, self._counted_at = entries, now

    def update(self, own: str, zone_peers: Iterable[str]) -> None:
        """Learn the entries of the own zone by their addresses."""
        names = {own, *zone_peers}
        self._own = own
        if names != self._seeds.keys():
            self._seeds = {name: rendezvous.hash_name(name) for name in names}

    def measure_share(self, replica: str, zone: str, per_s: float) -> float:
        """Return the requests a second that this entry may send to a limited replica.

        With `n` senders that keep an even pace, a window holds at most its part of the
        limit and one request more of each. That stays inside the excess for up to
        `(EXCESS - 1) * WINDOW_S * per_s + EXCESS_REQUESTS` senders. Where there are
        more entries, those that the replica's address draws in its own zone send.
        """
        most = int((EXCESS - 1) * WINDOW_S * per_s) + EXCESS_REQUESTS
        entries = max(self._counted or UNKNOWN_ENTRIES, len(self._seeds), 1)
        if entries <= most:
            return max(per_s / entries, 1 / PROBE_S)
        if zone != self._zone:
            return 0.0
        senders = rendezvous.rank(replica.encode(), self._seeds, count=most)
        if self._own not in senders:
            return 0.0
        return max(per_s / len(senders), 1 / PROBE_S)


class RequestPace:
    """Space one entry's requests to one limited replica.

    There is nothing to save up: after a pause the next request goes at once, and the
    one after it waits like any other. A bucket of a second's requests at each of
    thirty entries would pass the limit twice over.
    """

    def __init__(self, *, per_s: float, now: float, phase: float) -> None:
        self.per_s = per_s
        # All entries learn of a limit within the same second. Each begins at another
        # point of its own pause, or all would send in the same moment, again and again.
        self._last_at = now - (phase / per_s if per_s > 0 else 0.0)

    def measure_due_s(self, now: float) -> float:
        """Return the time until the next request is due, 0 where it is."""
        if self.per_s <= 0:
            return inf
        return max(0.0, self._last_at + 1 / self.per_s - now)

    def take(self, now: float) -> None:
        """Count a request that is sent now."""
        due_at = self._last_at + 1 / self.per_s if self.per_s > 0 else now
        self._last_at = min(now, max(due_at, now - CATCH_UP_S))

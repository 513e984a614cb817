"""Divide a replica's limit on requests a second among the entries.

An overloaded replica sets the number of requests a second that it accepts from all
entries together. No entry knows what the others send. Each entry therefore keeps to a
share that is safe whatever the others do, provided that all count about the same
entries: within any few seconds the replica receives at most half as much again as its
limit, plus a handful of requests.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from math import ceil, comb, inf

from hyssopvane._internal.policy import rendezvous

WINDOW_S = 4.0
"""Seconds over which a replica's requests are counted against its limit."""

EXCESS = 1.5
"""Factor by which the requests in a window may exceed the limit."""

EXCESS_REQUESTS = 5
"""Requests allowed in a window beyond that factor, also when the limit is zero."""

CATCH_UP_S = 0.02
"""Seconds that a late request may be ahead of its pace. Entries retry placement every
hundredth of a second, and would not use their full share without it."""

UNKNOWN_ENTRIES = 16
"""Number of senders assumed for a limited replica while no count is known.

Without it an entry that has just started would use the whole limit.
"""

MOST_COUNT_TTL_S = 600.0
"""Seconds for which the largest count of entries, and the names of entries, are kept
for bounds that must hold while the network is cut: longer than a cut lasts."""

UNCOUNTED_ENTRIES = 3
"""Entries beyond those counted for which such bounds leave room: they have just
started, or were cut off before they were counted."""

SETTLE_S = 2.0
"""Seconds without a larger count after which an entry relies on it for such bounds.

Entries report to leaders every second, and leaders publish their count eight times a
second. The rest is for a report that is lost.
"""

MAX_COUNT_GAP_S = 1.0
"""Seconds without a count after which this time begins again: an entry that was frozen
meanwhile may hear an old count first."""

UNHEARD_S = 15.0
"""Seconds after its start for which an entry that has heard no count expects one.

A group opens 2.1 s after a power loss, and its leader may freeze for 4 s, as may the
next one. Counts then need `SETTLE_S` and a report of an entry needs a second. Where no
group reports loads, there is never a count.
"""

UNSETTLED_ENTRIES = 60
"""Entries that may start at the same time, without any of them counted yet."""

UNSETTLED_RISK = 1e-6
"""Chance that more of them send to one replica than its bound allows."""

COUNT_TTL_S = 5.0
"""Seconds for which a larger count of entries takes precedence over a smaller one. An
entry that is cut off from the entries that count may still send."""


@dataclass(frozen=True, slots=True)
class RateBound:
    """Bound the requests that a replica may get in any window of a length."""

    window_s: float
    excess: float
    """Factor by which the requests in a window may exceed the replica's rate."""
    requests: float
    """Requests allowed in a window beyond that factor."""

    @property
    def probe_s(self) -> float:
        """Maximum interval between two requests of an entry that may send.

        Two requests of one entry are never in the same window.
        """
        return 1.25 * self.window_s

    def count_senders(self, per_s: float) -> int:
        """Return the senders whose even paces may add up to a rate."""
        return int((self.excess - 1) * self.window_s * per_s + self.requests)

    def count_requests(self, per_s: float) -> int:
        """Return the most requests in a window of one sender that keeps a pace.

        The last of k requests is sent at least (k - 1) / `per_s` after the first one,
        less `CATCH_UP_S`.
        """
        return max(1, ceil(per_s * (self.window_s + CATCH_UP_S) - _ROUNDING))

    def measure_uncoordinated_rate(self, per_s: float) -> tuple[float, int]:
        """Return a pace, and how many senders may keep it without counting each other.

        With at most `count_requests` of each in a window, the sum is within the bound
        whatever their phases are and whatever they know of each other.
        """
        allowed = self.excess * self.window_s * per_s + self.requests
        each = max(1, int(allowed / UNKNOWN_ENTRIES))
        pace = min(per_s / UNKNOWN_ENTRIES, each / (self.window_s + CATCH_UP_S))
        return pace, int(allowed / self.count_requests(pace))

    def measure_unsettled_rate(self, per_s: float) -> tuple[float, float]:
        """Return a pace, and the chance at which an entry keeps it for a replica.

        One request of each sender is in a window, and of `UNSETTLED_ENTRIES` entries no
        more send than the bound allows, save for `UNSETTLED_RISK`. An entry decides by
        its own name alone, so neither counts nor names of others are needed.
        """
        pace = min(per_s / UNKNOWN_ENTRIES, 1 / (self.window_s + CATCH_UP_S))
        allowed = self.excess * self.window_s * per_s + self.requests
        return pace, _measure_chance(int(allowed / self.count_requests(pace)))


@lru_cache
def _measure_chance(senders: int) -> float:
    """Return the chance at which at most so many of `UNSETTLED_ENTRIES` send."""
    if senders >= UNSETTLED_ENTRIES:
        return 1.0
    low, high = 0.0, 1.0
    for _ in range(_BISECTIONS):
        chance = (low + high) / 2
        risk = sum(
            comb(UNSETTLED_ENTRIES, count)
            * chance**count
            * (1 - chance) ** (UNSETTLED_ENTRIES - count)
            for count in range(senders + 1, UNSETTLED_ENTRIES + 1)
        )
        low, high = (chance, high) if risk <= UNSETTLED_RISK else (low, chance)
    return low


_BISECTIONS = 20

LIMIT_BOUND = RateBound(WINDOW_S, EXCESS, EXCESS_REQUESTS)
"""Bound on the requests to a replica that sets a limit."""

PROBE_S = LIMIT_BOUND.probe_s
"""Maximum interval between two requests of an entry that may send to a limited replica.

Only an answer shows that a limit has ended. Two requests of one entry are never in the
same window, so `EXCESS_REQUESTS` entries may probe at a limit of zero.
"""

_ROUNDING = 1e-9
"""Absorbs the rounding errors of a pace that was computed to allow a whole number."""


class EntryCounter:
    """Count the entries that send requests, and track those of the own zone."""

    def __init__(self, *, availability_zone: str) -> None:
        self._zone = availability_zone
        self._own = ""
        self._seeds: dict[str, int] = {}
        self._counted = 0
        self._counted_at = -inf
        self._expected = 0
        """Number of entries that the settings name."""
        self._most = 0
        """Largest count of the last `MOST_COUNT_TTL_S`."""
        self._most_at = -inf
        self._risen_at = inf
        """Time from which counts have been heard, and none was larger."""
        self._now = 0.0
        """Time of the last count."""
        self._started_at = inf
        self._names: dict[str, float] = {}
        """Entries of the own zone lately, with the time at which they were last seen.
        """

    def observe(self, entries: int, *, now: float) -> None:
        """Record the number of entries that the leader of a group counts."""
        if entries >= self._counted or now - self._counted_at > COUNT_TTL_S:
            self._counted, self._counted_at = entries, now
        has_settled = self._now - self._risen_at >= SETTLE_S
        is_new = now - self._now > MAX_COUNT_GAP_S and not has_settled
        if entries > self._most or is_new:
            self._risen_at = now
        if entries >= self._most or now - self._most_at > MOST_COUNT_TTL_S:
            self._most, self._most_at = entries, now
        # While nothing is counted, no time passes: an entry that is cut off keeps what
        # it knows.
        self._now = now

    def expect(self, entries: int) -> None:
        """Set the number of entries known before any is counted."""
        self._expected = entries

    def start(self, now: float) -> None:
        """Set the time of the first list of replicas; later calls change nothing."""
        self._started_at = min(self._started_at, now)

    def update(self, own: str, zone_peers: Iterable[str]) -> None:
        """Set the entries of the own zone by their addresses."""
        names = {own, *zone_peers}
        self._own = own
        if names != self._seeds.keys():
            self._seeds = {name: rendezvous.hash_name(name) for name in names}
        self._names.update(dict.fromkeys(names, self._now))
        self._names = {
            name: seen_at
            for name, seen_at in self._names.items()
            if self._now - seen_at <= MOST_COUNT_TTL_S
        }

    def estimate(self) -> int:
        """Return the number of entries, a high one while no leader counts them."""
        return max(self._counted or UNKNOWN_ENTRIES, len(self._seeds), 1)

    def measure_share(
        self,
        replica: str,
        zone: str,
        per_s: float,
        *,
        bound: RateBound = LIMIT_BOUND,
    ) -> float:
        """Return the requests a second that this entry may send to a limited replica.

        With `n` evenly paced senders, a window contains at most its part of the limit
        plus one request of each sender. That stays within the excess for up to
        `RateBound.count_senders` senders. If there are more entries, the rendezvous
        hash of the replica's address selects the senders among the entries of its zone.
        """
        most = bound.count_senders(per_s)
        entries = self.estimate()
        if entries <= most:
            return max(per_s / entries, 1 / bound.probe_s)
        if zone != self._zone:
            return 0.0
        senders = rendezvous.rank(replica.encode(), self._seeds, count=most)
        if self._own not in senders:
            return 0.0
        return max(per_s / len(senders), 1 / bound.probe_s)

    def measure_unsettled_s(self, now: float) -> float:
        """Return the seconds until the count of entries can be relied on, at the least.

        They do not pass while an entry that has heard a count hears no more.
        """
        if self._most:
            return max(0.0, SETTLE_S - (self._now - self._risen_at))
        return max(0.0, self._started_at + UNHEARD_S - now)

    def measure_safe_share(
        self, replica: str, zone: str, per_s: float, *, bound: RateBound, now: float
    ) -> float:
        """Return the requests a second that keep a bound also if no entry is heard.

        Until the count of entries has settled, entries that have just started may not
        know each other, nor their count. They go by their own names alone, see
        `RateBound.measure_unsettled_rate`.

        After that no entry takes more than the part of `UNKNOWN_ENTRIES` entries, so
        that up to `RateBound.measure_uncoordinated_rate` of them may send, whatever
        they count. If there are more, those with the best rendezvous hash of the
        replica's zone send, less `UNCOUNTED_ENTRIES`. The largest count of
        `MOST_COUNT_TTL_S` is used, as entries that are cut off from those that count
        may still send.
        """
        if self.measure_unsettled_s(now):
            pace, chance = bound.measure_unsettled_rate(per_s)
            if not self._own:
                return 0.0
            score = rendezvous.score(replica.encode(), self._seeds[self._own])
            return pace if score < chance * rendezvous.SCORES else 0.0
        pace, most = bound.measure_uncoordinated_rate(per_s)
        counted = max(self._most, self._expected, len(self._names))
        entries = max(counted, UNKNOWN_ENTRIES)
        if entries <= max(most - UNCOUNTED_ENTRIES, min(most, UNKNOWN_ENTRIES)):
            return min(pace, per_s / entries)
        if zone != self._zone:
            return 0.0
        seeds = {name: rendezvous.hash_name(name) for name in self._names}
        senders = rendezvous.rank(
            replica.encode(), seeds, count=max(1, most - UNCOUNTED_ENTRIES)
        )
        if self._own and self._own not in senders:
            return 0.0
        return min(pace, per_s / len(senders)) if senders else pace


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

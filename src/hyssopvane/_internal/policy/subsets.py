"""Choose the bounded subset of targets that each entry connects to."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hyssopvane._internal.policy import rendezvous

# Up to this number of targets every entry connects to all of them, as in a fleet of
# today's size. A subset of a dozen targets saves nothing, and each additional target
# improves the choice.
FULL_SUBSET = 64
# Entries that each target is connected to. At 960 entries and 10,000 targets this is 42
# targets an entry, 7 of each of 6 services. A heartbeat is a frame of 92 bytes, about
# 200 with TCP/IP and its acknowledgement: every 4 s both ways over 42 connections it
# takes 4.1 of the 6 KB/s that a daemon may use for control. Every 0.5 s, as at today's
# sizes, it would take 33; 8 entries a target would take 8.2.
ENTRIES_PER_TARGET = 4
# Number of these entries in the target's own zone, where a hop is shortest. The others
# let work of the zone go to other zones, and keep the target in use when the entries of
# its zone fail.
OWN_ZONE_ENTRIES = 2
# Minimum number of targets of each service that an entry connects to. With fewer,
# choosing between two random targets is no choice, and one loss leaves the entry
# without an alternative.
TARGETS_PER_SERVICE = 4


@dataclass(frozen=True, slots=True)
class Member:
    """Describe one entry or target of the live list."""

    name: str
    availability_zone: str
    service: str = ""


_HASH_RANGE = 2.0**64


class ZoneMap:
    """Group entries by availability zone and divide each target's picks among zones.

    The division depends only on the zones and the approximate number of their entries,
    so an entry that joins or leaves moves connections only in its own zone.
    """

    def __init__(self, entries: Iterable[Member], region_of: Mapping[str, str]) -> None:
        self._region_of = region_of
        self.seeds: dict[str, dict[str, int]] = {}
        for one in entries:
            seeds = self.seeds.setdefault(one.availability_zone, {})
            seeds[one.name] = rendezvous.hash_name(one.name)
        self._zone_seeds = {zone: rendezvous.hash_name(zone) for zone in self.seeds}
        self.sizes = {
            zone: 1 << len(seeds).bit_length() for zone, seeds in self.seeds.items()
        }
        """Number of entries of each zone, as the next higher power of two."""

    def share_picks(self, target: Member) -> dict[str, int]:
        """Return how many entries of each zone a target picks."""
        own = target.availability_zone
        key = target.name.encode()
        zones = sorted(self.seeds, key=lambda zone: self._rank_zone(key, own, zone))
        near = [zone for zone in zones if self.is_same_region(zone, own)]
        far = [zone for zone in zones if not self.is_same_region(zone, own)]
        shares: dict[str, int] = dict.fromkeys(zones, 0)
        missing = self._share_among(near, shares, own, ENTRIES_PER_TARGET)
        self._share_among(far, shares, own, missing)
        return {zone: share for zone, share in shares.items() if share}

    def _share_among(
        self, zones: list[str], shares: dict[str, int], own: str, missing: int
    ) -> int:
        # In rounds, so that the targets of a zone that has lost its entries still get
        # their full number of entries.
        free = {zone: len(self.seeds[zone]) for zone in zones}
        while missing and any(free.values()):
            for zone in zones:
                most = OWN_ZONE_ENTRIES if zone == own else 1
                share = min(most, free[zone], missing)
                shares[zone] += share
                free[zone] -= share
                missing -= share
        return missing

    def pick(self, target: Member, zone: str, count: int) -> list[str]:
        """Return the entries of a zone that a target picks."""
        return rendezvous.rank(target.name.encode(), self.seeds[zone], count=count)

    def is_picked(self, target: Member, entry: Member, count: int) -> bool:
        """Return whether an entry is among those of its zone that a target picks."""
        key = target.name.encode()
        seeds = self.seeds[entry.availability_zone]
        own = (rendezvous.score(key, seeds[entry.name]), entry.name)
        # Most entries are not picked, which the first few with a higher rank show.
        for name, seed in seeds.items():
            if (rendezvous.score(key, seed), name) > own:
                count -= 1
                if count <= 0:
                    return False
        return True

    def pick_all(self, target: Member) -> list[str]:
        """Return all entries that a target picks."""
        shares = self.share_picks(target)
        return [
            name
            for zone, count in shares.items()
            for name in self.pick(target, zone, count)
        ]

    def is_same_region(self, zone: str, other: str) -> bool:
        """Return whether two zones are in the same region, as far as that is known."""
        return self._region_of.get(zone, "") == self._region_of.get(other, "")

    def _rank_zone(self, key: bytes, own: str, zone: str) -> float:
        if zone == own:
            return -1.0
        # A zone with twice the entries is first twice as often.
        rank = rendezvous.score(key, self._zone_seeds[zone])
        return -math.log((rank + 1) / _HASH_RANGE) / self.sizes[zone]


class SubsetMap:
    """Track which targets pick an entry, updated as members join and leave.

    Each target picks its entries by rendezvous hash. So every entry computes the same
    map from the same list without communication, a target that joins or leaves moves
    only its own connections, and an entry that leaves moves only the targets that had
    picked it. Every target has the same number of entries.
    """

    def __init__(
        self, own: Member, *, region_of: Mapping[str, str] | None = None
    ) -> None:
        self._own = own
        self._region_of = region_of or {}
        self._entries: frozenset[Member] = frozenset()
        self._targets: frozenset[Member] = frozenset()
        self._zones = ZoneMap((), {})
        self._shares: dict[Member, int] = {}
        """Number of entries that each target picks in this entry's zone."""
        self._picks: dict[Member, bool] = {}
        """Whether a target that picks in this entry's zone picks this entry."""
        self._chosen: frozenset[str] = frozenset()
        self._primary_targets: frozenset[str] | None = None

    def update(
        self, *, entries: Iterable[Member], targets: Iterable[Member]
    ) -> frozenset[str]:
        """Apply the live list; return the names of this entry's targets."""
        # This entry may not be on the lagging list yet.
        new_entries = frozenset((*entries, self._own))
        new_targets = frozenset(targets)
        if new_entries == self._entries and new_targets == self._targets:
            return self._chosen
        if new_entries != self._entries:
            self._update_entries(new_entries)
        self._targets = new_targets
        self._chosen = frozenset(self._choose())
        self._primary_targets = None
        return self._chosen

    def find_primary_targets(self) -> frozenset[str]:
        """Return the targets that rank this entry first among all that they pick."""
        if self._primary_targets is None:
            self._primary_targets = frozenset(
                one.name
                for one in self._targets
                if one.name in self._chosen and self._is_first(one)
            )
        return self._primary_targets

    def _is_first(self, target: Member) -> bool:
        # All its entries get the same result, provided that their lists agree.
        names = self._zones.pick_all(target)
        key = target.name.encode()
        seeds = {name: rendezvous.hash_name(name) for name in names}
        return rendezvous.rank(key, seeds, count=1) == [self._own.name]

    def _update_entries(self, entries: frozenset[Member]) -> None:
        zones = ZoneMap(entries, self._region_of)
        own_zone = self._own.availability_zone
        counts = {zone: len(seeds) for zone, seeds in zones.seeds.items()}
        old = {zone: len(seeds) for zone, seeds in self._zones.seeds.items()}
        if zones.sizes != self._zones.sizes or _cap_counts(counts) != _cap_counts(old):
            self._shares.clear()
            self._picks.clear()
        elif zones.seeds[own_zone] != self._zones.seeds[own_zone]:
            self._picks.clear()
        self._entries = entries
        self._zones = zones

    def _choose(self) -> set[str]:
        if len(self._targets) <= FULL_SUBSET:
            return {one.name for one in self._targets}
        for gone in self._shares.keys() - self._targets:
            del self._shares[gone]
            self._picks.pop(gone, None)
        own_zone = self._own.availability_zone
        for target in self._targets - self._shares.keys():
            self._shares[target] = self._zones.share_picks(target).get(own_zone, 0)
        chosen = set()
        for target, share in self._shares.items():
            if share and self._is_picked(target, share):
                chosen.add(target.name)
        return add_minimum_targets(self._own, chosen, self._targets, self._zones)

    def _is_picked(self, target: Member, share: int) -> bool:
        picked = self._picks.get(target)
        if picked is None:
            picked = self._zones.is_picked(target, self._own, share)
            self._picks[target] = picked
        return picked


def add_minimum_targets(
    own: Member, chosen: set[str], targets: Iterable[Member], zones: ZoneMap
) -> set[str]:
    """Add the targets that rank highest for an entry to services with too few."""
    by_service: dict[str, list[Member]] = {}
    for one in targets:
        by_service.setdefault(one.service, []).append(one)
    key = own.name.encode()

    def rank(target: Member) -> tuple[bool, bool, int]:
        zone = target.availability_zone
        return (
            zone == own.availability_zone,
            zones.is_same_region(zone, own.availability_zone),
            rendezvous.score(key, rendezvous.hash_name(target.name)),
        )

    for members in by_service.values():
        missing = TARGETS_PER_SERVICE - sum(one.name in chosen for one in members)
        if missing > 0:
            remaining = [one for one in members if one.name not in chosen]
            remaining.sort(key=rank, reverse=True)
            chosen |= {one.name for one in remaining[:missing]}
    return chosen


def _cap_counts(counts: Mapping[str, int]) -> dict[str, int]:
    return {zone: min(count, ENTRIES_PER_TARGET) for zone, count in counts.items()}

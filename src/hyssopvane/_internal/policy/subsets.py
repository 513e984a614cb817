"""Choose the bounded subset of targets that each entry connects to."""

from bisect import insort
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hyssopvane._internal.policy import rendezvous

# A fleet of today's size is known whole by every entry: nothing is gained by a subset
# of a dozen targets, and each choice gets better by each of them.
FULL_SUBSET = 64
# Entries that each target is connected to. At 960 entries and 10,000 targets this is
# 42 targets an entry, 7 of each of 6 services. A heartbeat is a frame of 92 bytes,
# about 200 with TCP/IP and its acknowledgement: every 4 s both ways over 42
# connections it takes 4.1 of the 6 KB/s that a daemon may use for control. Every
# 0.5 s, as at today's sizes, it would take 33; 8 entries a target would take 8.2.
ENTRIES_PER_TARGET = 4
# Of these in the target's own zone, where a hop is shortest. The others let its zone's
# work spill out and keep it in use when its zone's entries fail.
OWN_ZONE_ENTRIES = 2
# Targets of each service that an entry is connected to at least. With fewer, two
# random choices are none, and one loss leaves the entry without a choice.
TARGETS_PER_SERVICE = 4


@dataclass(frozen=True, slots=True)
class Member:
    """Describe one entry or target of the live list."""

    name: str
    availability_zone: str
    service: str = ""


# Whether the entry is in the target's region, its rank, and its name.
_Ranked = tuple[bool, int, str]


@dataclass(slots=True)
class _TargetPicks:
    """Hold the entries that a target picks, the highest ranked last."""

    member: Member
    key: bytes
    own: list[_Ranked] = field(default_factory=list)
    others: list[_Ranked] = field(default_factory=list)

    def find_names(self) -> set[str]:
        # A zone that has lost its entries must not leave its targets with fewer.
        missing = ENTRIES_PER_TARGET - len(self.own)
        return {name for _, _, name in (*self.own, *self.others[-missing:])}


class SubsetMap:
    """Hold which targets pick an entry, kept up to date as members come and go.

    Each target picks its entries by rendezvous hash, so that every entry works out the
    same map from the same list without a word between them, a target that joins or
    leaves moves its own connections only, and an entry that leaves moves only the
    targets that had picked it. Every target has the same number of entries.
    """

    def __init__(
        self, own: Member, *, region_of: Mapping[str, str] | None = None
    ) -> None:
        self._own = own
        self._region_of = region_of or {}
        self._entries: dict[str, Member] = {}
        self._seeds: dict[str, int] = {}
        self._targets: dict[str, Member] = {}
        self._picks: dict[str, _TargetPicks] = {}

    def update(
        self, *, entries: Iterable[Member], targets: Iterable[Member]
    ) -> frozenset[str]:
        """Take the live list; return the names of this entry's targets."""
        self._update_entries(entries)
        self._targets = {one.name: one for one in targets}
        if len(self._targets) <= FULL_SUBSET:
            self._picks.clear()
            return frozenset(self._targets)
        self._update_picks()
        chosen = {
            name
            for name, picks in self._picks.items()
            if self._own.name in picks.find_names()
        }
        return frozenset(self._fill_up(chosen))

    def _update_entries(self, entries: Iterable[Member]) -> None:
        # This entry may not be on the lagging list yet.
        new = {one.name: one for one in entries} | {self._own.name: self._own}
        gone = {name for name, one in self._entries.items() if new.get(name) != one}
        joined = [one for name, one in new.items() if self._entries.get(name) != one]
        self._entries = new
        for name in gone:
            self._seeds.pop(name, None)
        for one in joined:
            self._seeds[one.name] = rendezvous.hash_name(one.name)
        if gone:
            self._picks = {
                name: picks
                for name, picks in self._picks.items()
                if not gone & {one[2] for one in (*picks.own, *picks.others)}
            }
        for picks in self._picks.values():
            for one in joined:
                self._offer(picks, one)

    def _update_picks(self) -> None:
        for name in self._picks.keys() - self._targets.keys():
            del self._picks[name]
        for name, member in self._targets.items():
            known = self._picks.get(name)
            if known is None or known.member != member:
                self._picks[name] = self._pick(member)

    def _pick(self, target: Member) -> _TargetPicks:
        picks = _TargetPicks(target, target.name.encode())
        for entry in self._entries.values():
            self._offer(picks, entry)
        return picks

    def _offer(self, picks: _TargetPicks, entry: Member) -> None:
        zone, entrys_zone = picks.member.availability_zone, entry.availability_zone
        near = self._get_region(entrys_zone) == self._get_region(zone)
        rank = rendezvous.score(picks.key, self._seeds[entry.name])
        own = entrys_zone == zone
        _insert(
            picks.own if own else picks.others,
            (near, rank, entry.name),
            limit=OWN_ZONE_ENTRIES if own else ENTRIES_PER_TARGET,
        )

    def _get_region(self, zone: str) -> str:
        return self._region_of.get(zone, "")

    def _fill_up(self, chosen: set[str]) -> set[str]:
        """Add the targets that rank highest here to services with too few."""
        by_service: dict[str, list[Member]] = {}
        for one in self._targets.values():
            by_service.setdefault(one.service, []).append(one)
        key = self._own.name.encode()
        for members in by_service.values():
            missing = TARGETS_PER_SERVICE - sum(one.name in chosen for one in members)
            if missing <= 0:
                continue
            rest = [one for one in members if one.name not in chosen]
            rest.sort(key=lambda one: self._rank_to_fill(key, one), reverse=True)
            chosen |= {one.name for one in rest[:missing]}
        return chosen

    def _rank_to_fill(self, key: bytes, target: Member) -> tuple[bool, bool, int]:
        zone, own_zone = target.availability_zone, self._own.availability_zone
        return (
            zone == own_zone,
            self._get_region(zone) == self._get_region(own_zone),
            rendezvous.score(key, rendezvous.hash_name(target.name)),
        )


def _insert(ranked: list[_Ranked], item: _Ranked, *, limit: int) -> None:
    if len(ranked) < limit:
        insort(ranked, item)
    elif item > ranked[0]:
        ranked[0] = item
        ranked.sort()

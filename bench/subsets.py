"""Measure the evenness of subsets, connections moved by changes, and their cost."""

import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from random import Random

from bench.output import parse_options, print_table, write_json
from hyssopvane._internal.policy.subsets import (
    Member,
    SubsetMap,
    ZoneMap,
    add_minimum_targets,
)

# The intended fleet has 960 entries, 10,000 targets, 6 services and 14 zones in 4
# regions.
_ZONES = {f"z{number}": f"region{number % 4}" for number in range(14)}
_SERVICES = 6
# A heartbeat frame as encoded by the codec, its TCP/IP headers, and the headers of the
# acknowledgement.
_HEARTBEAT_BYTES = 92 + 52 + 52
_HEARTBEAT_S = 4.0

Picks = Mapping[Member, frozenset[str]]


@dataclass(frozen=True, slots=True)
class SubsetRow:
    """Hold the results of one subsetting method for one fleet."""

    way: str
    entries: int
    targets: int
    per_target_min: int
    per_target_max: int
    targets_per_entry: float
    entry_max_to_mean: float
    target_load_max_to_mean: float
    """Imbalance if each entry distributes equal work evenly over its targets."""
    two_choices_max_to_mean: float
    """Imbalance if each request goes to the less loaded of two random targets."""
    moved_entry_leaves: float
    """Share of all connections that change if one entry leaves."""
    moved_target_leaves: float
    control_bytes_per_s: float


def main(arguments: Sequence[str]) -> int:
    """Measure all methods and fleet sizes and print a table."""
    options = parse_options("subsets", arguments)
    rows = [
        measure(way, entries, targets)
        for entries, targets in ((24, 240), (240, 2_500), (960, 10_000))
        for way in ("picks", "shuffled ring")
    ]
    print_table(rows)
    costs = measure_cost(960, 10_000)
    print(
        "one entry at 960 x 10,000: " + ", ".join(f"{k} {v}" for k, v in costs.items())
    )
    write_json(options.json, {"rows": [asdict(row) for row in rows], "cost": costs})
    return 0


def measure(way: str, entry_count: int, target_count: int) -> SubsetRow:
    """Measure one subsetting method for one fleet size."""
    entries, targets = make_members(entry_count, target_count)
    before = choose(way, entries, targets)
    per_target = [len(names) for names in before.values()]
    per_entry = Counter(name for names in before.values() for name in names)
    total = sum(per_target)
    mean = total / entry_count
    heartbeats = 2 * _HEARTBEAT_BYTES / _HEARTBEAT_S
    return SubsetRow(
        way=way,
        entries=entry_count,
        targets=target_count,
        per_target_min=min(per_target),
        per_target_max=max(per_target),
        targets_per_entry=round(mean, 1),
        entry_max_to_mean=round(max(per_entry.values()) / mean, 2),
        target_load_max_to_mean=round(measure_load(before), 2),
        two_choices_max_to_mean=round(measure_two_choices(before), 2),
        moved_entry_leaves=round(
            count_moved(before, choose(way, entries[1:], targets)) / total, 4
        ),
        moved_target_leaves=round(
            count_moved(before, choose(way, entries, targets[1:])) / total, 5
        ),
        control_bytes_per_s=round(mean * heartbeats),
    )


def make_members(
    entry_count: int, target_count: int
) -> tuple[list[Member], list[Member]]:
    """Return a fleet distributed evenly over zones and services."""
    zones = list(_ZONES)
    entries = [Member(f"e{n}", zones[n % len(zones)]) for n in range(entry_count)]
    targets = [
        Member(f"t{n}", zones[n % len(zones)], f"s{(n // len(zones)) % _SERVICES}")
        for n in range(target_count)
    ]
    return entries, targets


def choose(
    way: str, entries: Sequence[Member], targets: Sequence[Member]
) -> dict[Member, frozenset[str]]:
    """Return the entries that connect to each target."""
    if way == "picks":
        return choose_by_picks(entries, targets)
    return choose_by_shuffle(entries, targets)


def choose_by_picks(
    entries: Sequence[Member], targets: Sequence[Member]
) -> dict[Member, frozenset[str]]:
    """Choose subsets as the entries do, computed once for all of them."""
    zones = ZoneMap(entries, _ZONES)
    picks = {one: set(zones.pick_all(one)) for one in targets}
    by_name = {one.name: one for one in targets}
    chosen: dict[str, set[str]] = {one.name: set() for one in entries}
    for target, names in picks.items():
        for name in names:
            chosen[name].add(target.name)
    for entry in entries:
        for name in add_minimum_targets(entry, chosen[entry.name], targets, zones):
            picks[by_name[name]].add(entry.name)
    return {one: frozenset(names) for one, names in picks.items()}


def choose_by_shuffle(
    entries: Sequence[Member], targets: Sequence[Member]
) -> dict[Member, frozenset[str]]:
    """Assign shuffled targets of each service and region to entries in rounds.

    This is the usual deterministic subsetting. It is even by construction, but a
    subset depends on the entry's position in the list.
    """
    picks: dict[Member, set[str]] = {one: set() for one in targets}
    for region in sorted(set(_ZONES.values())):
        region_entries = [e for e in entries if _ZONES[e.availability_zone] == region]
        for service in range(_SERVICES):
            pool = [
                t
                for t in targets
                if _ZONES[t.availability_zone] == region and t.service == f"s{service}"
            ]
            _deal(pool, region_entries, picks)
    return {one: frozenset(names) for one, names in picks.items()}


def _deal(
    pool: Sequence[Member], entries: Sequence[Member], picks: Mapping[Member, set[str]]
) -> None:
    if not pool or not entries:
        return
    size = max(1, round(4 * len(pool) / len(entries)))
    per_round = max(1, len(pool) // size)
    for index, entry in enumerate(entries):
        shuffled = list(pool)
        Random(index // per_round).shuffle(shuffled)
        start = (index % per_round) * size
        for target in shuffled[start : start + size]:
            picks[target].add(entry.name)


def measure_load(picks: Picks) -> float:
    """Return the highest ratio, over services, of maximum to mean expected load."""
    per_entry: Counter[tuple[str, str]] = Counter()
    for target, names in picks.items():
        per_entry.update((name, target.service) for name in names)
    worst = 0.0
    for service in {target.service for target in picks}:
        loads = [
            sum(1 / per_entry[name, service] for name in names)
            for target, names in picks.items()
            if target.service == service
        ]
        worst = max(worst, max(loads) * len(loads) / sum(loads))
    return worst


def measure_two_choices(picks: Picks) -> float:
    """Return the ratio of maximum to mean requests with two random choices."""
    random = Random(1)
    per_entry: dict[tuple[str, str], list[Member]] = {}
    for target, names in picks.items():
        for name in sorted(names):
            per_entry.setdefault((name, target.service), []).append(target)
    # Simulates 20 requests in flight per target, equally many from each entry and
    # service.
    count = 20 * len(picks) // len(per_entry)
    load: Counter[Member] = Counter()
    for _ in range(count):
        for targets in per_entry.values():
            one, other = random.choice(targets), random.choice(targets)
            load[one if load[one] <= load[other] else other] += 1
    worst = 0.0
    for service in {target.service for target in picks}:
        loads = [load[one] for one in picks if one.service == service]
        worst = max(worst, max(loads) * len(loads) / sum(loads))
    return worst


def count_moved(before: Picks, after: Picks) -> int:
    """Count added and removed connections between members of both fleets."""
    entries = {name for names in after.values() for name in names}
    return sum(
        len((after[target] ^ names) & entries)
        for target, names in before.items()
        if target in after
    )


def measure_cost(entry_count: int, target_count: int) -> dict[str, float]:
    """Return the milliseconds that one entry takes to update its subset."""
    entries, targets = make_members(entry_count, target_count)
    subset = SubsetMap(entries[0], region_of=_ZONES)
    steps: dict[str, tuple[Iterable[Member], Iterable[Member]]] = {
        "first_ms": (entries, targets),
        "unchanged_ms": (entries, targets),
        "target_leaves_ms": (entries, targets[:-1]),
        "entry_of_other_zone_leaves_ms": (entries[:-1], targets[:-1]),
        "entry_of_own_zone_leaves_ms": (entries[:14] + entries[15:-1], targets[:-1]),
    }
    costs = {}
    for name, (new_entries, new_targets) in steps.items():
        started_at = time.perf_counter()
        subset.update(entries=new_entries, targets=new_targets)
        costs[name] = round((time.perf_counter() - started_at) * 1000, 1)
    return costs

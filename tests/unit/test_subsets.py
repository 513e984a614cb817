"""Test which targets each entry connects to."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.subsets import (
    ENTRIES_PER_TARGET,
    FULL_SUBSET,
    OWN_ZONE_ENTRIES,
    TARGETS_PER_SERVICE,
    Member,
    SubsetMap,
)

ZONES = ("a", "b", "c")


def make_entries(count):
    return [Member(f"e{n}", ZONES[n % len(ZONES)]) for n in range(count)]


def make_targets(count):
    return [Member(f"t{n}", ZONES[n % len(ZONES)], f"s{n % 2}") for n in range(count)]


def choose_all(entries, targets):
    return {
        one.name: SubsetMap(one).update(entries=entries, targets=targets)
        for one in entries
    }


def count_entries(subsets):
    return Counter(name for chosen in subsets.values() for name in chosen)


def test_every_entry_connects_to_all_targets_of_a_small_fleet():
    targets = make_targets(FULL_SUBSET)
    subsets = choose_all(make_entries(30), targets)
    assert all(len(chosen) == FULL_SUBSET for chosen in subsets.values())


@pytest.mark.parametrize("entry_count", [1, 3, 5, 24])
def test_every_target_has_its_entries(entry_count):
    targets = make_targets(150)
    subsets = choose_all(make_entries(entry_count), targets)
    counts = count_entries(subsets)
    assert min(counts[one.name] for one in targets) >= min(
        entry_count, ENTRIES_PER_TARGET
    )


def test_own_zone_is_preferred_and_services_are_covered():
    entries, targets = make_entries(24), make_targets(150)
    zone_of = {one.name: one.availability_zone for one in (*entries, *targets)}
    own_zone = Counter()
    for name, chosen in choose_all(entries, targets).items():
        services = Counter(f"s{int(target[1:]) % 2}" for target in chosen)
        assert min(services.values()) >= TARGETS_PER_SERVICE
        own_zone.update(one for one in chosen if zone_of[one] == zone_of[name])
    assert min(own_zone[one.name] for one in targets) >= OWN_ZONE_ENTRIES


@pytest.mark.parametrize("target_count", [12, 150])
def test_each_target_has_one_primary_entry(target_count):
    entries, targets = make_entries(24), make_targets(target_count)
    primary_counts = Counter()
    for one in entries:
        subset = SubsetMap(one)
        chosen = subset.update(entries=entries, targets=targets)
        assert subset.find_primary_targets() <= chosen
        primary_counts.update(subset.find_primary_targets())
    assert primary_counts == {one.name: 1 for one in targets}


def test_zone_that_lost_its_entries_keeps_its_targets():
    """Guards against idle targets in a zone without entries.

    All entries of a zone are gone, its targets live. If only the entries of its own
    zone connected to a target, a third of the capacity would be idle while callers are
    refused.
    """
    entries = [one for one in make_entries(24) if one.availability_zone != "a"]
    targets = make_targets(150)
    counts = count_entries(choose_all(entries, targets))
    assert min(counts[one.name] for one in targets) >= ENTRIES_PER_TARGET


@pytest.mark.parametrize(
    ("zones", "far_targets"),
    [("abcd" * 6, False), ("abc" * 8, False), ("ab" * 11 + "c", True)],
    ids=["two-zones", "one-zone", "too-few-entries"],
)
def test_other_regions_come_last(zones, far_targets):
    """Check that targets in other regions are picked only when entries are missing.

    Zones a and b are the north, c and d the south, which may lack entries.
    """
    region_of = {"a": "north", "b": "north", "c": "south", "d": "south"}
    entries = [Member(f"e{n}", zone) for n, zone in enumerate(zones)]
    targets = [Member(f"t{n}", zones[n % len(zones)], "s") for n in range(240)]
    region = {one.name: region_of[one.availability_zone] for one in targets}
    far = Counter()
    for one in entries:
        chosen = SubsetMap(one, region_of=region_of).update(
            entries=entries, targets=targets
        )
        home = region_of[one.availability_zone]
        far.update(name for name in chosen if region[name] != home)
    assert bool(far) is far_targets


@pytest.mark.parametrize("change", ["entry-leaves", "entry-joins", "target-leaves"])
def test_one_change_moves_few_connections(change):
    entries, targets = make_entries(24), make_targets(150)
    before = choose_all(entries, targets)
    if change == "entry-leaves":
        entries = entries[1:]
    elif change == "entry-joins":
        entries = [*entries, Member("new", "a")]
    else:
        targets = targets[1:]
    after = choose_all(entries, targets)
    moved = sum(
        len(after[name] ^ chosen) for name, chosen in before.items() if name in after
    )
    most = ENTRIES_PER_TARGET if change == "target-leaves" else 2 * 150 * 4 // 24
    assert moved <= 1.5 * most


_CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["entry", "target"]),
        st.integers(0, 19),
        st.integers(0, 79),
        st.booleans(),
    ),
    max_size=12,
)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(_CHANGES)
def test_subset_does_not_depend_on_history(changes):
    """Guards against subsets that depend on the order of updates.

    Entries receive changes in different order, some after a restart. If a subset
    depended on earlier lists, entries would disagree on which of them serves a target,
    and some target would have none.
    """
    entries = {one.name: one for one in make_entries(20)}
    targets = {one.name: one for one in make_targets(80)}
    own = entries["e0"]
    followed = SubsetMap(own)
    followed.update(entries=entries.values(), targets=targets.values())
    for kind, entry, target, present in changes:
        group, index = (entries, entry) if kind == "entry" else (targets, target)
        made = make_entries(20) if kind == "entry" else make_targets(80)
        if present:
            group[made[index].name] = made[index]
        else:
            group.pop(made[index].name, None)
        chosen = followed.update(entries=entries.values(), targets=targets.values())
        fresh = SubsetMap(own)
        assert chosen == fresh.update(
            entries=entries.values(), targets=targets.values()
        )

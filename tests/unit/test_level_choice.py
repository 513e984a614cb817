"""Test the choice among replicas by loads that many entries saw a moment ago."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hyssopvane._internal.policy.level_choice import (
    REQUEST_COST,
    choose_below,
    find_level,
)
from tests.unit.test_service_gate import (
    ENGINE,
    list_places,
    make_gate,
    make_load,
    make_waiting,
)

SLOTS = 6


@given(
    st.lists(st.integers(0, 20), min_size=1, max_size=40),
    st.floats(0.01, 200),
)
def test_level_holds_just_what_is_poured(costs, added):
    level = find_level(costs, added)
    poured = sum(max(0.0, level - cost) for cost in costs)
    assert poured == pytest.approx(added)


@given(
    st.lists(st.integers(0, 5), min_size=1, max_size=20),
    st.floats(0, 50),
    st.integers(0, 100),
)
def test_replica_above_the_level_is_not_chosen(costs, arrivals, seed):
    free = [SLOTS - cost for cost in costs]
    number = choose_below(costs, arrivals, free=free, random=Random(seed))
    assert costs[number] < find_level(costs, max(1.0, arrivals) * REQUEST_COST)


def test_alone_an_entry_sends_to_the_least_loaded():
    costs = [4, 4, 0, 4]
    chosen = {
        choose_below(costs, 1.0, free=[2, 2, 6, 2], random=Random(seed))
        for seed in range(50)
    }
    assert chosen == {2}


def play_shared_loads(*, entries, ranks, steps, arrivals):
    """Let entries place requests by shared loads; return the fullest rank's."""
    gates = [make_gate(ranks, engine=ENGINE, seed=seed) for seed in range(entries)]
    random = Random(7)
    ends = []
    fullest = 0
    for step in range(1, steps + 1):
        now = step * 0.12
        ends = [(rank, at) for rank, at in ends if at > now]
        active = [0] * ranks
        for rank, _ in ends:
            active[rank] += 1
        fullest = max(fullest, *active)
        for gate in gates:
            for rank in range(ranks):
                load = make_load(
                    rank, ranks=ranks, active=active[rank], step=step, entries=entries
                )
                gate.observe_load(load, now=now)
        for number in range(arrivals):
            gate = random.choice(gates)
            gate.add(make_waiting(step * 1_000 + number, now=now), weight=1.0)
            for place in list_places(gate.settle(now)):
                rank = int(place.replica.id.removeprefix("i-"))
                ends.append((rank, now + random.uniform(0.6, 1.6)))
    return fullest


def test_entries_with_the_same_loads_do_not_fill_the_same_ranks():
    """Thirteen entries see eight times a second which ranks have least to do.

    All of them sent what came until the next loads to these few. Their slots were full
    and callers waited there for a second, while half of all slots were free.
    """
    fullest = play_shared_loads(entries=13, ranks=63, steps=40, arrivals=14)
    assert fullest <= SLOTS

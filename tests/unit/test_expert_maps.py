"""Test the choice of expert maps, and when experts are moved."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.expert_maps import (
    ExpertMap,
    add_missing_experts,
    choose_map,
    list_improvements,
    measure_move,
    spread_evenly,
)
from hyssopvane._internal.policy.rebalancing import (
    GroupCosts,
    LoadEstimate,
    MoveRules,
    Rebalancer,
    RebalancerLimits,
    measure_step_skew,
)

COSTS = GroupCosts(
    slots=4,
    bytes_per_expert=300_000_000,
    store_bytes_per_s=1e9,
    base_step_s=0.0045,
    s_per_token=0.00001,
)
EVEN = [100.0] * 16
HOT = [1600.0, 900.0, *([50.0] * 14)]
ALWAYS = MoveRules(skew_worth=10.0, move_cost=1.0)


def count_on_rank(expert_map, rank):
    return sum(rank in holders for holders in expert_map.ranks_by_expert)


@st.composite
def groups(draw):
    ranks = draw(st.integers(2, 8))
    experts = draw(st.integers(ranks, 24))
    slots = -(-experts // ranks) + draw(st.integers(0, 3))
    loads = draw(
        st.lists(st.floats(0, 1e6), min_size=experts, max_size=experts).filter(any)
    )
    return ranks, experts, slots, loads


@given(groups(), st.integers(1, 40), st.booleans())
@settings(derandomize=True, max_examples=300, deadline=None)
def test_map_respects_the_slots(group, max_copies, keep):
    ranks, experts, slots, loads = group
    current = spread_evenly(ranks=ranks, experts=experts)
    chosen = choose_map(loads, slots=slots, current=current, keep=keep)
    improvements = list_improvements(
        loads, slots=slots, current=current, budgets=(1, max_copies)
    )
    for one in (chosen, *improvements):
        assert all(one.ranks_by_expert)
        assert all(count_on_rank(one, rank) <= slots for rank in range(ranks))
        assert sum(one.measure_ranks(loads)) == pytest.approx(sum(loads))
    for one in improvements:
        assert one.measure_skew(loads) <= current.measure_skew(loads) + 1e-9
        # The last change may be a swap of two experts.
        assert measure_move(current, one).copies <= max_copies + 1


@pytest.mark.parametrize(
    ("old", "new", "copies", "most"),
    [
        (((0,), (1,)), ((0,), (1,)), 0, 0),
        (((0,), (1,)), ((0, 1), (1,)), 1, 1),
        (((0,), (1,)), ((1,), (0,)), 2, 1),
        (((0, 1), (1,)), ((0,), (1,)), 0, 0),
    ],
)
def test_move_counts_new_copies_only(old, new, copies, most):
    size = measure_move(ExpertMap(2, old), ExpertMap(2, new))
    assert (size.copies, size.most_on_a_rank) == (copies, most)


@pytest.mark.parametrize("keep", [True, False])
def test_hot_expert_is_replicated(keep):
    current = spread_evenly(ranks=8, experts=16)
    chosen = choose_map(HOT, slots=4, current=current, keep=keep)
    assert len(chosen.ranks_by_expert[0]) > 1
    assert chosen.measure_skew(HOT) < 1.2 < current.measure_skew(HOT)


@pytest.mark.parametrize(
    ("loads", "rules", "hour", "moves"),
    [
        pytest.param(HOT, ALWAYS, 3, True, id="hot"),
        pytest.param(EVEN, ALWAYS, 3, False, id="even"),
        pytest.param(HOT, MoveRules(0.0, 1.0), 3, False, id="skew worth nothing"),
        pytest.param(HOT, MoveRules(0.01, 100.0), 3, False, id="moves too expensive"),
        pytest.param(HOT, MoveRules(10.0, 1.0, 0, 10), 10, False, id="after hours"),
        pytest.param(HOT, MoveRules(10.0, 1.0, 0, 10), 9, True, id="within hours"),
        pytest.param(HOT, MoveRules(10.0, 1.0, 22, 4), 3, True, id="past midnight"),
        pytest.param(HOT, MoveRules(10.0, 1.0, 22, 4), 5, False, id="morning"),
        pytest.param(HOT, MoveRules(10.0, 1.0, 5, 5), 5, False, id="no hour"),
    ],
)
def test_row_of_the_service_decides_whether_experts_move(loads, rules, hour, moves):
    rebalancer = Rebalancer(COSTS, spread_evenly(ranks=8, experts=16))
    move = rebalancer.choose_move(loads, rules, now=0.0, hour=hour)
    assert (move is not None) is moves


def test_one_move_at_a_time_and_not_soon_after():
    rebalancer = Rebalancer(COSTS, spread_evenly(ranks=8, experts=16))
    move = rebalancer.choose_move(HOT, ALWAYS, now=0.0, hour=0)
    assert move is not None
    rebalancer.begin()
    assert rebalancer.choose_move(HOT, ALWAYS, now=1.0, hour=0) is None
    rebalancer.end(rebalancer.current, now=2.0)
    wait_s = RebalancerLimits().min_interval_s
    assert rebalancer.choose_move(HOT, ALWAYS, now=1.0 + wait_s, hour=0) is None
    assert rebalancer.choose_move(HOT, ALWAYS, now=3.0 + wait_s, hour=0) is not None


def test_higher_cost_moves_fewer_bytes():
    current = spread_evenly(ranks=8, experts=16)
    moved = []
    for cost in (1.0, 40.0):
        rules = MoveRules(skew_worth=1.0, move_cost=cost)
        move = Rebalancer(COSTS, current).choose_move(HOT, rules, now=0.0, hour=0)
        assert move is not None
        assert move.gain > move.cost
        assert move.skew_after < move.skew_before
        moved.append(move.bytes_moved)
    assert moved[0] >= moved[1] > 0


def test_noise_does_not_move_experts():
    """Let every expert's load fluctuate around one mean.

    A policy that followed each fluctuation would fetch weights continuously and slow
    down the callers' steps without any benefit.
    """
    estimate = LoadEstimate(16, half_life_s=300.0)
    rebalancer = Rebalancer(COSTS, spread_evenly(ranks=8, experts=16))
    for index in range(200):
        jumped = [150.0 if (index + one) % 3 else 10.0 for one in range(16)]
        estimate.observe(jumped, index * 10.0)
        if estimate.is_settled:
            now = index * 10.0
            loads = estimate.loads
            assert rebalancer.choose_move(loads, ALWAYS, now=now, hour=0) is None
            assert measure_step_skew(COSTS, rebalancer.current, loads) < 1.03


def test_estimate_follows_a_lasting_change():
    estimate = LoadEstimate(2, half_life_s=100.0)
    estimate.observe([10.0, 10.0], 0.0)
    assert not estimate.is_settled
    for now in range(10, 1010, 10):
        estimate.observe([40.0, 0.0], float(now))
    assert estimate.is_settled
    assert estimate.loads == pytest.approx((40.0, 0.0), abs=0.1)


def test_experts_that_do_not_fit_are_refused():
    with pytest.raises(ValueError, match="do not fit"):
        choose_map(EVEN, slots=1, current=spread_evenly(ranks=8, experts=16))


@pytest.mark.parametrize(
    ("rows", "places", "expected"),
    [
        ([(0, 1), (2, 3)], 2, ((0, 1), (2, 3))),
        ([(0, 1), (2,)], 2, ((0, 1), (2, 3))),
        ([(0, 1), (0, 2)], 2, ((1, 3), (0, 2))),
        ([(0, 1), (0, 1), (2,)], 2, ((0, 1), (0, 1), (2, 3))),
    ],
)
def test_experts_that_no_rank_has_are_added(rows, places, expected):
    added = add_missing_experts(rows, experts=4, places=places)
    assert added == expected

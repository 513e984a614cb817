"""Test the choice of a few new copies of experts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hyssopvane._internal.policy.expert_moves import (
    MoveBounds,
    choose_move,
    measure_skew,
)


def spread(ranks, experts):
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))


@st.composite
def make_case(draw):
    ranks = draw(st.integers(2, 8))
    experts = ranks * draw(st.integers(1, 4))
    loads = draw(
        st.lists(st.floats(0, 1_000), min_size=experts, max_size=experts).filter(any)
    )
    places = experts // ranks + draw(st.integers(0, 3))
    bounds = MoveBounds(places, draw(st.integers(1, 3)), draw(st.integers(1, 3)))
    return ranks, experts, loads, bounds


@given(make_case())
def test_every_expert_keeps_a_rank_and_no_bound_is_exceeded(case):
    ranks, experts, loads, bounds = case
    before = spread(ranks, experts)
    for _ in range(4):
        move = choose_move((before, before), (loads, loads[::-1]), bounds)
        new_copies = [0] * ranks
        for one_set in move.experts:
            assert {e for held in one_set for e in held} == set(range(experts))
            for rank, (old, new) in enumerate(zip(before, one_set, strict=True)):
                assert len(new) <= bounds.places
                assert len(set(new) - set(old)) <= bounds.new_in_set
                new_copies[rank] += len(set(new) - set(old))
        assert max(new_copies) <= bounds.new_copies
        assert max(new_copies) == move.most_new
        for was, after in zip(move.skews_before, move.skews_after, strict=True):
            assert after <= was + 1e-9
        assert move.skews_after[0] == pytest.approx(
            measure_skew(move.experts[0], loads)
        )
        before = move.experts[0]


def test_one_hot_expert_is_spread_by_one_copy_per_rank():
    """One expert of ninety-six suddenly gets a quarter of all tokens.

    Its rank takes three times as long as the others, which lengthens every pause of
    every stream. One new copy on each rank removes most of that.
    """
    loads = [1.0] * 96
    loads[5] = 30.0
    before = spread(12, 96)
    bounds = MoveBounds(places=11, new_copies=1, new_in_set=4)
    move = choose_move((before,) * 3, (loads,) * 3, bounds)
    assert min(move.skews_before) > 3.0
    assert max(move.skews_after) < 1.8
    assert move.most_new == 1


def test_even_demand_moves_nothing():
    before = spread(12, 96)
    move = choose_move(
        (before,), ([1.0] * 96,), MoveBounds(places=11, new_copies=1, new_in_set=4)
    )
    assert move.experts == (before,)

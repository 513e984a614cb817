"""Test orders and expert map switches of one rank and of a lock-step group."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.standins.expert_rank import (
    ExpertRank,
    Order,
    OrderKind,
    OrderRefusal,
)
from hyssopvane._internal.standins.rank_group import (
    BASE_STEP_MS,
    MS_PER_TOKEN,
    ExpertMap,
    RankGroup,
    spread_experts,
)

STAGE = Order(OrderKind.STAGE, 1, "new", weights_bytes=10)
ARM = Order(OrderKind.ARM, 1, "new", step=5)
DECIDE = Order(OrderKind.DECIDE, 1, "new")
ABORT = Order(OrderKind.ABORT, 1, "new")


@pytest.mark.parametrize(
    ("orders", "refusal"),
    [
        ([ARM], OrderRefusal.NOT_STAGED),
        ([STAGE, Order(OrderKind.ARM, 1, "new", step=2)], OrderRefusal.STEP_PASSED),
        ([STAGE, DECIDE], OrderRefusal.NOT_ARMED),
        ([STAGE, ARM, ARM], None),
        (
            [STAGE, ARM, Order(OrderKind.ARM, 1, "new", step=6)],
            OrderRefusal.OTHER_MAP_ARMED,
        ),
        ([STAGE, ARM, Order(OrderKind.DECIDE, 1, "x")], OrderRefusal.OTHER_MAP_ARMED),
        ([STAGE, ARM, DECIDE, ABORT], OrderRefusal.ALREADY_DECIDED),
        ([STAGE, ARM, ABORT, DECIDE], OrderRefusal.NOT_ARMED),
        ([STAGE, ABORT, ARM], OrderRefusal.NOT_STAGED),
        (
            [Order(OrderKind.STAGE, 1, name) for name in "abc"],
            OrderRefusal.NO_MEMORY,
        ),
        ([Order(OrderKind.LOAD_ADAPTER, 1, "parish-books")], None),
    ],
)
def test_last_order_is_accepted_or_refused(orders, refusal):
    rank = ExpertRank("old", checks_fence=False)
    rank.skip_steps(2)
    assert [rank.apply_order(order) for order in orders][-1] is refusal


@pytest.mark.parametrize(
    ("checks_fence", "refusal"), [(True, OrderRefusal.OLD_FENCE), (False, None)]
)
def test_old_fence_is_refused_only_where_it_is_checked(checks_fence, refusal):
    rank = ExpertRank("old", checks_fence=checks_fence)
    assert rank.apply_order(Order(OrderKind.CHANGE_ROLE, 7, "prefill")) is None
    assert rank.apply_order(Order(OrderKind.CHANGE_ROLE, 6, "decode")) is refusal
    assert rank.highest_fence == 7
    assert len(rank.accepted) == (1 if refusal else 2)


@pytest.mark.parametrize(
    ("orders", "step", "used"),
    [
        ([STAGE, ARM, DECIDE], 9, "new"),
        ([STAGE, ARM], 4, "old"),
        ([STAGE, ARM, ABORT], 9, "old"),
    ],
)
@pytest.mark.parametrize("skips", [True, False])
def test_armed_rank_waits_for_the_decision(orders, step, used, skips):
    rank = ExpertRank("old", checks_fence=False)
    for order in orders:
        assert rank.apply_order(order) is None
    if skips:
        rank.skip_steps(9)
    else:
        for _ in range(9):
            rank.advance_step()
    assert (rank.step, rank.map) == (step, used)


@given(
    arm_step=st.integers(1, 12),
    armed_at=st.lists(st.integers(0, 12), min_size=3, max_size=3),
    decided_after=st.lists(st.integers(0, 12), min_size=3, max_size=3),
    aborts=st.booleans(),
)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_no_step_uses_two_maps(arm_step, armed_at, decided_after, aborts):
    """Orders reach the ranks of a group late and at different times.

    If a decision reached one rank before the step and another one after it, the two
    would route the same tokens by different maps and callers would get garbled
    answers.
    """
    group = RankGroup(3, 6)
    group.add_map(spread_experts("new", ranks=3, experts=6))
    all_armed_at, refused = max(armed_at), False
    for tick in range(40):
        for rank, armed, decided in zip(
            group.ranks, armed_at, decided_after, strict=True
        ):
            if tick == armed:
                rank.apply_order(STAGE)
                arm = Order(OrderKind.ARM, 1, "new", step=arm_step)
                refused |= rank.apply_order(arm) is not None
            if tick == all_armed_at + 1 + decided:
                rank.apply_order(ABORT if refused or aborts else DECIDE)
        group.advance([1.0] * 6)
    assert group.split_steps == []
    assert group.step > arm_step
    used = "initial" if refused or aborts else "new"
    assert {rank.map for rank in group.ranks} == {used}


@pytest.mark.parametrize(
    ("placement", "loads", "busiest"),
    [
        (((0,), (1,)), (100, 100), 100),
        (((0,), (1,)), (300, 100), 300),
        (((0,), (0,)), (100, 100), 200),
        (((0, 1), (1,)), (200, 100), 200),
    ],
)
def test_step_lasts_as_long_as_its_slowest_rank(placement, loads, busiest):
    group = RankGroup(2, 2)
    group.add_map(ExpertMap("placed", placement))
    for index in range(2):
        group.restart(index, "placed")
    report = group.advance(loads)
    assert report.step_ms == pytest.approx(BASE_STEP_MS + MS_PER_TOKEN * busiest)
    mean_ms = BASE_STEP_MS + MS_PER_TOKEN * sum(loads) / 2
    assert report.skew == pytest.approx(report.step_ms / mean_ms)
    assert report.maps_used == ("placed", "placed")


def test_stalled_rank_delays_the_group_for_one_step():
    group = RankGroup(2, 2)
    group.stall(1, 50.0)
    assert group.advance([0, 0]).step_ms == BASE_STEP_MS + 50.0
    assert group.advance([0, 0]).step_ms == BASE_STEP_MS


def test_split_step_is_recorded():
    """One rank restarts with a different map than the group uses.

    The rank did not read which map was decided. The group must record the step as
    split.
    """
    group = RankGroup(2, 2)
    group.add_map(spread_experts("new", ranks=2, experts=2))
    group.restart(0, "new")
    group.advance([0, 0])
    assert group.split_steps == [1]

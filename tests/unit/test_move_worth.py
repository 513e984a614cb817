"""Test that the size of a change follows from its savings and its cost."""

from random import Random

import pytest

from hyssopvane._internal.policy.move_worth import find_move
from hyssopvane._internal.state.routing import ExpertLayout

FAST_LINK, SLOW_LINK = 180_000.0, 4_400.0


def make_layout(link_mbps=FAST_LINK, *, sets=4):
    return ExpertLayout(sets, 96, 5, 2, 0.85, 110.0, link_mbps)


def make_case(*, ranks=24, sets=4, seed=1):
    random = Random(seed)
    spread = tuple(tuple(range(rank, 96, ranks)) for rank in range(ranks))
    loads = []
    for _ in range(sets):
        one = [(place + 1) ** -0.63 for place in range(96)]
        random.shuffle(one)
        loads.append(one)
    return (spread,) * sets, loads


def find(layout, *, lasts_s, current=None, loads=None):
    case, drawn = make_case()
    return find_move(
        current or case,
        loads or drawn,
        layout,
        paces=(),
        lasts_s=lasts_s,
        arming_s=0.1,
    )


def test_lasting_demand_is_worth_more_copies():
    """Copying for a demand that shifts meanwhile slows passes down without benefit."""
    brief, long = (find(make_layout(SLOW_LINK), lasts_s=s) for s in (0.5, 20.0))
    assert brief.copy_s < 0.5
    assert brief.move.most_new < long.move.most_new
    assert brief.saved < long.saved


@pytest.mark.parametrize("lasts_s", [1.0, 3.0, 10.0])
def test_fast_links_are_worth_more_copies(lasts_s):
    slow, fast = (
        find(make_layout(link), lasts_s=lasts_s) for link in (SLOW_LINK, FAST_LINK)
    )
    assert slow.move.most_new <= fast.move.most_new
    assert slow.worth_s <= fast.worth_s


def test_even_demand_saves_nothing():
    current, _ = make_case()
    found = find(make_layout(), lasts_s=3.0, loads=[[1.0] * 96] * 4)
    assert found.move.experts == current
    assert found.saved == 0


def test_worth_is_negative_when_demand_shifts_before_the_copies_arrive():
    found = find(make_layout(SLOW_LINK / 10), lasts_s=0.2)
    assert found.worth_s < 0

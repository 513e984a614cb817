"""Test that the state of a replica's earlier start does not apply to its next start."""

from dataclasses import replace
from random import Random

import pytest

from hyssopvane._internal.policy.map_coordinator import Phase
from hyssopvane._internal.policy.suspect_rules import LOST_CONNECTIONS
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.state.ranks import Arm
from hyssopvane._internal.state.suspects import Crash, SuspectId
from tests.lib.rank_model import TICK_S, Faults, GroupModel
from tests.unit.test_service_gate import (
    add,
    list_assignments,
    make_gate,
    make_load,
    make_replica,
    make_waiting,
)

BEFORE, AFTER = 1_700_000_000_000, 1_700_000_004_000


def make_restarted_gate(*, told_by):
    """Return a gate with a full replica that restarts, and the places of its earlier
    start.
    """
    gate = make_gate(0)
    gate.update([make_replica(0, started_ms=BEFORE)], None, now=0.0)
    alone = {"ranks": 1, "entries": 1}
    gate.observe_load(make_load(0, started_ms=BEFORE, **alone), now=0.0)
    add(gate, 6)
    places = list_assignments(gate.dispatch(0.0))
    assert len(places) == 6
    if told_by == "registration":
        restarted = gate.update([make_replica(0, started_ms=AFTER)], None, now=0.0)
        assert restarted == [make_replica(0).address]
    else:
        assert gate.observe_load(make_load(0, started_ms=AFTER, **alone), now=1.0)
    gate.observe_load(make_load(0, started_ms=AFTER, **alone), now=1.0)
    return gate, places


@pytest.mark.parametrize("told_by", ["registration", "load"])
def test_places_of_an_earlier_start_are_free_at_once(told_by):
    """A replica crashes with six requests and is back under its id within seconds.

    Their connections may hang for a long time. If they counted as running, they would
    keep all callers away from an idle replica.
    """
    gate, _ = make_restarted_gate(told_by=told_by)
    for number in range(10, 16):
        gate.add(make_waiting(number, now=1.0), weight=1.0)
    assert len(list_assignments(gate.dispatch(1.0))) == 6


@pytest.mark.parametrize("told_by", ["registration", "load"])
def test_end_of_an_old_request_frees_no_place_of_the_next_start(told_by):
    """The old requests time out one by one after the replica has filled up again.

    Each would free a place that is in use, and the replica would refuse requests.
    """
    gate, old = make_restarted_gate(told_by=told_by)
    for number in range(10, 16):
        gate.add(make_waiting(number, now=1.0), weight=1.0)
    gate.dispatch(1.0)
    for place in old:
        gate.finish(place.replica, failed=True, now=1.1)
    gate.add(make_waiting(99, now=1.1), weight=1.0)
    assert not list_assignments(gate.dispatch(1.1))


def test_refusals_and_wrong_addresses_of_an_earlier_start_are_discarded():
    gate = make_gate(0)
    old, new = make_replica(0, started_ms=BEFORE), make_replica(0, started_ms=AFTER)
    gate.update([old], None, now=0.0)
    gate.mark_replaced(old)
    gate.update([new], None, now=0.0)
    gate.record_full(old, now=0.0, until=100.0)
    add(gate, 1)
    assert list_assignments(gate.dispatch(0.0))


def test_older_registration_does_not_override_loads():
    """The registration lags: it names the earlier start for a second after the load.

    If it were applied, the two would revert each other and no count would hold.
    """
    gate, _ = make_restarted_gate(told_by="load")
    add(gate, 2, now=1.0)
    gate.dispatch(1.0)
    assert gate.update([make_replica(0, started_ms=BEFORE)], None, now=0.0) == []
    for number in range(10, 16):
        gate.add(make_waiting(number, now=1.0), weight=1.0)
    assert len(list_assignments(gate.dispatch(1.0))) == 4


def test_request_is_sent_to_the_next_start_of_a_replica_that_lost_it():
    gate = make_gate(0)
    gate.update([make_replica(0, started_ms=AFTER)], None, now=0.0)
    gate.add(make_waiting(1, avoid=(("i-0", BEFORE),)), weight=1.0)
    assert list_assignments(gate.dispatch(0.0))


def test_request_that_repeatedly_crashes_a_replica_is_banned():
    """A request crashes its replica, which returns under its id each time."""
    tracker, body = SuspectTracker(rules=LOST_CONNECTIONS), SuspectId("checks", b"1")
    for number in range(LOST_CONNECTIONS.crashes_to_quarantine):
        generation = 1 + tracker.count_generations(body)
        crash = Crash("i-1", BEFORE + number, float(number), generation)
        assert not tracker.is_quarantined(body, now=float(number))
        tracker.record_crash(body, crash, quarantine_s=60.0, now=float(number))
    assert tracker.is_quarantined(body, now=float(number + 1))


def make_arming_model():
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.PREPARING:
        model.play(TICK_S)
    return model, leader


def test_leader_abandons_a_change_when_a_rank_restarts():
    """A rank restarts while it copies experts, and has none of them."""
    model, leader = make_arming_model()
    state = replace(model._describe(1), started_ms=AFTER)
    leader.observe(state, now=model.now)
    assert leader.phase is Phase.IDLE


def test_confirmation_counts_only_for_its_own_start():
    """The confirmation of an order to arm arrives after the rank has restarted.

    If it were applied to the new start, the pass would be released while that rank has
    no map but the first one.
    """
    model, leader = make_arming_model()
    leader.observe(replace(model._describe(1), started_ms=AFTER), now=model.now)
    order = Arm(model.epoch, 77, model.step + 3)
    leader.record_confirmed("1", order, started_ms=BEFORE)
    assert leader._known_ranks[1].state.armed_version == 0
    leader.record_confirmed("1", order, started_ms=AFTER)
    assert leader._known_ranks[1].state.armed_version == 77

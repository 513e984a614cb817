"""Test which runs are remembered until their replica is known to be lost."""

from hyssopvane._internal.policy.recent_finishes import MAX_BODIES, RecentFinishes
from hyssopvane._internal.policy.unanswered_runs import (
    MAX_AGE_S,
    MAX_RUNS,
    UnansweredRun,
    UnansweredRuns,
)
from hyssopvane._internal.state.suspects import SuspectId

REPLICA = ("i-1", 0)
BODY = SuspectId("checks", b"body", "registry")


def make_crowd(count):
    return [SuspectId("checks", bytes([n]), "crowd") for n in range(count)]


def test_runs_shortly_before_the_end_of_a_replica_are_found():
    runs = UnansweredRuns()
    old, late = UnansweredRun(BODY, 1, 0.0), UnansweredRun(BODY, 2, MAX_AGE_S)
    assert not runs.add(REPLICA, old)
    assert not runs.add(REPLICA, late)
    assert runs.take_lost(REPLICA, now=MAX_AGE_S + 1.0) == [late]
    assert runs.add(REPLICA, UnansweredRun(BODY, 3, MAX_AGE_S + 2.0))
    assert not runs.add(("i-2", 0), UnansweredRun(BODY, 3, MAX_AGE_S + 2.0))


def test_customer_can_not_push_the_runs_of_others_out():
    """Guard against a customer that leaves many requests, so that others are lost."""
    runs = UnansweredRuns()
    runs.add(REPLICA, UnansweredRun(BODY, 1, 0.0))
    for body in make_crowd(2 * MAX_RUNS):
        runs.add(REPLICA, UnansweredRun(body, 1, 1.0))
    kept = runs.take_lost(REPLICA, now=2.0)
    assert len(kept) == MAX_RUNS
    assert BODY in [one.body for one in kept]


def test_customer_can_not_push_the_finishes_of_others_out():
    """Guard against a customer whose requests take the protection from others."""
    finishes = RecentFinishes()
    finishes.add(BODY, now=1.0)
    crowd = make_crowd(MAX_BODIES + 1)
    for body in crowd:
        finishes.add(body, now=2.0)
    assert finishes.has_finished(BODY, since=0.0)
    assert not finishes.has_finished(BODY, since=1.0)
    assert not finishes.has_finished(crowd[0], since=0.0)
    assert finishes.has_finished(crowd[-1], since=0.0)

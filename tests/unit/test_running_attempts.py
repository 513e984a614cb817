"""Test which attempts count as waiting for a VM that no longer answers."""

from math import inf
from random import Random

import pytest

from hyssopvane._internal.policy.gate_decisions import Assignment, QueuedRequest
from hyssopvane._internal.policy.queueing import QueuedItem
from hyssopvane._internal.policy.running_attempts import (
    MAX_SILENCE_S,
    MIN_NOTICE_S,
    MIN_SERVE_S,
    RunningAttempt,
    RunningAttempts,
)
from hyssopvane._internal.policy.service_gate import ServiceGate
from hyssopvane._internal.state.loads import RankLoad
from hyssopvane._internal.state.routing import Replica

NOW = 100.0
LONG_AGO = NOW - MAX_SILENCE_S - 0.1
JUST_NOW = NOW - 0.1
NEVER = float("-inf")


def make_replica(number):
    return Replica(
        id=f"i-{number}",
        service="drafting",
        address=f"10.0.0.{number}:80",
        availability_zone="zone-a",
        slots=6,
        draining=False,
    )


def make_load(number, **changes):
    values = {"group": "group", "ranks": 2, "open": True, "active": 1, "queued": 0}
    values |= {"step": 1, "pass_s": 0.05, "entries": 4} | changes
    return RankLoad(address=f"10.0.0.{number}:80", **values)


def make_gate(reported_at):
    """Return a gate that heard the agents of its replicas at the given times."""
    gate = ServiceGate(random=Random(1), availability_zone="zone-a")
    gate.update([make_replica(n) for n in range(len(reported_at))], None, now=0.0)
    for number, at in enumerate(reported_at):
        if at is not None:
            gate.observe_loads([(make_load(number), at)])
    return gate


def make_attempt(number, heard_at, sent_at=LONG_AGO):
    return RunningAttempt(make_replica(number), sent_at, lambda: None, heard_at)


@pytest.mark.parametrize(
    ("reported_at", "attempts", "found"),
    [
        ((LONG_AGO, JUST_NOW), [(0, LONG_AGO), (1, JUST_NOW)], [0]),
        ((LONG_AGO, JUST_NOW), [(0, LONG_AGO), (0, LONG_AGO), (1, JUST_NOW)], [0, 1]),
        # Nothing was heard of the replica since the first of these was sent.
        (
            (LONG_AGO, JUST_NOW),
            [(0, NEVER), (0, NEVER, JUST_NOW), (1, JUST_NOW)],
            [0, 1],
        ),
        # The replica has had no time to answer.
        ((LONG_AGO, JUST_NOW), [(0, NEVER, JUST_NOW), (1, JUST_NOW)], []),
        # The agent is heard: the replica is only slow.
        ((JUST_NOW, JUST_NOW), [(0, LONG_AGO), (1, JUST_NOW)], []),
        # The replica is heard: only its agent has failed.
        ((LONG_AGO, JUST_NOW), [(0, LONG_AGO), (0, JUST_NOW), (1, JUST_NOW)], []),
        # No agent of the group is heard: this entry may be cut off itself.
        ((LONG_AGO, LONG_AGO), [(0, LONG_AGO), (1, JUST_NOW)], []),
        # The group makes no passes, so no other rank could go on.
        ((LONG_AGO, JUST_NOW), [(0, LONG_AGO), (1, NOW - 0.5)], []),
        ((LONG_AGO, JUST_NOW), [(0, LONG_AGO), (1, NEVER, NOW - 0.5)], []),
        # The entry has no other request, or none that could have been heard of.
        ((LONG_AGO, JUST_NOW), [(0, LONG_AGO)], [0]),
        ((LONG_AGO, JUST_NOW), [(0, LONG_AGO), (1, NEVER, JUST_NOW)], [0]),
        # A plain service has no agents.
        ((None, None), [(0, LONG_AGO), (1, JUST_NOW)], []),
        # The entry passes on what it received to a slow caller.
        ((LONG_AGO, JUST_NOW), [(0, float("inf")), (1, JUST_NOW)], []),
        # A caller that reads nothing is no sign of its replica.
        (
            (LONG_AGO, JUST_NOW),
            [(0, float("inf")), (0, LONG_AGO), (1, JUST_NOW)],
            [1],
        ),
    ],
    ids=[
        "stalled",
        "several",
        "unanswered",
        "just-sent",
        "slow",
        "agent-failed",
        "agents-silent",
        "no-passes",
        "no-first-byte",
        "only-request",
        "other-just-sent",
        "no-agents",
        "slow-caller",
        "slow-caller-beside-others",
    ],
)
def test_attempt_is_stalled_when_its_replica_and_agent_are_silent(
    reported_at, attempts, found
):
    """Guard against streams that wait for a stalled VM until their callers leave."""
    gate = make_gate(reported_at)
    running = [make_attempt(*one) for one in attempts]
    all_attempts = RunningAttempts()
    for one in running:
        all_attempts.add(one)
    stalled = all_attempts.find_stalled(
        lambda replica: gate.is_vm_silent(replica, NOW), now=NOW
    )
    assert {running.index(one) for one in stalled} == set(found)


@pytest.mark.parametrize(
    ("reported_at", "heard_at", "leaves_in_s", "repeatable", "found"),
    [
        ((LONG_AGO, JUST_NOW), LONG_AGO, MIN_SERVE_S, True, True),
        ((LONG_AGO, JUST_NOW), LONG_AGO, MIN_SERVE_S + 0.1, True, False),
        # Nobody of the group is heard, as its leader stands still, too.
        ((LONG_AGO, LONG_AGO), LONG_AGO, MIN_SERVE_S, True, True),
        # The replica may resume until its caller leaves.
        ((LONG_AGO, JUST_NOW), LONG_AGO, MIN_SERVE_S, False, False),
        ((LONG_AGO, JUST_NOW), LONG_AGO, MIN_NOTICE_S, False, True),
        # The replica or its agent is heard.
        ((LONG_AGO, JUST_NOW), JUST_NOW, 0.0, True, False),
        ((JUST_NOW, JUST_NOW), LONG_AGO, 0.0, True, False),
        # A plain service has no agents.
        ((None, JUST_NOW), LONG_AGO, 0.0, True, False),
    ],
    ids=[
        "too-late",
        "in-time",
        "group-silent",
        "not-repeatable",
        "not-repeatable-leaving",
        "replica-heard",
        "agent-heard",
        "no-agent",
    ],
)
def test_attempt_is_hopeless_when_no_other_replica_can_answer_in_time(
    reported_at, heard_at, leaves_in_s, repeatable, found
):
    """Guard against callers that wait for a stalled VM although nobody can help.

    The group makes no passes here, so that the request does not move either.
    """
    gate = make_gate(reported_at)
    attempts = RunningAttempts()
    attempt = make_attempt(0, heard_at)
    attempt.get_leave_at = lambda: NOW + leaves_in_s
    attempt.repeatable = repeatable
    attempts.add(attempt)
    attempts.add(make_attempt(1, NOW - 0.5))

    def is_vm_silent(replica):
        return gate.is_vm_silent(replica, NOW)

    assert not attempts.find_stalled(is_vm_silent, now=NOW)
    hopeless = attempts.find_hopeless(
        lambda replica: gate.is_vm_unheard(replica, NOW), now=NOW
    )
    assert hopeless == ([attempt] if found else [])


@pytest.mark.parametrize(
    ("silent_s", "answered_s", "heard_at", "leaves_in_s", "found"),
    [
        (0.35, inf, NEVER, MIN_NOTICE_S, True),
        (0.35, inf, NEVER, MIN_NOTICE_S + 0.05, False),
        # Within the usual pause of reports.
        (0.25, inf, NEVER, 0.0, False),
        # Its answers show that the replica works.
        (0.35, 0.1, NEVER, 0.0, False),
        # The caller has not taken what was received.
        (0.35, inf, inf, 0.0, False),
    ],
    ids=["leaves", "stays", "usual-pause", "answers", "slow-caller"],
)
def test_caller_that_leaves_at_once_is_told_of_a_vm_that_has_just_fallen_silent(
    silent_s, answered_s, heard_at, leaves_in_s, found
):
    """Guard against a request that waits in the kernel of a VM for nobody.

    It was sent so late that the VM is not known to stand still when its caller leaves.
    """
    gate = make_gate((NOW - silent_s, JUST_NOW))
    gate._replicas["i-0"].answered_at = NOW - answered_s
    attempts = RunningAttempts()
    attempt = make_attempt(0, heard_at, sent_at=JUST_NOW)
    attempt.get_leave_at = lambda: NOW + leaves_in_s
    attempts.add(attempt)
    hopeless = attempts.find_hopeless(
        lambda replica: gate.is_vm_unheard(replica, NOW),
        lambda replica: gate.is_heard(replica, NOW),
        now=NOW,
    )
    assert hopeless == ([attempt] if found else [])


def test_ended_attempt_is_not_found():
    attempts = RunningAttempts()
    attempt = make_attempt(0, LONG_AGO)
    attempts.add(attempt)
    attempts.discard(attempt)
    attempts.discard(attempt)
    assert not attempts.find_stalled(lambda replica: True, now=NOW)


def test_stalled_replica_gets_nothing_until_its_agent_is_heard():
    gate = make_gate((LONG_AGO, JUST_NOW))
    one = gate._replicas["i-0"]
    assert one.takes_requests(NOW)
    assert gate.record_stall(one.replica, now=NOW)
    assert not gate.record_stall(one.replica, now=NOW)
    assert not one.takes_requests(NOW)
    gate.observe_loads([(make_load(0), LONG_AGO + 0.01)])
    assert not one.takes_requests(NOW)
    gate.observe_loads([(make_load(0), NOW + 1.0)])
    assert one.takes_requests(NOW + 1.0)


def test_requests_of_a_stalled_replica_take_no_place_of_their_group():
    """Guard against a group that seems too full for its stalled requests to move."""
    gate = make_gate((LONG_AGO, JUST_NOW))
    one = gate._replicas["i-0"]
    for _ in range(6):
        one.start(LONG_AGO)
    group = gate._groups["group"]
    before = group.count(NOW)
    assert gate.record_stall(one.replica, now=NOW)
    assert group.count(NOW) == before - 6 * group.entries


def test_replica_with_a_silent_agent_is_chosen_last():
    """Guard against requests that move from one stalled VM to the next."""
    gate = make_gate((LONG_AGO, JUST_NOW))
    chosen = []
    for number in range(40):
        item = QueuedItem(f"r-{number}", "registry", 1, 1_000, NOW + 8.0, NOW)
        waiting = QueuedRequest(item, late_at=NOW + 1.0, refuse_at=NOW + 1.0)
        gate.add(waiting, weight=1.0)
        for decision in gate.dispatch(NOW):
            assert isinstance(decision, Assignment)
            chosen.append(decision.replica.id)
    first_silent = chosen.index("i-0")
    assert set(chosen[:first_silent]) == {"i-1"}
    assert first_silent == 5  # One of six slots was taken.

"""Test what entries send to VMs that are not heard, and when they use them again."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
import trio
from trio.testing import MockClock

from hyssopvane._internal.policy.gate_decisions import Assignment, QueuedRequest
from hyssopvane._internal.policy.queueing import QueuedItem
from hyssopvane._internal.policy.running_attempts import (
    MAX_SILENCE_S,
    MIN_SERVE_S,
    RunningAttempt,
)
from hyssopvane._internal.policy.service_gate import ServiceGate
from hyssopvane._internal.protocol.group_messages import decode_message, encode_message
from hyssopvane._internal.roles.gate_keeper import GateKeeper
from hyssopvane._internal.state.loads import GroupLoad, Member, MemberLoad, Roster
from hyssopvane._internal.state.routing import RoutingTable, ServiceSpec
from tests.unit.test_stalled_places import (
    ENGINE,
    ENTRIES,
    RANKS,
    SLOTS,
    make_load,
    make_replica,
)

NOW = 100.0
POLL_S = 0.06
PATIENCE_S = 2.0
"""Time without an event after which a caller leaves."""
ROSTER = Roster(
    number=1,
    group="group",
    members=tuple(Member(f"10.0.0.{number}:80") for number in range(RANKS)),
)


def make_gate(*, zone=0, seed=1, active=1):
    """Return a gate that hears all members of its group until `NOW`."""
    gate = ServiceGate(random=Random(seed), availability_zone=f"zone-{zone}")
    gate._homes.update(f"entry-{zone}", [f"entry-{zone}"])
    gate.update([make_replica(number) for number in range(RANKS)], ENGINE, now=0.0)
    gate.set_pause(10.0)
    for number in range(20, -1, -1):
        observe(gate, range(RANKS), NOW - number * POLL_S, active=active)
    return gate


def observe(gate, heard, now, *, active=1, step=1):
    loads = [make_load(number, active=active, step=step) for number in heard]
    gate.observe_loads([(one, now) for one in loads])


def place(gate, count, now, *, waited_s=0.0, wait_s=0.01):
    """Return how many of some waiting requests each replica gets."""
    for number in range(count):
        arrived_at = now - waited_s
        item = QueuedItem(f"{now}-{number}", "press", 1, 1_000, now + 8.0, now)
        waiting = QueuedRequest(
            item,
            late_at=now + 0.6,
            refuse_at=now + wait_s,
            hold_until=arrived_at + PATIENCE_S - MIN_SERVE_S,
        )
        gate.add(waiting, weight=1.0)
    decisions = gate.dispatch(now) + gate.dispatch(now + wait_s)
    return Counter(one.replica.id for one in decisions if isinstance(one, Assignment))


@pytest.mark.parametrize("silent_s", [0.35, 0.6, 0.9])
@pytest.mark.parametrize("answered", [False, True])
def test_silent_replica_gets_one_unanswered_request_while_nobody_leads(
    silent_s, answered
):
    """Guard against requests that pile up at the VM of a leader that stands still.

    Until the next agent leads, nobody of the group is heard, and the entry can't tell
    this VM from the others. A replica that answers is alive.
    """
    gate = make_gate()
    now = NOW + silent_s
    if answered:
        for one in gate._replicas.values():
            one.answered_at = now - 0.05
    sent = Counter()
    for number in range(10):
        sent += place(gate, RANKS, now + number * 0.001, wait_s=0.0001)
    assert sent
    assert (max(sent.values()) > 1) == answered


@pytest.mark.parametrize(
    ("waited_s", "is_placed"),
    [
        (PATIENCE_S - MIN_SERVE_S - MAX_SILENCE_S - 0.05, True),
        (PATIENCE_S - MIN_SERVE_S - MAX_SILENCE_S + 0.05, False),
        (PATIENCE_S - MIN_SERVE_S - 0.05, False),
    ],
    ids=["in-time", "late", "last-moment"],
)
@pytest.mark.parametrize("group_heard", [True, False])
def test_request_goes_to_no_silent_replica_when_it_could_not_move_in_time(
    waited_s, is_placed, group_heard
):
    """Guard against callers that leave before their replica is known to stand still."""
    gate = make_gate(active=SLOTS)
    now = NOW + 0.4
    if group_heard:
        observe(gate, range(1, RANKS), now, active=SLOTS, step=2)
        gate._replicas["i-0"].load = make_load(0, active=0)
    else:
        for number in range(RANKS):
            gate._replicas[f"i-{number}"].load = make_load(number, active=0)
    sent = place(gate, 4, now, waited_s=waited_s)
    assert bool(sent) == is_placed
    assert not group_heard or sent.keys() <= {"i-0"}


@pytest.mark.parametrize(("silent_s", "is_placed"), [(1.0, False), (5.0, True)])
def test_late_request_reaches_replicas_whose_agents_are_gone(silent_s, is_placed):
    """Guard against a service that refuses all short requests without its agents."""
    gate = make_gate()
    sent = place(gate, 2, NOW + silent_s, waited_s=PATIENCE_S - MIN_SERVE_S - 0.1)
    assert bool(sent) == is_placed


@pytest.mark.parametrize("hold_s", [-1.0, 0.0, 0.5, 1.0])
def test_short_request_reaches_replicas_without_agents(hold_s):
    """Guard against a plain service that gets nothing, as no agent reports it."""
    gate = ServiceGate(random=Random(1), availability_zone="zone-0")
    gate.update([make_replica(number) for number in range(3)], None, now=0.0)
    sent = place(gate, 3, NOW, waited_s=PATIENCE_S - MIN_SERVE_S - hold_s)
    assert sum(sent.values()) == 3


@pytest.mark.parametrize("silent_s", [1.0, 2.5, 2.6, 4.0, 30.0])
def test_stalled_vm_stays_stalled_however_long_it_is_silent(silent_s):
    """Guard against a VM that gets requests again since its age in a message is capped.

    Its age was sent in one byte, so it seemed to have been heard since it was marked.
    """

    async def main():
        keeper = GateKeeper(random=Random(1), availability_zone="zone-0")
        table = RoutingTable(
            version=1,
            routes=(),
            services={"copy": ServiceSpec("copy", "/health", 100, engine=ENGINE)},
        )
        replicas = {f"i-{number}": make_replica(number) for number in range(RANKS)}
        keeper.update(table, replicas)
        gate = keeper.get_gate("copy")
        stopped_at = trio.current_time()
        one = None
        while trio.current_time() < stopped_at + silent_s:
            silent = trio.current_time() - stopped_at
            load = make_group_load([silent, *([0.0] * (RANKS - 1))])
            keeper.observe_load(decode_message(encode_message(load)), ROSTER)
            one = gate._replicas["i-0"]
            if silent > MAX_SILENCE_S:
                gate.record_stall(one.replica, now=stopped_at + MAX_SILENCE_S + 0.05)
                assert one.is_stalled, silent
            await trio.sleep(POLL_S)
        # An entry that starts then has not heard of it before.
        late = GateKeeper(random=Random(1), availability_zone="zone-0")
        late.update(table, replicas)
        for _ in range(10):
            late.observe_load(decode_message(encode_message(load)), ROSTER)
            await trio.sleep(POLL_S)
        now = trio.current_time()
        late_gate = late.get_gate("copy")
        silent = [one.id for one in late_gate.find_silent_vms(now)]
        assert silent == ["i-0"]

    trio.run(main, clock=MockClock(autojump_threshold=0))


def make_group_load(ages):
    return GroupLoad(
        roster=1,
        source=1,
        sequence=1,
        epoch=1,
        ranks=RANKS,
        open=True,
        step=1,
        pass_s=0.07,
        entries=ENTRIES,
        members=tuple(MemberLoad(1, 0, 1.0, age) for age in ages),
    )


def test_working_vms_are_not_marked_when_the_next_agent_begins_to_lead():
    """Guard against requests that leave working replicas and take the last places.

    The first loads of a new leader name its own rank and some others; the rest report
    to it some polls later. Only the VM of the former leader stands still.
    """
    gate = make_gate()
    for number in range(RANKS):
        waiting = RunningAttempt(make_replica(number), NOW - 0.05, lambda: None)
        gate.attempts.add(waiting)
    begin = NOW + 0.98
    for poll, heard in enumerate([(1,), (1, 2), (1, 2, 5, 7, 8, 9), range(1, 11)]):
        now = begin + poll * POLL_S
        observe(gate, heard, now, step=2)
        assert list_marked(gate, now) == set()
    for poll in range(4, 11):
        now = begin + poll * POLL_S
        observe(gate, range(1, RANKS), now, step=3)
        for one in gate.attempts._attempts:
            if one.replica.id != "i-0":
                one.heard_at = now
        assert list_marked(gate, now) <= {"i-0"}
    assert list_marked(gate, now) == {"i-0"}
    assert now < NOW + PATIENCE_S - MIN_SERVE_S


def list_marked(gate, now):
    """Return the replicas whose requests move or that get none any more."""
    stalled = gate.attempts.find_stalled(
        lambda replica: gate.is_vm_silent(replica, now), now=now
    )
    found = [one.replica for one in stalled] + gate.find_silent_vms(now)
    return {one.id for one in found}


@pytest.mark.parametrize("answers", [False, True])
def test_vm_that_is_heard_again_gets_one_request_until_it_answers(answers):
    """Guard against several entries that fill a VM at the moment at which it resumes.

    Its replica has yet to read what lay in its kernel, and it may stop again. An entry
    that is not its home leaves the first request to the others.
    """
    gates = [make_gate(zone=zone, seed=zone, active=5) for zone in range(ENTRIES)]
    stopped = 3
    now = NOW + 4.0
    sent = Counter()
    for gate in gates:
        others = [number for number in range(RANKS) if number != stopped]
        observe(gate, others, now, active=5, step=2)
        assert gate.record_stall(make_replica(stopped), now=NOW + 0.9)
        for poll in range(5):
            at = now + 0.1 + poll * POLL_S
            loads = [
                replace(make_load(number, active=5, step=3 + poll), queued=0)
                for number in others
            ]
            loads.append(make_load(stopped, active=0, step=3 + poll))
            gate.observe_loads([(one, at) for one in loads])
            one = gate._replicas[f"i-{stopped}"]
            if answers:
                one.answered_at = at
            sent += place(gate, 2 * SLOTS, at + 0.001, wait_s=0.001)
    count = sent[f"i-{stopped}"]
    assert count
    assert (count > ENTRIES) == answers


def test_slots_of_a_vm_that_has_resumed_count_when_it_answers():
    """Guard against a limit that fills the other replicas when VMs resume together."""
    gate = make_gate()
    before = gate.limit
    stopped = make_replica(3)
    others = [number for number in range(RANKS) if number != 3]
    observe(gate, others, NOW + 1.0, step=2)
    assert gate.record_stall(stopped, now=NOW + 1.0)
    assert gate.limit == before - SLOTS
    observe(gate, range(RANKS), NOW + 4.0, step=3)
    assert gate.limit == before - SLOTS + 1
    gate.find_load(stopped).answered_at = NOW + 4.2
    assert gate.limit == before

"""Test that reports of replicas to an entry stay in force, with a simulated clock."""

import pytest

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.policy.replica_notices import (
    LEAVING_TTL_S,
    MAX_BACKOFF_S,
    START_PROPAGATION_S,
    ReplicaNotices,
)
from hyssopvane._internal.protocol.headers import read_retry_after_s
from tests.unit.test_service_gate import (
    add,
    list_assignments,
    list_rejections,
    make_gate,
    make_load,
    make_replica,
    make_waiting,
)


@pytest.mark.parametrize(
    ("value", "rest_s"),
    [
        (None, None),
        (b"0", 0.0),
        (b"3", 3.0),
        (b" 3 ", 3.0),
        (b"0.25", 0.25),
        (b"12345678901234567890", 12345678901234567890.0),
    ],
)
def test_retry_after_is_read_in_seconds(value, rest_s):
    fields = {} if value is None else {b"retry-after": value}
    assert read_retry_after_s(fields) == rest_s


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"soon", b"nan", b"inf", b"1e9", b"3, 5", b"9" * 21, b"1."]
    + [b"Fri, 04 Dec 2026 10:00:00 GMT"],
)
def test_retry_after_that_is_no_number_of_seconds_is_an_error(value):
    with pytest.raises(ProtocolError):
        read_retry_after_s({b"retry-after": value})


@pytest.mark.parametrize(
    ("told", "ends_at"),
    [
        ([(0.0, 3.0)], 3.0),
        # A shorter back-off after a longer one.
        ([(0.0, 3.0), (0.5, 1.0)], 3.0),
        ([(0.0, 3.0), (0.5, 0.0)], 3.0),
        # A longer back-off after a shorter one, and a new one at the end of the first.
        ([(0.0, 1.0), (0.5, 3.0)], 3.5),
        ([(0.0, 1.0), (1.0, 1.0)], 2.0),
        # Longer than the maximum.
        ([(0.0, 1e19)], MAX_BACKOFF_S),
    ],
)
def test_longest_requested_backoff_is_kept(told, ends_at):
    """Guards against a shorter back-off that replaces a longer one."""
    notices = ReplicaNotices()
    for at, backoff_s in told:
        notices.record_backoff(make_replica(1), backoff_s, now=at)
    assert not notices.takes_requests(make_replica(1), ends_at - 0.01)
    assert notices.takes_requests(make_replica(1), ends_at)
    assert notices.expire(ends_at) == ["i-1"]
    assert len(notices) == 0


def send(gate, *, now, count=6):
    """Add some requests and return the ids of the replicas that get them."""
    add(gate, count, now=now)
    return {one.replica.id for one in list_assignments(gate.dispatch(now))}


def expire_registration(gate, now):
    gate.update([make_replica(0)], None, now=now)
    gate.update([make_replica(0), make_replica(1)], None, now=now)


def move(gate, now):
    moved = make_replica(1, address="10.0.0.99:80")
    gate.update([make_replica(0), moved], None, now=now)


def fail(gate, now):
    for _ in range(9):
        gate.finish(make_replica(1), failed=True, now=now)


def receive_load(gate, now):
    gate.observe_load(make_load(1), now=now)


def fill(gate, now):
    gate.record_full(make_replica(1), now=now, until=now + 0.1)


@pytest.mark.parametrize(
    "happen", [expire_registration, move, fail, receive_load, fill]
)
def test_backoff_is_kept_when_other_records_change(happen):
    """Guards against a back-off that is lost when other records change."""
    gate = make_gate(2, engine=None)
    gate.record_backoff(make_replica(1), 10.0, now=0.0)
    happen(gate, 1.0)
    assert send(gate, now=5.0) == {"i-0"}
    assert "i-1" in send(gate, now=10.0)


@pytest.mark.parametrize("told_by", ["registration", "load"])
@pytest.mark.parametrize(
    ("after_s", "rests"),
    [(START_PROPAGATION_S, True), (START_PROPAGATION_S + 0.1, False)],
)
def test_backoff_ends_with_the_start_that_requested_it(told_by, after_s, rests):
    """Guards against a replica that stays idle for a back-off of its earlier start.

    An answer of the new start may arrive before the update about that start.
    """
    gate = make_gate(0, engine=None)
    gate.update([make_replica(0, started_ms=1)], None, now=0.0)
    gate.record_backoff(make_replica(0, started_ms=1), 10.0, now=0.0)
    if told_by == "load":
        gate.observe_load(make_load(0, started_ms=2), now=after_s)
    else:
        gate.update([make_replica(0, started_ms=2)], None, now=after_s)
    assert (send(gate, now=5.0) == set()) is rests


def test_backoff_received_after_the_update_of_a_start_applies_to_it():
    """Guards against an answer that is attributed to an earlier start."""
    gate = make_gate(0, engine=None)
    gate.update([make_replica(0, started_ms=2)], None, now=0.0)
    gate.record_backoff(make_replica(0, started_ms=1), 10.0, now=0.5)
    gate.update([make_replica(0, started_ms=2)], None, now=5.0)
    assert send(gate, now=5.0) == set()


def test_callers_are_refused_at_once_when_all_replicas_back_off():
    """Guards against callers that wait in vain, or retry too early."""
    gate = make_gate(2, engine=None)
    gate.record_backoff(make_replica(0), 4.0, now=0.0)
    gate.record_backoff(make_replica(1), 3.0, now=0.0)
    add(gate, 20)
    turned = list_rejections(gate.dispatch(0.0))
    assert {one.reason for one in turned} == {"replicas-resting"}
    times = [one.retry_after_s for one in turned]
    assert len(turned) == 20
    assert min(times) >= 3.0
    # The retry times must be spread.
    assert max(times) - min(times) > 0.2


def test_callers_wait_for_a_backoff_that_ends_in_time():
    gate = make_gate(1, engine=None)
    gate.record_backoff(make_replica(0), 0.1, now=0.0)
    gate.add(make_waiting(1), weight=1.0)
    assert gate.dispatch(0.0) == []
    assert list_assignments(gate.dispatch(0.1))


@pytest.mark.parametrize(
    ("resting", "ejected"),
    # One failing replica of four is ejected, though two others back off; the last
    # replica available to callers isn't.
    [((0, 1), True), ((0, 1, 2), False)],
)
def test_replicas_in_backoff_do_not_keep_a_failing_one_in_use(resting, ejected):
    """Guards against back-offs that count as ejections."""
    gate = make_gate(4, engine=None)
    for number in resting:
        gate.record_backoff(make_replica(number), 10.0, now=0.0)
    for _ in range(9):
        gate.finish(make_replica(3), failed=True, now=0.0)
    assert ("i-3" not in send(gate, now=0.1)) is ejected


def test_backoff_of_one_rank_does_not_close_its_group():
    """Guards against one rank's back-off that is applied to its whole group."""
    gate = make_gate(12)
    gate.record_backoff(make_replica(1), 10.0, now=0.0)
    assert len(send(gate, now=0.0)) > 1


def test_backoff_does_not_apply_to_another_replica_at_the_address():
    """Guards against a back-off that is applied to the next replica at an address."""
    gate = make_gate(1, engine=None)
    gate.record_backoff(make_replica(0), 10.0, now=0.0)
    gate.update([make_replica(0, id="i-next")], None, now=1.0)
    assert send(gate, now=1.0) == {"i-next"}


def test_queue_is_not_sent_in_one_burst_after_a_backoff():
    """Guards against a burst of requests to a replica when its back-off ends."""
    gate = make_gate(1, engine=None)
    gate.record_backoff(make_replica(0), 0.1, now=0.0)
    add(gate, 50)
    gate.dispatch(0.05)
    assert 1 <= len(list_assignments(gate.dispatch(0.1))) <= 6


@pytest.mark.parametrize(
    "happen", [expire_registration, move, fail, receive_load, fill]
)
def test_leaving_replica_stays_out(happen):
    """Guards against a registration or load that reactivates a leaving replica."""
    gate = make_gate(2, engine=None)
    gate.record_leaving(make_replica(1), now=0.0)
    happen(gate, 1.0)
    gate.notices.expire(60.0)
    assert send(gate, now=60.0) == {"i-0"}


@pytest.mark.parametrize("after_s", [0.1, START_PROPAGATION_S + 0.1])
def test_leaving_ends_with_the_start_that_reported_it(after_s):
    """Guards against a replica that stays idle as its earlier start was leaving."""
    gate = make_gate(0, engine=None)
    gate.update([make_replica(0, started_ms=1)], None, now=0.0)
    gate.record_leaving(make_replica(0, started_ms=1), now=0.0)
    gate.update([make_replica(0, started_ms=2)], None, now=after_s)
    assert send(gate, now=5.0) == {"i-0"}


def test_expired_records_are_removed():
    """Guards against memory that grows with every release of a service."""
    notices = ReplicaNotices()
    for number in range(1_000):
        notices.record_leaving(make_replica(number), now=0.0)
    notices.record_registered([make_replica(0)], now=10.0)
    notices.expire(LEAVING_TTL_S)
    assert len(notices) == 1
    assert notices.is_leaving(make_replica(0))


def test_replicas_in_backoff_are_distinguished_from_leaving_ones():
    """Guards against callers that are asked to wait for a replica that leaves."""
    gate = make_gate(2, engine=None)
    gate.record_backoff(make_replica(0), 4.0, now=0.0)
    gate.record_backoff(make_replica(1), 1.0, now=0.0)
    gate.record_leaving(make_replica(1), now=0.0)
    assert gate.measure_backoff_s(0.0) == 4.0

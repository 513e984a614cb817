"""Test how a request that crashes its targets is found."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.suspects import (
    SUSPECT_BACKOFF_S,
    SUSPECT_S,
    Crash,
    SuspectId,
    SuspectTracker,
)

POISON = SuspectId("draft", b"poison")
OTHER = SuspectId("draft", b"other")
QUARANTINE_S = 3600.0


def crash_target(tracker, target, *, now, bodies):
    """Crash a target with some bodies, in this order of their reports."""
    for body in bodies:
        tracker.stop(body, target)
        tracker.record_crash(
            body, Crash(target, 1, now), quarantine_s=QUARANTINE_S, now=now
        )


def run_until_crash(tracker, target, *, now, bodies):
    for body in bodies:
        tracker.start(body, target)
    crash_target(tracker, target, now=now, bodies=bodies)


def test_second_crash_quarantines_and_clears_other_requests():
    """Guards against a request that crashes one target after another.

    Its caller sends it again after each crash. Other requests at the target lose their
    answers each time, and without the tracker the service's targets would crash one
    after another.
    """
    tracker = SuspectTracker()
    run_until_crash(tracker, "t0", now=0.0, bodies=[POISON, OTHER])
    assert tracker.is_suspect(POISON, now=1.0)
    assert tracker.is_suspect(OTHER, now=1.0)
    tracker.start(OTHER, "t1")
    tracker.stop(OTHER, "t1")
    tracker.clear(OTHER)
    assert not tracker.is_suspect(OTHER, now=2.0)
    run_until_crash(tracker, "t2", now=5.0, bodies=[POISON])
    assert tracker.is_quarantined(POISON, now=6.0)
    assert tracker.is_quarantined(POISON, now=5.0 + QUARANTINE_S - 1)
    assert not tracker.is_quarantined(POISON, now=5.0 + QUARANTINE_S)


@pytest.mark.parametrize("order", [[POISON, OTHER], [OTHER, POISON]])
def test_requests_next_to_a_suspect_do_not_become_suspects(order):
    tracker = SuspectTracker()
    run_until_crash(tracker, "t0", now=0.0, bodies=[POISON])
    run_until_crash(tracker, "t1", now=10.0, bodies=order)
    assert tracker.is_quarantined(POISON, now=11.0)
    assert not tracker.is_suspect(OTHER, now=11.0)


def test_target_runs_one_suspect_at_a_time():
    tracker = SuspectTracker()
    run_until_crash(tracker, "t0", now=0.0, bodies=[POISON, OTHER])
    tracker.start(OTHER, "t1")
    assert tracker.find_excluded(POISON, now=1.0) == {"t1"}
    assert tracker.find_excluded(SuspectId("draft", b"clean"), now=1.0) == frozenset()


def test_suspect_backs_off_until_reports_have_spread():
    tracker = SuspectTracker()
    run_until_crash(tracker, "t0", now=0.0, bodies=[POISON])
    assert tracker.find_excluded(POISON, now=SUSPECT_BACKOFF_S / 2) is None
    assert tracker.find_excluded(POISON, now=SUSPECT_BACKOFF_S) == frozenset()


def test_suspect_runs_at_one_target_at_a_time():
    tracker = SuspectTracker()
    run_until_crash(tracker, "t0", now=0.0, bodies=[POISON])
    assert tracker.find_excluded(POISON, now=1.0) == frozenset()
    tracker.start(POISON, "t1")
    assert tracker.find_excluded(POISON, now=1.0) is None


@pytest.mark.parametrize(
    ("second", "quarantined"),
    [
        (Crash("t0", 1, 0.3), False),
        (Crash("t0", 1, 30.0), True),
        (Crash("t0", 2, 0.3), True),
        (Crash("t1", 1, 0.3), True),
    ],
    ids=["same-crash", "same-target-later", "restarted-target", "other-target"],
)
def test_one_crash_counts_once(second, quarantined):
    tracker = SuspectTracker()
    for crash in (Crash("t0", 1, 0.0), second):
        tracker.record_crash(POISON, crash, quarantine_s=QUARANTINE_S, now=crash.at)
    assert tracker.is_quarantined(POISON, now=31.0) is quarantined


def test_old_suspicion_expires():
    tracker = SuspectTracker()
    run_until_crash(tracker, "t0", now=0.0, bodies=[POISON])
    run_until_crash(tracker, "t1", now=SUSPECT_S + 1, bodies=[POISON])
    assert not tracker.is_quarantined(POISON, now=SUSPECT_S + 2)


def test_crashes_seen_by_two_entries_add_up():
    """Guards against crashes that each entry counts only for itself.

    A caller sends a body that crashes targets through two entries. Each entry detects
    one crash. Only together do they show that the same body ran in both.
    """
    trackers = [SuspectTracker(), SuspectTracker()]
    for number, tracker in enumerate(trackers):
        run_until_crash(tracker, f"t{number}", now=0.0, bodies=[POISON])
    assert trackers[0].take_changes() == {POISON}
    seen = trackers[0].get_record(POISON)
    trackers[1].merge(POISON, seen, quarantine_s=QUARANTINE_S, now=0.1)
    assert trackers[1].is_quarantined(POISON, now=0.2)
    shared = trackers[1].get_record(POISON)
    trackers[0].merge(POISON, shared, quarantine_s=QUARANTINE_S, now=0.3)
    assert trackers[0].is_quarantined(POISON, now=0.4)
    assert not trackers[0].take_changes()


def test_cases_stay_bounded():
    tracker = SuspectTracker(max_records=10)
    for number in range(50):
        body = SuspectId("draft", bytes([number]))
        run_until_crash(tracker, f"t{number}", now=number * 10.0, bodies=[body])
    assert len(tracker) == 10


_BODIES = [SuspectId("draft", bytes([number])) for number in range(6)]


@settings(derandomize=True, max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["start", "finish", "crash"]),
            st.integers(0, 5),
            st.integers(0, 3),
        ),
        max_size=200,
    )
)
def test_targets_never_run_two_suspects(steps):
    """Guards against two suspects at the same target.

    Several bodies run when targets crash repeatedly. If two suspects could run on one
    target, its crash would not show which one is the cause, and an innocent caller
    would be refused for an hour.
    """
    tracker = SuspectTracker()
    running: dict[str, list[SuspectId]] = {f"t{number}": [] for number in range(4)}
    for step, (action, index, number) in enumerate(steps):
        now = step * 3.0
        body, target = _BODIES[index], f"t{number}"
        if action == "start":
            excluded = tracker.find_excluded(body, now=now)
            if excluded is None or target in excluded:
                continue
            if tracker.is_quarantined(body, now=now):
                continue
            accused = [
                one for one in running[target] if tracker.is_suspect(one, now=now)
            ]
            if tracker.is_suspect(body, now=now):
                assert not accused
            running[target].append(body)
            tracker.start(body, target)
        elif action == "finish" and body in running[target]:
            running[target].remove(body)
            tracker.stop(body, target)
            tracker.clear(body)
        elif action == "crash":
            bodies, running[target] = running[target], []
            crash_target(tracker, target, now=now, bodies=bodies)

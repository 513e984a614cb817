"""Run short fault soaks: real programs under random external faults."""

import signal
import subprocess
import sys
import time
from dataclasses import replace
from random import Random
from unittest.mock import Mock

import pytest

from tests.soak.bursts import LATER, URGENT, WAITING_KINDS, check_answered, check_served
from tests.soak.callers import KINDS, Call
from tests.soak.cold_returns import check_cold_rates
from tests.soak.evacuations import Evacuation, Operators
from tests.soak.faults import Faults, Span
from tests.soak.fleet import Member, reset_reload_action
from tests.soak.notices import Notices, Observation
from tests.soak.reports import Size
from tests.soak.run import run_seed

SMALL = Size(entries=2, groups=1, plain=2, callers=6, seconds=6.0, patience=6.0)

SEEDS = (1, 2)
"""Seeds that each test run executes."""

NOTICE_SEEDS = (1, 2)
"""Seeds whose replicas also request back-offs and report leaving in answers only."""

RETURN_SEEDS = (1, 2)
"""Seeds whose store is also restored from older copies."""

CRASH_SEEDS = (1, 2)
PART_SEEDS = (1, 2)
"""Seeds with requests that end each replica that runs them."""

EVACUATION_SEEDS = (1, 2)
"""Seeds whose operators evacuate zones."""

COLD_SEEDS = (1, 2)
"""Seeds whose replicas come back cold."""

BURST_SEEDS = (1, 2)
"""Seeds with bursts of two priorities."""

FAILED_SEEDS = {
    205: "an agent that received SIGHUP during its start ended: it did not handle the "
    "signal yet, and its default action is to end the process",
    412: "an agent that received SIGHUP in the first hundredths of a second of its "
    "start ended before a line of the program had run; the fault is injected only once "
    "the process handles the signal",
}
"""Seeds that found a violation earlier, each with its cause."""


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_random_faults(seed, tmp_path):
    """Guards against violations under stops, kills, pauses, link faults and crashes.

    A caller could receive a truncated answer or that of another caller, a bid could be
    placed twice, or a request reported as not run could have run.
    """
    report = run_seed(tmp_path, seed=seed, size=SMALL)
    assert report.violations == [], (report.kept_in, report.faults)
    assert report.served > 50


@pytest.mark.parametrize("seed", RETURN_SEEDS)
def test_guarantees_hold_while_the_store_is_restored_from_copies(seed, tmp_path):
    """Guards against real processes that keep state from before a store restore."""
    size = replace(SMALL, seconds=10.0, store_returns=True)
    report = run_seed(tmp_path, seed=seed, size=size)
    assert report.violations == [], (report.kept_in, report.faults)
    assert any("store restored" in one for one in report.faults), report.faults


@pytest.mark.parametrize("seed", NOTICE_SEEDS)
def test_guarantees_hold_while_replicas_request_backoff_and_leave(seed, tmp_path):
    """Guards against real entries that send requests to paused or leaving replicas."""
    size = replace(SMALL, seconds=10.0, notices=True)
    report = run_seed(tmp_path, seed=seed, size=size)
    assert report.violations == [], (report.kept_in, report.faults)
    assert any(" refuse " in one for one in report.faults), report.faults
    assert any(" leave " in one for one in report.faults), report.faults


@pytest.mark.parametrize("seed", CRASH_SEEDS)
def test_guarantees_hold_beside_requests_that_end_replicas(seed, tmp_path):
    """Guards against real entries that each let a request end replicas of their own."""
    size = replace(SMALL, seconds=10.0, crashes=True)
    report = run_seed(tmp_path, seed=seed, size=size)
    assert report.violations == [], (report.kept_in, report.faults)
    assert report.crashes >= 3


@pytest.mark.parametrize("seed", CRASH_SEEDS)
def test_guarantees_hold_beside_such_requests_when_the_store_returns(seed, tmp_path):
    """Guards against real entries that drop what a store with an era tells them."""
    size = replace(SMALL, seconds=10.0, crashes=True, store_returns=True)
    report = run_seed(tmp_path, seed=seed, size=size)
    assert report.violations == [], (report.kept_in, report.faults)
    assert report.crashes >= 3
    assert any("store restored" in one for one in report.faults), report.faults


@pytest.mark.parametrize("seed", PART_SEEDS)
def test_guarantees_hold_beside_parts_that_end_replicas(seed, tmp_path):
    """Guards against real entries that know such requests by their bodies only."""
    size = replace(SMALL, seconds=10.0, parts=True)
    report = run_seed(tmp_path, seed=seed, size=size)
    assert report.violations == [], (report.kept_in, report.faults)
    assert report.crashes >= 2


@pytest.mark.parametrize("seed", EVACUATION_SEEDS)
def test_guarantees_hold_while_zones_are_evacuated(seed, tmp_path):
    """Guards against real entries that send requests to evacuated zones."""
    size = replace(SMALL, seconds=10.0, evacuations=True)
    report = run_seed(tmp_path, seed=seed, size=size)
    assert report.violations == [], (report.kept_in, report.faults)
    assert report.evacuations >= 2


@pytest.mark.parametrize(
    ("at", "replica", "excused", "broken"),
    [
        (5.1, "plain0-1", False, True),
        (4.9, "plain0-1", False, False),
        (9.1, "plain0-1", False, False),
        (5.1, "plain1-1", False, False),
        (5.1, "plain0-1", True, False),
    ],
    ids=["late", "within the bound", "after the removal", "other zone", "no store"],
)
def test_check_detects_requests_in_an_evacuated_zone(at, replica, excused, broken):
    operators = Operators(lambda *item: None, lambda key: None, Random(1))
    operators.done.append(Evacuation("zone-a", 0.0, 9.0))
    found = operators.check(
        [Observation(replica, "r-1", at)],
        zones={"plain0": "zone-a", "plain1": "zone-b"},
        is_excused=lambda *span: excused,
        late_tolerance_s=0.0,
    )
    assert bool(found) is broken


@pytest.mark.parametrize(
    ("what", "excuses"),
    [
        ("link 127.0.5.1 silent", True),
        ("link 127.0.5.1 reset", False),
        ("link 127.0.5.11 silent", False),
        ("link plain0 silent", False),
        ("store down", True),
        ("store compacts its history", False),
        ("stop entry0", False),
    ],
)
def test_only_outages_of_the_store_excuse_an_entry(what, excuses):
    """Guards against a check that excuses nearly all requests near any fault."""
    faults = Faults(Mock(random=Random(1), size=Size()))
    faults.spans.append(Span("fault", "all", 1.0, 2.0, what))
    assert faults.overlaps_store_outage({"127.0.5.1"}, 1.5, 6.0) is excuses
    assert not faults.overlaps_store_outage({"127.0.5.1"}, 4.0, 6.0)


@pytest.mark.parametrize("seed", COLD_SEEDS)
def test_guarantees_hold_while_replicas_come_back_cold(seed, tmp_path):
    """Guards against real entries that together overload a cold replica."""
    size = replace(SMALL, seconds=10.0, cold_returns=True)
    report = run_seed(tmp_path, seed=seed, size=size)
    assert report.violations == [], (report.kept_in, report.faults)
    assert report.colds >= 2


@pytest.mark.parametrize(
    ("count", "spacing_s", "replica", "broken"),
    [
        (11, 0.09, "plain0-2", True),
        (10, 0.09, "plain0-2", False),
        (11, 0.1, "plain0-2", False),
        (40, 0.01, "plain0-1", False),
    ],
    ids=["too many", "as many as allowed", "longer than a second", "warm"],
)
def test_check_detects_overloaded_cold_replicas(count, spacing_s, replica, broken):
    arrivals = [
        Observation(replica, f"r-{number}", 1.0 + number * spacing_s)
        for number in range(count)
    ]
    assert bool(check_cold_rates(arrivals, {"plain0-2": 4.0})) is broken


@pytest.mark.parametrize("seed", BURST_SEEDS)
def test_guarantees_hold_under_bursts_of_two_priorities(seed, tmp_path):
    """Guards against real entries that starve a priority or leave it unanswered."""
    size = replace(SMALL, seconds=10.0, bursts=True)
    report = run_seed(tmp_path, seed=seed, size=size)
    assert report.violations == [], (report.kept_in, report.faults)
    assert report.served > 50


@pytest.mark.parametrize(
    ("kind", "served", "broken"),
    [(LATER, 10, True), (URGENT, 10, True), (LATER, 30, False), (LATER, 100, False)],
)
def test_check_detects_starved_priorities(kind, served, broken):
    """Of the other kind 80 in 100 are served, so a quarter of all is 11 or more."""
    other = URGENT if kind is LATER else LATER
    counts = [(kind, number < served) for number in range(100)]
    counts += [(other, number < 80) for number in range(100)]
    calls = [
        Call("r", one, "entry-0", 1, 0.0, 1.0, 200 if is_served else 503)
        for one, is_served in counts
    ]
    assert bool(check_served(calls)) is broken


@pytest.mark.parametrize("starved", range(len(WAITING_KINDS)))
@pytest.mark.parametrize(
    ("status", "for_s", "others", "broken"),
    [
        (503, 9.0, 40, True),
        (503, 7.0, 40, False),
        # Nobody is answered, or the caller's entry is down for a moment.
        (503, 9.0, 10, False),
        (-1, 9.0, 40, False),
    ],
)
def test_check_detects_kinds_that_wait_in_vain(starved, status, for_s, others, broken):
    """Guards against a customer, size or priority that is refused again and again."""
    calls = [
        Call("r", WAITING_KINDS[starved], "entry-0", 1, at, at + 0.5, 503)
        for at in (0.0, for_s / 4, for_s - 0.5)
    ]
    calls[1].status = status
    other = WAITING_KINDS[starved - 1]
    calls += [
        Call("r", other, "entry-0", 1, 0.0, for_s * number / others, 200)
        for number in range(1, others)
    ]
    assert bool(check_answered(calls)) is broken


def make_call(request_id, *, entry="entry-0", starts=1, sent_at=0.0):
    call = Call(request_id, KINDS[0], entry, starts, sent_at)
    call.whole = True
    return call


@pytest.mark.parametrize(
    ("into", "others", "excused", "broken"),
    [
        # Two requests are allowed. Requests in the first half second of the back-off,
        # after a restart of the entry, of another entry and of an entry that was paused
        # are not counted.
        (3, {}, False, True),
        (2, {}, False, False),
        (2, {"sent_at": 0.4}, False, False),
        (2, {"starts": 2}, False, False),
        (2, {"entry": "entry-1"}, False, False),
        (3, {}, True, False),
    ],
)
def test_check_detects_requests_during_a_backoff(into, others, excused, broken):
    calls = [make_call(f"r-{number}", sent_at=1.0) for number in range(into)]
    calls += [make_call("told"), make_call("other", **({"sent_at": 3.5} | others))]
    notices = Notices([Observation("i-1", call.id, call.sent_at) for call in calls])
    notices.backoffs.append(Observation("i-1", "told", 0.0, backoff_s=3.0))
    found = notices.check(calls, is_excused=lambda *span: excused, late_tolerance_s=0.0)
    assert bool(found) is broken


@pytest.mark.parametrize(("sent_at", "broken"), [(1.9, False), (2.1, True)])
def test_check_detects_requests_to_a_leaving_replica(sent_at, broken):
    calls = [make_call("told"), make_call("late", sent_at=sent_at)]
    notices = Notices([Observation("i-1", call.id, call.sent_at) for call in calls])
    notices.leaving_reports.append(Observation("i-1", "told", 0.0))
    found = notices.check(calls, is_excused=lambda *span: False, late_tolerance_s=0.0)
    assert bool(found) is broken


@pytest.mark.parametrize("seed", FAILED_SEEDS)
def test_seeds_that_failed_before_pass(seed, tmp_path):
    """Run the seeds that found a violation again, at their original size."""
    report = run_seed(tmp_path, seed=seed, size=Size(patience=6.0))
    assert report.violations == [], (report.kept_in, report.faults)


@pytest.fixture(params=[signal.SIG_DFL, signal.SIG_IGN], ids=["default", "ignored"])
def inherited_action(request):
    """Set the SIGHUP action that processes started by the test inherit."""
    before = signal.signal(signal.SIGHUP, request.param)
    yield request.param
    signal.signal(signal.SIGHUP, before)


def start_member(tmp_path, *arguments):
    member = Member("agent", {"role": "rank-agent"}, tmp_path)
    member._popen = subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        preexec_fn=reset_reload_action,
    )
    return member


def test_reload_is_sent_only_when_the_program_handles_it(tmp_path, inherited_action):
    """Guards against a soak that sends SIGHUP before the program handles it.

    A supervisor may reload a process that it has just started. Before the first line of
    the program, the signal ends the interpreter; from then on it does not, even while
    the role is being loaded. The result is the same if the tests run from a shell that
    ignores SIGHUP, as under nohup.
    """
    # A waiting interpreter stands for one that is still loading.
    early = start_member(tmp_path, "-c", "input()")
    assert not early.handles_reload
    early.send_signal(signal.SIGHUP)
    assert early._popen.wait() == -signal.SIGHUP
    command = ("-m", "hyssopvane", "run", "rank-agent", "/nowhere")
    member = start_member(tmp_path, *command)
    while not member.handles_reload and member.is_running:
        time.sleep(0.001)
    member.send_signal(signal.SIGHUP)
    # The settings file does not exist: the program reports that and exits by itself.
    assert member._popen.wait() > 0

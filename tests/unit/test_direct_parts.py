"""Test small components of the direct path."""

import os
from random import Random

import pytest

from hyssopvane._internal.policy.count_meter import CountMeter
from hyssopvane._internal.policy.demand_window import WINDOW_S, DemandWindow
from hyssopvane._internal.policy.pass_meter import PassMeter
from hyssopvane._internal.policy.repeat_budget import WINDOW_S as BUDGET_S
from hyssopvane._internal.policy.repeat_budget import RepeatBudget
from hyssopvane._internal.policy.suspect_rules import LOST_CONNECTIONS
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.roles.crash_evidence import QUARANTINE_S
from hyssopvane._internal.state.suspects import Crash, SuspectId
from hyssopvane._internal.utils.log_sink import MAX_PENDING_BYTES, LogSink


def test_repeats_stay_within_their_share_of_fresh_requests():
    """Guards against repeats that multiply the load of an outage.

    Every request fails for a while, and each failure leads to a repeat.
    """
    budget = RepeatBudget(share=0.1, slack=10)
    allowed = 0
    for number in range(1_000):
        now = number / 100
        budget.add_fresh("checks", now=now)
        allowed += budget.take("checks", now=now)
    assert allowed <= 0.1 * 1_000 + 10
    assert budget.take("checks", now=BUDGET_S * 3)


def record_loss(tracker, body, replica, *, now):
    generation = 1 + tracker.count_generations(body)
    crash = Crash(replica, 0, now, generation)
    tracker.record_crash(body, crash, quarantine_s=QUARANTINE_S, now=now)


@pytest.mark.parametrize(("entries", "slack"), [(3, 88), (16, 130), (35, 194)])
@pytest.mark.parametrize("requests", [0, 20, 200, 2_000])
def test_repeats_of_all_entries_stay_within_the_fleets_bound(entries, slack, requests):
    """Guard against a bound of the fleet that each entry uses up for itself."""
    allowed = 0
    for entry in range(entries):
        budget = RepeatBudget(
            share=0.1, slack=10, fleet_slack=slack, count_entries=lambda: entries
        )
        for _ in range(requests // entries + (entry < requests % entries)):
            budget.add_fresh("checks", now=0.0)
        allowed += sum(budget.take("checks", now=1.0) for _ in range(1_000))
    assert allowed <= 0.2 * requests + slack


def test_request_that_crashes_replicas_is_refused_for_a_time():
    """Guards against a request that crashes each replica that runs it.

    Its caller sends it again after each crash.
    """
    tracker = SuspectTracker(rules=LOST_CONNECTIONS)
    body, other = SuspectId("checks", b"1"), SuspectId("checks", b"2")
    crashes = LOST_CONNECTIONS.crashes_to_quarantine
    for number in range(crashes):
        assert not tracker.is_quarantined(body, now=number)
        record_loss(tracker, body, f"i-{number}", now=number)
    assert tracker.is_quarantined(body, now=crashes)
    assert not tracker.is_quarantined(other, now=crashes)
    assert not tracker.is_quarantined(body, now=crashes + QUARANTINE_S)


def test_repeated_loss_of_one_replica_bans_no_request():
    tracker, body = SuspectTracker(rules=LOST_CONNECTIONS), SuspectId("checks", b"1")
    for number in range(20):
        record_loss(tracker, body, "i-1", now=number)
    assert not tracker.is_quarantined(body, now=20)


def test_demand_is_measured_within_the_window():
    window = DemandWindow()
    window.observe((10, 0, 0, 4), now=0.1)
    assert window.measure(sets=2, now=0.1) == [[10.0, 0.0], [0.0, 4.0]]
    assert window.measure(sets=2, now=0.2 + WINDOW_S) == []


def test_only_current_demand_counts_after_a_shift():
    """Guards against a map that is computed from a demand that has ended.

    The demand moves to other experts from one moment to the next. A map that is
    computed from the whole window relieves the earlier experts, and the busiest rank
    delays every stream for another second.
    """
    window = DemandWindow()
    for number in range(12):
        counts = (0, 1_000) if number >= 9 else (1_000, 0)
        window.observe(counts, now=number * 0.06)
    assert window.measure(sets=1, now=0.66) == [[0.0, 3_000.0]]


def test_noise_does_not_shorten_the_window():
    window = DemandWindow()
    for number in range(12):
        window.observe((1_000 + 90 * (number % 2), 1_000), now=number * 0.05)
    assert sum(window.measure(sets=1, now=0.55)[0]) > 12_000


def test_counts_are_reported_as_differences():
    meter = CountMeter()
    assert meter.measure((10, 0, 5, 5), started_ms=1, epoch=1) == ()
    assert meter.measure((20, 0, 5, 9), started_ms=1, epoch=1) == (10, 0, 0, 4)


@pytest.mark.parametrize(
    ("counts", "link_mbps", "expected"),
    [(288, 10, 0.12), (2_016, 4, 0.17), (3_072, 3, 0.34), (3_072, 1_000, 0.12)],
)
def test_interval_between_counts_respects_the_leaders_link(counts, link_mbps, expected):
    """Guards against reports of counts that overload the leader's link.

    Twelve ranks report their counts over a link that also carries all states.
    """
    meter = CountMeter()
    meter.measure((1,) * counts, started_ms=1, epoch=1)
    pause_s = meter.compute_interval_s(senders=12, link_bytes_per_s=link_mbps * 125_000)
    assert pause_s == pytest.approx(expected, rel=0.05)


@pytest.mark.parametrize("start", [(2, 1), (1, 2), (2, 2)])
def test_counts_of_another_start_are_not_reported_as_choices(start):
    """Guards against counts of an earlier start that are taken for demand.

    A rank restarts, or its group forms again, and its counts begin at zero. The
    difference to the earlier counts would be a demand that does not exist, and a map
    would be computed for it.
    """
    meter = CountMeter()
    meter.measure((10, 4), started_ms=1, epoch=1)
    started_ms, epoch = start
    assert meter.measure((90, 4), started_ms=started_ms, epoch=epoch) == ()
    assert meter.measure((95, 4), started_ms=started_ms, epoch=epoch) == (5, 0)


def make_meter():
    meter = PassMeter()
    for number in range(10):
        meter.observe(number, now=number * 0.06)
    return meter


@pytest.mark.parametrize(
    ("now", "expected"), [(0.54, 0.06), (0.7, 0.16), (0.77, 0.23), (1.54, 0.06)]
)
def test_pass_time_follows_steps_and_includes_an_overdue_pass(now, expected):
    """Check the pass time while a pass is overdue and after the group has stalled.

    An overdue pass counts as a long one; after four pass times the group is stalled.
    The length of the stall says nothing about the cost of the group's requests.
    """
    assert make_meter().measure(now=now) == pytest.approx(expected)


def test_stall_does_not_change_the_pass_time():
    """Guards against a stall that is counted as one long pass.

    A machine stalls for four seconds while its rank holds up the group. Counted as one
    pass, this time makes each request look twenty times as expensive, and callers are
    refused for seconds by a group that works normally again.
    """
    meter = make_meter()
    for number in range(10, 13):
        meter.observe(number, now=4.54 + (number - 10) * 0.06)
    assert meter.measure(now=4.66) == pytest.approx(0.06)


def test_pass_time_is_reset_in_a_new_epoch():
    meter = PassMeter()
    meter.observe(500, now=0.0)
    meter.observe(1, now=1.0)
    assert meter.measure(now=1.0) == 0.0


def open_pipe():
    reader, writer = os.pipe()
    sink = LogSink(writer)
    sink.start()
    return reader, writer, sink


def test_stuck_log_reader_does_not_block():
    """Guards against a process that blocks on its log.

    The reader of standard output has stopped reading. A blocking write of the next line
    would stop the process with all its requests. Instead the process continues, drops
    the newest lines, and logs how many when the reader is back.
    """
    reader, writer, sink = open_pipe()
    line = "event=request " + "x" * 1_000 + "\n"
    count = (MAX_PENDING_BYTES + 2**20) // len(line)
    for _ in range(count):
        sink.write(line)
    assert sink.dropped > 0
    os.set_blocking(reader, False)
    text = b""
    for _ in range(100):
        try:
            text += os.read(reader, 2**20)
        except BlockingIOError:
            sink.write("event=again\n")
    assert f"event=log-lines-dropped count={sink.dropped}".encode() in text
    assert text.endswith(b"event=again\n")
    sink.close()
    os.close(reader)
    os.close(writer)


def test_closed_log_reader_does_not_block():
    reader, writer, sink = open_pipe()
    os.close(reader)
    for _ in range(10):
        sink.write("event=request\n")
    sink.close()
    os.close(writer)


@pytest.mark.parametrize("seed", range(3))
def test_log_lines_are_complete_and_in_order(seed):
    reader, writer, sink = open_pipe()
    random = Random(seed)
    lines = [f"event=e{n} pad={'p' * random.randrange(300)}\n" for n in range(100)]
    for line in lines:
        sink.write(line)
    assert os.read(reader, 2**20).decode() == "".join(lines)
    sink.close()
    os.close(reader)
    os.close(writer)

"""Test the outcomes of callers under load, scenario by scenario."""

from random import Random

import pytest

from bench.load import measure_outcomes, run_scenario
from bench.replay import Arrival, FakeTarget, Replay
from bench.workloads import SCENARIOS
from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.policy.scheduler import Scheduler
from hyssopvane._internal.state.table import CustomerRow, ServiceRow, Table
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Placed,
    TargetInfo,
    Waiting,
    WorkRequest,
)


def make_scheduler(*, slots=1, targets=1, customers=(), **cells):
    scheduler = Scheduler(random=Random(1))
    row = ServiceRow("draft", target_concurrency=slots, **cells)
    rows = {one.name: one for one in customers}
    table = Table(revision=1, customers=rows, services={"draft": row})
    scheduler.update_table(table, now=0.0)
    for number in range(targets):
        scheduler.connect_target(TargetInfo(f"t{number}", "draft", "arima", number + 1))
    return scheduler


def make_request(name, *, customer="a", tokens=100, deadline=1e6, **fields):
    fields.setdefault("priority", 5)
    return WorkRequest(name, customer, "draft", tokens, deadline=deadline, **fields)


def measure_runs(scheduler, *, seconds, count=60):
    """Let a scheduler measure how long a request of a hundred tokens runs."""
    for number in range(count):
        now = number * seconds
        scheduler.submit(make_request(f"past-{number}"), now=now)
        report = AttemptReport(AttemptResult.ANSWERED)
        scheduler.finish(f"past-{number}", report, now=now + seconds)
    return count * seconds


@pytest.mark.parametrize(
    ("scenario", "factor", "in_time", "goodput", "refused_later"),
    [
        ("steady", 1.0, 0.99, 37_000, 0.0),
        ("steady", 2.0, 0.48, 37_000, 0.01),
        ("steady", 5.0, 0.19, 37_000, 0.01),
        ("bursts", 1.0, 0.99, 37_000, 0.0),
        ("bursts", 2.0, 0.48, 37_000, 0.02),
        ("skew", 2.0, 0.50, 37_000, 0.06),
        ("skew", 5.0, 0.20, 37_000, 0.03),
        ("mix", 2.0, 0.75, 37_000, 0.04),
        ("slow", 1.0, 0.95, 33_000, 0.01),
        ("half", 2.0, 0.28, 23_000, 0.10),
    ],
)
def test_callers_under_load(scenario, factor, in_time, goodput, refused_later):
    """More work arrives than the targets can serve, or targets slow down or fail.

    Without refusals on arrival everything waits, starts too late and is cancelled by
    its caller half-way: the targets are busy and almost no caller gets an answer.
    """
    found = SCENARIOS[scenario]
    results = run_scenario(found, factor=factor, policy="hyssopvane")
    outcomes = measure_outcomes(found, results, factor=factor, policy="hyssopvane")
    assert outcomes.in_time >= in_time
    assert outcomes.goodput >= goodput
    assert outcomes.refused_later <= refused_later
    assert outcomes.late <= 0.02
    assert outcomes.fairness >= 0.99
    # No customer within its share loses because another exceeds its own.
    assert outcomes.worst_within_share >= 0.999
    for result in results:
        if result.refusal in (
            RefusalReason.QUEUE_FULL,
            RefusalReason.DEADLINE_UNREACHABLE,
        ):
            assert result.retry_after_s is not None
            assert 1 <= result.retry_after_s <= 90


def test_late_requests_are_refused_well_before_their_deadline():
    """A queue is full of admitted work; then half of the targets fail.

    Callers whose requests can no longer be served in time would be refused only at
    their deadline, too late to go elsewhere.
    """
    scenario = SCENARIOS["half"]
    results = run_scenario(scenario, factor=2.0, policy="hyssopvane")
    refused = [one for one in results if one.refusal and not one.attempts]
    left = [one.arrival.request.deadline - one.decided_at for one in refused]
    assert min(left) > 2.0


def test_request_that_cannot_be_served_in_time_is_refused_on_arrival():
    scheduler = make_scheduler()
    now = measure_runs(scheduler, seconds=4.0)
    decisions = [
        scheduler.submit(make_request(f"r{n}", deadline=now + 20), now=now)
        for n in range(10)
    ]
    kinds = [type(one) for one in decisions]
    assert kinds == [Placed] + [Waiting] * 4 + [Refusal] * 5
    refusal = decisions[-1]
    assert refusal.reason is RefusalReason.DEADLINE_UNREACHABLE
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_s >= 1


def test_longer_deadline_is_admitted_to_the_same_queue():
    scheduler = make_scheduler()
    now = measure_runs(scheduler, seconds=4.0)
    for number in range(10):
        scheduler.submit(make_request(f"r{number}", deadline=now + 20), now=now)
    patient = scheduler.submit(make_request("patient", deadline=now + 90), now=now)
    assert isinstance(patient, Waiting)


def test_request_that_can_start_is_not_refused_for_its_estimated_length():
    """The estimated length of the answer is far too high, and slots are free.

    Without the bound on the estimate, an idle system would refuse a caller again and
    again.
    """
    scheduler = make_scheduler(targets=2)
    now = measure_runs(scheduler, seconds=4.0)
    request = make_request("huge", tokens=100_000, deadline=now + 5)
    assert isinstance(scheduler.submit(request, now=now), Placed)


@pytest.mark.parametrize(
    ("cells", "sizes", "kinds"),
    [
        ({"queue_limit": 2}, [100] * 4, [Placed, Waiting, Waiting, Refusal]),
        ({"queue_limit": 0}, [100] * 2, [Placed, Refusal]),
        ({"queue_token_limit": 250}, [100] * 4, [Placed, Waiting, Waiting, Refusal]),
        ({"queue_token_limit": 250}, [100, 300, 100], [Placed, Refusal, Waiting]),
    ],
)
def test_queue_is_bounded(cells, sizes, kinds):
    scheduler = make_scheduler(**cells)
    decisions = [
        scheduler.submit(make_request(f"r{number}", tokens=tokens), now=0.0)
        for number, tokens in enumerate(sizes)
    ]
    assert [type(one) for one in decisions] == kinds


def test_withdrawn_request_leaves_the_queue_and_its_limits():
    row = CustomerRow("a", concurrency_limit=2)
    scheduler = make_scheduler(customers=[row])
    scheduler.submit(make_request("r0"), now=0.0)
    scheduler.submit(make_request("r1"), now=0.0)
    refused = scheduler.submit(make_request("r2"), now=0.0)
    assert refused.reason is RefusalReason.CONCURRENCY_LIMIT
    scheduler.withdraw("r1")
    assert isinstance(scheduler.submit(make_request("r3"), now=0.0), Waiting)
    scheduler.withdraw("r0")
    assert [name for name, _ in scheduler.collect(now=0.0)] == ["r3"]


def test_retry_without_a_free_slot_goes_first_later():
    """An attempt is returned unstarted while every slot is taken.

    It goes first when a slot is freed, since it has already waited its turn, and must
    not block other requests until then.
    """
    scheduler = make_scheduler(targets=1)
    scheduler.submit(make_request("r0"), now=0.0)
    scheduler.submit(make_request("r1"), now=0.0)
    scheduler.disconnect_target("t0")
    report = AttemptReport(AttemptResult.NOT_STARTED, "leaving")
    assert isinstance(scheduler.finish("r0", report, now=1.0), Waiting)
    scheduler.connect_target(TargetInfo("t1", "draft", "arima", 9))
    decided = scheduler.collect(now=1.0)
    assert [name for name, _ in decided] == ["r0"]


def test_every_request_ends():
    """Callers disconnect, and targets fail and return, all at once."""
    random = Random(7)
    targets = [
        FakeTarget(TargetInfo(f"t{number}", "draft", "arima", 1), slots=2)
        for number in range(3)
    ]
    replay = Replay([make_scheduler(slots=2, targets=0, queue_limit=20)], targets)
    arrivals = []
    for number in range(400):
        at = random.uniform(0, 60)
        leaves_at = at + random.uniform(0, 5) if random.random() < 0.3 else None
        request = make_request(
            f"r{number}", customer=f"c{number % 5}", tokens=400, deadline=at + 10
        )
        arrivals.append(Arrival(at, request, leaves_at=leaves_at))
    for at in range(5, 60, 10):
        name = f"t{at % 3}"
        replay.schedule(at, lambda name=name: replay.kill(name))
        replay.schedule(at + 4, lambda name=name: replay.connect(name))
    results = replay.run(arrivals, until=100)
    assert len(results) == 400
    assert all((one.finished_at is None) != (one.refusal is None) for one in results)
    assert replay.schedulers[0].count_requests() == 0
    assert all(
        use.requests == use.tokens == 0
        for use in replay.schedulers[0].admission.get_uses().values()
    )

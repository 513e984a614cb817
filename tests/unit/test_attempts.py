"""Test the attempt planner: what is retried, and which outcome is reported."""

from random import Random

import pytest

from bench.poison import Case, PoisonRun
from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.policy.attempts import AttemptPlanner
from hyssopvane._internal.policy.retries import MAX_ATTEMPTS, RetryAt
from hyssopvane._internal.policy.suspects import SUSPECT_BACKOFF_S
from hyssopvane._internal.state.table import ServiceRow, Table
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    TargetInfo,
    WorkRequest,
)

NOT_STARTED = AttemptReport(AttemptResult.NOT_STARTED, "leaving")
LOST = AttemptReport(AttemptResult.LOST, "connection-lost")
BROKEN = AttemptReport(AttemptResult.BROKEN, "target-broken")
CUT = AttemptReport(AttemptResult.BROKEN, "target-broken", final=True)
ANSWERED = AttemptReport(AttemptResult.ANSWERED, latency_s=0.1)


def make_planner(names=("t0", "t1", "t2", "t3"), **cells):
    planner = AttemptPlanner(random=Random(1))
    planner.update_table(Table(services={"draft": ServiceRow("draft", **cells)}))
    for name in names:
        planner.connect(TargetInfo(name, "draft", "a", 1), now=0.0)
    return planner


def make_request(name="r", *, repeatable=True, body=b""):
    return WorkRequest(
        name, "registry", "draft", 100, 5, 1e9, repeatable, body_digest=body
    )


def run_reports(planner, request, reports, *, now=100.0):
    """Run attempts with these results; return the last decision."""
    decision = None
    for report in reports:
        now += 10.0
        placed = planner.place(request, now=now)
        assert not isinstance(placed, Refusal)
        assert placed is not None
        decision = planner.finish(request.request_id, report, now=now)
    return decision


@pytest.mark.parametrize(
    ("reports", "outcome"),
    [
        ([NOT_STARTED] * MAX_ATTEMPTS, Outcome.NOT_RUN),
        ([LOST] * MAX_ATTEMPTS, Outcome.UNKNOWN),
        ([LOST, NOT_STARTED, NOT_STARTED], Outcome.UNKNOWN),
        ([NOT_STARTED, NOT_STARTED, LOST], Outcome.UNKNOWN),
    ],
)
def test_not_run_is_reported_only_when_proved(reports, outcome):
    """Guards against the outcome "not run" for a request that may have run.

    A request is lost with its target, and the next targets refuse it. The first target
    may have run it. After "not run" the caller would send it again under another key,
    and it would run twice.
    """
    decision = run_reports(make_planner(), make_request(), reports)
    assert isinstance(decision, Refusal)
    assert decision.reason is RefusalReason.RETRIES_SPENT
    assert decision.outcome is outcome


def test_retry_prefers_targets_not_tried():
    planner = make_planner()
    request = make_request()
    placed = []
    for step in range(MAX_ATTEMPTS):
        placed.append(planner.place(request, now=100.0 + step).target)
        planner.finish("r", NOT_STARTED, now=100.0 + step)
    assert len(set(placed)) == MAX_ATTEMPTS


def test_retry_waits_for_its_time():
    planner = make_planner()
    request = make_request()
    planner.place(request, now=100.0)
    retry = planner.finish("r", LOST, now=100.0)
    assert isinstance(retry, RetryAt)
    assert planner.waits_on_own_condition(request, now=100.0)
    assert planner.place(request, now=100.0) is None
    assert planner.place(request, now=retry.at) is not None


def test_discarded_request_releases_its_place():
    planner = make_planner(["t0"], target_concurrency=1)
    request = make_request()
    assert planner.place(request, now=100.0)
    assert planner.place(make_request("other"), now=100.0) is None
    planner.discard(request, now=100.0)
    assert planner.place(make_request("other"), now=100.0)


@pytest.mark.parametrize(
    ("reports", "quarantined"),
    [
        ([BROKEN, BROKEN], True),
        ([BROKEN, ANSWERED], False),
        ([LOST, LOST], False),
        ([NOT_STARTED, BROKEN], False),
        ([BROKEN, CUT], True),
    ],
)
def test_second_crash_quarantines(reports, quarantined):
    planner = make_planner()
    run_reports(planner, make_request(body=b"b"), reports)
    refusal = planner.refuse(make_request("next", body=b"b"), now=200.0)
    assert (refusal is not None) is quarantined
    if refusal is not None:
        assert refusal.reason is RefusalReason.QUARANTINED


def test_zero_quarantine_time_disables_quarantine():
    planner = make_planner(quarantine_s=0)
    run_reports(planner, make_request(body=b"b"), [BROKEN, BROKEN])
    assert planner.refuse(make_request("next", body=b"b"), now=200.0) is None


def test_suspects_of_two_entries_use_different_targets():
    """Guards against suspects of two entries at the same target.

    Two bodies run when a target crashes, each sent by another entry. If both were tried
    at the same target, the next crash would count against both, and an innocent caller
    would be refused for an hour.
    """
    suspect_targets = [frozenset({"t0", "t2"}), frozenset({"t1", "t3"})]
    for own in suspect_targets:
        planner = make_planner()
        planner.set_suspect_targets(own)
        for number in range(8):
            request = make_request(f"r{number}", body=bytes([number]))
            run_reports(planner, request, [BROKEN], now=100.0 + number * 20)
        now = 100.0 + 8 * 20 + SUSPECT_BACKOFF_S
        placed = [
            planner.place(make_request(f"s{number}", body=bytes([number])), now=now)
            for number in range(8)
        ]
        targets = [one.target for one in placed if one is not None]
        assert set(targets) == own
        assert len(targets) == len(own)


def test_suspect_moves_on_from_a_target_that_refuses_it():
    planner = make_planner()
    planner.set_suspect_targets(frozenset({"t0"}))
    run_reports(planner, make_request(body=b"b"), [BROKEN])
    request = make_request("next", body=b"b")
    assert planner.place(request, now=200.0).target == "t0"
    planner.finish("next", NOT_STARTED, now=200.0)
    assert planner.place(request, now=201.0).target != "t0"


@pytest.mark.parametrize(
    ("case", "least", "most"),
    [
        (Case(entries=1, copies=1, protected=False), 12, 1000),
        (Case(entries=1, copies=1), 2, 2),
        (Case(entries=1, copies=3), 2, 4),
        (Case(entries=3, copies=1, protected=False), 12, 1000),
        (Case(entries=3, copies=1, shared=False), 2, 6),
        (Case(entries=3, copies=1), 2, 3),
    ],
    ids=["none-1", "one", "one-3-copies", "none-3", "three-apart", "three-shared"],
)
def test_crashes_by_one_body(case, least, most):
    """Guards against a body that crashes each target that runs it.

    Its caller keeps sending it. Without protection all targets crash repeatedly, and
    hardly any caller gets an answer. With it the body is refused after the second
    crash.
    """
    row = PoisonRun(case, seed=1).run()
    assert least <= row.targets_crashed <= row.crashes <= most
    if case.protected:
        assert row.others_answered > 0.97 * row.others_sent
    if case.protected and case.shared:
        assert row.others_quarantined == 0

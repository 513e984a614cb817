"""Test which attempts are retried, and when."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.policy.retries import (
    BUDGET_BURST,
    BUDGET_PER_S,
    MAX_ATTEMPTS,
    Retrier,
    RetryAt,
    RetryBudget,
    RetryDenial,
)
from hyssopvane._internal.state.work import AttemptReport, AttemptResult, WorkRequest


def make_request(*, repeatable=False, deadline=60.0):
    return WorkRequest("r", "registry", "draft", 100, 5, deadline, repeatable)


@pytest.mark.parametrize(
    ("result", "repeatable", "retried"),
    [
        (AttemptResult.NOT_STARTED, False, True),
        (AttemptResult.NOT_STARTED, True, True),
        (AttemptResult.LOST, False, False),
        (AttemptResult.LOST, True, True),
        (AttemptResult.BROKEN, False, False),
        (AttemptResult.BROKEN, True, True),
        (AttemptResult.CANCELLED, True, False),
    ],
)
def test_only_safe_attempts_are_retried(result, repeatable, retried):
    """Guards against a second run of a request that must run once.

    A connection breaks while a bid confirmation may be running. A second target would
    confirm the bid again, and two bidders would believe that they won the same car.
    """
    decision = Retrier(random=Random(1)).decide(
        make_request(repeatable=repeatable), AttemptReport(result), attempts=1, now=0.0
    )
    assert isinstance(decision, RetryAt) is retried


def test_started_answer_is_never_retried():
    report = AttemptReport(AttemptResult.BROKEN, "target-broken", final=True)
    decision = Retrier(random=Random(1)).decide(
        make_request(repeatable=True), report, attempts=1, now=0.0
    )
    assert decision is RetryDenial.NOT_REPEATABLE


@pytest.mark.parametrize(
    ("reason", "waits"),
    [
        (AgentRefusal.LEAVING, False),
        (AgentRefusal.TARGET_UNREACHABLE, False),
        (AgentRefusal.TARGET_FULL, True),
    ],
)
def test_wait_before_retry(reason, waits):
    decision = Retrier(random=Random(1)).decide(
        make_request(),
        AttemptReport(AttemptResult.NOT_STARTED, reason.value),
        attempts=1,
        now=5.0,
    )
    assert isinstance(decision, RetryAt)
    assert decision.reason == reason.value
    assert (decision.at > 5.0) is waits


def test_retry_after_of_the_target_is_respected():
    report = AttemptReport(AttemptResult.NOT_STARTED, "target-full", retry_after_s=2.0)
    decision = Retrier(random=Random(1)).decide(
        make_request(), report, attempts=1, now=0.0
    )
    assert isinstance(decision, RetryAt)
    assert decision.at >= 2.0


@pytest.mark.parametrize(
    ("attempts", "deadline", "denial"),
    [
        (MAX_ATTEMPTS, 60.0, RetryDenial.ATTEMPTS_SPENT),
        (1, 0.0, RetryDenial.DEADLINE),
    ],
)
def test_denials(attempts, deadline, denial):
    decision = Retrier(random=Random(1)).decide(
        make_request(deadline=deadline),
        AttemptReport(AttemptResult.NOT_STARTED),
        attempts=attempts,
        now=0.0,
    )
    assert decision is denial


def test_budget_of_zero_allows_no_retry():
    retrier = Retrier(random=Random(1))
    retrier.set_percent("draft", 0)
    decision = retrier.decide(
        make_request(), AttemptReport(AttemptResult.NOT_STARTED), attempts=1, now=0.0
    )
    assert decision is RetryDenial.BUDGET_SPENT


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.integers(0, 100),
    st.lists(
        st.tuples(st.booleans(), st.sampled_from([0.0, 0.001, 0.5])), max_size=400
    ),
)
def test_retries_never_exceed_budget(percent, steps):
    """Guards against retries that multiply the load on full targets.

    Every target is full and refuses each attempt. Without a budget the retries would
    triple the load when there is least capacity, and callers who came first would wait
    for it.
    """
    budget = RetryBudget(percent=percent)
    now = 0.0
    fresh = retries = 0
    budget.add_fresh(now=now)
    for is_fresh, wait_s in steps:
        now += wait_s
        if is_fresh:
            budget.add_fresh(now=now)
            fresh += 1
        elif budget.take(now=now):
            retries += 1
        earned = (fresh + 1) * percent / 100 + now * BUDGET_PER_S
        assert retries <= (BUDGET_BURST + earned if percent else 0) + 1e-6

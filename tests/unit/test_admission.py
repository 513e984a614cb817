"""Test the enforcement of customers' limits."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.models.refusals import RefusalReason
from hyssopvane._internal.policy.admission import Admission
from hyssopvane._internal.state.table import CustomerRow


def make_admission(fraction=1.0, **cells):
    admission = Admission()
    admission.update_rows({"a": CustomerRow("a", **cells)})
    admission.set_safe_share(fraction)
    return admission


def arrive(admission, *, tokens=100, now=0.0, hold_s=4.0):
    refusal = admission.check("a", tokens, hold_s=hold_s, now=now)
    if refusal is None:
        admission.take("a", tokens)
    return refusal


@pytest.mark.parametrize(
    ("cells", "fraction", "admitted", "reason"),
    [
        ({}, 1.0, 50, None),
        ({"rate_limit": 10.0}, 1.0, 10, RefusalReason.RATE_LIMIT),
        ({"rate_limit": 10.0, "rate_burst": 25}, 1.0, 25, RefusalReason.RATE_LIMIT),
        ({"rate_limit": 10.0}, 0.5, 5, RefusalReason.RATE_LIMIT),
        ({"rate_limit": 10.0}, 0.0, 1, RefusalReason.RATE_LIMIT),
        ({"concurrency_limit": 8}, 1.0, 8, RefusalReason.CONCURRENCY_LIMIT),
        ({"concurrency_limit": 8}, 0.5, 4, RefusalReason.CONCURRENCY_LIMIT),
        ({"concurrency_limit": 8}, 0.01, 1, RefusalReason.CONCURRENCY_LIMIT),
        ({"token_limit": 1_000}, 1.0, 10, RefusalReason.TOKEN_LIMIT),
        ({"token_limit": 1_000}, 0.5, 5, RefusalReason.TOKEN_LIMIT),
        ({"token_limit": 50}, 1.0, 1, RefusalReason.TOKEN_LIMIT),
    ],
)
def test_limit_bounds_a_burst(cells, fraction, admitted, reason):
    admission = make_admission(fraction, **cells)
    refusals = [arrive(admission) for _ in range(50)]
    assert refusals.count(None) == admitted
    assert {one.reason for one in refusals if one} == ({reason} if reason else set())
    assert all(one.retry_after_s >= 1 for one in refusals if one)


@pytest.mark.parametrize(
    ("cells", "retry_after_s"),
    [
        ({"rate_limit": 0.1}, 10.0),
        ({"rate_limit": 0.001}, 60.0),
        ({"concurrency_limit": 2}, 2.0),
        ({"token_limit": 200}, 2.0),
    ],
)
def test_refusal_has_a_retry_after(cells, retry_after_s):
    admission = make_admission(**cells)
    refusals = [arrive(admission) for _ in range(3)]
    assert refusals[-1].retry_after_s == pytest.approx(retry_after_s)


def test_slot_is_freed_when_a_request_ends():
    admission = make_admission(concurrency_limit=1)
    assert arrive(admission) is None
    assert arrive(admission) is not None
    admission.release("a", 100)
    assert arrive(admission) is None


def test_edited_limit_applies_at_once():
    admission = make_admission(concurrency_limit=1)
    assert arrive(admission) is None
    admission.update_rows({"a": CustomerRow("a", concurrency_limit=3)})
    assert [arrive(admission) is None for _ in range(3)] == [True, True, False]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.floats(0, 3), max_size=100),
    st.integers(1, 20),
    st.integers(1, 30),
)
def test_rate_limit_holds_over_any_period(pauses, rate, burst):
    admission = make_admission(rate_limit=float(rate), rate_burst=burst)
    now = 0.0
    admitted = 0
    for pause in pauses:
        now += pause
        admitted += arrive(admission, now=now) is None
        assert admitted <= burst + rate * now + 1e-6

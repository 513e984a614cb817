"""Test the suspicion levels of the failure detectors."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.failure_detector import (
    AccrualExponential,
    AccrualNormal,
    FixedTimeout,
)

KINDS = [FixedTimeout, AccrualNormal, AccrualExponential]


def observe_all(kind, intervals):
    detector = kind()
    now = 0.0
    detector.observe(now)
    for interval in intervals:
        now += interval
        detector.observe(now)
    return detector, now


@pytest.mark.parametrize(
    ("kind", "silent_s", "level"),
    [
        (FixedTimeout, 2.5, 2.5),
        (AccrualNormal, 0.5, math.log10(2)),
        (AccrualNormal, 0.54, -math.log10(0.02275)),
        (AccrualExponential, 0.5 * math.log(10), 1.0),
    ],
)
def test_level_after_steady_heartbeats(kind, silent_s, level):
    detector, now = observe_all(kind, [0.5] * 200)
    assert detector.get_level(now + silent_s) == pytest.approx(level, rel=0.01)


@pytest.mark.parametrize("kind", KINDS)
def test_nothing_is_suspect_before_the_first_message(kind):
    assert not kind().is_suspect(1000.0, threshold=0.0)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(
    st.sampled_from(KINDS),
    st.lists(st.floats(0.001, 20.0), max_size=150),
    st.floats(0.1, 50.0),
)
def test_level_never_falls_with_silence(kind, intervals, threshold):
    """Guards against a suspicion level that falls while a peer stays silent.

    A level that fell again would close and reopen the same connection repeatedly.
    """
    detector, now = observe_all(kind, intervals)
    levels = [detector.get_level(now + silent_s) for silent_s in range(0, 100, 3)]
    assert levels == sorted(levels)
    assert all(math.isfinite(level) for level in levels)
    found = detector.find_silence(threshold, longest_s=1000.0)
    if found < 1000.0:
        assert detector.is_suspect(now + found + 0.01, threshold=threshold)
        assert not detector.is_suspect(now + found * 0.99 - 0.01, threshold=threshold)

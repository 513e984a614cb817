"""Test the Retry-After of a service during an outage."""

import pytest

from hyssopvane._internal.policy.outage_tracker import (
    MIN_WAIT_S,
    OutageTracker,
)


def simulate_outages(*closed):
    """Return a tracker that observed outages, each a pair of times."""
    times = OutageTracker()
    times.observe(is_open=True, now=0.0)
    for start, end in closed:
        times.observe(is_open=False, now=start)
        times.observe(is_open=True, now=end)
    return times


@pytest.mark.parametrize(
    ("outages", "elapsed_s", "expected_s"),
    [
        ((), 0.0, MIN_WAIT_S),
        ((), 3.0, 3.0),
        (((1.0, 6.0),), 0.5, 4.5),
        (((1.0, 6.0),), 3.5, 3.5),
        (((1.0, 1.2),), 0.1, MIN_WAIT_S),
        (((1.0, 9.0), (11.0, 14.0)), 0.25, 2.75),
    ],
)
def test_retry_after_follows_the_last_outage(outages, elapsed_s, expected_s):
    """A rank crashes and is down for seconds, as one was before.

    Callers that return too early are refused again and have no retry left.
    """
    times = simulate_outages(*outages)
    times.observe(is_open=False, now=20.0)
    assert times.measure_wait_s(20.0 + elapsed_s) == pytest.approx(expected_s)


def test_jitter_is_as_long_as_the_outage():
    """Callers refused during two seconds must not return within half a second."""
    times = simulate_outages()
    times.observe(is_open=False, now=10.0)
    assert times.measure_jitter_s(12.0) == pytest.approx(2.0)

"""Test the token bucket that limits the rate of the weight store."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.standins.weight_store import TokenBucket

BURST = 1000


@given(
    reservations=st.lists(st.tuples(st.floats(0, 5), st.integers(1, BURST))),
    rate=st.floats(10, 10_000),
)
@settings(derandomize=True, deadline=None)
def test_rate_is_never_exceeded(reservations, rate):
    bucket = TokenBucket(rate, BURST, now=0.0)
    now, grants = 0.0, []
    for pause, amount in reservations:
        now += pause
        grants.append((now + bucket.reserve(amount, now), amount))
    for first, (begin, _) in enumerate(grants):
        granted = 0
        for end, amount in grants[first:]:
            granted += amount
            assert granted <= BURST + rate * (end - begin) + 1e-3


def test_waiting_reader_gets_the_full_rate():
    bucket = TokenBucket(100.0, BURST, now=0.0)
    assert bucket.reserve(BURST, 0.0) == 0.0
    assert bucket.reserve(500, 0.0) == 5.0
    assert bucket.reserve(500, 10.0) == 0.0

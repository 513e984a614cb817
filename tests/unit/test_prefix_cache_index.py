"""Test the index of the targets' prefix caches."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.prefix_cache_index import (
    BARRED_S,
    ENTRY_TTL_S,
    MAX_HOLDERS,
    MAX_MISSES,
    TTL_AFTER_GAP_S,
    PrefixCacheIndex,
)


def test_longest_known_prefix_wins():
    index = PrefixCacheIndex()
    index.store([1], "t0", now=0.0)
    index.store([1, 2], "t1", now=0.0)
    assert index.find((1, 2, 3), now=1.0) == ("t1",)
    assert index.find((1, 9), now=1.0) == ("t0", "t1")
    assert index.find((9,), now=1.0) == ()


def test_entry_expires_without_an_event():
    """An engine evicts a prefix and the eviction event is never published.

    Requests that still prefer that engine for the prefix would cost balance and gain
    nothing.
    """
    index = PrefixCacheIndex()
    index.store([1], "t0", now=0.0)
    assert index.find((1,), now=ENTRY_TTL_S - 1) == ("t0",)
    assert index.find((1,), now=ENTRY_TTL_S) == ()


def test_gap_shortens_the_lifetime_of_entries():
    index = PrefixCacheIndex()
    index.store([1], "t0", now=0.0)
    index.record_gap("t0", now=10.0)
    assert index.find((1,), now=11.0) == ("t0",)
    assert index.find((1,), now=10.0 + TTL_AFTER_GAP_S) == ()
    index.store([1], "t0", now=20.0)
    assert index.find((1,), now=40.0) == ("t0",)


def test_misses_end_the_preference():
    """A target's cache is too small for the prompts that are sent to it.

    Each of them finds its prefix evicted, so the preference costs balance and saves
    nothing; callers get first tokens as late as without a cache.
    """
    index = PrefixCacheIndex()
    for _ in range(20):
        index.observe_latency((5,), "t1", expected_hit=False, s_per_token=0.01, now=0.0)
    index.store([1], "t0", now=0.0)
    for _ in range(MAX_MISSES):
        index.observe_latency((1,), "t0", expected_hit=True, s_per_token=0.01, now=1.0)
        index.store([1], "t0", now=1.0)
    assert index.find((1,), now=2.0) == ()
    assert index.is_barred(1, "t0", now=2.0)
    index.store([1], "t0", now=2.0 + BARRED_S)
    assert index.find((1,), now=3.0 + BARRED_S) == ("t0",)


def test_hits_keep_the_preference():
    index = PrefixCacheIndex()
    index.observe_latency((5,), "t1", expected_hit=False, s_per_token=0.01, now=0.0)
    index.store([1], "t0", now=0.0)
    for _ in range(10):
        index.observe_latency((1,), "t0", expected_hit=True, s_per_token=0.002, now=1.0)
    assert index.find((1,), now=2.0) == ("t0",)


def test_restarted_target_holds_nothing():
    index = PrefixCacheIndex()
    index.store([1, 2], "t0", now=0.0)
    index.remove_target("t0")
    assert index.find((1, 2), now=1.0) == ()


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["store", "evict", "gap", "hit", "miss", "uncached"]),
        st.integers(0, 30),
        st.integers(0, 6),
        st.floats(0, 10),
    ),
    max_size=200,
)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(_EVENTS)
def test_index_corrects_itself_and_stays_bounded(events):
    """Cache events arrive late, in any order, and some never.

    Whatever the events, an entry that no latency confirms expires within a minute, so
    no wrong entry lasts.
    """
    index = PrefixCacheIndex(max_prefixes=10)
    now = 0.0
    for action, prefix, number, wait_s in events:
        now += wait_s
        name = f"t{number}"
        if action == "store":
            index.store([prefix], name, now=now)
        elif action == "evict":
            index.evict([prefix], name)
            assert name not in index.find((prefix,), now=now)
        elif action == "gap":
            index.record_gap(name, now=now)
        else:
            index.observe_latency(
                (prefix,),
                name,
                expected_hit=action != "uncached",
                s_per_token=0.001 if action == "hit" else 0.01,
                now=now,
            )
        assert len(index) <= 10
        assert len(index.find((prefix,), now=now)) <= MAX_HOLDERS
    later = now + ENTRY_TTL_S + BARRED_S
    assert all(index.find((prefix,), now=later) == () for prefix in range(31))

"""Test beliefs about the targets' prefix caches."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.prefix_beliefs import (
    BARRED_S,
    BELIEF_AFTER_GAP_S,
    BELIEF_S,
    MAX_HOLDERS,
    MAX_MISSES,
    PrefixBeliefs,
)


def test_longest_known_prefix_wins():
    beliefs = PrefixBeliefs()
    beliefs.store([1], "t0", now=0.0)
    beliefs.store([1, 2], "t1", now=0.0)
    assert beliefs.find((1, 2, 3), now=1.0) == ("t1",)
    assert beliefs.find((1, 9), now=1.0) == ("t0", "t1")
    assert beliefs.find((9,), now=1.0) == ()


def test_belief_ends_without_an_event():
    """An engine evicts a prefix and the event that says so is never published.

    Requests that went on to that engine for the prefix would pay for it in balance
    and gain nothing.
    """
    beliefs = PrefixBeliefs()
    beliefs.store([1], "t0", now=0.0)
    assert beliefs.find((1,), now=BELIEF_S - 1) == ("t0",)
    assert beliefs.find((1,), now=BELIEF_S) == ()


def test_gap_shortens_beliefs():
    beliefs = PrefixBeliefs()
    beliefs.store([1], "t0", now=0.0)
    beliefs.note_gap("t0", now=10.0)
    assert beliefs.find((1,), now=11.0) == ("t0",)
    assert beliefs.find((1,), now=10.0 + BELIEF_AFTER_GAP_S) == ()
    beliefs.store([1], "t0", now=20.0)
    assert beliefs.find((1,), now=40.0) == ("t0",)


def test_misses_end_the_preference():
    """A target's cache is too small for the prompts that are sent to it.

    Each of them finds its prefix evicted, so the preference costs balance and saves
    nothing; callers see first tokens as late as without a cache.
    """
    beliefs = PrefixBeliefs()
    for _ in range(20):
        beliefs.observe_latency((5,), "t1", believed=False, s_per_token=0.01, now=0.0)
    beliefs.store([1], "t0", now=0.0)
    for _ in range(MAX_MISSES):
        beliefs.observe_latency((1,), "t0", believed=True, s_per_token=0.01, now=1.0)
        beliefs.store([1], "t0", now=1.0)
    assert beliefs.find((1,), now=2.0) == ()
    assert beliefs.is_barred(1, "t0", now=2.0)
    beliefs.store([1], "t0", now=2.0 + BARRED_S)
    assert beliefs.find((1,), now=3.0 + BARRED_S) == ("t0",)


def test_hits_keep_the_preference():
    beliefs = PrefixBeliefs()
    beliefs.observe_latency((5,), "t1", believed=False, s_per_token=0.01, now=0.0)
    beliefs.store([1], "t0", now=0.0)
    for _ in range(10):
        beliefs.observe_latency((1,), "t0", believed=True, s_per_token=0.002, now=1.0)
    assert beliefs.find((1,), now=2.0) == ("t0",)


def test_restarted_target_holds_nothing():
    beliefs = PrefixBeliefs()
    beliefs.store([1, 2], "t0", now=0.0)
    beliefs.forget_target("t0")
    assert beliefs.find((1, 2), now=1.0) == ()


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
def test_beliefs_heal_and_stay_bounded(events):
    """Cache events come late, in any order, and some never.

    Whatever came before, a belief that experience does not renew is gone after a
    minute, so no wrong one holds for long.
    """
    beliefs = PrefixBeliefs(max_prefixes=10)
    now = 0.0
    for action, prefix, number, wait_s in events:
        now += wait_s
        name = f"t{number}"
        if action == "store":
            beliefs.store([prefix], name, now=now)
        elif action == "evict":
            beliefs.evict([prefix], name)
            assert name not in beliefs.find((prefix,), now=now)
        elif action == "gap":
            beliefs.note_gap(name, now=now)
        else:
            beliefs.observe_latency(
                (prefix,),
                name,
                believed=action != "uncached",
                s_per_token=0.001 if action == "hit" else 0.01,
                now=now,
            )
        assert len(beliefs) <= 10
        assert len(beliefs.find((prefix,), now=now)) <= MAX_HOLDERS
    later = now + BELIEF_S + BARRED_S
    assert all(beliefs.find((prefix,), now=later) == () for prefix in range(31))

"""Test the simulated engine with continuous batching."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.standins.engine import (
    Completion,
    Engine,
    EngineConfig,
    make_token_text,
)
from hyssopvane._internal.standins.journal import Caller, RunEvent
from hyssopvane._internal.standins.prefix_cache import (
    BLOCK_CHARACTERS,
    PrefixCache,
    hash_blocks,
)

STEP_S = 0.0045
CALLER = Caller("request-1", "key-1")


def make_engine(**changes):
    return Engine(EngineConfig(**changes), now=0.0)


def run_until_idle(engine):
    tokens = []
    while engine.has_work:
        tokens += engine.advance(engine.next_step_at)
    return tokens


def get_events(engine, run):
    return [entry.event for entry in engine.journal.entries if entry.run == run]


@pytest.mark.parametrize("resume_from", [0, 1, 7, 11])
def test_resumed_run_gives_exactly_the_missing_tokens(resume_from):
    engine = make_engine()
    engine.submit(Completion("ship list", 12, resume_from), CALLER, 0.0)
    tokens = run_until_idle(engine)
    assert [token.index for token in tokens] == list(range(resume_from, 12))
    assert [token.text for token in tokens] == [
        make_token_text("ship list", index) for index in range(resume_from, 12)
    ]
    assert [token.last for token in tokens] == [False] * (11 - resume_from) + [True]


@pytest.mark.parametrize(("resume_from", "max_tokens"), [(-1, 5), (5, 5), (0, 0)])
def test_completion_refuses_a_resume_outside_the_answer(resume_from, max_tokens):
    with pytest.raises(ValueError, match="resume_from"):
        Completion("ship list", max_tokens, resume_from)


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("submit"), st.integers(1, 6), st.integers(0, 2)),
        st.tuples(st.just("cancel"), st.integers(1, 20), st.just(0)),
        st.tuples(st.just("advance"), st.integers(1, 4), st.just(0)),
    ),
    max_size=60,
)


@given(actions=ACTIONS, slots=st.integers(1, 3), blocks=st.integers(0, 4))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_random_actions_respect_slot_and_memory_limits(actions, slots, blocks):
    engine = make_engine(slots=slots, cache_blocks=blocks, load_lag_s=0.0)
    now, cancelled, expected_counts, tokens = 0.0, set(), {}, []
    for action, first, second in actions:
        if action == "submit":
            completion = Completion(
                "x" * BLOCK_CHARACTERS * first, first, priority=second
            )
            expected_counts[engine.submit(completion, CALLER, now)] = first
        elif action == "cancel":
            cancelled |= {first} if engine.cancel(first, now) else set()
        else:
            now += first * STEP_S
            tokens += engine.advance(now)
        load = engine.get_load(now)
        assert load.running <= slots
        assert 0 <= load.cache_blocks_free <= blocks
    tokens += run_until_idle(engine)
    for run, count in expected_counts.items():
        indexes = [token.index for token in tokens if token.run == run]
        assert indexes == list(range(len(indexes)))
        if run in cancelled:
            assert get_events(engine, run)[-1] is RunEvent.CANCELLED
        else:
            assert len(indexes) == count
            assert get_events(engine, run) == [RunEvent.STARTED, RunEvent.FINISHED]


def test_cancelled_run_frees_its_slot_for_the_next():
    engine = make_engine(slots=1)
    first = engine.submit(Completion("a", 1000), CALLER, 0.0)
    second = engine.submit(Completion("b", 1), CALLER, 0.0)
    engine.advance(engine.next_step_at)
    assert engine.cancel(first, engine.next_step_at)
    assert not engine.cancel(first, engine.next_step_at)
    assert {token.run for token in run_until_idle(engine)} == {second}


@pytest.mark.parametrize(
    ("priorities", "order"),
    [([0, 0, 0], [1, 2, 3]), ([2, 1, 0], [3, 2, 1]), ([1, 0, 1], [2, 1, 3])],
)
def test_waiting_runs_start_by_priority_then_arrival(priorities, order):
    engine = make_engine(slots=1)
    for priority in priorities:
        engine.submit(Completion("a", 1, priority=priority), CALLER, 0.0)
    assert [token.run for token in run_until_idle(engine)] == order


def test_cached_prefix_shortens_prefill():
    engine = make_engine(prefill_blocks_per_step=1)
    steps = []
    for tail in ("cold", "warm"):
        engine.submit(
            Completion("x" * BLOCK_CHARACTERS * 10 + tail, 1),
            CALLER,
            engine.next_step_at,
        )
        step_before = engine.rank.step
        run_until_idle(engine)
        steps.append(engine.rank.step - step_before)
    assert steps == [12, 2]


def test_full_cache_keeps_the_beginning_of_a_prompt():
    cache = PrefixCache(2, event_lag_s=0.0, event_gap=0)
    blocks = hash_blocks("x" * BLOCK_CHARACTERS * 3)
    assert [cache.use_blocks(blocks, 0.0) for _ in range(2)] == [0, 2]


def test_load_report_is_delayed():
    engine = make_engine(load_lag_s=0.2)
    engine.submit(Completion("a", 1000), CALLER, 1.0)
    assert engine.get_load(1.1).waiting == 0
    assert engine.get_load(1.2).waiting == 1


def test_cache_events_are_delayed_and_have_gaps():
    engine = make_engine(cache_event_lag_s=0.5, cache_event_gap=3)
    engine.submit(Completion("x" * BLOCK_CHARACTERS * 7, 1), CALLER, 0.0)
    run_until_idle(engine)
    assert engine.get_cache_events(0, 0.1) == []
    numbers = [event.number for event in engine.get_cache_events(1, 1.0)]
    assert numbers == [2, 4, 5, 7]


def test_idle_engine_counts_steps_by_the_clock():
    engine = make_engine()
    assert engine.get_step(STEP_S * 100.5) == 100


def test_engine_does_not_catch_up_after_a_long_pause():
    engine = make_engine()
    engine.submit(Completion("a", 1000), CALLER, 0.0)
    assert len(engine.advance(STEP_S * 100)) <= 4


def test_poison_prompt_crashes_the_engine_and_drops_all_runs():
    """One request crashes the engine as it starts.

    The callers of the other runs get no more tokens, and none of these runs is
    reported as finished.
    """
    engine = make_engine(poison="BOOM")
    engine.submit(Completion("a", 10), CALLER, 0.0)
    engine.advance(engine.next_step_at)
    engine.submit(Completion("xBOOMx", 10), CALLER, engine.next_step_at)
    engine.advance(engine.next_step_at)
    assert engine.crashed
    assert not engine.has_work
    assert get_events(engine, 1) == get_events(engine, 2) == [RunEvent.STARTED]
    assert engine.journal.count_starts("key-1") == 2

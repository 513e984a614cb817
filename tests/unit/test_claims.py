"""Test claims in the key-value service with injected faults."""

from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.coordination.claim_pages import (
    CLAIM_PREFIX,
    ChangeResult,
    ChangeStatus,
    decode_change,
    decode_page,
    decode_result,
    encode_change,
    encode_page,
    encode_result,
)
from hyssopvane._internal.coordination.claims import FLOOR_KEY, ClaimWriter
from hyssopvane._internal.exceptions import KeyValueUnavailable, ProtocolError
from hyssopvane._internal.standins.key_value_state import KeyValueState
from hyssopvane._internal.state.claims import (
    BUCKET_COUNT,
    SLICE_S,
    Claim,
    ClaimChange,
    ClaimKey,
    ClaimPage,
    make_claim_key,
)
from tests.lib.fake_key_value import FakeKeyValueStore, Fault

NOW = 1_000_000.0
WINDOW_S = 600.0


def run_mocked(function):
    return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0.0))


def make_key(number, *, created_at=NOW):
    return make_claim_key("bidders", f"key-{number}", created_at)


def make_change(key, attempt, *, expected=0):
    return ClaimChange(key, expected, Claim(attempt, 7, "lots-1", 3))


def make_writer(store, *, clock=lambda: NOW + trio.current_time(), window_s=WINDOW_S):
    return ClaimWriter(store, random=Random(0), window_s=lambda: window_s, clock=clock)


CLAIMS = st.builds(
    Claim,
    attempt=st.integers(1, 2**64 - 1),
    body_digest=st.integers(0, 2**32 - 1),
    target=st.sampled_from(["lots-1", "lots-2"]),
    incarnation=st.integers(0, 2**63 - 1),
    void=st.booleans(),
)
KEYS = st.integers(0, 2**64 - 1)


@settings(derandomize=True, max_examples=50)
@given(claims=st.dictionaries(KEYS, CLAIMS, max_size=5))
def test_page_survives_encoding(claims):
    page = ClaimPage(claims)
    assert decode_page(encode_page(page)) == page


@settings(derandomize=True, max_examples=50)
@given(key=KEYS, claim=CLAIMS, expected=KEYS, slice_number=st.integers(0, 2**40))
def test_change_and_result_survive_encoding(key, claim, expected, slice_number):
    name = ClaimKey(key, slice_number, key % BUCKET_COUNT)
    change = ClaimChange(name, expected, claim)
    assert decode_change(encode_change(change)) == change
    for result in (
        ChangeResult(ChangeStatus.KNOWN, claim),
        ChangeResult(ChangeStatus.KNOWN),
        ChangeResult(ChangeStatus.UNKNOWN),
    ):
        assert decode_result(encode_result(key, result)) == result


@pytest.mark.parametrize("decode", [decode_page, decode_change, decode_result])
def test_garbage_is_refused(decode):
    with pytest.raises(ProtocolError):
        decode(b"\xff" * 24)


def test_claim_takes_24_bytes():
    claims = {n: Claim(n + 1, 1, f"lots-{n % 12}", n % 12) for n in range(1_000)}
    size = len(encode_page(ClaimPage(claims)))
    assert 24_000 <= size <= 24_700


def test_claims_of_one_moment_go_in_few_writes():
    """Guard against one write for each claim of a burst.

    At the end of an auction, single writes would use up the several hundred writes a
    second that the service handles and delay edits of the table.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            store = FakeKeyValueStore(state, nursery, choose_delay=lambda: 0.005)
            writer = make_writer(store)
            writer.start(nursery)
            results = []

            async def claim(number):
                key = make_key(number, created_at=NOW - number % 90)
                change = make_change(key, number + 1)
                results.append((change, await writer.change(change)))

            async with trio.open_nursery() as callers:
                for number in range(870):
                    callers.start_soon(claim, number)
            assert all(result.claim == change.claim for change, result in results)
            assert len(results) == 870
            assert state.revision <= 3 * BUCKET_COUNT
            nursery.cancel_scope.cancel()

    run_mocked(run)


FAULTS = st.lists(
    st.sampled_from([fault for fault in Fault] + [Fault.NONE] * 4), max_size=40
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    faults=FAULTS,
    arrivals=st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 1), st.floats(0, 1)),
        min_size=2,
        max_size=8,
    ),
)
def test_one_attempt_is_confirmed_for_a_key(faults, arrivals):
    """Guard against two confirmed attempts of one key.

    Three entries write the same pages while the service loses and delays answers. If
    two attempts of a key were confirmed, both would be sent to targets, and two buyers
    would each be told that they won the auction.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        confirmed = {}
        remaining = list(faults)
        async with trio.open_nursery() as nursery:
            writers = []
            for _ in range(3):
                store = FakeKeyValueStore(
                    state,
                    nursery,
                    choose_fault=lambda: remaining.pop() if remaining else Fault.NONE,
                    choose_delay=lambda: 0.003,
                )
                writers.append(make_writer(store))
                writers[-1].start(nursery)

            async def claim(attempt, writer, number, delay):
                await trio.sleep(delay)
                change = make_change(make_key(number), attempt)
                result = await writers[writer].change(change)
                if result.status is ChangeStatus.UNAVAILABLE:
                    refused.append((make_key(number), attempt))
                elif result.claim is not None:
                    seen = confirmed.setdefault(number, result.claim)
                    assert result.claim == seen

            refused = []
            async with trio.open_nursery() as callers:
                for attempt, (writer, number, delay) in enumerate(arrivals, start=1):
                    callers.start_soon(claim, attempt, writer, number, delay)
            remaining.clear()
            await trio.sleep(10)
            for number, claim_seen in confirmed.items():
                assert await writers[0].find(make_key(number)) == claim_seen
            for key, attempt in refused:
                found = await writers[0].find(key)
                assert found is None or found.attempt != attempt
            nursery.cancel_scope.cancel()

    run_mocked(run)


def test_paused_entry_does_not_create_a_deleted_page_again():
    """Guard against a second run of a key whose page was deleted.

    An entry is paused before it writes a claim. When it resumes, the key's page has
    been deleted, so the key looks as if it had never run.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            store = FakeKeyValueStore(state, nursery)
            first, paused = make_writer(store), make_writer(store, window_s=3600)
            for writer in (first, paused):
                writer.start(nursery)
            key = make_key(1)
            ran = await first.change(make_change(key, 1))
            assert ran.status is ChangeStatus.KNOWN
            await trio.sleep(WINDOW_S + 3 * SLICE_S)
            for _ in range(int(WINDOW_S / SLICE_S)):
                await first.sweep()
                await trio.sleep(SLICE_S)
            assert (await store.get_prefix(CLAIM_PREFIX)).items == ()
            again = await paused.change(make_change(key, 2))
            assert again.status is ChangeStatus.EXPIRED
            assert (await store.get_prefix(CLAIM_PREFIX)).items == ()
            nursery.cancel_scope.cancel()

    run_mocked(run)


def test_sweep_keeps_pages_inside_the_window():
    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            store = FakeKeyValueStore(state, nursery)
            writer = make_writer(store)
            writer.start(nursery)
            change = make_change(make_key(1), 1)
            await writer.change(change)
            for _ in range(int(WINDOW_S / SLICE_S)):
                await writer.sweep()
                await trio.sleep(SLICE_S - 0.1)
            assert await writer.find(change.key) == change.claim
            assert await store.get(FLOOR_KEY) is not None
            nursery.cancel_scope.cancel()

    run_mocked(run)


def test_unresponsive_service_is_tried_by_one_write_at_a_time():
    """Guard against keyed requests that each wait for their own timeout.

    The service accepts every call and answers none, so callers would queue up.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            delays = iter([0.0, 0.0, 2.0])
            store = FakeKeyValueStore(
                state,
                nursery,
                choose_fault=lambda: Fault.DOWN,
                choose_delay=lambda: next(delays, 2.0),
            )
            writer = make_writer(store)
            writer.start(nursery)
            key = make_key(1)
            first = await writer.change(make_change(key, 1))
            assert first.status is ChangeStatus.UNAVAILABLE
            started_at = trio.current_time()
            second = await writer.change(make_change(key, 2))
            assert second.status is ChangeStatus.UNAVAILABLE
            with pytest.raises(KeyValueUnavailable):
                await writer.find(key)
            assert trio.current_time() == started_at
            nursery.cancel_scope.cancel()

    run_mocked(run)

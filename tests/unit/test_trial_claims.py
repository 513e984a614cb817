"""Test that one request in the fleet runs with a part that may crash replicas."""

import pytest
import trio
import trio.testing

from hyssopvane._internal.coordination.trial_claims import (
    CLAIM_S,
    CLAIMS_KEY,
    MAX_CLAIMS,
    TrialClaims,
)
from hyssopvane._internal.exceptions import KeyValueError
from hyssopvane._internal.policy.suspect_rules import LOST_CONNECTIONS
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.roles.suspect_trials import CLAIM_RETRY_S, SuspectTrials
from hyssopvane._internal.standins.key_value_state import KeyValueState, Put
from hyssopvane._internal.state.suspects import SuspectId
from tests.lib.fake_key_value import FakeKeyValueStore, Fault

PART = SuspectId("drafting", b"bad", is_part=True)
OTHER = SuspectId("drafting", b"other", is_part=True)


def run_mocked(test, *, faults=None):
    """Run a test with the trials of three entries; faults are injected by entry."""

    async def main():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            entries = []
            for number in range(3):

                def choose_fault(number=number):
                    return Fault.NONE if faults is None else faults(number)

                store = FakeKeyValueStore(state, nursery, choose_fault=choose_fault)
                tracker = SuspectTracker(rules=LOST_CONNECTIONS)
                entries.append(
                    SuspectTrials(
                        tracker,
                        TrialClaims(store, report=lambda error: None),
                        is_leading=lambda service, number=number: number == 1,
                        start_task=nursery.start_soon,
                    )
                )
            await test(state, entries)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


async def begin_all(entries, *parts):
    """Begin trials at all entries at once; return those that were allowed."""
    trials = []

    async def begin(one):
        trial = await one.begin(parts)
        if trial is not None:
            trials.append(trial)

    async with trio.open_nursery() as nursery:
        for one in entries:
            nursery.start_soon(begin, one)
    return trials


async def wait_for_claims():
    await trio.sleep(CLAIM_RETRY_S + 0.1)


def test_entries_that_begin_at_once_run_one_request():
    """Guard against a trial at each entry, which crashes a replica each."""

    async def test(state, entries):
        (trial,) = await begin_all(entries, PART)
        await wait_for_claims()
        assert not await begin_all(entries, PART, OTHER)
        trial.end()
        await wait_for_claims()
        assert len(await begin_all(entries, PART, OTHER)) == 1

    run_mocked(test)


def test_other_parts_are_tried_meanwhile():
    """Guard against sound requests that wait for trials of other parts."""

    async def test(state, entries):
        assert await begin_all(entries[:1], PART)
        assert await begin_all(entries[1:2], OTHER)

    run_mocked(test)


def test_claim_of_an_entry_that_ended_expires():
    """Guard against a part that nobody tries again after its entry was killed."""

    async def test(state, entries):
        assert await begin_all(entries[:1], PART)
        assert not await begin_all(entries[1:], PART)
        await trio.sleep(CLAIM_S + 0.1)
        assert len(await begin_all(entries[1:], PART)) == 1

    run_mocked(test)


@pytest.mark.parametrize("fault", [Fault.DOWN, Fault.LOST_REPLY])
def test_one_entry_begins_trials_while_the_store_is_away(fault):
    """Guard against a trial at each entry that can't reach the store."""

    async def test(state, entries):
        assert len(await begin_all(entries, PART)) == 1
        assert not await begin_all(entries, PART)

    run_mocked(test, faults=lambda number: fault)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"format":2,"claims":[]}',
        b'{"format":1,"claims":[["a"]]}',
        b'{"format":1,"claims":[["drafting","626164",7]]}',
        b'{"format":1,"claims":7}',
    ],
)
def test_page_that_can_not_be_read_is_replaced(value):
    """Guard against a page of strangers that stops all trials for ever."""

    async def test(state, entries):
        state.commit([], [Put(CLAIMS_KEY.encode(), value, 0)])
        assert len(await begin_all(entries, PART)) == 1

    run_mocked(test)


def test_number_of_claims_is_bounded():
    """Guard against a page that outgrows the store's values."""

    async def test(state, entries):
        parts = [
            SuspectId("drafting", b"%d" % number, is_part=True)
            for number in range(MAX_CLAIMS)
        ]
        assert await begin_all(entries[:1], *parts)
        assert not await begin_all(entries[1:2], PART)

    run_mocked(test)


def test_error_of_the_store_is_reported_to_the_caller():
    """Guard against a claim that counts although it was not written."""

    async def main():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            store = FakeKeyValueStore(state, nursery, choose_fault=lambda: Fault.DOWN)
            claims = TrialClaims(store, report=lambda error: None)
            with pytest.raises(KeyValueError):
                await claims.acquire([PART])
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))

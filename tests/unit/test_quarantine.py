"""Test how entries share crash suspects through the key-value service."""

from contextlib import asynccontextmanager
from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.coordination.key_value import MAX_VALUE_BYTES
from hyssopvane._internal.coordination.quarantine import (
    PAGE_KEY,
    QuarantineSync,
    format_page,
    parse_page,
)
from hyssopvane._internal.policy.suspects import (
    MAX_RECORDS,
    Crash,
    SuspectId,
    SuspectRecord,
    SuspectTracker,
)
from hyssopvane._internal.standins.key_value_state import KeyValueState, Put
from tests.lib.fake_key_value import FakeKeyValueStore, Fault

POISON = SuspectId("draft", b"poison")
QUARANTINE_S = 60.0
PROPAGATION_S = 0.2


def run_mocked(function):
    return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0.0))


def choose_no_fault():
    return Fault.NONE


@asynccontextmanager
async def run_trackers(count, *, state=None, choose_fault=choose_no_fault, stores=None):
    """Run the trackers of several entries; their clocks differ from the wall clock."""
    state = state or KeyValueState(trio.current_time)
    trackers = [SuspectTracker() for _ in range(count)]
    stores = [] if stores is None else stores
    async with trio.open_nursery() as nursery:
        for number, tracker in enumerate(trackers):
            stores.append(FakeKeyValueStore(state, nursery, choose_fault=choose_fault))
            sync = QuarantineSync(
                stores[-1],
                tracker,
                random=Random(number),
                get_quarantine_s=lambda service: QUARANTINE_S,
                report=lambda error: None,
                wall_clock=lambda: trio.current_time() + 1_000_000,
                refresh_s=1.0,
            )
            nursery.start_soon(sync.run)
        await trio.sleep(PROPAGATION_S)
        yield trackers
        nursery.cancel_scope.cancel()


def record_crash(tracker, target, body=POISON):
    now = trio.current_time()
    crash = Crash(target, 1, now)
    tracker.record_crash(body, crash, quarantine_s=QUARANTINE_S, now=now)


def count_quarantined(trackers, body=POISON):
    now = trio.current_time()
    return sum(tracker.is_quarantined(body, now=now) for tracker in trackers)


def count_suspecting(trackers, body=POISON):
    now = trio.current_time()
    return sum(tracker.is_suspect(body, now=now) for tracker in trackers)


def test_crashes_at_two_entries_quarantine_the_body_at_all():
    """Guard against a body that crashes targets through one entry after another.

    Each entry sees only one crash and would continue to send the body.
    """

    async def run():
        async with run_trackers(3) as trackers:
            record_crash(trackers[0], "t0")
            await trio.sleep(PROPAGATION_S)
            assert count_suspecting(trackers) == 3
            record_crash(trackers[1], "t1")
            await trio.sleep(PROPAGATION_S)
            assert count_quarantined(trackers) == 3
            await trio.sleep(QUARANTINE_S)
            assert count_quarantined(trackers) == 0

    run_mocked(run)


def test_one_crash_seen_by_all_entries_counts_once():
    async def run():
        async with run_trackers(3) as trackers:
            for tracker in trackers:
                record_crash(tracker, "t0")
                await trio.sleep(0.01)
            await trio.sleep(PROPAGATION_S)
            assert count_suspecting(trackers) == 3
            assert count_quarantined(trackers) == 0

    run_mocked(run)


def test_body_cleared_at_one_entry_is_cleared_at_all():
    async def run():
        async with run_trackers(3) as trackers:
            record_crash(trackers[0], "t0")
            await trio.sleep(PROPAGATION_S)
            trackers[2].clear(POISON)
            await trio.sleep(PROPAGATION_S)
            assert count_suspecting(trackers) == 0

    run_mocked(run)


def test_entry_that_starts_later_knows_the_quarantine():
    async def run():
        state = KeyValueState(trio.current_time)
        async with run_trackers(1, state=state) as trackers:
            record_crash(trackers[0], "t0")
            record_crash(trackers[0], "t1")
            await trio.sleep(PROPAGATION_S)
            assert count_quarantined(trackers) == 1
        async with run_trackers(2, state=state) as trackers:
            assert count_quarantined(trackers) == 2

    run_mocked(run)


def test_page_that_cannot_be_read_is_replaced():
    async def run():
        state = KeyValueState(trio.current_time)
        state.commit([], [Put(PAGE_KEY.encode(), b'{"format": 9}', 0)])
        async with run_trackers(2, state=state) as trackers:
            record_crash(trackers[0], "t0")
            await trio.sleep(PROPAGATION_S)
            assert count_suspecting(trackers) == 2

    run_mocked(run)


@pytest.mark.parametrize("quarantined", [False, True])
def test_page_preserves_records(quarantined):
    record = SuspectRecord(
        (Crash("t0", 7, 10.0), Crash("t1", 8, 11.5)), quarantined, 600.0
    )
    page = format_page({POISON: record}, offset=1000.0)
    assert parse_page(page, offset=900.0) == {
        POISON: SuspectRecord(
            (Crash("t0", 7, 110.0), Crash("t1", 8, 111.5)), quarantined, 700.0
        )
    }


def test_full_page_fits_the_service():
    crashes = (Crash("t" * 63, 2**63, 1e9), Crash("u" * 63, 2**63, 1e9))
    records = {
        SuspectId("s" * 20, number.to_bytes(32, "big")): SuspectRecord(
            crashes, True, 1e9
        )
        for number in range(MAX_RECORDS)
    }
    assert len(format_page(records, offset=0.0)) < MAX_VALUE_BYTES


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 3), st.booleans()), max_size=12
    ),
    st.integers(0, 1000),
)
def test_entries_agree_after_faults(steps, seed):
    """Guard against entries that disagree after faults of the service.

    The service goes down and loses replies and writes while targets crash. If entries
    still differed after that, one would refuse a body and another would crash a target
    with it.
    """

    async def run():
        random = Random(seed)
        faults_end = trio.current_time() + 4.0

        def choose_fault():
            if trio.current_time() > faults_end:
                return Fault.NONE
            return random.choice(
                [Fault.NONE, Fault.DOWN, Fault.LOST_REPLY, Fault.LOST_WRITE]
            )

        async with run_trackers(3, choose_fault=choose_fault) as trackers:
            for entry, number, crashes in steps:
                body = SuspectId("draft", bytes([number]))
                if crashes:
                    record_crash(trackers[entry], f"t{entry}", body)
                else:
                    trackers[entry].clear(body)
                await trio.sleep(0.3)
            await trio.sleep(8.0)
            for number in range(4):
                body = SuspectId("draft", bytes([number]))
                assert count_quarantined(trackers, body) in (0, 3)
                assert count_suspecting(trackers, body) in (0, 3)

    run_mocked(run)


@pytest.mark.parametrize("lost_first", [True, False])
def test_entries_agree_after_a_restore_of_the_service(lost_first):
    """Guard against records that a restore loses or that are not shared after it."""
    early = SuspectId("draft", b"early")

    async def run():
        state = KeyValueState(trio.current_time)
        stores = []
        async with run_trackers(3, state=state, stores=stores) as trackers:
            record_crash(trackers[0], "t9", early)
            await trio.sleep(PROPAGATION_S)
            copy = state.copy_items()
            for number in range(4):
                record_crash(trackers[1], "t8", SuspectId("draft", bytes([number])))
                await trio.sleep(PROPAGATION_S)
            if lost_first:
                record_crash(trackers[0], "t0")
                record_crash(trackers[0], "t1")
                await trio.sleep(PROPAGATION_S)
                assert count_quarantined(trackers) == 3
            copy.renew_cluster_id()
            for store in stores:
                store.state = copy
            await trio.sleep(2.0)
            if not lost_first:
                record_crash(trackers[1], "t0")
                record_crash(trackers[1], "t1")
                await trio.sleep(PROPAGATION_S)
            assert count_quarantined(trackers) == 3
            assert count_suspecting(trackers, early) == 3
            trackers[2].clear(early)
            await trio.sleep(PROPAGATION_S)
            assert count_suspecting(trackers, early) == 0
        async with run_trackers(2, state=copy) as trackers:
            assert count_quarantined(trackers) == 2

    run_mocked(run)

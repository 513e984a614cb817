"""Test what entries read from each other about requests that crash replicas."""

import json
from random import Random

import pytest
import trio
import trio.testing

from hyssopvane._internal.coordination.key_value import MAX_VALUE_BYTES
from hyssopvane._internal.coordination.quarantine import PAGE_KEY, QuarantineSync
from hyssopvane._internal.exceptions import KeyValueUnavailable
from hyssopvane._internal.policy.suspect_rules import LOST_CONNECTIONS, MAX_VOIDED
from hyssopvane._internal.policy.suspects import MAX_LONG_RECORDS, SuspectTracker
from hyssopvane._internal.protocol.suspect_pages import format_page, parse_page
from hyssopvane._internal.standins.key_value_state import Delete, KeyValueState, Put
from hyssopvane._internal.state.suspects import Crash, SuspectId, SuspectRecord
from tests.lib.fake_key_value import FakeKeyValueStore

BODY = SuspectId("checks", b"body", "registry")
RECORD = SuspectRecord(
    (Crash("i-1", 0, 1.0, 1), Crash("i-2", 0, 2.0, 2)),
    False,
    600.0,
    frozenset({("i-3", 7)}),
)


def test_page_preserves_all_evidence():
    page = format_page({BODY: RECORD}, offset=100.0)
    assert parse_page(page, offset=100.0) == {BODY: RECORD}


def test_full_page_of_long_records_fits_the_service():
    name = "n" * 63
    crashes = tuple(
        Crash(f"{name}{n}", 2**62, 1e9, n + 1)
        for n in range(LOST_CONNECTIONS.max_crashes)
    )
    voided = frozenset((f"{name}{n}", 2**62) for n in range(MAX_VOIDED))
    record = SuspectRecord(crashes, True, 1e9, voided)
    records = {
        SuspectId(name, number.to_bytes(16, "big"), name): record
        for number in range(MAX_LONG_RECORDS)
    }
    page = format_page(records, offset=1e9)
    assert len(page) < MAX_VALUE_BYTES
    assert parse_page(page, offset=1e9) == records


def damage(**changes):
    (case,) = json.loads(format_page({BODY: RECORD}, offset=0.0))["cases"]
    return case | changes


@pytest.mark.parametrize(
    "case",
    [
        damage(service=7),
        damage(digest="zz"),
        damage(digest="00" * 100),
        damage(customer="c" * 1_000),
        damage(crashes={}),
        damage(crashes=[["i-1", 0]]),
        damage(crashes=[["i-1", -1, 1.0]], generations=[1]),
        damage(crashes=[["i-1", 0, float("inf")]], generations=[1]),
        damage(crashes=[["i-1", 0, 1.0]] * 100, generations=[1] * 100),
        damage(generations=[1]),
        damage(generations=["1", "2"]),
        damage(until=float("nan")),
        damage(until="soon"),
        damage(until=10**400),
        damage(crashes=[["i-1", 0, 10**400]], generations=[1]),
        damage(crashes=["abc"], generations=[1]),
        damage(voided=[["i-1"]]),
        damage(voided=[[1, 2]]),
        7,
    ],
)
def test_page_with_invalid_values_is_rejected(case):
    """Guard against a page of another process that ends this one later."""
    page = json.dumps({"format": 1, "cases": [case]}).encode()
    with pytest.raises(ValueError):
        parse_page(page, offset=0.0)


def make_sync(store, tracker, *, number=0, wrong_s=0.0):
    return QuarantineSync(
        store,
        tracker,
        random=Random(number),
        get_quarantine_s=lambda service: 600.0,
        report=lambda error: None,
        wall_clock=lambda: trio.current_time() + 1_000_000 + wrong_s,
    )


@pytest.mark.parametrize(
    "change",
    [
        Put(PAGE_KEY.encode(), format_page({}, offset=0.0)),
        Put(PAGE_KEY.encode(), b"["),
        Delete(PAGE_KEY.encode()),
    ],
)
def test_page_that_lost_records_gets_them_again(change):
    """Guard against an entry that starts and reads a page which another one spoilt."""

    async def run():
        state = KeyValueState(trio.current_time)
        trackers = [SuspectTracker(rules=LOST_CONNECTIONS) for _ in range(3)]
        async with trio.open_nursery() as nursery:
            for number, tracker in enumerate(trackers[:2]):
                store = FakeKeyValueStore(state, nursery)
                nursery.start_soon(make_sync(store, tracker, number=number).run)
            for generation in range(1, 4):
                await trio.sleep(0.5)
                record_crash(trackers[0], BODY, generation)
            await trio.sleep(0.5)
            state.commit([], [change])
            await trio.sleep(0.5)
            revision = state.revision
            store = FakeKeyValueStore(state, nursery)
            nursery.start_soon(make_sync(store, trackers[2], number=2).run)
            await trio.sleep(30.0)
            now = trio.current_time()
            assert all(one.is_quarantined(BODY, now=now) for one in trackers)
            assert state.revision == revision
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


class TroubledStore(FakeKeyValueStore):
    """Fail some writes, and answer no listing, when a test asks for it."""

    failures = 0
    lists = True

    async def get_prefix(self, prefix, *, min_revision=0):
        if not self.lists:
            await trio.sleep_forever()
        return await super().get_prefix(prefix, min_revision=min_revision)

    async def compare_and_swap(self, swaps, *, checks=()):
        if self.failures:
            self.failures -= 1
            raise KeyValueUnavailable("the service is down")
        return await super().compare_and_swap(swaps, checks=checks)


def record_crash(tracker, body, number):
    now = trio.current_time()
    crash = Crash(f"i-{number}", 0, now, number)
    tracker.record_crash(body, crash, quarantine_s=600.0, now=now)


def test_records_of_a_write_that_fails_after_a_restore_are_shared_later():
    """Guard against a record that leaves the page as the store fails once more."""
    other = SuspectId("checks", b"other", "registry")

    async def run():
        state = KeyValueState(trio.current_time)
        trackers = [SuspectTracker(rules=LOST_CONNECTIONS) for _ in range(2)]
        async with trio.open_nursery() as nursery:
            store = TroubledStore(state, nursery)
            nursery.start_soon(make_sync(store, trackers[0]).run)
            await trio.sleep(0.5)
            copy = state.copy_items()
            record_crash(trackers[0], BODY, 1)
            await trio.sleep(0.5)
            store.lists, store.state = False, copy
            await store.get(PAGE_KEY)
            store.failures = 1
            record_crash(trackers[0], other, 2)
            await trio.sleep(5.0)
            later = FakeKeyValueStore(copy, nursery)
            nursery.start_soon(make_sync(later, trackers[1], number=1).run)
            await trio.sleep(0.5)
            now = trio.current_time()
            assert trackers[1].list_records(now=now).keys() == {BODY, other}
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


def test_pages_of_two_releases_do_not_replace_each_other_all_the_time():
    """Guard against entries that write without end while releases differ."""

    async def run():
        state = KeyValueState(trio.current_time)
        tracker = SuspectTracker(rules=LOST_CONNECTIONS)
        async with trio.open_nursery() as nursery:
            store = FakeKeyValueStore(state, nursery)
            nursery.start_soon(make_sync(store, tracker).run)
            await trio.sleep(0.5)
            record_crash(tracker, BODY, 1)
            await trio.sleep(0.5)
            began_at = state.revision
            for number in range(20):
                state.commit([], [Put(PAGE_KEY.encode(), b"[%d" % number)])
                await trio.sleep(1.0)
            assert state.revision - began_at <= 20 + 2
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


@pytest.mark.parametrize("error_s", [-3_600.0, 0.0, 3_600.0])
def test_wrong_clock_of_one_entry_loses_no_evidence(error_s):
    """Guard against times of day of another VM that let a record expire at once."""

    async def run():
        state = KeyValueState(trio.current_time)
        trackers = [SuspectTracker(rules=LOST_CONNECTIONS) for _ in range(3)]
        async with trio.open_nursery() as nursery:
            for number, tracker in enumerate(trackers):
                wrong_s = error_s if number == 1 else 0.0
                store = FakeKeyValueStore(state, nursery)
                sync = make_sync(store, tracker, number=number, wrong_s=wrong_s)
                nursery.start_soon(sync.run)
            await trio.sleep(0.5)
            for number, tracker in enumerate(trackers):
                generation = 1 + tracker.count_generations(BODY)
                now = trio.current_time()
                tracker.record_crash(
                    BODY,
                    Crash(f"i-{number}", 0, now, generation),
                    quarantine_s=600.0,
                    now=now,
                )
                await trio.sleep(5.0)
            now = trio.current_time()
            assert [t.is_quarantined(BODY, now=now) for t in trackers] == [True] * 3
            await trio.sleep(580.0)
            now = trio.current_time()
            assert trackers[2].is_quarantined(BODY, now=now)
            await trio.sleep(30.0)
            now = trio.current_time()
            assert not any(t.is_quarantined(BODY, now=now) for t in trackers)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))

"""Test how processes track a store that is restored from older copies."""

import json
from dataclasses import replace
from random import Random

import pytest
import trio
import trio.testing
from trio._core import _run as trio_run

from hyssopvane._internal.coordination.key_value import KeyValue, Snapshot, WatchEvent
from hyssopvane._internal.coordination.routing_feed import RoutingFeed
from hyssopvane._internal.platform.store import PlatformStore
from hyssopvane._internal.platform.wire import PlatformFormat
from hyssopvane._internal.state.store_snapshot import StoreItem, StoreSnapshot
from tests.lib.direct_store import DirectStore
from tests.lib.store_return_model import DirectStoreClient, StoreReturnModel
from tests.unit.test_routing_feed import make_registration


@pytest.mark.parametrize(
    ("seed", "evacuates"),
    [*((seed, False) for seed in range(40)), *((seed, True) for seed in range(20))],
)
def test_processes_follow_a_store_that_loses_changes(seed, evacuates, monkeypatch):
    """Guard against outdated state after a restore and removed state from a copy."""
    # The order of tasks is random, so the seed has to determine it too.
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(trio_run, "_r", Random(seed))

    async def main():
        model = StoreReturnModel(seed, evacuates=evacuates)
        await model.run(seconds=90)
        assert model.returns

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def make_feed_with_store():
    stand_in = DirectStore()
    store = PlatformStore(address="store")
    store._client = DirectStoreClient(stand_in, Random(1))
    feed = RoutingFeed(store, PlatformFormat(), random=Random(1), observe=lambda: None)
    return stand_in, feed


def make_snapshot(era, *registrations):
    items = tuple(
        KeyValue(f"servers/{number}", make_registration(number, **changes), 5, era)
        for number, changes in registrations
    )
    return Snapshot(7, items, era)


READY, DRAINING = {"state": "ready"}, {"state": "draining"}


@pytest.mark.parametrize(
    ("before", "copy", "expected"),
    [
        (DRAINING, READY, {"servers/1": True}),
        (DRAINING, DRAINING, {"servers/1": True}),
        (DRAINING | {"born": 1}, READY | {"born": 2}, {"servers/1": False}),
        (READY, READY, {"servers/1": False}),
        (None, READY, {"servers/1": True}),
        (None, None, {}),
    ],
    ids=["left", "known", "new-start", "ready", "gone", "gone-in-copy"],
)
def test_leaving_replica_gets_no_requests_after_a_restore(before, copy, expected):
    """Guard against requests to a leaving replica that is ready only in the copy."""

    async def main():
        _, feed = make_feed_with_store()
        feed._load("servers/", make_snapshot(1, (1, READY), (2, READY)))
        await trio.sleep(10)
        now = [(2, READY)] if before is None else [(1, before), (2, READY)]
        items = make_snapshot(1, *now).items
        later = tuple(replace(item, revision=8) for item in items)
        feed._load("servers/", Snapshot(9, later, 1))
        restored = [(2, READY)] if copy is None else [(1, copy), (2, READY)]
        feed._load("servers/", make_snapshot(2, *restored))
        found = {key: one.draining for key, one in feed.replicas.items()}
        assert found == expected | {"servers/2": False}

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    ("era", "revision", "taken"),
    [(1, 30, False), (2, 7, False), (2, 8, True), (3, 1, True)],
    ids=["earlier-era", "same", "newer", "later-era"],
)
def test_snapshot_of_an_earlier_era_is_ignored(era, revision, taken):
    """Guard against a peer that has not yet detected the restore of the store."""

    async def main():
        _, feed = make_feed_with_store()
        feed._load("servers/", make_snapshot(2, (1, READY)))
        item = StoreItem("servers/2", make_registration(2), revision)
        feed.merge(StoreSnapshot(0, b"", revision, (item,), era))
        assert ("servers/2" in feed.replicas) == taken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("told_by", ["beliefs", "state"])
def test_restore_reported_by_a_peer_ends_the_watch(told_by):
    """Guard against a watch at a revision that the new era has already passed."""

    async def main():
        stand_in, feed = make_feed_with_store()
        copy = stand_in.copy()
        for number in range(3):
            stand_in.put("other/1", number)
        async with trio.open_nursery() as nursery:
            feed.start(nursery)
            await trio.sleep(1.0)
            stand_in.restore_from(copy)
            stand_in.put("servers/9", json.loads(make_registration(9)))
            for number in range(4):
                stand_in.put("other/1", number)
            await trio.sleep(0.3)
            assert not feed.replicas
            if told_by == "beliefs":
                feed.merge(StoreSnapshot(0, b"", 1, (), 1))
            else:
                feed.end_watches_before(1)
            await trio.sleep(0.6)
            assert list(feed.replicas) == ["servers/9"]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(("era", "taken"), [(1, False), (2, True)])
def test_event_of_an_earlier_era_is_ignored(era, taken):
    """Guard against events of a watch that was opened before the restore."""

    async def main():
        _, feed = make_feed_with_store()
        feed._load("servers/", make_snapshot(2, (1, READY)))
        event = WatchEvent("servers/2", make_registration(2), 30, era)
        feed._apply_event("servers/", event, era=era)
        assert ("servers/2" in feed.replicas) == taken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

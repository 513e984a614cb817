"""Test what processes believe of a store that comes back from older copies."""

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


@pytest.mark.parametrize("seed", range(40))
def test_processes_follow_a_store_that_loses_changes(seed, monkeypatch):
    """Guards against old beliefs outliving the store's return, and copies reviving."""
    # The order of tasks is drawn: a seed has to name it, too.
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(trio_run, "_r", Random(seed))

    async def main():
        model = StoreReturnModel(seed)
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
        KeyValue(f"servers/{number}", make_registration(number, **changes), 5)
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
def test_replica_that_left_gets_nothing_new_by_a_copy(before, copy, expected):
    """Guards against work for a leaving replica that only a copy still calls ready."""

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
def test_peer_of_an_earlier_era_brings_nothing(era, revision, taken):
    """Guards against a peer that has not seen the store's return yet."""

    async def main():
        _, feed = make_feed_with_store()
        feed._load("servers/", make_snapshot(2, (1, READY)))
        item = StoreItem("servers/2", make_registration(2), revision)
        feed.merge(StoreSnapshot(0, b"", revision, (item,), era))
        assert ("servers/2" in feed.replicas) == taken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("told_by", ["beliefs", "state"])
def test_return_that_a_peer_tells_ends_the_watch(told_by):
    """Guards against a watch that waits at a mark which the new era has passed."""

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
                feed.note_era(1)
            await trio.sleep(0.6)
            assert list(feed.replicas) == ["servers/9"]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(("era", "taken"), [(1, False), (2, True)])
def test_change_of_an_earlier_era_is_left_out(era, taken):
    """Guards against a watch of before the return that is read after it."""

    async def main():
        _, feed = make_feed_with_store()
        feed._load("servers/", make_snapshot(2, (1, READY)))
        event = WatchEvent("servers/2", make_registration(2), 30)
        feed._apply_event("servers/", event, era=era)
        assert ("servers/2" in feed.replicas) == taken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

"""Test that a process never goes back to an older configuration."""

import json
from random import Random

import pytest
import trio
import trio.testing

from hyssopvane._internal.coordination.key_value import KeyValue, WatchEvent
from hyssopvane._internal.coordination.routing_feed import MISSING_GRACE_S, RoutingFeed
from hyssopvane._internal.platform.wire import PlatformFormat
from hyssopvane._internal.state.store_snapshot import (
    StoreItem,
    StorePosition,
    StoreSnapshot,
)
from tests.lib.direct_installation import make_configuration


def encode(document):
    return json.dumps(document).encode()


def make_registration(number, **changes):
    return encode(
        {
            "service": "checks",
            "address": f"10.0.0.{number}:80",
            "zone": "zone-a",
            "slots": 6,
            "state": "ready",
        }
        | changes
    )


def make_feed(store=None):
    return RoutingFeed(
        store,
        PlatformFormat(),
        random=Random(1),
        observe=lambda: None,
    )


def make_store_snapshot(version, *, revision, replicas=(), replicas_revision=0):
    return StoreSnapshot(
        configuration_revision=revision,
        configuration=encode(make_configuration(version)),
        replicas_revision=replicas_revision,
        replicas=tuple(
            StoreItem(f"servers/{number}", make_registration(number), revision)
            for number in replicas
        ),
    )


def run(test):
    async def main():
        await test()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    ("revision", "version", "expected"),
    [(30, 3, 3), (10, 1, 2), (20, 1, 2), (30, 1, 2)],
    ids=["newer", "older", "same", "newer-revision-older-version"],
)
def test_peer_never_takes_a_process_back(revision, version, expected):
    """A peer that lags, or a late answer, brings an older configuration.

    A key that was taken away would work again, at one machine and for a while.
    """

    async def test():
        feed = make_feed()
        feed.merge(make_store_snapshot(2, revision=20))
        feed.merge(make_store_snapshot(version, revision=revision))
        assert feed.table.version == expected

    run(test)


def test_unreadable_configuration_changes_nothing():
    async def test():
        feed = make_feed()
        feed.merge(make_store_snapshot(2, revision=20))
        feed.merge(StoreSnapshot(30, b"{", 0, ()))
        assert feed.table.version == 2

    run(test)


def test_replicas_that_lapsed_in_an_outage_are_believed_for_a_while():
    """The store comes back, and the registrations have run out meanwhile.

    Living replicas are back within two seconds; until then an entry that believed the
    list would have nobody to send to, and refuse everybody.
    """

    async def test():
        feed = make_feed()
        feed.merge(
            make_store_snapshot(1, revision=5, replicas=(1, 2), replicas_revision=9)
        )
        feed.connected_at = trio.current_time()
        feed._replace_replicas((), StorePosition(0, 20), source="store")
        assert len(feed.replicas) == 2
        back = KeyValue("servers/1", make_registration(1), 21)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed._drop_missing)
            await trio.sleep(1.0)
            feed._put(back)
            await trio.sleep(MISSING_GRACE_S)
            nursery.cancel_scope.cancel()
        assert list(feed.replicas) == ["servers/1"]

    run(test)


def test_replica_that_is_removed_in_calm_times_is_dropped_at_once():
    async def test():
        feed = make_feed()
        await trio.sleep(10)
        feed.merge(
            make_store_snapshot(1, revision=5, replicas=(1, 2), replicas_revision=9)
        )
        items = (KeyValue("servers/2", make_registration(2), 5),)
        feed._replace_replicas(items, StorePosition(0, 20), source="store")
        assert list(feed.replicas) == ["servers/2"]

    run(test)


def test_replica_at_a_new_ones_address_is_gone():
    """All machines lose power, and the replicas start anew at the same addresses.

    The old registrations stay for seconds. Each load would be counted twice, and half
    of the requests would ask for a replica that is no more.
    """

    async def test():
        feed = make_feed()
        feed._put(KeyValue("servers/old", make_registration(1), 5))
        feed._put(KeyValue("servers/new", make_registration(1), 9))
        assert list(feed.replicas) == ["servers/new"]
        feed._put(KeyValue("servers/old", make_registration(1), 6))
        assert list(feed.replicas) == ["servers/new"]

    run(test)


def test_replica_that_lapsed_is_not_passed_on_to_peers():
    """Guards against a peer that learns a replica anew after its registration ended."""

    async def test():
        feed, peer = make_feed(), make_feed()
        for one in (feed, peer):
            snapshot = make_store_snapshot(
                1, revision=5, replicas=(1, 2), replicas_revision=9
            )
            one.merge(snapshot)
        await trio.sleep(10)
        gone = WatchEvent("servers/1", None, 10)
        peer._apply_event("servers/", gone)
        assert list(peer.replicas) == ["servers/2"]
        feed.connected_at = trio.current_time()
        feed._apply_event("servers/", gone)
        feed._apply_event("servers/", WatchEvent("servers/3", make_registration(3), 11))
        peer.merge(feed.export())
        assert list(peer.replicas) == ["servers/2", "servers/3"]

    run(test)

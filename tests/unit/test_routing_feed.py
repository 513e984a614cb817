"""Test how a process tracks the configuration and the replicas."""

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
def test_peer_never_reverts_a_configuration(revision, version, expected):
    """Guard against an older configuration from a lagging peer or a late answer.

    A revoked key would be accepted again by one VM for some time.
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


def test_replicas_that_expired_in_an_outage_are_kept_for_a_grace_time():
    """Guard against dropping all replicas after an outage of the store.

    Registrations expire during the outage, and live replicas register again within two
    seconds. Until then an entry without replicas would refuse all requests.
    """

    async def test():
        feed = make_feed()
        feed.merge(
            make_store_snapshot(1, revision=5, replicas=(1, 2), replicas_revision=9)
        )
        feed.connected_at = trio.current_time()
        feed._replace_replicas((), StorePosition(0, 20), source="store")
        assert len(feed.replicas) == 2
        back = KeyValue("servers/1", make_registration(1), 21, 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed._drop_missing)
            await trio.sleep(1.0)
            feed._put(back)
            await trio.sleep(MISSING_GRACE_S)
            nursery.cancel_scope.cancel()
        assert list(feed.replicas) == ["servers/1"]

    run(test)


def test_replica_removed_without_an_outage_is_dropped_at_once():
    async def test():
        feed = make_feed()
        await trio.sleep(10)
        feed.merge(
            make_store_snapshot(1, revision=5, replicas=(1, 2), replicas_revision=9)
        )
        items = (KeyValue("servers/2", make_registration(2), 5, 0),)
        feed._replace_replicas(items, StorePosition(0, 20), source="store")
        assert list(feed.replicas) == ["servers/2"]

    run(test)


def test_replica_whose_address_was_reused_is_dropped():
    """Guard against old registrations next to new ones of the same address.

    After a power loss of all machines, replicas restart at the same addresses, and the
    old registrations remain for seconds. Each load would be counted twice, and half of
    the requests would be addressed to a replica that no longer exists.
    """

    async def test():
        feed = make_feed()
        feed._put(KeyValue("servers/old", make_registration(1), 5, 0))
        feed._put(KeyValue("servers/new", make_registration(1), 9, 0))
        assert list(feed.replicas) == ["servers/new"]
        feed._put(KeyValue("servers/old", make_registration(1), 6, 0))
        assert list(feed.replicas) == ["servers/new"]

    run(test)


def test_expired_replica_is_not_sent_to_peers():
    """Guard against a peer that adds a replica again after its registration ended."""

    async def test():
        feed, peer = make_feed(), make_feed()
        for one in (feed, peer):
            snapshot = make_store_snapshot(
                1, revision=5, replicas=(1, 2), replicas_revision=9
            )
            one.merge(snapshot)
        await trio.sleep(10)
        gone = WatchEvent("servers/1", None, 10, 0)
        peer._apply_event("servers/", gone)
        assert list(peer.replicas) == ["servers/2"]
        feed.connected_at = trio.current_time()
        feed._apply_event("servers/", gone)
        feed._apply_event(
            "servers/", WatchEvent("servers/3", make_registration(3), 11, 0)
        )
        peer.merge(feed.export())
        assert list(peer.replicas) == ["servers/2", "servers/3"]

    run(test)

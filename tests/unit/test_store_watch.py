"""Test which entries watch the store closely, and what they report to the others."""

import pytest
import trio

from hyssopvane._internal.coordination.key_value import KeyValue, WatchEvent
from hyssopvane._internal.coordination.routing_feed import MISSING_GRACE_S
from hyssopvane._internal.policy.store_watch import (
    SHARED_WATCH_S,
    WATCH_S,
    WATCHERS,
    choose_watch_s,
)
from tests.unit.test_routing_feed import make_feed, make_registration, run


@pytest.mark.parametrize("entries", [1, 2, 3, 7, 69])
def test_each_zone_has_watchers_and_no_more_than_it_needs(entries):
    names = [f"10.0.0.{number}:7000" for number in range(entries)]
    chosen = [
        choose_watch_s(name, [one for one in names if one != name]) for name in names
    ]
    assert chosen.count(WATCH_S) == min(WATCHERS, entries)
    assert set(chosen) <= {WATCH_S, SHARED_WATCH_S}


@pytest.mark.parametrize("told", [True, False])
def test_replicas_that_expired_in_an_outage_detected_only_by_a_peer_are_kept(told):
    """Guards against replicas that are removed after an outage of the store.

    The store is unavailable for seconds, and the registrations of all replicas expire.
    An entry whose watch waited through the outage receives these events as soon as the
    store is back. If it treated them as the end of the replicas, it would refuse every
    caller until they have registered again.
    """

    async def test():
        feed = make_feed()
        feed._put(KeyValue("servers/1", make_registration(1), 1, 0))
        feed._record_connection("servers/", True)
        await trio.sleep(100.0)
        if told:
            feed.record_return(trio.current_time() - 0.3)
        feed._apply_event("servers/", WatchEvent("servers/1", None, 9, 0))
        assert set(feed.replicas) == ({"servers/1"} if told else set())

    run(test)


def test_only_a_reconnection_is_reported():
    async def test():
        feed = make_feed()
        feed._record_connection("servers/", True)
        assert feed.returned_at is None
        feed._record_connection("servers/", False)
        await trio.sleep(MISSING_GRACE_S)
        feed._record_connection("servers/", True)
        assert feed.returned_at == trio.current_time()

    run(test)

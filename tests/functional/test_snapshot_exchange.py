"""Test how a process fetches the state of the store from its peers."""

import json
from contextlib import asynccontextmanager
from functools import partial
from random import Random

import pytest
import trio

from hyssopvane._internal.coordination.routing_feed import RoutingFeed
from hyssopvane._internal.platform.wire import PlatformFormat
from hyssopvane._internal.protocol.group_messages import encode_store_snapshot
from hyssopvane._internal.roles.snapshot_exchange import SnapshotExchange
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.store_snapshot import StoreSnapshot
from tests.lib.direct_installation import make_configuration

ANNOUNCE_INTERVAL_S = 0.25
PARTS = 6


class Peer:
    """Serve a snapshot of a version in parts, with a pause before each."""

    def __init__(self, version, *, part_s, answers=True):
        configuration = json.dumps(make_configuration(version)).encode()
        snapshot = StoreSnapshot(version, configuration, 0, ())
        self.body = encode_store_snapshot(snapshot)
        self.version, self.part_s, self.answers = version, part_s, answers
        self.fetches = self.running = 0
        self.address = ""

    async def handle(self, stream):
        self.fetches += 1
        self.running += 1
        try:
            await stream.receive_some(65_536)
            if not self.answers:
                await stream.receive_some(1)
                return
            size = len(self.body)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
            await stream.send_all(head.encode())
            for start in range(0, size, -(-size // PARTS)):
                await trio.sleep(self.part_s)
                await stream.send_all(self.body[start : start + -(-size // PARTS)])
        except trio.BrokenResourceError:
            pass
        finally:
            self.running -= 1

    def announce(self):
        return EntryState("10.0.0.1:1", self.address, self.version, 0)


class Fetcher:
    """Run the exchange of a process that hears some peers."""

    def __init__(self, peers):
        self.peers, self.most_running = peers, 0
        self.feed = RoutingFeed(
            None, PlatformFormat(), random=Random(1), observe=lambda: None
        )
        self.exchange = SnapshotExchange(self.feed, seeds=(), random=Random(1))

    @asynccontextmanager
    async def run(self):
        async with trio.open_nursery() as nursery:
            for peer in self.peers:
                serve = partial(trio.serve_tcp, peer.handle, 0, host="127.0.0.1")
                listeners = await nursery.start(serve)
                peer.address = "{}:{}".format(*listeners[0].socket.getsockname())
            self.exchange.start(nursery)
            nursery.start_soon(self._announce)
            nursery.start_soon(self._measure)
            yield
            nursery.cancel_scope.cancel()

    async def _announce(self):
        while True:
            for peer in self.peers:
                self.exchange.observe(peer.announce())
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def _measure(self):
        while True:
            running = sum(peer.running for peer in self.peers)
            self.most_running = max(self.most_running, running)
            await trio.sleep(0.01)

    async def wait_for_version(self, version, *, within_s):
        with trio.fail_after(within_s):
            while self.feed.configuration_version < version:
                await trio.sleep(0.01)


@pytest.mark.parametrize(
    ("peers", "version", "most_fetches"),
    [
        ([Peer(3, part_s=0.1) for _ in range(16)], 3, 1),
        ([Peer(n, part_s=0.1) for n in range(1, 17)], 16, 1),
        ([Peer(3, part_s=0.4) for _ in range(16)], 3, 1),
        ([Peer(3, part_s=0.1, answers=n > 0) for n in range(3)], 3, 2),
    ],
    ids=["same-version", "newest-first", "slow-link", "one-does-not-answer"],
)
def test_one_snapshot_is_fetched_at_a_time(peers, version, most_fetches):
    """Guard against a link that is full of copies of a large configuration.

    Requests to the replica on the same VM, and the ends of their connections, would
    wait behind them for seconds.
    """

    async def main():
        fetcher = Fetcher(peers)
        async with fetcher.run():
            await fetcher.wait_for_version(version, within_s=8.0)
            await trio.sleep(2 * ANNOUNCE_INTERVAL_S)
        assert fetcher.most_running == 1
        assert sum(peer.fetches for peer in peers) <= most_fetches

    trio.run(main)

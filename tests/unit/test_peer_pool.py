"""Test how an entry disconnects from agents that are no longer in its subset."""

from random import Random

import pytest
import trio

from hyssopvane._internal.exceptions import PeerLost
from hyssopvane._internal.protocol.messages import End
from hyssopvane._internal.roles.peer_listener import serve_peers
from hyssopvane._internal.roles.peer_pool import PeerAddress, PeerObserver, PeerPool
from tests.lib.peers import TIMES, RecordingHandler, make_hello, make_opening


class RecordingObserver(PeerObserver):
    """Record which peers are connected."""

    def __init__(self):
        self.connected = []

    def connect_peer(self, hello):
        self.connected.append(hello.vm)

    def disconnect_peer(self, vm):
        self.connected.remove(vm)

    def observe_heartbeat(self, vm, heartbeat):
        pass


async def check_retirement(returns):
    answer = trio.Event()

    async def serve(stream, opening):
        await answer.wait()
        stream.send(End())

    observer = RecordingObserver()
    pool = PeerPool(
        hello=make_hello("entry"),
        handler=RecordingHandler(),
        observer=observer,
        times=TIMES,
        random=Random(1),
    )
    async with trio.open_nursery() as nursery:

        async def accept(*, task_status):
            await serve_peers(
                "127.0.0.1:0",
                hello=make_hello("agent"),
                handler=RecordingHandler(serve),
                times=TIMES,
                task_status=task_status,
            )

        peers = frozenset({PeerAddress("agent", await nursery.start(accept))})
        pool.update(peers, nursery)
        while not observer.connected:
            await trio.sleep(0.01)
        stream = pool.get_connection("agent").open_stream(make_opening())
        pool.update(frozenset(), nursery)
        while observer.connected:
            await trio.sleep(0.01)
        assert pool.get_connection("agent") is None
        if returns:
            pool.update(peers, nursery)
            while not observer.connected:
                await trio.sleep(0.01)
        answer.set()
        assert await stream.receive() == End()
        stream.close()
        connection = stream.connection
        while not connection.lost:
            await trio.sleep(0.01)
        with pytest.raises(PeerLost):
            connection.open_stream(make_opening())
        assert observer.connected == (["agent"] if returns else [])
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("returns", [False, True])
def test_connection_outside_the_subset_completes_its_answer(returns):
    """Guard against a connection that closes while it relays an answer.

    A target leaves the entry's subset while it answers a caller. The connection accepts
    no new streams and closes when its streams end, so the answer is not cut off.
    """
    trio.run(check_retirement, returns)

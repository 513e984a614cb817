"""Test calls of services other than replicas that send bytes without end."""

from collections.abc import Awaitable, Callable
from random import Random

import pytest
import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.rank_control import RankError
from hyssopvane._internal.coordination.routing_feed import RoutingFeed
from hyssopvane._internal.coordination.vm_list import fetch_vms
from hyssopvane._internal.exceptions import KeyValueError, VmListError
from hyssopvane._internal.platform.ranks import (
    MAX_LISTS_BYTES,
    MAX_REPORT_BYTES,
    ORDER_TIMEOUT_S,
    PlatformRanks,
)
from hyssopvane._internal.platform.store import PlatformStore
from hyssopvane._internal.platform.wire import PlatformFormat
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.roles.snapshot_exchange import SnapshotExchange
from hyssopvane._internal.roles.suspect_exchange import SuspectExchange
from hyssopvane._internal.transport.replica_client import MAX_READ_S
from hyssopvane._internal.transport.target_client import TargetClient, TargetFailed
from tests.lib.flood_replica import FLOODS, HEAD, Flood, FloodReplica
from tests.lib.lag_meter import LagMeter, StepMeter

STEP_S = ORDER_TIMEOUT_S
"""Processor time that a task may use at once: the shortest time limit of a call."""

SLACK_S = 1.0

ATTEMPT_S = 2.0
"""Time limit of an attempt at a target; its caller gives it up then."""


async def read_store(address: str) -> None:
    store = PlatformStore(address=address)
    with pytest.raises(KeyValueError):
        await store.get_prefix("op/")
    await store.close()


async def read_rank(address: str) -> None:
    ranks = PlatformRanks()
    with pytest.raises(RankError):
        await ranks.read_report(address)
    await ranks.close()


async def read_snapshot(address: str) -> None:
    store = PlatformStore(address=address)
    feed = RoutingFeed(store, PlatformFormat(), random=Random(1), observe=lambda: None)
    exchange = SnapshotExchange(feed, seeds=(), random=Random(1))
    await exchange._fetch(address)
    assert feed.table is None
    await exchange.close()


async def read_suspects(address: str) -> None:
    exchange = SuspectExchange(
        SuspectTracker(),
        random=Random(1),
        seeds=(address,),
        get_quarantine_s=lambda service: 60.0,
        is_needed=lambda: True,
        observe=lambda body, source: None,
    )
    await exchange._exchange(address)
    assert not exchange.has_received
    await exchange.close()


async def read_etcd(address: str) -> None:
    store = EtcdKeyValueStore(address)
    with pytest.raises(KeyValueError):
        await store.get("table/page")
    await store.close()


async def read_etcd_watch(address: str) -> None:
    store = EtcdKeyValueStore(address)
    async with trio.open_nursery() as nursery:
        await store.start(nursery)
        async with store.watch("table/", 1) as events:
            with trio.move_on_after(ATTEMPT_S), pytest.raises(trio.EndOfChannel):
                await events.receive()
        nursery.cancel_scope.cancel()
    await store.close()


async def read_vms(address: str) -> None:
    with pytest.raises(VmListError):
        await fetch_vms(address)


async def read_target(address: str) -> None:
    client = TargetClient(address)
    with trio.move_on_after(ATTEMPT_S), pytest.raises(TargetFailed):
        async with client.call(
            method="GET", path=b"/", headers=(), body=b""
        ) as response:
            async for _ in response.aiter_stream():
                pass
    await client.close()


READS: dict[str, tuple[Callable[[str], Awaitable[None]], float]] = {
    "store": (read_store, MAX_READ_S),
    "rank": (read_rank, 0.15),
    "snapshot": (read_snapshot, MAX_READ_S),
    "suspects": (read_suspects, MAX_READ_S),
    "etcd": (read_etcd, 4.0),
    "etcd-watch": (read_etcd_watch, ATTEMPT_S),
    "vm-list": (read_vms, 2.0),
    "target": (read_target, ATTEMPT_S),
}
"""Reads by name, with their time limits in seconds."""


@pytest.mark.parametrize("flood", ["interim-answers", "small-chunks", "unframed"])
@pytest.mark.parametrize("name", READS)
def test_bytes_without_end_are_given_up_in_time(name, flood):
    """Guard against a process that reads on and on, and does nothing else."""
    read, limit_s = READS[name]

    async def main():
        flooding = FloodReplica(FLOODS[flood])
        with flooding.serve():
            async with LagMeter() as meter:
                began_at = trio.current_time()
                await read(flooding.address)
                took_s = trio.current_time() - began_at
        assert flooding.accepted > 0
        assert took_s <= limit_s + SLACK_S + meter.lag_s
        assert steps.longest_s <= STEP_S

    steps = StepMeter()
    trio.run(main, instruments=[steps])


@pytest.mark.parametrize(
    ("read", "limit"),
    [
        (PlatformRanks.read_report, MAX_REPORT_BYTES),
        (PlatformRanks.read_counts, MAX_LISTS_BYTES),
        (PlatformRanks.read_experts, MAX_LISTS_BYTES),
    ],
)
def test_documents_of_many_ranks_fit_into_the_memory_of_a_leader(read, limit):
    """Guard against a leader that holds eight megabytes of each rank that it asks."""
    ranks_at_once, memory_bytes = 64, 100_000_000
    assert ranks_at_once * limit <= memory_bytes

    async def main():
        start = HEAD.replace(b"%s", b"-")
        start += b"Content-Length: %d\r\n\r\n" % (limit + 1)
        flooding = FloodReplica(Flood(start, b"x"))
        with flooding.serve():
            ranks = PlatformRanks()
            with pytest.raises(RankError, match="exceeds"):
                await read(ranks, flooding.address)
            await ranks.close()

    trio.run(main)

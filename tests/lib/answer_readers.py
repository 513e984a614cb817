"""Read the answers of a server in each way in which the product reads answers."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.rank_control import RankError
from hyssopvane._internal.coordination.vm_list import fetch_vms
from hyssopvane._internal.exceptions import (
    KeyValueError,
    OperatorRequestError,
    VmListError,
)
from hyssopvane._internal.platform.ranks import PlatformRanks
from hyssopvane._internal.platform.store import PlatformStore
from hyssopvane._internal.transport.operator_client import read_operators_page
from hyssopvane._internal.transport.replica_client import ReplicaClient, ReplicaFailed
from hyssopvane._internal.transport.target_client import TargetClient, TargetFailed
from tests.lib.direct_installation import HANG_S, HOST, KEY, open_direct
from tests.lib.direct_replica import DirectReplica, answer_whole, make_event
from tests.lib.leaving_callers import Http1Caller, RawCaller
from tests.lib.raw_replica import RawAnswer, serve_raw

HEAD = b"HTTP/1.1 %s\r\nX-Request-Id: %%id\r\nX-Response-Signature: s\r\n%s"
"""Template of a head, for its status and its last fields; `%id` is the request's ID."""

HEADERS = (
    ("Host", HOST),
    ("X-Request-Id", "request-1"),
    ("X-Deadline-Ms", "5000"),
    ("Authorization", f"Bearer {KEY}"),
)

SERVICES = {"/bids/7": "checks", "/once/7": "drafting"}
"""Paths of requests that run once at most, with their services."""


async def read_replica(address: str) -> bool:
    """Call a replica."""
    client = ReplicaClient()
    try:
        async with client.call(
            address, method="GET", target=b"/", headers=((b"host", b"x"),)
        ) as response:
            await response.read(max_bytes=1_000)
    except ReplicaFailed:
        return False
    return True


async def read_target(address: str) -> bool:
    """Call the target of an agent."""
    client = TargetClient(address)
    try:
        async with client.call(
            method="GET", path=b"/", headers=(), body=b""
        ) as response:
            await response.aread()
    except TargetFailed:
        return False
    finally:
        await client.close()
    return True


async def read_store(address: str) -> bool:
    """Read from the platform's store."""
    store = PlatformStore(address=address)
    try:
        await store.get_prefix("op/")
    except KeyValueError:
        return False
    finally:
        await store.close()
    return True


async def read_rank(address: str) -> bool:
    """Read the counts of a rank."""
    ranks = PlatformRanks()
    try:
        await ranks.read_counts(address)
    except RankError:
        return False
    finally:
        await ranks.close()
    return True


async def read_etcd(address: str) -> bool:
    """Read from the key-value service of the path with agents."""
    store = EtcdKeyValueStore(address)
    try:
        await store.get("table/page")
    except KeyValueError:
        return False
    finally:
        await store.close()
    return True


async def read_vms(address: str) -> bool:
    """Read the list of VMs."""
    try:
        await fetch_vms(address)
    except VmListError:
        return False
    return True


async def read_operators(address: str) -> bool:
    """Read a page of an operators' listener, as the command line does."""
    read = partial(read_operators_page, address, "/in-force", token="t")
    try:
        await trio.to_thread.run_sync(read)
    except OperatorRequestError:
        return False
    return True


@dataclass(frozen=True)
class Reader:
    """Define a call, and the body of an answer that it takes."""

    read: Callable[[str], Awaitable[bool]]
    """Returns whether the answer was taken."""
    document: object = ""


READERS = {
    "replica": Reader(read_replica),
    "target": Reader(read_target),
    "store": Reader(read_store, {"items": [], "has-more": False, "at": 7}),
    "rank": Reader(read_rank, {"step": 1, "epoch": 1, "counts": [1, 2]}),
    "etcd": Reader(read_etcd, {"header": {"revision": "7", "cluster_id": "1"}}),
    "vm-list": Reader(read_vms, {"vms": []}),
    "operators": Reader(read_operators, {"vm": "entry-1"}),
}


def make_answer(
    reader: Reader,
    status: bytes = b"200 OK",
    fields: bytes = b"",
    *,
    body: bytes | None = None,
) -> bytes:
    """Return a whole answer that a reader takes if its head is valid."""
    body = json.dumps(reader.document).encode() if body is None else body
    return HEAD % (status, fields) + b"Content-Length: %d\r\n\r\n" % len(body) + body


def read_answer(reader: Reader, data: bytes) -> bool:
    """Return whether a reader takes an answer."""

    async def main() -> bool:
        with trio.fail_after(HANG_S):
            async with serve_raw(RawAnswer(data)) as server:
                is_taken = await reader.read(server.address)
                assert server.received
                return is_taken

    return trio.run(main)


def make_event_answer(status: bytes = b"200 OK", fields: bytes = b"") -> bytes:
    """Return a whole answer to a request of any kind, if its head is valid."""
    return make_answer(READERS["replica"], status, fields, body=make_event(1))


def call_entry(
    data: bytes,
    *,
    path: str = "/bids/7",
    kind: type[RawCaller] = Http1Caller,
    is_reset: bool = False,
) -> tuple[int, bytes | None]:
    """Return status and body of what a caller gets from a replica that sends this."""

    async def main() -> tuple[int, bytes | None]:
        answer = RawAnswer(data, is_reset)
        with trio.fail_after(HANG_S):
            async with open_direct() as site, serve_raw(answer) as server:
                replica = DirectReplica("i-1", answer_whole, server.address)
                site.register(replica, service=SERVICES[path])
                await site.wait_until(lambda: "servers/i-1" in site.entry.feed.replicas)
                caller = await kind.open(site.entry.callers_address)
                await caller.send_request(path, headers=HEADERS)
                found = await caller.read_answer()
                assert server.received
                await trio.aclose_forcefully(caller.stream)
                return found

    return trio.run(main)

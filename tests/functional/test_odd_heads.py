"""Test answers with heads that are not valid, wherever answers are read."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest
import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.rank_control import RankError
from hyssopvane._internal.coordination.vm_list import fetch_vms
from hyssopvane._internal.exceptions import KeyValueError, VmListError
from hyssopvane._internal.platform.ranks import PlatformRanks
from hyssopvane._internal.platform.store import PlatformStore
from hyssopvane._internal.transport.replica_client import ReplicaClient, ReplicaFailed
from hyssopvane._internal.transport.target_client import TargetClient, TargetFailed
from tests.lib.direct_installation import HANG_S, HOST, KEY, open_direct
from tests.lib.direct_replica import DirectReplica, answer_whole, make_event
from tests.lib.leaving_callers import Http1Caller, Http2Caller
from tests.lib.raw_replica import RawAnswer, serve_raw

HEAD = b"HTTP/1.1 %s\r\nX-Request-Id: %%id\r\nX-Response-Signature: s\r\n%s"
"""Begin of a head, up to its last fields."""

HEADERS = (
    ("Host", HOST),
    ("X-Request-Id", "request-1"),
    ("X-Deadline-Ms", "5000"),
    ("Authorization", f"Bearer {KEY}"),
)

SERVICES = {"/bids/7": "checks", "/once/7": "drafting"}
"""Paths of requests that run once at most, with their services."""


async def read_replica(address: str) -> bool:
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
    store = PlatformStore(address=address)
    try:
        await store.get_prefix("op/")
    except KeyValueError:
        return False
    finally:
        await store.close()
    return True


async def read_rank(address: str) -> bool:
    ranks = PlatformRanks()
    try:
        await ranks.read_counts(address)
    except RankError:
        return False
    finally:
        await ranks.close()
    return True


async def read_etcd(address: str) -> bool:
    store = EtcdKeyValueStore(address)
    try:
        await store.get("table/page")
    except KeyValueError:
        return False
    finally:
        await store.close()
    return True


async def read_vms(address: str) -> bool:
    try:
        await fetch_vms(address)
    except VmListError:
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
}


def make_answer(reader, status=b"200 OK", fields=b"", *, body=None):
    """Return a whole answer that a reader takes if its head is valid."""
    body = json.dumps(reader.document).encode() if body is None else body
    return HEAD % (status, fields) + b"Content-Length: %d\r\n\r\n" % len(body) + body


def read_answer(reader, data, *, is_reset=False):
    """Return whether a reader takes an answer."""

    async def main():
        with trio.fail_after(HANG_S):
            async with serve_raw(RawAnswer(data, is_reset)) as server:
                is_taken = await reader.read(server.address)
                assert server.received
                return is_taken

    return trio.run(main)


def make_event_answer(status=b"200 OK", fields=b""):
    """Return a whole answer to a request of any kind, if its head is valid."""
    return make_answer(READERS["replica"], status, fields, body=make_event(1))


def call_entry(data, *, path="/bids/7", kind=Http1Caller, is_reset=False):
    """Return status and body of what a caller gets from a replica that sends this."""

    async def main():
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


@pytest.mark.parametrize("name", READERS)
def test_valid_head_is_taken(name):
    """Guard against a check that refuses sound answers, and against void tests."""
    reader = READERS[name]
    for status in (b"200 OK", b"200 ", b"200", b"200 \xc3\x96K"):
        assert read_answer(reader, make_answer(reader, status))
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    assert read_answer(reader, interim + make_answer(reader))
    fields = b"X-A: b\tc \r\nX-Empty:\r\nX-Name: \xd6n\r\n"
    assert read_answer(reader, make_answer(reader, fields=fields))


@pytest.mark.parametrize("path", SERVICES)
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_answer_with_a_valid_head_reaches_a_caller(kind, path):
    """Guard against void tests of heads that are not valid."""
    data = make_event_answer(fields=b"X-Empty:\r\n")
    assert call_entry(data, path=path, kind=kind) == (200, make_event(1))


@pytest.mark.parametrize("status", [b"000", b"000 OK", b"099 OK", b"600 OK", b"999 OK"])
@pytest.mark.parametrize("name", READERS)
def test_answer_with_an_impossible_status_is_refused(name, status):
    """Guard against a status that no client knows (RFC 9110, 15: 100 to 599)."""
    assert not read_answer(READERS[name], make_answer(READERS[name], status))


@pytest.mark.parametrize("status", [b"000 OK", b"600 OK", b"999 OK"])
@pytest.mark.parametrize("path", SERVICES)
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_impossible_status_does_not_reach_a_caller(kind, path, status):
    """Guard against the same through an entry."""
    data = make_event_answer(status)
    assert call_entry(data, path=path, kind=kind)[0] == 502


ODD_LINES = {
    "joined-to-signature": b" X-Odd: b\r\n",
    "joined-by-tab": b"\tX-Odd: b\r\n",
    "joined-length": b"X-A: b\r\n Content-Length: 1\r\n",
    "blank-line-with-a-blank": b"X-A: b\r\n \r\n",
    "blank-in-name": b"X Odd: b\r\n",
    "blank-before-colon": b"X-Odd : b\r\n",
    "control-in-name": b"X-\x01Odd: b\r\n",
    "zero-in-name": b"X-\x00Odd: b\r\n",
    "no-name": b": b\r\n",
    "no-colon": b"X-Odd\r\n",
    "zero-in-value": b"X-Odd: a\x00b\r\n",
    "control-in-value": b"X-Odd: a\x01b\r\n",
    "escape-in-value": b"X-Odd: \x1b[2J\r\n",
    "delete-in-value": b"X-Odd: a\x7fb\r\n",
    "bare-return": b"X-Odd: a\rX-More: b\r\n",
    "bare-return-at-the-end": b"X-Odd: a\r\r\n",
}
"""Lines of a head that are not valid (RFC 9110, 5; RFC 9112, 5)."""


@pytest.mark.parametrize("odd", ODD_LINES)
@pytest.mark.parametrize("name", READERS)
def test_answer_with_an_odd_line_in_its_head_is_refused(name, odd):
    """Guard against fields that other readers of the same head see differently."""
    data = make_answer(READERS[name], fields=ODD_LINES[odd])
    assert not read_answer(READERS[name], data)


@pytest.mark.parametrize("odd", ODD_LINES)
@pytest.mark.parametrize("path", SERVICES)
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_odd_line_does_not_reach_a_caller(kind, path, odd):
    """Guard against the same through an entry, whose caller gets the odd field."""
    data = make_event_answer(fields=ODD_LINES[odd])
    assert call_entry(data, path=path, kind=kind)[0] == 502


def test_reason_with_a_control_byte_is_refused():
    """Guard against control bytes in the first line of an answer."""
    data = make_answer(READERS["replica"], b"200 O\x1bK")
    assert not read_answer(READERS["replica"], data)

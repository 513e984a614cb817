"""Test the key-value client against a stand-in that runs in its own process."""

import json
from functools import partial

import httpcore
import pytest
import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.key_value import (
    KeyValue,
    Swap,
    SwapLost,
    Swapped,
    WatchEvent,
)
from hyssopvane._internal.exceptions import (
    KeyValueRefused,
    KeyValueUnavailable,
    KeyValueUnknown,
)
from hyssopvane._internal.standins.key_value import KeyValueApp, serve_key_value
from hyssopvane._internal.standins.key_value_state import MAX_HISTORY, Put
from hyssopvane._internal.transport.asgi_messages import read_body, serve_lifespan
from hyssopvane._internal.transport.asgi_server import serve_asgi
from tests.lib.processes import run_standin_process

LOOPBACK = "127.0.0.1:0"


@pytest.fixture(scope="module")
def shared_address():
    with run_standin_process("key_value") as address:
        yield address


@pytest.fixture
def address(shared_address):
    yield shared_address
    set_faults(shared_address)


def set_faults(address, **faults):
    httpcore.request(
        "POST", f"http://{address}/faults", content=json.dumps(faults).encode()
    )


def count_calls(address):
    return json.loads(httpcore.request("GET", f"http://{address}/calls").content)


def run_with_store(address, function, *, timeout_s=10.0):
    async def run():
        store = EtcdKeyValueStore(address, timeout_s=timeout_s)
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            result = await function(store)
            nursery.cancel_scope.cancel()
        await store.close()
        return result

    return trio.run(run)


def test_compare_and_swap_is_all_or_none(address):
    async def run(store):
        first = await store.compare_and_swap([Swap("a/1", b"1", 0)])
        both = [Swap("a/1", b"2", first.revision), Swap("a/2", b"2", 99)]
        lost = await store.compare_and_swap(both)
        assert lost == SwapLost((KeyValue("a/1", b"1", first.revision, 0),), 0)
        both[1] = Swap("a/2", b"2", 0)
        second = await store.compare_and_swap(both)
        assert second == Swapped(first.revision + 1, 0)
        snapshot = await store.get_prefix("a/", min_revision=second.revision)
        assert [item.key for item in snapshot.items] == ["a/1", "a/2"]
        assert isinstance(
            await store.compare_and_swap([Swap("a/1", None, second.revision)]), Swapped
        )
        assert await store.get("a/1") is None

    run_with_store(address, run)


def test_lease_ends_with_its_keys(address):
    async def run(store):
        lease = await store.grant_lease(60)
        assert await store.keep_lease(lease)
        await store.compare_and_swap([Swap("lease/a", b"x", 0, lease)])
        await store.revoke_lease(lease)
        assert await store.get("lease/a") is None
        assert not await store.keep_lease(lease)
        with pytest.raises(KeyValueRefused):
            await store.compare_and_swap([Swap("lease/a", b"x", 0, lease)])

    run_with_store(address, run)


def test_watch_replays_and_follows(address):
    async def run(store):
        start = (await store.get_prefix("w/")).revision + 1
        old = await store.compare_and_swap([Swap("w/1", b"1", 0)])
        async with store.watch("w/", start) as events:
            assert await events.receive() == WatchEvent("w/1", b"1", old.revision, 0)
            gone = await store.compare_and_swap([Swap("w/1", None, old.revision)])
            assert await events.receive() == WatchEvent("w/1", None, gone.revision, 0)

    before = count_calls(address).get("watch", 0)
    run_with_store(address, run)
    assert count_calls(address)["watch"] == before + 1


def test_watch_ends_when_the_service_goes_down(address):
    """Guard against a reader that waits on a watch of a service that went down."""

    async def run(store):
        async with store.watch("d/", 1) as events:
            await store.get("d/1")
            await trio.to_thread.run_sync(lambda: set_faults(address, down=True))
            with pytest.raises(trio.EndOfChannel), trio.fail_after(30):
                await events.receive()

    run_with_store(address, run)


def test_unavailable_service_applies_no_write(address):
    """The service reports that it is not ready, so no write was applied."""
    set_faults(address, down=True)

    async def run(store):
        with pytest.raises(KeyValueUnavailable):
            await store.compare_and_swap([Swap("down/1", b"1", 0)])
        set_faults(address)
        assert await store.get("down/1") is None

    run_with_store(address, run)


def test_unreachable_service_is_unavailable():
    """No process listens at the address, so no write can have been applied."""

    async def run(store):
        with pytest.raises(KeyValueUnavailable):
            await store.compare_and_swap([Swap("x", b"1", 0)])

    run_with_store("127.0.0.1:1", run)


def test_lost_answer_is_unknown(address):
    """The service applies the write, and the connection breaks before its answer."""
    set_faults(address, lose_next_write_answers=1)

    async def run(store):
        with pytest.raises(KeyValueUnknown):
            await store.compare_and_swap([Swap("lost/1", b"1", 0)])
        assert (await store.get("lost/1")).value == b"1"

    run_with_store(address, run)


def test_slow_write_is_unknown(address):
    """The service exceeds the caller's timeout; the write may still be applied."""
    set_faults(address, delay_ms=60_000)

    async def run(store):
        with pytest.raises(KeyValueUnknown):
            await store.compare_and_swap([Swap("slow/1", b"1", 0)])
        with pytest.raises(KeyValueUnavailable):
            await store.get("slow/1")

    run_with_store(address, run, timeout_s=0.2)


def test_stale_read_shows_an_older_value(address):
    """The service answers reads from a replica that lags behind."""

    async def run(store):
        old = await store.compare_and_swap([Swap("stale/1", b"old", 0)])
        set_faults(address, stale_reads=True)
        await store.compare_and_swap([Swap("stale/1", b"new", old.revision)])
        assert (await store.get("stale/1")).value == b"old"
        set_faults(address)
        assert (await store.get("stale/1")).value == b"new"

    run_with_store(address, run)


def test_transaction_with_too_many_changes_is_refused(address):
    async def run(store):
        with pytest.raises(KeyValueRefused):
            await store.compare_and_swap(
                [Swap(f"many/{number}", b"", 0) for number in range(129)]
            )

    run_with_store(address, run)


def test_watch_from_a_compacted_revision_ends():
    """Guard against missed changes after a reader was disconnected.

    The service has compacted the history that the reader needs. The watch must end, so
    that the reader loads the keys again and misses no change.
    """

    async def run():
        app = KeyValueApp()
        for number in range(MAX_HISTORY + 1):
            app.state.commit([], [Put(b"a", str(number).encode())])
        async with trio.open_nursery() as nursery:
            address = await nursery.start(partial(serve_key_value, LOOPBACK, app=app))
            store = EtcdKeyValueStore(address, timeout_s=10)
            await store.start(nursery)
            async with store.watch("a", 1) as events:
                with pytest.raises(trio.EndOfChannel):
                    await events.receive()
            await store.close()
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_value_too_large_is_refused(address):
    async def run(store):
        with pytest.raises(KeyValueRefused):
            await store.compare_and_swap([Swap("big", b"x" * (2**20 + 1), 0)])

    run_with_store(address, run)


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"key": 3}', b'{"compare": 1}'])
def test_malformed_call_gets_an_error(address, body):
    url = f"http://{address}/v3/kv/range"
    assert httpcore.request("POST", url, content=body).status == 400


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"header": 1}', b'{"header": {}, "kvs": [{}]}']
)
def test_malformed_answer_raises_a_key_value_error(body):
    """Guard against a crash when another server answers at the service's address.

    A process must keep its last table, as it does while the service is down.
    """

    async def answer(scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        await read_body(receive, max_bytes=1_000)
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": body + b"\n"})

    async def run():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                lambda task_status: serve_asgi(
                    answer,
                    bind="127.0.0.1:0",
                    graceful_timeout_s=0,
                    shutdown=trio.Event(),
                    task_status=task_status,
                )
            )
            store = EtcdKeyValueStore(address, timeout_s=10)
            await store.start(nursery)
            with pytest.raises(KeyValueUnavailable):
                await store.get_prefix("a/")
            with pytest.raises(KeyValueUnknown):
                await store.compare_and_swap([Swap("a/1", b"1", 0)])
            with pytest.raises(KeyValueUnknown):
                await store.grant_lease(1)
            async with store.watch("a/", 1) as events:
                with pytest.raises(trio.EndOfChannel):
                    await events.receive()
            await store.close()
            nursery.cancel_scope.cancel()

    trio.run(run)

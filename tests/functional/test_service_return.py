"""Test the client of a key-value service that is restored from copies."""

import json

import httpcore
import pytest
import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.key_value import Swap, SwapLost, Swapped
from hyssopvane._internal.coordination.service_era import (
    ERA_KEY,
    EraRecord,
    plan_record,
)
from hyssopvane._internal.exceptions import KeyValueError, KeyValueUnknown
from tests.lib.processes import open_cluster

COPY, RETURN, FAULTS = "copy", "return", "faults"


@pytest.fixture(scope="module")
def address(tmp_path_factory):
    with open_cluster(tmp_path_factory.mktemp("service-return")) as cluster:
        yield cluster.platform


async def control(address, path, **document):
    """Disturb the stand-in."""
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            "POST", f"http://{address}/{path}", content=json.dumps(document).encode()
        )
    assert answer.status == 200, answer.content


def run_with_stores(address, function, *, count=2):
    async def run():
        async with trio.open_nursery() as nursery:
            stores = [EtcdKeyValueStore(address) for _ in range(count)]
            for store in stores:
                await store.start(nursery)
            await function(*stores)
            for store in stores:
                await store.close()
            nursery.cancel_scope.cancel()

    trio.run(run)


async def write(store, key, value):
    found = await store.get(key)
    revision = found.revision if found else 0
    return await store.compare_and_swap([Swap(key, value, revision)])


@pytest.mark.parametrize("new_cluster", [True, False])
def test_return_begins_an_era(address, new_cluster):
    """Guards against revisions of a service that came back taken for older ones."""

    async def run(store, other):
        await write(store, "a", b"kept")
        first = (await store.get_prefix("a")).era
        await control(address, COPY)
        await write(store, "a", b"lost")
        await write(store, "a", b"lost too")
        lost = await store.get("a")
        await control(address, RETURN, new_cluster=new_cluster)
        with trio.move_on_after(10):
            while store.era == first:
                try:
                    await store.get("a")
                except KeyValueError:
                    await trio.sleep(0.05)
        kept = await store.get("a")
        assert kept.value == b"kept"
        assert kept.position > lost.position
        assert (await other.get("a")).era == kept.era
        written = await write(store, "a", b"again")
        assert written.era == kept.era

    run_with_stores(address, run)


def test_write_prepared_before_a_return_is_not_confirmed(address):
    """Guards against a write on lost ground that counts as carried out."""

    async def run(store, other):
        await write(store, "b", b"kept")
        await control(address, COPY)
        await write(store, "b", b"lost")
        lost = await store.get("b")
        await control(address, RETURN)
        await write(other, "b", b"made since")
        swap = Swap("b", b"over", lost.revision, expected_prefix=lost.value[:-1])
        with pytest.raises(KeyValueUnknown):
            await store.compare_and_swap([swap])
        assert (await other.get("b")).value == b"made since"
        result = await store.compare_and_swap([swap])
        assert isinstance(result, SwapLost)
        assert [item.value for item in result.current] == [b"made since"]

    run_with_stores(address, run)


@pytest.mark.parametrize(
    ("value", "prefix", "swapped"),
    [
        (b"page 1", b"page", True),
        (b"page 1", b"page 1", False),
        (b"page 1", b"page 2", False),
        (b"page 1", b"pag\xff", False),
        (b"\xff\xff1", b"\xff\xff", True),
    ],
)
def test_swap_expects_the_first_bytes_of_a_value(address, value, prefix, swapped):
    async def run(store, _):
        await write(store, "c", value)
        swap = Swap("c", b"next", 99_999, expected_prefix=prefix)
        result = await store.compare_and_swap([swap])
        assert isinstance(result, Swapped) == swapped

    run_with_stores(address, run)


def test_stale_read_begins_no_era(address):
    """Guards against a read from a member that is behind taken for a return."""

    async def run(store, _):
        await write(store, "d", b"1")
        await control(address, FAULTS, stale_reads=True)
        for number in range(5):
            swap = Swap(f"d/{number}", b"2", 0)
            await store.compare_and_swap([swap])
        era = store.era
        stale = await store.get_prefix("d")
        await control(address, FAULTS)
        assert [item.key for item in stale.items] == ["d"]
        assert store.era == era
        assert (await store.get(ERA_KEY)) is not None

    run_with_stores(address, run)


def test_watch_ends_with_its_era(address):
    """Guards against a watch that waits at a revision which was lost."""

    async def run(store, other):
        await write(store, "e", b"1")
        await control(address, COPY)
        snapshot = await store.get_prefix("e")
        start, era = snapshot.revision + 1, snapshot.era
        async with store.watch("e", start, era=era) as events:
            await write(other, "e", b"2")
            assert (await events.receive()).value == b"2"
            await control(address, RETURN)
            with pytest.raises(trio.EndOfChannel):
                await events.receive()
        assert (await store.get_prefix("e")).era > era
        async with store.watch("e", start, era=era) as events:
            with pytest.raises(trio.EndOfChannel):
                await events.receive()

    run_with_stores(address, run)


NOW, NOW_ERA = 7.0, 7_000
A1, B2, C9 = EraRecord(1, 11), EraRecord(2, 12), EraRecord(9_000, 13)


@pytest.mark.parametrize(
    ("found", "cluster", "known", "due"),
    [
        (None, 11, None, A1),
        (A1, 11, None, A1),
        (A1, 11, A1, A1),
        (A1, 12, None, EraRecord(NOW_ERA, 12)),
        (A1, 12, A1, EraRecord(NOW_ERA, 12)),
        (B2, 12, A1, B2),
        (None, 12, A1, EraRecord(NOW_ERA, 12)),
        (A1, 12, C9, EraRecord(9_001, 12)),
        (B2, 12, C9, EraRecord(9_001, 12)),
    ],
)
def test_record_goes_past_all_eras_that_are_known(found, cluster, known, due):
    assert plan_record(found, cluster, known, now=NOW) == due

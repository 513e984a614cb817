"""Test what each adapter of a key-value service promises about the service's eras."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from functools import partial

import pytest
import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    KeyValueStore,
    Swap,
    SwapLost,
    Swapped,
)
from hyssopvane._internal.exceptions import KeyValueUnknown
from hyssopvane._internal.platform.store import PlatformStore
from hyssopvane._internal.standins.key_value import KeyValueApp, RestoreOptions
from hyssopvane._internal.standins.key_value_state import KeyValueState
from hyssopvane._internal.transport.asgi_server import serve_asgi
from tests.lib.direct_store import DirectStore
from tests.lib.fake_key_value import FakeKeyValueStore

KEY = "contract/key"
HANG_S = 60


@dataclass(frozen=True)
class Service:
    """Hold two clients of a service, and restore it from the copy of its start."""

    store: KeyValueStore
    other: KeyValueStore
    restore: Callable[[], None]


async def serve(nursery: trio.Nursery, app: object) -> str:
    return await nursery.start(
        partial(
            serve_asgi,
            app,
            bind="127.0.0.1:0",
            graceful_timeout_s=1.0,
            shutdown=trio.Event(),
        )
    )


@asynccontextmanager
async def open_platform(
    nursery: trio.Nursery, *, hides_first_era: bool = False
) -> AsyncIterator[Service]:
    stand_in = DirectStore(era=0 if hides_first_era else 1)
    stand_in.hides_first_era = hides_first_era
    stand_in.put(KEY, "copied")
    copy = stand_in.copy()
    address = await serve(nursery, stand_in)
    stores = [PlatformStore(address=address) for _ in range(2)]
    yield Service(*stores, lambda: stand_in.restore_from(copy))
    for store in stores:
        await store.close()


@asynccontextmanager
async def open_etcd(nursery: trio.Nursery) -> AsyncIterator[Service]:
    app = KeyValueApp()
    address = await serve(nursery, app)
    stores = [EtcdKeyValueStore(address) for _ in range(2)]
    for store in stores:
        await store.start(nursery)
    await stores[0].compare_and_swap([Swap(KEY, b'"copied"', ABSENT)])
    app.save_copy()
    yield Service(*stores, partial(app.restore_copy, RestoreOptions()))
    for store in stores:
        await store.close()


@asynccontextmanager
async def open_fake(nursery: trio.Nursery) -> AsyncIterator[Service]:
    state = KeyValueState(trio.current_time)
    stores = [FakeKeyValueStore(state, nursery) for _ in range(2)]
    await stores[0].compare_and_swap([Swap(KEY, b'"copied"', ABSENT)])
    copy = state.copy_items()

    def restore() -> None:
        for store in stores:
            store.state = copy

    yield Service(*stores, restore)


Open = Callable[[trio.Nursery], AbstractAsyncContextManager[Service]]

ADAPTERS: dict[str, Open] = {
    "platform": open_platform,
    "platform-without-first-era": partial(open_platform, hides_first_era=True),
    "etcd": open_etcd,
    "fake": open_fake,
}


def run(name: str, test: Callable[[Service], Awaitable[None]]) -> None:
    async def main() -> None:
        with trio.fail_after(HANG_S):
            async with trio.open_nursery() as nursery:
                async with ADAPTERS[name](nursery) as service:
                    await test(service)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def list_eras(store: KeyValueStore) -> set[int]:
    """Return the eras of all that a store's calls and watches return."""
    item = await store.get(KEY)
    assert item is not None
    snapshot = await store.get_prefix(KEY)
    lost = await store.compare_and_swap([Swap(KEY, b"1", item.revision + 99)])
    assert isinstance(lost, SwapLost)
    start = snapshot.revision + 1
    async with store.watch(KEY, start, era=snapshot.era) as events:
        swap = Swap(KEY, b'"2"', item.revision)
        swapped = await store.compare_and_swap([swap])
        assert isinstance(swapped, Swapped)
        event = await events.receive()
    return {
        item.era,
        snapshot.era,
        lost.era,
        swapped.era,
        event.era,
        *(one.era for one in (*snapshot.items, *lost.current)),
    }


@pytest.mark.parametrize("name", ADAPTERS)
def test_all_that_a_call_returns_has_the_era_of_its_answer(name):
    """Guard against readers that drop what has no era as older than a listing."""

    async def test(service: Service) -> None:
        assert await list_eras(service.store) == {service.store.era}
        before = service.store.era
        service.restore()
        await service.store.get(KEY)
        assert await list_eras(service.store) == {service.store.era}
        assert service.store.era > before

    run(name, test)


@pytest.mark.parametrize("name", ADAPTERS)
def test_write_that_crosses_a_restore_is_not_reported_as_applied(name):
    """Guard against a write that replaces another value with a revision used twice."""

    async def test(service: Service) -> None:
        item = await service.store.get(KEY)
        assert item is not None
        service.restore()
        with pytest.raises(KeyValueUnknown):
            await service.store.compare_and_swap([Swap(KEY, b'"2"', item.revision)])
        found = await service.store.get(KEY)
        assert found is not None
        assert found.era > item.era
        assert found.position > item.position

    run(name, test)


@pytest.mark.parametrize("name", ADAPTERS)
def test_watch_ends_with_its_era(name):
    """Guard against a watch that goes on at a revision of an earlier era."""

    async def test(service: Service) -> None:
        snapshot = await service.store.get_prefix(KEY)
        start, era = snapshot.revision + 1, snapshot.era
        async with service.store.watch(KEY, start, era=era) as events:
            await service.other.get(KEY)
            service.restore()
            assert (await service.other.get_prefix(KEY)).era > era
            service.store.end_watches(service.other.era)
            with pytest.raises(trio.EndOfChannel):
                await events.receive()
        assert (await service.store.get_prefix(KEY)).era == service.other.era
        await service.store.wait_past_era(era)

    run(name, test)

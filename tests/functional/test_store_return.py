"""Test a direct entry after the platform's store was restored from an older copy."""

import pytest
import trio

from tests.lib.direct_installation import (
    CUSTOMER,
    HANG_S,
    KEY,
    make_configuration,
    open_direct,
)
from tests.lib.direct_replica import answer_whole

NEW_KEY = "key-that-replaces-the-revoked-one"
TENANTS = [{"name": CUSTOMER, "api-keys": [NEW_KEY], "priority": 1}]


def run(test):
    async def main():
        with trio.fail_after(2 * HANG_S):
            async with open_direct() as site:
                await test(site)

    trio.run(main)


async def wait_for_reaction(site, version):
    """Wait until a version is in force, or until a version was read and ignored."""
    events = site.entry.metrics._events
    left_out = events["configuration-left-out"]
    await site.wait_until(
        lambda: (
            site.entry.feed.table.version == version
            or events["configuration-left-out"] > left_out
        )
    )


@pytest.mark.parametrize("lost", [1, 3])
def test_key_revoked_after_the_store_lost_changes_is_refused(lost):
    """Guard against ignoring a change because its revision was used before."""

    async def test(site):
        await site.add_replica("i-1", answer_whole)
        copy = site.store.copy()
        for version in range(2, 2 + lost):
            site.store.put("op/config", make_configuration(version))
        await site.wait_until(lambda: site.entry.feed.table.version == 1 + lost)
        site.store.restore_from(copy)
        site.store.put("op/config", make_configuration(10, tenants=TENANTS))
        await wait_for_reaction(site, 10)
        assert (await site.call("/status/7", key=KEY)).status == 401
        assert (await site.call("/status/7", key=NEW_KEY)).status == 200

    run(test)


def test_replica_that_leaves_after_the_store_lost_changes_gets_no_requests():
    """Guard against ignoring a registration because its revision was used before."""

    async def test(site):
        leaving = await site.add_replica("i-1", answer_whole)
        key = f"servers/{leaving.id}"
        copy = site.store.copy()
        for _ in range(3):
            site.register(leaving)
        written = site.store.revision
        await site.wait_until(lambda: site.entry.feed.replicas_revision == written)
        site.store.restore_from(copy)
        site.register(leaving, state="draining")
        staying = await site.add_replica("i-2", answer_whole)
        assert site.entry.feed.replicas[key].draining
        answers = [await site.call("/status/7", request_id=f"r{n}") for n in range(6)]
        assert [one.status for one in answers] == [200] * 6
        assert (len(leaving.received), len(staying.received)) == (0, 6)

    run(test)

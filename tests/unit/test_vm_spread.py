"""Test that the list of VMs reaches the entries that don't poll it."""

from random import Random

import pytest
import trio
import trio.testing

from hyssopvane._internal.coordination.vm_list import VmRecord, VmRole, VmState
from hyssopvane._internal.coordination.vm_spread import (
    MAX_LIST_AGE_S,
    POLL_INTERVAL_S,
    VmSpread,
)
from hyssopvane._internal.exceptions import VmListError
from hyssopvane._internal.policy.watchers import FAN_OUT, plan_duties

TARGET = VmRecord("t-1", "10.0.0.2:9", "arima", VmRole.AGENT, "draft")
LEAVING = VmRecord("t-1", "10.0.0.2:9", "arima", VmRole.AGENT, "draft", VmState.LEAVING)
OTHER = VmRecord("t-2", "10.0.0.3:9", "arima", VmRole.AGENT, "draft")


class Platform:
    """Serve the platform's list and count the reads of it."""

    def __init__(self):
        self.records = (TARGET,)
        self.readings = {"watcher": 0, "listener": 0}
        self.down = False

    async def fetch(self, name):
        self.readings[name] += 1
        if self.down:
            raise VmListError("down")
        return self.records


def run_pair(scenario):
    """Run a watcher and a listener that receives its notices and beats."""

    async def run():
        platform = Platform()
        lost = []
        listener = VmSpread(
            lambda: platform.fetch("listener"),
            random=Random(1),
            watches=lambda: False,
            send=lambda topic, body: None,
            observe=lambda records: seen.append(records),
        )
        seen = []
        watcher = VmSpread(
            lambda: platform.fetch("watcher"),
            random=Random(2),
            watches=lambda: True,
            send=lambda topic, body: lost or listener.receive_changes(body),
            observe=lambda records: None,
        )

        async def beat():
            while True:
                listener.compare(watcher.digest)
                await trio.sleep(2)

        async with trio.open_nursery() as nursery:
            for task in (watcher.run, listener.run, beat):
                nursery.start_soon(task)
            await trio.sleep(0.5)
            await scenario(platform, seen, lost)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


def test_change_reaches_an_entry_that_does_not_poll():
    async def scenario(platform, seen, lost):
        platform.records = (LEAVING, OTHER)
        await trio.sleep(POLL_INTERVAL_S)
        assert seen[-1] == (LEAVING, OTHER)
        platform.records = (OTHER,)
        await trio.sleep(POLL_INTERVAL_S)
        assert seen[-1] == (OTHER,)
        await trio.sleep(60)
        assert platform.readings["listener"] == 1
        assert platform.readings["watcher"] > 60

    run_pair(scenario)


def test_lost_notice_is_found_by_the_list_hash():
    """Guard against a list that stays wrong after a notice was lost.

    The notice of a leaving VM is lost without any other fault. The entry would send
    work to that VM until its end, or send none to a new VM.
    """

    async def scenario(platform, seen, lost):
        lost.append(True)
        platform.records = (LEAVING,)
        await trio.sleep(MAX_LIST_AGE_S + 6)
        assert seen[-1] == (LEAVING,)

    run_pair(scenario)


def test_list_stays_while_the_platform_is_down():
    async def scenario(platform, seen, lost):
        platform.down = True
        await trio.sleep(60)
        assert seen == [(TARGET,)]

    run_pair(scenario)


@pytest.mark.parametrize("count", [1, 2, 3, 5, 6, 7, 10, 11, 69, 86])
def test_every_entry_is_reached_despite_the_loss_of_any_one(count):
    """Any one entry that forwards updates dies while the list of VMs still shows it."""
    zones = {f"entry-{number}": "arima" for number in range(count)}
    duties = {name: plan_duties(name, zones) for name in zones}
    watchers = [name for name in zones if duties[name].watches]
    assert len(watchers) == min(2, count)
    assert max(len(one.receivers) for one in duties.values()) <= 2 * FAN_OUT
    for dead in [None, *zones]:
        reached = {name for name in watchers if name != dead}
        waiting = list(reached)
        while waiting:
            for name in duties[waiting.pop()].receivers:
                if name != dead and name not in reached:
                    reached.add(name)
                    waiting.append(name)
        assert reached == zones.keys() - {dead}


def test_zones_form_a_ring():
    zones = {f"entry-{number}": f"zone-{number % 3}" for number in range(12)}
    neighbour_zones = {
        zones[receiver]
        for name in zones
        for receiver in plan_duties(name, zones).receivers
        if zones[receiver] != zones[name]
    }
    assert neighbour_zones == set(zones.values())

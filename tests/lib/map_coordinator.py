"""Run one switch of expert maps in a process of its own."""

import argparse
import sys

import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.map_switch import MapSwitchStore
from hyssopvane._internal.policy.expert_maps import spread_evenly
from hyssopvane._internal.roles.entry_links import EntryLinks
from hyssopvane._internal.roles.map_switcher import MapSwitcher, RankClient, SwitchTimes
from hyssopvane._internal.state.map_switch import VersionedRecord
from hyssopvane._internal.transport.peer_connection import ConnectionTimes
from hyssopvane._internal.utils.metrics import Metrics
from tests.lib.peers import RecordingHandler, make_hello

STAGE_LIMIT_S = 20.0
"""Limit for a run in which the agents don't stage."""


class PausingStore(MapSwitchStore):
    """Block forever before the decision is written."""

    async def decide(self, fence: int) -> VersionedRecord | None:
        print("armed", flush=True)
        await trio.sleep_forever()


class Links(RankClient):
    """Send requests to agents over separate connections."""

    def __init__(self, links: EntryLinks) -> None:
        self._links = links

    async def ask(self, vm: str, topic: str, body: bytes) -> bytes:
        return await self._links.ask(vm, topic, body)


async def run(options: argparse.Namespace) -> None:
    """Switch a group to a map and print the result."""
    agents = dict(one.split("=") for one in options.agents.split(","))
    store = EtcdKeyValueStore(options.platform)
    links = EntryLinks(
        hello=make_hello("coordinator", token=options.token),
        handler=RecordingHandler(),
        times=ConnectionTimes(heartbeat_s=0.5, silence_s=3.0),
        idle_s=30.0,
    )
    kind = PausingStore if options.pause else MapSwitchStore
    async with trio.open_nursery() as nursery:
        await store.start(nursery)
        links.start(nursery)
        links.update(agents)
        switcher = MapSwitcher(
            group="group-1",
            ranks=frozenset(agents),
            store=kind(store, service="draft", group="group-1"),
            caller=Links(links),
            metrics=Metrics(role="test", vm="coordinator"),
            times=SwitchTimes(stage_timeout_s=STAGE_LIMIT_S),
        )
        expert_map = spread_evenly(ranks=len(agents), experts=12)
        ended = await switcher.move(options.map, expert_map)
        print(f"ended={ended}", flush=True)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Parse the options and run the switch."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--platform", required=True)
    parser.add_argument("--agents", required=True)
    parser.add_argument("--token", required=True)
    parser.add_argument("--map", required=True)
    parser.add_argument("--pause", action="store_true")
    trio.run(run, parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())

"""Run a small installation on the loopback interface in one process."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from hyssopvane._internal.coordination.vm_list import VmRecord, VmRole
from hyssopvane._internal.models.settings import AgentSettings, EntrySettings
from hyssopvane._internal.roles.agent import Agent
from hyssopvane._internal.roles.entry import Entry
from hyssopvane._internal.standins.engine import EngineConfig
from hyssopvane._internal.standins.engine_server import serve_engine
from hyssopvane._internal.standins.key_value import KeyValueApp, serve_key_value
from hyssopvane._internal.standins.plain_service import (
    PlainServiceConfig,
    serve_plain_service,
)
from hyssopvane._internal.standins.vm_list import VmListApp, serve_vm_list

LOOPBACK = "127.0.0.1:0"
TOKEN = "demo-token-of-one-installation"
_ENTRIES = 2


@dataclass(frozen=True, slots=True)
class TargetPlan:
    """Describe the targets of one service."""

    service: str
    count: int
    is_engine: bool


@dataclass(frozen=True, slots=True)
class InstallationPlan:
    """Describe the zones and services of an installation."""

    name: str
    availability_zones: tuple[str, ...]
    targets: tuple[TargetPlan, ...]


REGISTRY = InstallationPlan(
    name="registry",
    availability_zones=("stvincent-st", "chaguanas", "arima"),
    targets=(TargetPlan("draft", 12, True), TargetPlan("check", 3, False)),
)
TENGERKHUV = InstallationPlan(
    name="tengerkhuv",
    availability_zones=("sukhbaatar", "bayanzurkh", "songinokhairkhan"),
    targets=(TargetPlan("summary", 12, True), TargetPlan("application", 3, False)),
)
PLANS = {plan.name: plan for plan in (REGISTRY, TENGERKHUV)}


@dataclass
class Installation:
    """Run the entries, agents and stand-ins of one plan."""

    plan: InstallationPlan
    key_value: KeyValueApp = field(default_factory=KeyValueApp)
    vm_list: VmListApp = field(default_factory=VmListApp)
    platform_address: str = ""
    vm_list_address: str = ""
    entries: list[Entry] = field(default_factory=list)
    agents: list[Agent] = field(default_factory=list)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all roles and stand-ins; the stored table isn't changed."""
        self.platform_address = await nursery.start(
            partial(serve_key_value, LOOPBACK, app=self.key_value)
        )
        self.vm_list_address = await nursery.start(
            partial(serve_vm_list, LOOPBACK, app=self.vm_list)
        )
        for target in self.plan.targets:
            for number in range(target.count):
                await self._start_target(target, number, nursery)
        for number in range(_ENTRIES):
            await self._start_entry(number, nursery)
        self.vm_list.replace_vms(self._list_vms())

    async def drain(self) -> None:
        """Drain all entries, so that requests in progress finish."""
        async with trio.open_nursery() as nursery:
            for entry in self.entries:
                nursery.start_soon(entry.drain)

    async def close(self) -> None:
        """Close all entries and agents."""
        for role in (*self.entries, *self.agents):
            await role.close()

    async def _start_target(
        self, plan: TargetPlan, number: int, nursery: trio.Nursery
    ) -> None:
        address: str = await nursery.start(_make_target(plan))
        agent = Agent(
            AgentSettings(
                role="agent",
                vm=f"{plan.service}-{number + 1}",
                availability_zone=self._get_zone(number),
                platform=self.platform_address,
                vm_list=self.vm_list_address,
                token=TOKEN,
                operators=LOOPBACK,
                target=address,
                service=plan.service,
                entries=LOOPBACK,
            )
        )
        await nursery.start(agent.run)
        self.agents.append(agent)

    async def _start_entry(self, number: int, nursery: trio.Nursery) -> None:
        entry = Entry(
            EntrySettings(
                role="entry",
                vm=f"entry-{number + 1}",
                availability_zone=self._get_zone(number),
                platform=self.platform_address,
                vm_list=self.vm_list_address,
                token=TOKEN,
                operators=LOOPBACK,
                callers=LOOPBACK,
                peers=LOOPBACK,
                shutdown_delay_s=0,
            )
        )
        await nursery.start(entry.run)
        self.entries.append(entry)

    def _get_zone(self, number: int) -> str:
        zones = self.plan.availability_zones
        return zones[number % len(zones)]

    def _list_vms(self) -> tuple[VmRecord, ...]:
        agents = tuple(
            VmRecord(
                name=agent.settings.vm,
                address=agent.entries_address,
                availability_zone=agent.settings.availability_zone,
                role=VmRole.AGENT,
                service=agent.settings.service,
            )
            for agent in self.agents
        )
        entries = tuple(
            VmRecord(
                name=entry.settings.vm,
                address=entry.peers_address,
                availability_zone=entry.settings.availability_zone,
                role=VmRole.ENTRY,
            )
            for entry in self.entries
        )
        return agents + entries


def _make_target(plan: TargetPlan) -> Callable[..., Awaitable[object]]:
    if plan.is_engine:
        return partial(
            serve_engine, EngineConfig(), bind=LOOPBACK, shutdown=trio.Event()
        )
    return partial(
        serve_plain_service, PlainServiceConfig(), bind=LOOPBACK, shutdown=trio.Event()
    )

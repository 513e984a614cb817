"""Run several entries' tables in one process, with faults of links and service."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from hyssopvane._internal.coordination.spread import (
    BEAT_TOPIC,
    PAGES_TOPIC,
    Neighbours,
    TableSpread,
)
from hyssopvane._internal.coordination.table_pages import PAGE_PREFIX
from hyssopvane._internal.exceptions import PeerLost
from hyssopvane._internal.standins.key_value_state import KeyValueState
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.table import Table
from tests.lib.fake_key_value import FakeKeyValueStore, Fault

LINK_DELAY_S = 0.01
ZONES = ("arima", "besant")


@dataclass
class Member:
    """An entry and its injected faults."""

    name: str
    zone: str
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    spread: TableSpread | None = None
    cut: bool = False
    stale: bool = False
    notices_lost: bool = False
    in_force: dict[str, int] = field(default_factory=dict)
    positions: dict[str, StorePosition] = field(default_factory=dict)
    first_in_force: dict[str, int] | None = None


class FakeLinks(Neighbours):
    """Deliver questions and notices between the members of a fleet."""

    def __init__(self, fleet: "Fleet", own: Member) -> None:
        self._fleet = fleet
        self._own = own

    async def ask(self, vm: str, topic: str, body: bytes) -> bytes:
        answer = await (await self._reach(vm)).answer_question(body)
        await self._reach(vm)
        return answer

    async def notify(self, vm: str, topic: str, body: bytes) -> None:
        spread = await self._reach(vm)
        if self._fleet.members[vm].notices_lost and topic == PAGES_TOPIC:
            return
        receive = {PAGES_TOPIC: spread.receive_pages, BEAT_TOPIC: spread.receive_beat}
        receive[topic](self._own.name, body)

    async def _reach(self, vm: str) -> TableSpread:
        await trio.sleep(LINK_DELAY_S)
        member = self._fleet.members.get(vm)
        if member is None or member.spread is None or member.cut or self._own.cut:
            raise PeerLost("the entry can't be reached", context=vm)
        return member.spread


class Fleet:
    """A fleet of entries that share one key-value service, with injected faults."""

    def __init__(self, nursery: trio.Nursery, *, seed: int = 0) -> None:
        self.state = KeyValueState(trio.current_time)
        self.members: dict[str, Member] = {}
        self.down = False
        self._nursery = nursery
        self._seed = seed
        self._started = 0
        self._stores: list[FakeKeyValueStore] = []
        self._stale_state: KeyValueState | None = None

    def snapshot_for_stale_reads(self) -> None:
        """Snapshot the current state for the stale reads of entries started later."""
        self._stale_state = self.state.copy_items()

    def make_store(self, member: Member | None = None) -> FakeKeyValueStore:
        """Return a store that has the faults of the service and of one member."""
        store = FakeKeyValueStore(
            self.state,
            self._nursery,
            choose_fault=partial(self._choose_fault, member),
            older=self._stale_state,
        )
        self._stores.append(store)
        return store

    def restore_from(self, copy: KeyValueState) -> None:
        """Restore the service from a copy, with a new identity."""
        self.state = copy.copy_items()
        self.state.renew_cluster_id()
        for store in self._stores:
            store.state = self.state

    def start(self, zone: str = ZONES[0], *, stale: bool = False) -> Member:
        """Start a new entry and add it to the list of VMs."""
        self._started += 1
        member = Member(f"entry-{self._started}", zone, stale=stale)
        member.spread = TableSpread(
            self.make_store(member),
            FakeLinks(self, member),
            own_vm=member.name,
            incarnation=self._started,
            random=Random(self._seed + self._started),
            observe=partial(self._observe, member),
        )
        self.members[member.name] = member
        self._nursery.start_soon(self._run, member)
        self.publish_vm_list()
        return member

    def kill(self, member: Member) -> None:
        """Stop an entry; it remains in the list of VMs until the next update."""
        member.scope.cancel()
        self.members.pop(member.name, None)

    def publish_vm_list(self) -> None:
        """Send the list of VMs to every entry."""
        zones = {one.name: one.zone for one in self.members.values()}
        for member in self.members.values():
            if member.spread is not None:
                member.spread.update_entries(zones)

    def get_committed(self) -> Mapping[str, int]:
        """Return the committed revision of each page in the service."""
        items = self.state.get_range(PAGE_PREFIX.encode(), b"u")
        return {item.key.decode(): item.mod_revision for item in items}

    def get_lagging(self) -> list[str]:
        """Return the entries whose pages differ from those of the service."""
        committed = self.get_committed()
        return [one.name for one in self.members.values() if one.in_force != committed]

    async def _run(self, member: Member) -> None:
        assert member.spread is not None
        with member.scope:
            await member.spread.run()

    def _observe(self, member: Member, table: Table) -> None:
        assert member.spread is not None
        reader = member.spread.reader
        revisions, positions = reader.get_revisions(), reader.get_held_positions()
        for key, position in member.positions.items():
            assert positions[key][0] >= position, (
                f"{member.name} reverted to an older {key}"
            )
        member.positions = {key: held[0] for key, held in positions.items()}
        member.in_force = revisions
        if member.first_in_force is None:
            member.first_in_force = revisions

    def _choose_fault(self, member: Member | None) -> Fault:
        if self.down or (member is not None and member.cut):
            return Fault.DOWN
        if member is not None and member.stale:
            return Fault.STALE_READ
        return Fault.NONE

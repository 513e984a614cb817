"""Connect the distribution of the table to the connections of an entry."""

from collections.abc import Callable, Mapping
from functools import partial
from random import Random

import trio

from hyssopvane._internal.coordination.key_value import KeyValueStore
from hyssopvane._internal.coordination.own_rows import OWN_ROWS_TOPIC, select_own_rows
from hyssopvane._internal.coordination.spread import (
    BEAT_TOPIC,
    PAGES_TOPIC,
    QUESTION_TOPIC,
    TableSpread,
)
from hyssopvane._internal.coordination.spread_messages import OwnRow, encode_own_rows
from hyssopvane._internal.coordination.vm_list import VmRecord, VmRole, fetch_vms
from hyssopvane._internal.coordination.vm_spread import VM_CHANGES_TOPIC, VmSpread
from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.protocol.messages import Heartbeat
from hyssopvane._internal.roles.entry_links import EntryLinks
from hyssopvane._internal.roles.operators import PageHandler
from hyssopvane._internal.roles.peer_pool import PeerPool
from hyssopvane._internal.roles.topics import TopicRouter
from hyssopvane._internal.state.columns import COLUMNS, RowKind
from hyssopvane._internal.state.table import Table, format_cell
from hyssopvane._internal.transport.peer_connection import PeerConnection
from hyssopvane._internal.utils.logs import log_event


class TableSharing:
    """Follow the table at an entry and distribute it to entries and agents."""

    def __init__(
        self,
        store: KeyValueStore,
        links: EntryLinks,
        pool: PeerPool,
        topics: TopicRouter,
        pages: dict[str, PageHandler],
        *,
        own_vm: str,
        incarnation: int,
        random: Random,
        observe: Callable[[Table], None],
        vm_list: str,
        observe_vms: Callable[[tuple[VmRecord, ...]], None],
    ) -> None:
        self._observe_vms = observe_vms
        self._pool = pool
        self._observe = observe
        self._services: dict[str, str] = {}
        self._sent_rows: dict[str, tuple[OwnRow, ...]] = {}
        self.spread = TableSpread(
            store,
            links,
            own_vm=own_vm,
            incarnation=incarnation,
            random=random,
            observe=self._apply_table,
            report=_log_error,
            get_vms_digest=lambda: self._vms.digest,
            compare_vms=lambda digest: self._vms.compare(digest),
        )
        self._vms = VmSpread(
            partial(fetch_vms, vm_list),
            random=random,
            watches=lambda: self.spread.watches,
            send=self.spread.send_to_receivers,
            observe=self._update_vms,
            report=_log_vms_error,
        )
        topics.add_notice(VM_CHANGES_TOPIC, self._receive_vm_changes)
        pages["/table"] = self._show_table
        topics.add_notice(PAGES_TOPIC, self._receive_pages)
        topics.add_notice(BEAT_TOPIC, self._receive_beat)
        topics.add_question(QUESTION_TOPIC, self._answer_question)

    def start(self, nursery: trio.Nursery) -> None:
        """Follow the table and the list of VMs in a nursery."""
        nursery.start_soon(self.spread.run)
        nursery.start_soon(self._vms.run)

    def _update_vms(self, records: tuple[VmRecord, ...]) -> None:
        # Addresses are updated first, since the spread may send messages at once.
        self._observe_vms(records)
        self.spread.update_entries(
            {
                record.name: record.availability_zone
                for record in records
                if record.role is VmRole.ENTRY
            }
        )

    def connect_agent(self, vm: str, service: str) -> None:
        """Send an agent its rows after it connected."""
        self._services[vm] = service
        self._sent_rows.pop(vm, None)
        self._send_rows(vm)

    def disconnect_agent(self, vm: str) -> None:
        """Stop sending rows to an agent that disconnected."""
        self._services.pop(vm, None)

    def receive_heartbeat(self, peer: PeerConnection, heartbeat: Heartbeat) -> None:
        """Compare the table position of another entry with the own one."""
        if peer.peer is not None:
            self.spread.compare(peer.peer.vm, heartbeat.table_position)

    async def _show_table(self, query: Mapping[str, str]) -> object:
        table = self.spread.table
        rows = {f"{kind}s": _format_rows(table, kind) for kind in RowKind}
        return {"revision": table.revision, **rows}

    def _apply_table(self, table: Table) -> None:
        self._observe(table)
        for vm in self._services:
            self._send_rows(vm)
        log_event("info", "table-in-force", revision=table.revision)

    def _send_rows(self, vm: str) -> None:
        connection = self._pool.get_connection(vm)
        if connection is None or not self.spread.table.revision:
            return
        rows = select_own_rows(
            self.spread.table,
            self.spread.reader.get_held_positions(),
            vm=vm,
            service=self._services[vm],
        )
        # The page's revision also rises with edits of other rows on the page. Rows are
        # sent only when their cells differ.
        if self._sent_rows.get(vm) is None or _differ(self._sent_rows[vm], rows.rows):
            self._sent_rows[vm] = rows.rows
            connection.notify(OWN_ROWS_TOPIC, encode_own_rows(rows))

    def _receive_pages(self, peer: PeerConnection, body: bytes) -> None:
        if peer.peer is not None:
            self.spread.receive_pages(peer.peer.vm, body)

    def _receive_beat(self, peer: PeerConnection, body: bytes) -> None:
        if peer.peer is not None:
            self.spread.receive_beat(peer.peer.vm, body)

    def _receive_vm_changes(self, peer: PeerConnection, body: bytes) -> None:
        self._vms.receive_changes(body)

    async def _answer_question(self, peer: PeerConnection, body: bytes) -> bytes:
        return await self.spread.answer_question(body)


def _format_rows(table: Table, kind: RowKind) -> dict[str, dict[str, str]]:
    return {
        name: {column: format_cell(row, kind, column) for column in COLUMNS[kind]}
        for name, row in sorted(table.get_rows(kind).items())
    }


def _differ(sent: tuple[OwnRow, ...], rows: tuple[OwnRow, ...]) -> bool:
    return [row.cells for row in sent] != [row.cells for row in rows]


def _log_vms_error(error: HyssopvaneError) -> None:
    log_event("warning", "vm-list-unavailable", why=error)


def _log_error(error: HyssopvaneError) -> None:
    log_event("warning", "table-not-followed", why=error)

"""Collect the status and the decisions of other VMs for operators."""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import asdict

import trio
from pydantic import TypeAdapter, ValidationError

from hyssopvane._internal.coordination.vm_list import VmRecord, VmRole
from hyssopvane._internal.exceptions import OperatorRequestError, PeerLost
from hyssopvane._internal.roles.entry_links import EntryLinks
from hyssopvane._internal.roles.operators import OperatedProcess
from hyssopvane._internal.roles.peer_pool import PeerPool
from hyssopvane._internal.roles.topics import TopicRouter
from hyssopvane._internal.state.decisions import VmDecisions
from hyssopvane._internal.state.vm_status import (
    ListedVm,
    VmReport,
    build_status,
)
from hyssopvane._internal.transport.peer_connection import PeerConnection

STATUS_TOPIC = "operators/status"
EXPLAIN_TOPIC = "operators/explain"

MAX_ENTRIES_QUERIED = 150
"""Maximum number of entries that one operator request may query.

The largest availability zone has about 70 entries by design. Querying all 960 at once
would overload the system: each query opens a connection, and each answer has a line for
each of 42 agents.
"""

MAX_CONCURRENT_QUERIES = 16
QUERY_TIMEOUT_S = 2.0

_REPORTS = TypeAdapter(tuple[VmReport, ...])
_DECISIONS = TypeAdapter(VmDecisions)
_Query = Callable[[], Awaitable[bytes]]


class OperatorQueries:
    """Serve operators' pages that cover the VMs of a whole availability zone."""

    def __init__(
        self,
        process: OperatedProcess,
        *,
        report: Callable[[], VmReport],
        links: EntryLinks,
        pool: PeerPool,
        topics: TopicRouter,
    ) -> None:
        self._process = process
        self._report = report
        self._links = links
        self._pool = pool
        self._records: tuple[VmRecord, ...] = ()
        topics.add_question(STATUS_TOPIC, self._answer_status)
        add_explain_topic(topics, process)
        process.pages["/status"] = self._show_status
        process.pages["/explain-all"] = self._show_explanation

    def update_vms(self, records: tuple[VmRecord, ...]) -> None:
        """Set the records of the platform's list of VMs."""
        self._records = records

    async def _show_status(self, query: Mapping[str, str]) -> object:
        records = self._select(query.get("zone", ""))
        reports = list(self._list_reachable_reports())
        queries = [
            self._make_query(record.name, STATUS_TOPIC, b"")
            for record in records
            if record.role is VmRole.ENTRY and record.name != self._process.vm
        ]
        for answer in await _run_queries(queries):
            reports.extend(_parse_reports(answer))
        return asdict(build_status(map(_describe_vm, records), reports))

    async def _show_explanation(self, query: Mapping[str, str]) -> object:
        request_id = query.get("id", "")
        body = request_id.encode()
        connections = self._pool.list_connections()
        queries: list[_Query] = [
            _make_agent_query(connection, body) for connection in connections.values()
        ]
        queries += [
            self._make_query(vm, EXPLAIN_TOPIC, body)
            for vm in self._links.list_vms()[:MAX_ENTRIES_QUERIED]
        ]
        answers = await _run_queries(queries)
        found = [_find_decisions(self._process, request_id)]
        found += [one for one in map(_parse_decisions, answers) if one is not None]
        return {
            "request_id": request_id,
            "asked": len(queries) + 1,
            "answered": len(found),
            "entry_told": any(
                one.decisions for one in found if one.vm not in connections
            ),
            "decisions": _list_by_time(found),
        }

    def _select(self, zone: str) -> tuple[VmRecord, ...]:
        zones = sorted({record.availability_zone for record in self._records})
        if zone and zone not in zones:
            raise OperatorRequestError(
                f"the platform lists no VM in availability zone {zone!r}",
                context=f"zones: {', '.join(zones)}",
                hint="name one of these with --zone",
            )
        chosen = tuple(
            record
            for record in self._records
            if not zone or record.availability_zone == zone
        )
        entries = sum(record.role is VmRole.ENTRY for record in chosen)
        if entries > MAX_ENTRIES_QUERIED:
            raise OperatorRequestError(
                f"{entries} entries are too many for one query",
                context=f"at most {MAX_ENTRIES_QUERIED}; zones: {', '.join(zones)}",
                hint="query one zone at a time with --zone",
            )
        return chosen

    def _list_reachable_reports(self) -> Iterable[VmReport]:
        """Yield the reports of this entry and of the agents connected to it."""
        yield self._report()
        for vm, connection in self._pool.list_connections().items():
            heartbeat = connection.last_heartbeat
            if heartbeat is not None:
                yield VmReport(
                    vm,
                    heartbeat.table_revision,
                    leaving=heartbeat.leaving,
                    running=heartbeat.running,
                    era=heartbeat.table_era,
                )

    async def _answer_status(self, peer: PeerConnection, body: bytes) -> bytes:
        return _REPORTS.dump_json(tuple(self._list_reachable_reports()))

    def _make_query(self, vm: str, topic: str, body: bytes) -> _Query:
        return lambda: self._links.ask(vm, topic, body)


def add_explain_topic(topics: TopicRouter, process: OperatedProcess) -> None:
    """Register a topic that answers peers with the decisions on one request."""

    async def answer(peer: PeerConnection, body: bytes) -> bytes:
        request_id = body.decode(errors="replace")
        return _DECISIONS.dump_json(_find_decisions(process, request_id))

    topics.add_question(EXPLAIN_TOPIC, answer)


def _find_decisions(process: OperatedProcess, request_id: str) -> VmDecisions:
    return VmDecisions(process.vm, process.decisions.find(request_id))


def _list_by_time(found: Iterable[VmDecisions]) -> list[dict[str, object]]:
    records = [(one.vm, record) for one in found for record in one.decisions]
    records.sort(key=lambda pair: pair[1].at)
    return [{"vm": vm, **asdict(record)} for vm, record in records]


def _make_agent_query(connection: PeerConnection, body: bytes) -> _Query:
    return lambda: connection.ask(EXPLAIN_TOPIC, body)


async def _run_queries(queries: Sequence[_Query]) -> list[bytes]:
    """Run queries with limited concurrency; leave out those that fail or time out."""
    answers: list[bytes] = []
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

    async def run_query(ask: _Query) -> None:
        async with limiter:
            with trio.move_on_after(QUERY_TIMEOUT_S):
                try:
                    answers.append(await ask())
                except PeerLost:
                    return

    async with trio.open_nursery() as nursery:
        for ask in queries:
            nursery.start_soon(run_query, ask)
    return answers


def _describe_vm(record: VmRecord) -> ListedVm:
    return ListedVm(
        record.name, str(record.role), record.availability_zone, str(record.state)
    )


def _parse_reports(answer: bytes) -> tuple[VmReport, ...]:
    # A VM of an earlier version sends an empty answer and is shown as "no answer".
    try:
        return _REPORTS.validate_json(answer)
    except ValidationError:
        return ()


def _parse_decisions(answer: bytes) -> VmDecisions | None:
    try:
        return _DECISIONS.validate_json(answer)
    except ValidationError:
        return None

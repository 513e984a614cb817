"""Run one seed: start all processes, inject faults, and check the recovery."""

import json
import signal
import socket
from collections import ChainMap
from functools import partial
from pathlib import Path
from random import Random

import trio

from hyssopvane._internal.transport.asgi_server import serve_asgi
from hyssopvane._internal.transport.replica_client import ReplicaClient
from tests.lib.direct_installation import (
    CUSTOMER,
    ENGINE,
    EXPERTS,
    KEY,
    make_configuration,
    make_route,
)
from tests.lib.direct_store import DirectStore
from tests.lib.rank_model import RANKS
from tests.lib.rank_standin import GroupStandIn
from tests.soak.backends import CRASHING_PART, Backend, CrashArrival, Journal
from tests.soak.bursts import (
    BURST_ROUTES,
    OTHER_TENANT,
    SLOTS,
    BurstCallers,
    check_answered,
    check_served,
)
from tests.soak.callers import (
    KINDS,
    LATE_TOLERANCE_S,
    NOT_RUN,
    TIMEOUT_S,
    Call,
    Callers,
    Kind,
)
from tests.soak.cold_returns import COLD_SERVICE, COLD_SETTINGS, check_cold_rates
from tests.soak.crashes import CrashingCallers, CrashingParts
from tests.soak.departures import LeavingCallers
from tests.soak.evacuations import EVACUATE_S, ZONES, Operators
from tests.soak.faults import Faults
from tests.soak.fleet import Fleet, Member
from tests.soak.link import Link, format_time
from tests.soak.notices import BACKOFF_GRACE_S
from tests.soak.reports import Report, Size, save_failure

RECOVERY_S = 20.0
"""Time after the last fault in which all requests must be served again."""

DRAIN_S = 2.0
"""Time after which a draining replica gets no new requests."""

FAULT_FREE_S = 3.0
"""Time without faults before a request after which it must be answered in time."""


class SoakRun:
    """Run callers and faults against real programs, and check the results."""

    def __init__(self, folder: Path, *, seed: int, size: Size) -> None:
        self.size = size
        self.random = Random(seed)
        self.report = Report(seed)
        self.journal = Journal()
        self.store = DirectStore()
        self.fleet = Fleet(folder)
        self.groups = [GroupStandIn(f"g-{n}") for n in range(size.groups)]
        self.backends = self._make_backends()
        self.store_links: dict[str, Link] = {}
        self.written: dict[str, object] = {}
        """Last document that operators and replicas wrote, by key."""
        self.generation = 1
        self.callers = Callers(
            self.fleet.entries,
            self.journal,
            Random(self.random.random()),
            late_tolerance_s=LATE_TOLERANCE_S * size.patience,
        )
        # Not drawn from the run's own random numbers: each seed keeps its faults.
        self.leaving = LeavingCallers(
            self.fleet.entries, self.journal, Random(f"departures {seed}")
        )
        self.store_returned = trio.Event()
        """Set when the store has come back from an older copy."""
        self.crashing = CrashingCallers(
            self.callers,
            self.fleet.entries,
            Random(f"crashes {seed}"),
            self.store_returned,
        )
        self.crashing_parts = CrashingParts(
            self.callers, self.fleet.entries, Random(f"parts {seed}")
        )
        self.bursts = BurstCallers(
            self.callers, self.fleet.entries, Random(f"bursts {seed}")
        )
        self.operators = Operators(
            self._write, self._remove, Random(f"evacuations {seed}")
        )
        self.ended_at = float("inf")
        """Time at which the callers were stopped."""
        self.faults = Faults(self)

    async def run(self) -> Report:
        """Start all processes, inject faults, wait for the recovery and check it."""
        try:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                async with trio.open_nursery() as load:
                    for _ in range(self.size.callers):
                        load.start_soon(self.callers.run)
                    for _ in range(max(1, self.size.callers // 4)):
                        load.start_soon(self.leaving.run)
                    load.start_soon(self.leaving.measure_lags)
                    if self.size.crashes:
                        load.start_soon(self.crashing.run)
                    if self.size.parts:
                        load.start_soon(self.crashing_parts.run)
                    if self.size.bursts:
                        load.start_soon(self.bursts.run)
                    if self.size.evacuations:
                        load.start_soon(self.operators.run)
                    load.start_soon(self._watch_members)
                    load.start_soon(self._probe_generations)
                    await trio.sleep(1.0)
                    await self.faults.run(self.size.seconds)
                    await trio.sleep(TIMEOUT_S)
                    self.ended_at = trio.current_time()
                    load.cancel_scope.cancel()
                await self._check_recovery()
                await self._check_drain()
                nursery.cancel_scope.cancel()
        except* AssertionError as errors:
            for error in errors.exceptions:
                self.journal.add_violation(repr(error))
        finally:
            self.fleet.close()
        self._write_log()
        self._check_calls()
        self._check_departures()
        self._check_notices()
        self.journal.violations += check_served(self.callers.calls)
        self.journal.violations += check_answered(self.callers.calls)
        self._check_evacuations()
        self.journal.violations += check_cold_rates(
            self.journal.notices.arrivals, self._list_cold_times()
        )
        self.journal.violations += self.crashing.check()
        self.journal.violations += self.crashing_parts.check()
        self._fill_report()
        return self.report

    def register(self, backend: Backend) -> None:
        """Write the registration of a replica to the store."""
        self._write(f"servers/{backend.id}", backend.describe())

    def unregister(self, replica_id: str) -> None:
        """Remove the registration of a replica from the store."""
        self._remove(f"servers/{replica_id}")

    def rewrite_lost(self) -> None:
        """Write documents that a restore lost, and remove those that it restored."""
        for key in self.store.items.keys() - self.written.keys():
            self.store.remove(key)
        for key, document in self.written.items():
            value, _ = self.store.items.get(key, (b"", 0))
            if value != json.dumps(document).encode():
                self.store.put(key, document)

    def _write(self, key: str, document: object) -> None:
        self.written[key] = document
        self.store.put(key, document)

    def _remove(self, key: str) -> None:
        del self.written[key]
        self.store.remove(key)

    def configure(self) -> None:
        """Write the next configuration, whose new route replaces the previous one."""
        self.generation += 1
        self._write_configuration()

    def _write_configuration(self) -> None:
        document = make_configuration(self.generation)
        added = BURST_ROUTES if self.size.bursts else ()
        routes = [
            dict(route) | {"timeout-ms": int(TIMEOUT_S * 1_000)}
            for route in (*document["routes"], *added)  # type: ignore[misc]
        ]
        routes.append(make_route(f"gen{self.generation}", public=True))
        document["routes"] = routes
        engine = ENGINE | EXPERTS | ({"slots": SLOTS} if self.size.bursts else {})
        document["services"][1]["engine"] = engine  # type: ignore[index]
        if self.size.cold_returns:
            document["services"] = [
                dict(one) | COLD_SERVICE
                for one in document["services"]  # type: ignore[attr-defined]
            ]
        document["tenants"] = [
            {"name": CUSTOMER, "api-keys": [KEY, f"key-{self.generation}"]},
            *([OTHER_TENANT] if self.size.bursts else []),
        ]
        self._write("op/config", document)

    def _make_backends(self) -> list[Backend]:
        found = []
        for number in range(self.size.plain):
            found.append(self._make_backend(f"plain{number}", "checks", "127.0.3.1"))
        for at, group in enumerate(self.groups):
            for rank in range(RANKS):
                host = f"127.0.4.{at * RANKS + rank + 1}"
                name = f"rank{at}x{rank}"
                found.append(self._make_backend(name, "drafting", host, group, rank))
        if self.size.evacuations:
            for number, backend in enumerate(found):
                backend.zone = ZONES[number % len(ZONES)]
        for backend in found:
            if self.size.bursts and backend.group is not None:
                backend.slots = SLOTS
            backend.returns_cold = self.size.cold_returns
        return found

    def _make_backend(
        self,
        name: str,
        service: str,
        host: str,
        group: GroupStandIn | None = None,
        rank: int = 0,
    ) -> Backend:
        return Backend(
            name,
            service=service,
            random=Random(self.random.random()),
            journal=self.journal,
            host=host,
            group=group,
            rank=rank,
        )

    async def _start(self, nursery: trio.Nursery) -> None:
        store_address = await nursery.start(
            partial(
                serve_asgi,
                self.store,
                bind="127.0.0.1:0",
                graceful_timeout_s=0.1,
                shutdown=trio.Event(),
            )
        )
        for backend in self.backends:
            backend.observe_crash = partial(self._end_backend, nursery, backend)
            await backend.start(nursery)
            self.register(backend)
        for group in self.groups:
            nursery.start_soon(group.make_passes)
        self._write_configuration()
        await self._add_members(nursery, store_address)
        await self.fleet.start()

    async def _add_members(self, nursery: trio.Nursery, store: str) -> None:
        entry_port, agent_port, beliefs = _find_ports()
        hosts = [f"127.0.5.{n + 1}" for n in range(self.size.entries)]
        seeds = [f"{host}:{beliefs}" for host in hosts]
        shared = {
            "availability_zone": "zone-a",
            "entry_port": entry_port,
            "agent_port": agent_port,
            "grace_s": 6.0,
        }
        bounds = {"evacuate_s": EVACUATE_S} if self.size.evacuations else {}
        bounds |= COLD_SETTINGS if self.size.cold_returns else {}
        for number, host in enumerate(hosts):
            self.fleet.add(
                f"entry{number}",
                shared
                | bounds
                | {
                    "role": "direct-entry",
                    "vm": f"entry{number}",
                    "store": await self._open_store_link(nursery, host, store),
                    "callers": f"{host}:0",
                    "readiness": f"{host}:0",
                    "messages": f"{host}:{entry_port}",
                    "metrics": f"{host}:0",
                    "beliefs": f"{host}:{beliefs}",
                    "seeds": seeds,
                },
            )
        for backend in self.backends:
            if backend.service != "drafting":
                continue
            self.fleet.add(
                f"agent-{backend.name}",
                shared
                | {
                    "role": "rank-agent",
                    "availability_zone": backend.zone,
                    "vm": backend.name,
                    "store": await self._open_store_link(nursery, backend.host, store),
                    "messages": f"{backend.host}:{agent_port}",
                    "metrics": f"{backend.host}:0",
                    "replica": backend.link.address,
                    "service": "drafting",
                },
            )

    async def _open_store_link(
        self, nursery: trio.Nursery, host: str, store: str
    ) -> str:
        link = Link(store, listen=f"{host}:0")
        await nursery.start(link.serve)
        self.store_links[host] = link
        return link.address

    async def _end_backend(
        self, nursery: trio.Nursery, backend: Backend, arrival: CrashArrival
    ) -> None:
        if arrival.replica == backend.id:
            is_part = arrival.cause.startswith(CRASHING_PART)
            crashing = self.crashing_parts if is_part else self.crashing
            crashing.arrivals.append(arrival)
            nursery.start_soon(self.faults.crash_under_request, backend)
        await trio.sleep_forever()

    async def _watch_members(self) -> None:
        while True:
            await trio.sleep(0.1)
            for member in self.fleet.members:
                if member.starts and not member.stopping and not member.is_running:
                    self.journal.add_violation(f"{member.name} ended unexpectedly")
                    member.stopping = True

    async def _probe_generations(self) -> None:
        """Check that no entry reverts to an older configuration."""
        client = ReplicaClient()
        newest: dict[tuple[str, int], int] = {}
        number = 0
        while True:
            await trio.sleep(0.05)
            for member in self.fleet.entries:
                number += 1
                generation = self.generation - number % 2
                start = (member.name, member.starts)
                seen = newest.get(start, 0)
                status = await self._probe(client, member, generation, f"p-{number}")
                knows = status not in (0, 404, 503)
                if knows and generation < seen and member.starts == start[1]:
                    self.journal.add_violation(
                        f"{start} reverted from {seen} to {generation}"
                    )
                if knows:
                    newest[start] = max(seen, generation)

    async def _probe(
        self, client: ReplicaClient, member: Member, generation: int, request_id: str
    ) -> int:
        body = f"body of {request_id}".encode()
        fields = (
            (b"host", b"portal.example"),
            (b"x-request-id", request_id.encode()),
            (b"x-deadline-ms", b"1000"),
            (b"content-length", str(len(body)).encode()),
        )
        with trio.move_on_after(1.0):
            try:
                async with client.call(
                    member.callers,
                    method="POST",
                    target=f"/gen{generation}/1".encode(),
                    headers=fields,
                    body=body,
                ) as response:
                    await response.read(max_bytes=2**20)
                    return response.status
            except Exception:
                return 0
        return 0

    async def _check_recovery(self) -> None:
        """Check that each entry serves each kind, and the newest configuration."""
        client = ReplicaClient()
        for member in self.fleet.entries:
            for kind in KINDS:
                await self._wait_served(client, member, kind)
            with trio.move_on_after(RECOVERY_S * self.size.patience) as scope:
                while (
                    await self._probe(client, member, self.generation, "p-end") != 200
                ):
                    await trio.sleep(0.2)
            if scope.cancelled_caught:
                self.journal.add_violation(
                    f"generation {self.generation} is not in force at {member.name}"
                )
        await client.close()

    async def _wait_served(
        self, client: ReplicaClient, member: Member, kind: Kind
    ) -> None:
        number = 0
        with trio.move_on_after(RECOVERY_S * self.size.patience):
            while True:
                number += 1
                name = f"end-{member.name}-{number}-{kind.name}"
                call = await self.callers.send(client, member, kind, name)
                if call.status == 200 and call.whole:
                    return
                await trio.sleep(0.2)
        self.journal.add_violation(
            f"{member.name} does not serve {kind} after the faults"
        )

    async def _check_drain(self) -> None:
        """Check that a draining replica gets no new requests."""
        backend = self.backends[0]
        backend.draining_since = trio.current_time()
        self.register(backend)
        await trio.sleep(DRAIN_S * self.size.patience)
        before = sum(self.journal.runs.values())
        backend.fault_share = 0.0
        client = ReplicaClient()
        runs = backend.started
        for number in range(30):
            member = self.random.choice(self.fleet.entries)
            await self.callers.send(client, member, KINDS[0], f"drain-{number}")
        await client.close()
        if backend.started != runs:
            self.journal.add_violation(
                f"{backend.id} got new requests while it was draining"
            )
        if sum(self.journal.runs.values()) == before:
            self.journal.add_violation(
                "no request was served while a replica was draining"
            )

    def _check_departures(self) -> None:
        self.report.judged = sum(
            one.request_id in self.journal.work for one in self.leaving.left
        )
        self.journal.violations += self.leaving.check(
            self.faults,
            ended_at=self.ended_at,
            late_tolerance_s=self.callers.late_tolerance_s,
        )

    def _check_notices(self) -> None:
        self.journal.violations += self.journal.notices.check(
            self.callers.calls,
            is_excused=self.faults.overlaps_interruption,
            late_tolerance_s=BACKOFF_GRACE_S * (self.size.patience - 1),
        )

    def _check_evacuations(self) -> None:
        hosts = {
            member.name: str(member.settings["messages"]).partition(":")[0]
            for member in self.fleet.entries
        }
        senders = {call.id: call.entry for call in self.callers.calls}

        def is_excused(request_id: str, from_s: float, to_s: float) -> bool:
            sender = senders.get(request_id)
            named = {hosts[sender]} if sender else set(hosts.values())
            return self.faults.overlaps_store_outage(named, from_s, to_s)

        self.journal.violations += self.operators.check(
            self.journal.notices.arrivals,
            zones={backend.name: backend.zone for backend in self.backends},
            is_excused=is_excused,
            late_tolerance_s=EVACUATE_S * (self.size.patience - 1),
        )

    def _list_cold_times(self) -> dict[str, float]:
        return dict(ChainMap(*(one.cold_until for one in self.backends)))

    def _check_calls(self) -> None:
        for call in self.callers.calls:
            runs = self.journal.runs[call.id]
            description = (
                f"{call.id} {call.kind.path} at {call.entry}, status {call.status}"
            )
            if call.kind.at_most_once and runs > 1:
                self.journal.add_violation(f"ran {runs} times: {description}")
            if call.kind.at_most_once and call.status in NOT_RUN and runs:
                self.journal.add_violation(
                    f"reported as not run, but ran: {description}"
                )
            if call.status == 200 and not runs:
                self.journal.add_violation(
                    f"answered with 200, but did not run: {description}"
                )
            if self._is_cut_by_planned_stop(call) and runs:
                self.journal.add_violation(f"cut by a planned stop: {description}")
            if call.status == -1 and not self.faults.overlaps_fault(
                call.entry, call.sent_at - FAULT_FREE_S, call.ended_at
            ):
                self.journal.add_violation(
                    f"no answer in {TIMEOUT_S + self.callers.late_tolerance_s} s: "
                    f"{description}"
                )

    def _is_cut_by_planned_stop(self, call: Call) -> bool:
        if call.whole or call.left or call.status == -1:
            return False
        if not call.sent or not call.ended_at:
            return False
        if self.faults.overlaps_any_fault(call.sent_at, call.ended_at):
            return False
        return self.faults.overlaps_stop(call.entry, call.sent_at, call.ended_at)

    def _write_log(self) -> None:
        """Write what only this process knows beside the logs of the programs."""
        lines = [line for one in self.backends for line in one.link.ended]
        lines += [
            f"time={format_time(at)} event=soak-late seconds={lag_s:.3f}"
            for at, lag_s in self.leaving.lags
        ]
        lines += [
            f"time={format_time(at)} event=run-delay entry={name} seconds={delay_s:.3f}"
            for name, at, delay_s in self.leaving.run_delays
        ]
        (self.fleet.folder / "soak.log").write_text("\n".join(sorted(lines)) + "\n")

    def _fill_report(self) -> None:
        calls = self.callers.calls
        self.report.calls = len(calls)
        self.report.served = sum(one.status == 200 for one in calls)
        self.report.refused = sum(one.status in NOT_RUN for one in calls)
        self.report.left = self.callers.left
        self.report.faults = self.faults.descriptions
        self.report.violations = self.journal.violations
        arrivals = self.crashing.arrivals + self.crashing_parts.arrivals
        self.report.crashes = len(arrivals)
        self.report.colds = len(self._list_cold_times())
        self.report.evacuations = len(self.operators.done)
        self.report.changes = sum(
            member.read_log().count("event=map-in-force")
            for member in self.fleet.agents
            if member.log_file.exists()
        )


def _find_ports() -> tuple[int, int, int]:
    """Return three ports that are currently free on loopback."""
    probes = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(3)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    first, second, third = (probe.getsockname()[1] for probe in probes)
    for probe in probes:
        probe.close()
    return first, second, third


def run_seed(folder: Path, *, seed: int, size: Size) -> Report:
    """Run one seed and return its report."""
    folder.mkdir(parents=True, exist_ok=True)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    report = trio.run(SoakRun(folder, seed=seed, size=size).run)
    if report.violations:
        report.kept_in = str(save_failure(folder, report, size))
    return report

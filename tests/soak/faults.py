"""Inject random faults that overlap, and record when each was active."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import trio

from tests.soak.backends import Backend
from tests.soak.fleet import Member
from tests.soak.link import Link, LinkState

if TYPE_CHECKING:
    from tests.soak.run import SoakRun

MAX_CONCURRENT_FAULTS = 3
"""Number of faults that may be active at the same time."""

PLANNED = frozenset({"stop", "configure", "reload"})
"""Planned operations, which must not affect any request."""

_INTERRUPTIONS = frozenset({"stop", "kill", "pause"})

PLANNED_SHARE = 0.35
"""Share of a run in which only planned operations take place."""

FAULT_SHARE = 0.04
"""Share of requests that replicas fail, corrupt or cut after the planned part."""

_GRACE_S = 6.0
_LINK_SETTLE_S = 1.0
"""Time after the fault of a link in which delayed data may still arrive."""
_REGISTERED_S = 0.3
"""Time for which a replica that a request has ended stays registered."""

_ADDRESS_REUSE_DELAY_S = 1.0
"""Time until another replica serves at the address of a replica that ended."""


@dataclass(frozen=True)
class Span:
    """Represent the time span in which a fault was active."""

    name: str
    where: str
    from_s: float
    to_s: float
    what: str = ""
    """Description of the fault; empty while the fault is active."""


class Faults:
    """Inject faults into the parts of a run."""

    def __init__(self, run: "SoakRun") -> None:
        self._run = run
        self._random = Random(run.random.random())
        self._busy: set[str] = set()
        self.spans: list[Span] = []
        self.descriptions: list[str] = []
        self._queued = ["refuse", "leave"] if run.size.notices else []
        self._queued += 2 * ["crash"] if run.size.cold_returns else []
        self._queued += ["return"] if run.size.store_returns else []
        """Faults to inject first after the planned part: a short run draws few."""

    async def run(self, seconds: float) -> None:
        """Inject faults for the given time, and wait until all have ended."""
        # Only planned operations run first: they cause every cut in that time.
        await self._run_series(PLANNED, seconds * PLANNED_SHARE)
        for backend in self._run.backends:
            backend.fault_share = FAULT_SHARE
        # A replica that fails during a stream cuts it, regardless of the entry.
        began_at = trio.current_time()
        self.spans.append(Span("spoilt", "replicas", began_at, float("inf")))
        await self._run_series(None, seconds * (1 - PLANNED_SHARE))
        for backend in self._run.backends:
            backend.fault_share = 0.0

    async def _run_series(self, names: frozenset[str] | None, seconds: float) -> None:
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(MAX_CONCURRENT_FAULTS):
                nursery.start_soon(self._draw, end, names)

    def overlaps_fault(self, entry: str, from_s: float, to_s: float) -> bool:
        """Tell whether an unplanned fault of the entry or of all overlaps a span."""
        return any(
            span.name not in PLANNED and span.where in (entry, "all")
            for span in self._list_overlapping(from_s, to_s)
        )

    def overlaps_any_fault(self, from_s: float, to_s: float) -> bool:
        """Tell whether any unplanned fault overlaps a span."""
        return any(
            span.name not in PLANNED for span in self._list_overlapping(from_s, to_s)
        )

    def overlaps_departure(
        self, entry: str, from_s: float, to_s: float, *, ignored: str = ""
    ) -> bool:
        """Tell whether a fault near a span may hide that a caller left an entry.

        Faults of other entries and spoilt answers do not; a planned stop may not.
        Faults with the name `ignored` do not count.
        """
        entries = {one.name for one in self._run.fleet.entries}
        return any(
            span.name not in PLANNED
            and span.name != ignored
            and span.where != "replicas"
            and (span.where not in entries or span.where == entry)
            for span in self._list_overlapping(from_s, to_s)
        )

    def is_paused(self, entry: str, at: float) -> bool:
        """Tell whether the entry stood still at a time."""
        return any(
            span.name == "pause" and span.where == entry
            for span in self._list_overlapping(at, at)
        )

    def overlaps_interruption(self, entry: str, from_s: float, to_s: float) -> bool:
        """Tell whether a stop, kill or pause of the entry overlaps a span."""
        return any(
            span.name in _INTERRUPTIONS and span.where in (entry, "all")
            for span in self._list_overlapping(from_s, to_s)
        )

    def overlaps_stop(self, entry: str, from_s: float, to_s: float) -> bool:
        """Tell whether a planned stop of the entry overlaps a span."""
        return any(
            span.name == "stop" and span.where == entry
            for span in self._list_overlapping(from_s, to_s)
        )

    def overlaps_store_outage(
        self, hosts: set[str], from_s: float, to_s: float
    ) -> bool:
        """Tell whether one of some entries could not reach the store in a span.

        Resets and compactions don't count: the next connection reaches the store.
        """
        links = tuple(f"link {host} {how}" for host in hosts for how in LinkState)
        outages = (*links, "store down", "store lost", "store restored")
        return any(
            span.what.startswith(outages)
            for span in self._list_overlapping(from_s - _LINK_SETTLE_S, to_s)
        )

    def _list_overlapping(self, from_s: float, to_s: float) -> list[Span]:
        return [
            span for span in self.spans if span.from_s <= to_s and span.to_s >= from_s
        ]

    async def _draw(self, end: float, names: frozenset[str] | None) -> None:
        choices: list[tuple[str, Callable[[], Awaitable[str]]]] = [
            ("stop", self._stop),
            ("stop", self._stop),
            ("kill", self._kill),
            ("pause", self._pause),
            ("reload", self._reload),
            ("configure", self._configure),
            ("link", self._disturb_link),
            ("link", self._disturb_link),
            ("store", self._disturb_store),
            ("trouble", self._raise_fault_share),
            ("crash", self._crash),
            ("orders", self._disturb_orders),
            ("drain", self._drain),
        ]
        if self._run.size.notices:
            choices += 4 * [("refuse", self._refuse), ("leave", self._leave)]
        if self._run.size.store_returns:
            choices += 2 * [("return", self._restore_store)]
        if self._run.size.cold_returns:
            choices += 6 * [("crash", self._crash)]
        eligible = [one for one in choices if names is None or one[0] in names]
        while trio.current_time() < end:
            name, fault = self._random.choice(eligible)
            if names is None and self._queued:
                name = self._queued.pop(0)
                fault = dict(choices)[name]
            at = trio.current_time()
            # The end of an active fault is not known yet.
            ongoing = Span(name, "all", at, float("inf"))
            self.spans.append(ongoing)
            where = await fault()
            self.spans.remove(ongoing)
            known = where if where.startswith("entry") else "all"
            self.spans.append(Span(name, known, at, trio.current_time(), where))
            self.descriptions.append(f"{at:.1f} {name} {where}")
            await trio.sleep(self._random.uniform(0.0, 1.0))

    def _reserve_member(self, members: list[Member]) -> Member | None:
        free = [one for one in members if one.name not in self._busy]
        if not free:
            return None
        found = self._random.choice(free)
        self._busy.add(found.name)
        return found

    async def _stop(self) -> str:
        member = self._reserve_member(self._run.fleet.members)
        if member is None:
            return "nobody"
        member.stopping = True
        member.send_signal(signal.SIGTERM)
        if self._random.random() < 0.3:
            member.send_signal(signal.SIGHUP)
        if not await member.wait_ended((_GRACE_S + 2.0) * self._run.size.patience):
            self._run.journal.add_violation(
                f"{member.name} did not end within its grace period"
            )
            member.kill()
        await member.start()
        self._busy.discard(member.name)
        return member.name

    async def _kill(self) -> str:
        member = self._reserve_member(self._run.fleet.members)
        if member is None:
            return "nobody"
        member.kill()
        await trio.sleep(self._random.uniform(0.0, 1.0))
        await member.start()
        self._busy.discard(member.name)
        return member.name

    async def _pause(self) -> str:
        member = self._reserve_member(self._run.fleet.members)
        if member is None:
            return "nobody"
        member.send_signal(signal.SIGSTOP)
        await trio.sleep(self._random.uniform(0.3, 4.0))
        member.send_signal(signal.SIGCONT)
        self._busy.discard(member.name)
        return member.name

    async def _reload(self) -> str:
        member = self._random.choice(self._run.fleet.members)
        if member.handles_reload and not member.stopping:
            member.send_signal(signal.SIGHUP)
        return member.name

    async def _configure(self) -> str:
        for _ in range(self._random.randint(1, 5)):
            self._run.configure()
            await trio.sleep(self._random.uniform(0.02, 0.3))
        return f"generation {self._run.generation}"

    async def _disturb_link(self) -> str:
        links = [*self._run.store_links.items()]
        links += [(one.name, one.link) for one in self._run.backends]
        where, link = self._random.choice(links)
        how = self._random.choice([*LinkState, "reset", "forget"])
        if how == "reset":
            await link.reset_open()
        elif how == "forget":
            link.blackhole_open()
        else:
            await self._hold_state(link, LinkState(how))
        return f"link {where} {how}"

    async def _hold_state(self, link: Link, state: LinkState) -> None:
        link.delay_s = self._random.uniform(0.02, 0.4)
        link.state = state
        link.settled_at = float("inf")
        await trio.sleep(self._random.uniform(0.3, 4.0))
        link.state = LinkState.SOUND
        link.settled_at = trio.current_time() + _LINK_SETTLE_S

    async def _disturb_store(self) -> str:
        store = self._run.store
        how = self._random.choice(["down", "lost", "forget"])
        if how == "forget":
            store.compact_history()
            return "store compacts its history"
        if how == "down":
            store.answer_status = 503
        else:
            store.lose_answers = True
        await trio.sleep(self._random.uniform(0.3, 4.0))
        store.answer_status, store.lose_answers = 0, False
        return f"store {how}"

    async def _restore_store(self) -> str:
        store = self._run.store
        copy = store.copy()
        await trio.sleep(self._random.uniform(0.3, 4.0))
        store.answer_status = 503
        await trio.sleep(self._random.uniform(0.0, 2.0))
        store.restore_from(copy)
        self._run.store_returned.set()
        store.answer_status = 0
        await trio.sleep(self._random.uniform(0.0, 1.5))
        self._run.rewrite_lost()
        return f"store restored to {copy.revision}"

    async def _raise_fault_share(self) -> str:
        backend = self._random.choice(self._run.backends)
        backend.fault_share = self._random.uniform(0.1, 0.9)
        await trio.sleep(self._random.uniform(0.5, 4.0))
        backend.fault_share = FAULT_SHARE
        return f"trouble {backend.name}"

    async def _crash(self) -> str:
        backend = self._random.choice(self._run.backends)
        if backend.name in self._busy:
            return "nobody"
        await self._crash_and_return(backend)
        return f"crash {backend.name}"

    async def _crash_and_return(
        self, backend: Backend, registered_s: float | None = None
    ) -> None:
        self._busy.add(backend.name)
        old_id = backend.id
        if backend.group is not None:
            backend.group.broken = True
        await backend.stop_replica()
        # Drawn only now, and only for faults, so that each seed keeps its faults.
        if registered_s is None:
            registered_s = self._random.uniform(0.1, 1.0)
        await trio.sleep(registered_s)
        self._run.unregister(old_id)
        await trio.sleep(_ADDRESS_REUSE_DELAY_S)
        await backend.start_replica()
        if backend.group is not None:
            backend.group.form()
        self._run.register(backend)
        self._busy.discard(backend.name)

    async def crash_under_request(self, backend: Backend) -> None:
        """End a replica because of a request; one that is leaving stays away."""
        at = trio.current_time()
        ongoing = Span("crash", "all", at, float("inf"))
        self.spans.append(ongoing)
        if backend.name in self._busy:
            await backend.stop_replica()
        else:
            await self._crash_and_return(backend, _REGISTERED_S)
        self.spans.remove(ongoing)
        self.spans.append(Span("crash", "all", at, trio.current_time()))

    async def _drain(self) -> str:
        backend = self._random.choice(self._run.backends)
        if backend.name in self._busy or backend.group is not None:
            return "nobody"
        self._busy.add(backend.name)
        old_id = backend.id
        backend.draining_since = trio.current_time()
        self._run.register(backend)
        await trio.sleep(3.0)
        await self._replace(backend, old_id)
        return f"drain {backend.name}"

    async def _replace(self, backend: Backend, old_id: str) -> None:
        """Stop a replica that is leaving, and start the next one at its address."""
        await backend.stop_replica()
        self._run.unregister(old_id)
        await trio.sleep(_ADDRESS_REUSE_DELAY_S)
        await backend.start_replica()
        self._run.register(backend)
        self._busy.discard(backend.name)

    async def _refuse(self) -> str:
        backend = self._random.choice(self._run.backends)
        backend.refusing = True
        await trio.sleep(self._random.uniform(0.5, 4.0))
        backend.refusing = False
        return f"refuse {backend.name}"

    async def _leave(self) -> str:
        """Make a replica leave that reports so in its answers only."""
        plain = [one for one in self._run.backends if one.group is None]
        backend = self._random.choice(plain)
        if backend.name in self._busy:
            return "nobody"
        self._busy.add(backend.name)
        old_id = backend.id
        backend.leaving = True
        await trio.sleep(self._random.uniform(0.5, 3.0))
        self._run.register(backend)
        await trio.sleep(self._random.uniform(2.0, 4.0))
        await self._replace(backend, old_id)
        return f"leave {backend.name}"

    async def _disturb_orders(self) -> str:
        ranks = [one for one in self._run.backends if one.group is not None]
        for one in ranks:
            one.lost_order_share = self._random.uniform(0.0, 0.3)
            one.late_order_share = self._random.uniform(0.0, 0.3)
        await trio.sleep(self._random.uniform(1.0, 4.0))
        for one in ranks:
            one.lost_order_share = one.late_order_share = 0.0
        return "orders lost and late"

"""Leave requests in all ways, in series and overlapping, and check that work ends."""

from dataclasses import dataclass, field
from random import Random

import trio

from tests.lib.direct_installation import HOST, KEY
from tests.lib.leaving_callers import (
    Departure,
    Http1Caller,
    Http2Caller,
    RawCaller,
    make_head,
)
from tests.soak.backends import HANGING, LARGE, Journal, Work
from tests.soak.faults import Faults
from tests.soak.fleet import Member
from tests.soak.link import format_time

BOUND_S = 0.5
"""Time after which no replica may work for a caller that has left."""

SETTLE_S = 3.0
"""Time without faults before a departure after which the work must end in time."""

_DEADLINE_MS = 8_000
_LAG_INTERVAL_S = 0.02
_MAX_OVERLAPPING = 4
_MAX_SERIES = 5
_CLOSES = (Departure.CLOSE, Departure.RESET, Departure.HALF_CLOSE)
_BEHIND = ("nothing", "request", "first-bytes", "line-end", "many")


@dataclass
class Left:
    """Record that a caller has left a request."""

    request_id: str
    entry: str
    way: str
    at: float


@dataclass
class LeavingCallers:
    """Send requests until cancelled, and leave each before its answer."""

    entries: list[Member]
    journal: Journal
    random: Random
    left: list[Left] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)
    """Times at which this process was late, and by how much: it also runs the replicas
    and the links to them."""
    run_delays: list[tuple[str, float, float]] = field(default_factory=list)
    """Entries that waited for a processor, when this was known, and for how long."""
    number: int = 0
    _run_delays: dict[str, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Leave series of requests that overlap, one connection after the other."""
        while True:
            member = self.random.choice(self.entries)
            with trio.move_on_after(_DEADLINE_MS / 1_000):
                try:
                    if self.random.random() < 0.5:
                        await self._leave_http1(member)
                    else:
                        await self._leave_http2(member)
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                    # A fault has ended the connection.
                    pass
            await trio.sleep(self.random.uniform(0.0, 0.1))

    async def measure_lags(self) -> None:
        """Record by how much this process is late until cancelled."""
        while True:
            due_at = trio.current_time() + _LAG_INTERVAL_S
            await trio.sleep_until(due_at)
            now = trio.current_time()
            if now - due_at > _LAG_INTERVAL_S:
                self.lags.append((now, now - due_at))
            self._measure_run_delays(now)

    def _measure_run_delays(self, now: float) -> None:
        for member in self.entries:
            total_s = member.read_run_delay_s()
            delay_s = total_s - self._run_delays.get(member.name, total_s)
            self._run_delays[member.name] = total_s
            if delay_s > _LAG_INTERVAL_S:
                self.run_delays.append((member.name, now, delay_s))

    def check(
        self, faults: Faults, *, ended_at: float, late_tolerance_s: float
    ) -> list[str]:
        """Return the requests on which a replica worked too long."""
        found = []
        for one in self.left:
            due_at = self._find_due_at(one.at, BOUND_S + late_tolerance_s)
            if due_at > ended_at:
                continue
            is_excused = faults.overlaps_departure(one.entry, one.at - SETTLE_S, due_at)
            for work in self.journal.work.get(one.request_id, ()):
                if self._is_begun_late(one, work, due_at, faults):
                    found.append(
                        f"{one.request_id}: begun {work.began_at - one.at:.1f} s after "
                        f"its caller left {one.entry}, which stood still, by {one.way} "
                        f"({self._describe(one, work)})"
                    )
                elif not is_excused and work.ended_at > due_at:
                    found.append(
                        f"{one.request_id}: worked on for "
                        f"{work.ended_at - one.at:.1f} s after its caller left "
                        f"{one.entry} by {one.way} ({self._describe(one, work)})"
                    )
        return found

    def _is_begun_late(
        self, left: Left, work: Work, due_at: float, faults: Faults
    ) -> bool:
        """Tell whether a request left in a pause of its entry was sent on later."""
        return (
            work.began_at > due_at
            and faults.is_paused(left.entry, left.at)
            and not faults.overlaps_departure(
                left.entry, left.at - SETTLE_S, work.began_at, ignored="pause"
            )
        )

    def _find_due_at(self, left_at: float, bound_s: float) -> float:
        """Return the time at which work must have ended.

        The replicas and links run in this process: the time in which it did not run,
        from before the work was due, does not count. A lag is known only at its end.
        """
        due_at = left_at + bound_s
        for known_at, lag_s in self.lags:
            began_at = max(left_at, known_at - lag_s)
            if known_at > left_at and began_at <= due_at:
                due_at += known_at - began_at
        return due_at

    def _describe(self, left: Left, work: Work) -> str:
        """Return what tells a late close of the entry from one that was not seen.

        The entry's line `replica-call-cancelled` has its port of the connection, the
        soak's line `link-ended` the ports on both sides, and this text the second.
        """
        late_s = sum(
            lag_s for at, lag_s in self.lags if left.at < at <= work.ended_at + lag_s
        )
        waited_s = sum(
            delay_s
            for entry, at, delay_s in self.run_delays
            if entry == left.entry and left.at < at <= work.ended_at
        )
        return (
            f"left at {format_time(left.at)}, begun {work.began_at - left.at:.3f} s "
            f"after, at {work.replica} from port {work.port}; "
            f"this process was late by {late_s:.1f} s, the entry waited "
            f"{waited_s:.1f} s for a processor"
        )

    async def _leave_http1(self, member: Member) -> None:
        caller = await Http1Caller.open(member.callers)
        path = self._draw_path()
        departure = self.random.choice(_CLOSES)
        behind = self.random.choice(_BEHIND)
        request_id = self._name_request()
        try:
            await caller.send_request(
                path, headers=_make_headers(request_id), body=_make_body(request_id)
            )
            await trio.sleep(self.random.uniform(0.0, 0.3))
            await caller.stream.send_all(self._make_behind(behind, path))
            await trio.sleep(self.random.uniform(0.0, 0.1))
        finally:
            await self._leave(caller, departure)
            self._record([request_id], member, f"http1 {path} {behind} {departure}")

    async def _leave_http2(self, member: Member) -> None:
        caller = await Http2Caller.open(member.callers)
        departure = self.random.choice(_CLOSES)
        open_requests: list[str] = []
        try:
            for _ in range(self.random.randint(1, _MAX_SERIES)):
                for _ in range(self.random.randint(1, _MAX_OVERLAPPING)):
                    path, request_id = self._draw_path(), self._name_request()
                    await caller.send_request(
                        path,
                        headers=_make_headers(request_id),
                        body=_make_body(request_id),
                    )
                    open_requests.append(request_id)
                await trio.sleep(self.random.uniform(0.0, 0.3))
                if self.random.random() < 0.5:
                    await caller.ping()
                await caller.cancel()
                self._record([open_requests.pop()], member, f"http2 {path} cancel")
        finally:
            await self._leave(caller, departure)
            self._record(open_requests, member, f"http2 {departure}")

    async def _leave(self, caller: RawCaller, departure: Departure) -> None:
        with trio.CancelScope(shield=True), trio.move_on_after(1.0):
            await caller.leave(departure)
            if departure is Departure.HALF_CLOSE:
                await trio.sleep(self.random.uniform(0.0, 0.5))
                await caller.leave(Departure.RESET)

    def _record(self, requests: list[str], member: Member, way: str) -> None:
        now = trio.current_time()
        self.left += [Left(one, member.name, way, now) for one in requests]

    def _name_request(self) -> str:
        self.number += 1
        return f"left-{self.random.getrandbits(40):x}-{self.number}"

    def _draw_path(self) -> str:
        service = self.random.choice(("status", "bids", "drafts", "once"))
        last = LARGE if self.random.random() < 0.2 else HANGING
        return f"/{service}/{last}"

    def _make_behind(self, kind: str, path: str) -> bytes:
        request_id = self._name_request()
        body = _make_body(request_id)
        request = make_head(path, headers=_make_headers(request_id), body=body) + body
        match kind:
            case "request":
                return request
            case "first-bytes":
                return request[: self.random.randint(1, len(request) - 1)]
            case "line-end":
                return b"\r\n"
            case "many":
                return 400 * request
        return b""


def _make_headers(request_id: str) -> tuple[tuple[str, str], ...]:
    return (
        ("Host", HOST),
        ("X-Request-Id", request_id),
        ("Authorization", f"Bearer {KEY}"),
        ("X-Deadline-Ms", str(_DEADLINE_MS)),
    )


def _make_body(request_id: str) -> bytes:
    return f"body of {request_id}".encode()

"""Count the targets that one request body crashes while its caller keeps retrying."""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from functools import partial
from itertools import count
from random import Random

from bench.output import parse_options, print_table, write_json
from hyssopvane._internal.models.refusals import Refusal, RefusalReason
from hyssopvane._internal.policy.scheduler import Scheduler
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.state.table import ServiceRow, Table
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Decision,
    Placed,
    TargetInfo,
    WorkRequest,
)

_TARGETS = 12
_RUN_S = 1.0
# Time that a target reads the prompt before it crashes.
_CRASH_S = 0.2
_RESTART_S = 20.0
# Time until a crash report reaches other entries through a key-value service page.
_REPORT_DELAY_S = 0.05
_DURATION_S = 120.0
_POISON = b"poison"


class DisabledSuspectTracker(SuspectTracker):
    """Disable the tracking of suspect bodies."""

    def record_crash(self, *arguments: object, **details: object) -> bool:
        """Ignore the crash."""
        return False


@dataclass(frozen=True, slots=True)
class Case:
    """Describe the parameters of one run."""

    entries: int
    copies: int
    """Copies that the caller sends simultaneously through each entry."""
    protected: bool = True
    shared: bool = True


@dataclass(frozen=True, slots=True)
class PoisonRow:
    """Hold the results of one run."""

    entries: int
    copies: int
    protection: str
    crashes: int
    targets_crashed: int
    poison_sent: int
    poison_refused: int
    others_sent: int
    others_answered: int
    others_quarantined: int


class PoisonRun:
    """Simulate entries that serve harmless requests and repeated poison requests."""

    def __init__(self, case: Case, *, seed: int) -> None:
        self.case = case
        self._random = Random(seed)
        self._entries = [self._make_scheduler(n) for n in range(case.entries)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._now = 0.0
        self._incarnations = {f"t{n}": 1 for n in range(_TARGETS)}
        self._running: dict[str, dict[str, tuple[int, WorkRequest]]] = {}
        self._requests: dict[str, WorkRequest] = {}
        self.crashed: list[str] = []
        self.sent = {True: 0, False: 0}
        self.answered = 0
        self.refused = {True: 0, False: 0}
        for name, incarnation in self._incarnations.items():
            self._connect(name, incarnation)

    def run(self) -> PoisonRow:
        """Run the simulation and return its results."""
        for entry in range(self.case.entries):
            self._schedule(0.0, partial(self._send_harmless, entry))
            for _ in range(self.case.copies):
                self._schedule(5.0, partial(self._send_poison, entry))
        self._schedule(0.0, self._tick)
        while self._events and self._events[0][0] <= _DURATION_S:
            self._now, _, action = heapq.heappop(self._events)
            action()
        protection = "shared" if self.case.shared else "each entry"
        return PoisonRow(
            entries=self.case.entries,
            copies=self.case.copies,
            protection=protection if self.case.protected else "none",
            crashes=len(self.crashed),
            targets_crashed=len(set(self.crashed)),
            poison_sent=self.sent[True],
            poison_refused=self.refused[True],
            others_sent=self.sent[False],
            others_answered=self.answered,
            others_quarantined=self.refused[False],
        )

    def _make_scheduler(self, number: int) -> Scheduler:
        scheduler = Scheduler(random=Random(number))
        row = ServiceRow("draft", repeatable=True)
        scheduler.update_table(Table(services={"draft": row}), now=0.0)
        own_targets = frozenset(
            f"t{n}" for n in range(number, _TARGETS, self.case.entries)
        )
        if self.case.shared:
            scheduler.planner.set_suspect_targets(own_targets)
        if not self.case.protected:
            scheduler.planner.suspects = DisabledSuspectTracker()
        return scheduler

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _tick(self) -> None:
        for entry in range(len(self._entries)):
            self._collect(entry)
        if self.case.shared and self.case.protected:
            self._exchange_suspects()
        self._schedule(self._now + _REPORT_DELAY_S, self._tick)

    def _exchange_suspects(self) -> None:
        trackers = [one.planner.suspects for one in self._entries]
        for tracker in trackers:
            for body in tracker.take_changes():
                record = tracker.get_record(body)
                for other in trackers:
                    if other is tracker:
                        continue
                    if record is None:
                        other.drop(body)
                    else:
                        other.merge(body, record, quarantine_s=3600.0, now=self._now)

    def _send_harmless(self, entry: int) -> None:
        self._submit(entry, self._random.randbytes(8))
        self._schedule(
            self._now + self._random.expovariate(20.0),
            lambda: self._send_harmless(entry),
        )

    def _send_poison(self, entry: int) -> None:
        self._submit(entry, _POISON)

    def _submit(self, entry: int, body: bytes) -> None:
        poison = body == _POISON
        self.sent[poison] += 1
        request = WorkRequest(
            request_id=f"{entry}-{next(self._sequence)}",
            customer="registry",
            service="draft",
            tokens=500,
            priority=5,
            deadline=self._now + 30.0,
            repeatable=True,
            body_digest=body,
        )
        self._requests[request.request_id] = request
        scheduler = self._entries[entry]
        self._handle_decision(entry, request, scheduler.submit(request, now=self._now))

    def _handle_decision(
        self, entry: int, request: WorkRequest, decision: Decision | None
    ) -> None:
        poison = request.body_digest == _POISON
        if isinstance(decision, Placed):
            self._start(entry, request, decision)
        elif isinstance(decision, Refusal):
            if decision.reason is RefusalReason.QUARANTINED:
                self.refused[poison] += 1
            if poison:
                # The caller retries after a short fixed delay, ignoring Retry-After.
                retry_at = self._now + 0.5
                self._schedule(retry_at, lambda: self._send_poison(entry))

    def _start(self, entry: int, request: WorkRequest, placed: Placed) -> None:
        incarnation = self._incarnations[placed.target]
        if incarnation != placed.incarnation:
            report = AttemptReport(AttemptResult.NOT_STARTED, "wrong-incarnation")
            self._finish(entry, request, report)
            return
        running = self._running.setdefault(placed.target, {})
        running[request.request_id] = (entry, request)
        if request.body_digest == _POISON:
            self._schedule(
                self._now + _CRASH_S, lambda: self._crash(placed.target, incarnation)
            )
        else:
            self._schedule(
                self._now + _RUN_S, lambda: self._answer(placed.target, request)
            )

    def _answer(self, target: str, request: WorkRequest) -> None:
        found = self._running.get(target, {}).pop(request.request_id, None)
        if found is not None:
            self.answered += 1
            report = AttemptReport(AttemptResult.ANSWERED, latency_s=0.1)
            self._finish(found[0], request, report)

    def _crash(self, target: str, incarnation: int) -> None:
        if self._incarnations[target] != incarnation:
            return
        self.crashed.append(target)
        self._incarnations[target] = incarnation + 1
        lost = list(self._running.pop(target, {}).values())
        report = AttemptReport(AttemptResult.BROKEN, "target-broken")
        for scheduler in self._entries:
            scheduler.disconnect_target(target)
        for entry, request in lost:
            self._finish(entry, request, report)
        self._schedule(
            self._now + _RESTART_S, lambda: self._connect(target, incarnation + 1)
        )

    def _connect(self, target: str, incarnation: int) -> None:
        for scheduler in self._entries:
            scheduler.connect_target(TargetInfo(target, "draft", "a", incarnation))

    def _finish(self, entry: int, request: WorkRequest, report: AttemptReport) -> None:
        decision = self._entries[entry].finish(
            request.request_id, report, now=self._now
        )
        self._handle_decision(entry, request, decision)
        self._collect(entry)

    def _collect(self, entry: int) -> None:
        for request_id, decision in self._entries[entry].collect(now=self._now):
            self._handle_decision(entry, self._requests[request_id], decision)


CASES = (
    Case(entries=1, copies=1, protected=False),
    Case(entries=1, copies=1),
    Case(entries=1, copies=3),
    Case(entries=3, copies=1, protected=False),
    Case(entries=3, copies=1, shared=False),
    Case(entries=3, copies=1),
    Case(entries=3, copies=3),
)


def main(arguments: Sequence[str]) -> int:
    """Run all cases and print a table."""
    options = parse_options("poison", arguments)
    rows = [PoisonRun(case, seed=options.seed).run() for case in CASES]
    print_table(rows)
    write_json(options.json, [asdict(row) for row in rows])
    return 0

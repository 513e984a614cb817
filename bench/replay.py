"""Replay a timed workload against schedulers and fake targets, without sockets."""

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Protocol

from hyssopvane._internal.models.refusals import Refusal, RefusalReason
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Decision,
    LoadReport,
    Placed,
    TargetInfo,
    WorkRequest,
)

_COLLECT_INTERVAL_S = 0.05
_LOAD_INTERVAL_S = 0.5


class SchedulerLike(Protocol):
    """Define the methods that a replay needs from a scheduler or a baseline."""

    def connect_target(self, info: TargetInfo) -> None:
        """Make a target available for placement."""

    def disconnect_target(self, name: str) -> None:
        """Remove a target from placement."""

    def observe_load(self, name: str, report: LoadReport) -> None:
        """Record a target's load report."""

    def submit(self, request: WorkRequest, *, now: float) -> Decision:
        """Place, queue or refuse a new request."""

    def finish(
        self, request_id: str, report: AttemptReport, *, now: float
    ) -> Decision | None:
        """Record the end of an attempt; return the next decision, if any."""

    def withdraw(self, request_id: str) -> None:
        """Remove a request whose caller has disconnected."""

    def collect(self, *, now: float) -> list[tuple[str, Decision]]:
        """Return new decisions about queued requests."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe the arrival of one request at one entry."""

    at: float
    request: WorkRequest
    entry: int = 0
    leaves_at: float | None = None
    """Time at which the caller disconnects, if it does."""


@dataclass(slots=True)
class Result:
    """Record the outcome of one request."""

    arrival: Arrival
    decided_at: float = 0.0
    """Time at which the request was first sent to a target, or refused."""
    finished_at: float | None = None
    """Time at which the answer was complete."""
    refusal: RefusalReason | None = None
    retry_after_s: float | None = None
    attempts: int = 0
    target: str = ""

    @property
    def in_time(self) -> bool:
        """Return whether the answer was complete by the deadline."""
        deadline = self.arrival.request.deadline
        return self.finished_at is not None and self.finished_at <= deadline

    @property
    def wait_s(self) -> float:
        """Return the seconds from arrival to the first placement or the refusal."""
        return self.decided_at - self.arrival.at


@dataclass(slots=True)
class _Job:
    entry: int
    request: WorkRequest
    sent_at: float
    attempt: int
    started_at: float | None = None
    ended: bool = False


@dataclass(slots=True)
class FakeTarget:
    """Simulate a target with slots of equal speed and a FIFO backlog."""

    info: TargetInfo
    slots: int = 32
    tokens_per_s: float = 3_200.0
    """Tokens per second of all slots together."""
    start_s: float = 0.05
    slowness: float = 1.0
    """Factor on all durations; 2 takes twice as long."""
    alive: bool = True
    running: set[str] = field(default_factory=set)
    jobs: dict[str, _Job] = field(default_factory=dict)
    backlog: deque[str] = field(default_factory=deque)

    def get_service_time(self, request: WorkRequest) -> float:
        """Return the seconds that a request occupies a slot."""
        per_slot = self.tokens_per_s / self.slots
        return (self.start_s + request.tokens / per_slot) * self.slowness

    def report_load(self) -> LoadReport:
        """Return the load that the target's agent would report."""
        tokens = sum(job.request.tokens for job in self.jobs.values())
        return LoadReport(running=len(self.jobs), tokens_in_flight=tokens)


class Replay:
    """Drive schedulers and fake targets from one event queue."""

    def __init__(
        self,
        schedulers: Sequence[SchedulerLike],
        targets: Iterable[FakeTarget],
        *,
        load_lag_s: float = 0.5,
    ) -> None:
        self.schedulers = list(schedulers)
        self.targets = {target.info.name: target for target in targets}
        self.results: dict[str, Result] = {}
        self.now = 0.0
        self._load_lag_s = load_lag_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._open: set[str] = set()
        for name in self.targets:
            self.connect(name)

    def connect(self, name: str) -> None:
        """Connect a target to every scheduler."""
        self.targets[name].alive = True
        for scheduler in self.schedulers:
            scheduler.connect_target(self.targets[name].info)

    def kill(self, name: str) -> None:
        """Kill a target: its requests are lost and its connections close."""
        target = self.targets[name]
        target.alive = False
        lost = list(target.jobs.values())
        target.jobs.clear()
        target.running.clear()
        target.backlog.clear()
        for scheduler in self.schedulers:
            scheduler.disconnect_target(name)
        for job in lost:
            job.ended = True
            self._finish(job, AttemptReport(AttemptResult.LOST, "connection-lost"))

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Schedule an action for a simulated time."""
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def run(self, arrivals: Iterable[Arrival], *, until: float) -> list[Result]:
        """Run until a simulated time; return the results in order of arrival."""
        for arrival in arrivals:
            self.schedule(arrival.at, partial(self._submit, arrival))
        self.schedule(_COLLECT_INTERVAL_S, self._collect_all)
        self.schedule(_LOAD_INTERVAL_S, self._report_loads)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return list(self.results.values())

    def _submit(self, arrival: Arrival) -> None:
        request = arrival.request
        self.results[request.request_id] = Result(arrival)
        self._open.add(request.request_id)
        decision = self.schedulers[arrival.entry].submit(request, now=self.now)
        self._handle_decision(arrival.entry, request.request_id, decision)
        if arrival.leaves_at is not None:
            self.schedule(arrival.leaves_at, partial(self._withdraw, arrival))

    def _handle_decision(self, entry: int, request_id: str, decision: Decision) -> None:
        result = self.results[request_id]
        if isinstance(decision, Refusal):
            self._open.discard(request_id)
            result.refusal = decision.reason
            result.retry_after_s = decision.retry_after_s
            if not result.attempts:
                result.decided_at = self.now
        elif isinstance(decision, Placed):
            if not result.attempts:
                result.decided_at = self.now
            result.attempts = decision.attempt
            result.target = decision.target
            self._send(entry, result.arrival.request, decision)

    def _send(self, entry: int, request: WorkRequest, placed: Placed) -> None:
        job = _Job(entry, request, self.now, placed.attempt)
        target = self.targets[placed.target]
        if not target.alive:
            report = AttemptReport(AttemptResult.NOT_STARTED, "not-connected")
            self.schedule(self.now, partial(self._finish, job, report))
            return
        target.jobs[request.request_id] = job
        target.backlog.append(request.request_id)
        self._start_jobs(target)
        self.schedule(request.deadline, partial(self._expire, target, job))

    def _start_jobs(self, target: FakeTarget) -> None:
        while target.backlog and len(target.running) < target.slots:
            request_id = target.backlog.popleft()
            job = target.jobs.get(request_id)
            if job is None:
                continue
            job.started_at = self.now
            target.running.add(request_id)
            ends_at = self.now + target.get_service_time(job.request)
            self.schedule(ends_at, partial(self._answer, target, job))

    def _answer(self, target: FakeTarget, job: _Job) -> None:
        if job.ended:
            return
        self._remove(target, job)
        self._open.discard(job.request.request_id)
        self.results[job.request.request_id].finished_at = self.now
        started_at = job.started_at if job.started_at is not None else self.now
        latency_s = started_at + target.start_s * target.slowness - job.sent_at
        self._finish(job, AttemptReport(AttemptResult.ANSWERED, latency_s=latency_s))

    def _expire(self, target: FakeTarget, job: _Job) -> None:
        if job.ended:
            return
        self._remove(target, job)
        self._open.discard(job.request.request_id)
        result = self.results[job.request.request_id]
        result.refusal = RefusalReason.DEADLINE_PASSED
        self._finish(job, AttemptReport(AttemptResult.CANCELLED, "deadline"))

    def _remove(self, target: FakeTarget, job: _Job) -> None:
        job.ended = True
        target.jobs.pop(job.request.request_id, None)
        target.running.discard(job.request.request_id)
        self._start_jobs(target)

    def _finish(self, job: _Job, report: AttemptReport) -> None:
        request_id = job.request.request_id
        scheduler = self.schedulers[job.entry]
        decision = scheduler.finish(request_id, report, now=self.now)
        if decision is not None:
            self._handle_decision(job.entry, request_id, decision)
        elif request_id in self._open:
            self._open.discard(request_id)
            self.results[request_id].refusal = RefusalReason.TARGET_LOST
        self._collect(job.entry)

    def _withdraw(self, arrival: Arrival) -> None:
        request_id = arrival.request.request_id
        if request_id not in self._open:
            return
        self._open.discard(request_id)
        self.results[request_id].refusal = RefusalReason.CALLER_GONE
        for target in self.targets.values():
            job = target.jobs.get(request_id)
            if job is not None:
                self._remove(target, job)
        self.schedulers[arrival.entry].withdraw(request_id)
        self._collect(arrival.entry)

    def _collect(self, entry: int) -> None:
        for request_id, decision in self.schedulers[entry].collect(now=self.now):
            self._handle_decision(entry, request_id, decision)

    def _collect_all(self) -> None:
        for entry in range(len(self.schedulers)):
            self._collect(entry)
        self.schedule(self.now + _COLLECT_INTERVAL_S, self._collect_all)

    def _report_loads(self) -> None:
        for name, target in self.targets.items():
            if target.alive:
                report = target.report_load()
                self.schedule(
                    self.now + self._load_lag_s,
                    partial(self._observe, name, report),
                )
        self.schedule(self.now + _LOAD_INTERVAL_S, self._report_loads)

    def _observe(self, name: str, report: LoadReport) -> None:
        if self.targets[name].alive:
            for scheduler in self.schedulers:
                scheduler.observe_load(name, report)

"""Define baseline schedulers: bounded and unbounded FIFO, and no admission control."""

from abc import ABC, abstractmethod
from collections import OrderedDict

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Decision,
    LoadReport,
    Placed,
    TargetInfo,
    Waiting,
    WorkRequest,
)

_MAX_ATTEMPTS = 3


class Baseline(ABC):
    """Place on the target with the fewest requests; subclasses limit the queue."""

    def __init__(self, *, concurrency: int) -> None:
        self._concurrency = concurrency
        self._targets: dict[str, TargetInfo] = {}
        self._in_flight: dict[str, int] = {}
        self._requests: dict[str, WorkRequest] = {}
        self._placed: dict[str, str] = {}
        self._attempts: dict[str, int] = {}
        self._queue: OrderedDict[str, None] = OrderedDict()

    @abstractmethod
    def may_wait(self) -> bool:
        """Return whether one more request may be queued."""

    def connect_target(self, info: TargetInfo) -> None:
        """Make a target available for placement."""
        self._targets[info.name] = info
        self._in_flight.setdefault(info.name, 0)

    def disconnect_target(self, name: str) -> None:
        """Remove a target from placement."""
        self._targets.pop(name, None)

    def observe_load(self, name: str, report: LoadReport) -> None:
        """Ignore the load report of a target."""
        return None

    def submit(self, request: WorkRequest, *, now: float) -> Decision:
        """Place, queue or refuse a new request."""
        self._requests[request.request_id] = request
        placed = None if self._queue else self._place(request.request_id)
        if placed is not None:
            return placed
        if not self.may_wait():
            del self._requests[request.request_id]
            return Refusal(RefusalReason.QUEUE_FULL, Outcome.NOT_RUN, 1.0)
        self._queue[request.request_id] = None
        return Waiting()

    def finish(
        self, request_id: str, report: AttemptReport, *, now: float
    ) -> Decision | None:
        """Free the slot; queue the request for a retry if that is safe."""
        self._in_flight[self._placed.pop(request_id)] -= 1
        should_retry = report.result is AttemptResult.NOT_STARTED or (
            report.result is AttemptResult.LOST
            and self._requests[request_id].repeatable
        )
        if not should_retry or self._attempts[request_id] >= _MAX_ATTEMPTS:
            self.withdraw(request_id)
            return None
        self._queue[request_id] = None
        self._queue.move_to_end(request_id, last=False)
        return Waiting()

    def withdraw(self, request_id: str) -> None:
        """Remove a request and free its slot."""
        self._queue.pop(request_id, None)
        self._requests.pop(request_id, None)
        self._attempts.pop(request_id, None)
        target = self._placed.pop(request_id, None)
        if target is not None:
            self._in_flight[target] -= 1

    def collect(self, *, now: float) -> list[tuple[str, Decision]]:
        """Place queued requests in FIFO order; refuse those past their deadline."""
        decided: list[tuple[str, Decision]] = []
        while self._queue:
            request_id = next(iter(self._queue))
            decision: Decision | None
            if now >= self._requests[request_id].deadline:
                decision = Refusal(RefusalReason.DEADLINE_UNREACHABLE, Outcome.NOT_RUN)
                self.withdraw(request_id)
            else:
                decision = self._place(request_id)
            if decision is None:
                break
            self._queue.pop(request_id, None)
            decided.append((request_id, decision))
        return decided

    def _place(self, request_id: str) -> Placed | None:
        service = self._requests[request_id].service
        open_names = [
            name
            for name, info in self._targets.items()
            if info.service == service and self._in_flight[name] < self._concurrency
        ]
        if not open_names:
            return None
        name = min(open_names, key=self._in_flight.__getitem__)
        self._in_flight[name] += 1
        self._placed[request_id] = name
        self._attempts[request_id] = self._attempts.get(request_id, 0) + 1
        return Placed(name, self._targets[name].incarnation, self._attempts[request_id])


class FifoUnbounded(Baseline):
    """Queue any number of requests in order of arrival."""

    def may_wait(self) -> bool:
        """Return true, as the queue is unbounded."""
        return True


class FifoBounded(Baseline):
    """Queue up to `limit` requests in order of arrival."""

    def __init__(self, *, concurrency: int, limit: int) -> None:
        super().__init__(concurrency=concurrency)
        self._limit = limit

    def may_wait(self) -> bool:
        """Return whether the queue is below its limit."""
        return len(self._queue) < self._limit


class NoAdmission(FifoUnbounded):
    """Send every request immediately, so that queues build up at the targets."""

    def __init__(self) -> None:
        super().__init__(concurrency=1_000_000_000)

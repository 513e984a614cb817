"""Decide when and where each request of an entry runs."""

import math
from dataclasses import dataclass
from random import Random

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.policy.admission import Admission, clamp_retry_after
from hyssopvane._internal.policy.attempts import AttemptPlanner
from hyssopvane._internal.policy.measures import ServiceMeter
from hyssopvane._internal.policy.queueing import (
    LOWER_PRIORITY_SHARE,
    FairQueue,
    QueuedItem,
)
from hyssopvane._internal.policy.retries import RetryAt
from hyssopvane._internal.state.table import ServiceRow, Table
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

_NO_TARGET_RETRY_AFTER_S = 1.0

# Factor on the predicted wait at arrival. Predictions are noisy; with a quarter more,
# few of the admitted requests are refused later, after waiting in vain.
_ARRIVAL_WAIT_MARGIN = 1.25
# Maximum predicted run time as a fraction of the time that a caller allows. The
# prediction is a rough guess from the size of the body; with at most half of the time,
# a request that starts promptly is never refused for it.
_MAX_RUN_SHARE = 0.5
# Interval between scans of the queue, in seconds. A scan costs about a microsecond per
# request: four times a second, a full queue of a thousand costs well under a hundredth
# of a core.
_REVIEW_INTERVAL_S = 0.25
# Share of the queue that is open to all customers. The last tenth is reserved for
# customers within their share when one customer fills the queue. Otherwise each of
# their requests would displace one that has waited, whose caller would be refused late
# instead of at once.
_UNRESERVED_QUEUE_SHARE = 0.9
# Jitter of Retry-After as a fraction: callers refused in one burst would otherwise
# return in one burst.
_RETRY_JITTER = 0.5

# Results of attempts that say nothing about how long a request holds its slot.
_UNTIMED_RESULTS = frozenset({AttemptResult.NOT_STARTED, AttemptResult.LOST})


@dataclass(slots=True)
class _Request:
    request: WorkRequest
    tokens: int
    arrived_at: float = 0.0
    sent_at: float = 0.0
    running: bool = False


class _Service:
    """Hold the queue and measurements of one service at this entry."""

    def __init__(self, name: str) -> None:
        self.row = ServiceRow(name)
        self.queue = FairQueue()
        self.meter = ServiceMeter()
        # Requests to be retried, and crash suspects. They have already waited their
        # turn, so they go first. Each may be excluded from targets that others may use,
        # so one that finds no target must not block the queue.
        self.retry_queue: dict[str, _Request] = {}
        self.reviewed_at = 0.0


class Scheduler:
    """Queue the requests of one entry and assign them to targets.

    The caller passes the current time.
    """

    def __init__(self, *, random: Random, availability_zone: str = "") -> None:
        self._random = random
        self.planner = AttemptPlanner(
            random=random, availability_zone=availability_zone
        )
        self._now = 0.0
        self._requests: dict[str, _Request] = {}
        self._services: dict[str, _Service] = {}
        self._decided: list[tuple[str, Decision]] = []
        self.admission = Admission()

    def update_table(self, table: Table, *, now: float) -> None:
        """Apply the weights and limits of the current table."""
        self._now = now
        self.planner.update_table(table)
        self.admission.update_rows(table.customers)
        for name in table.services.keys() | self._services.keys():
            self._get_service(name).row = table.services.get(name, ServiceRow(name))

    def connect_target(self, info: TargetInfo) -> None:
        """Add a connected target, which may get work from now on."""
        self.planner.connect(info, now=self._now)

    def disconnect_target(self, name: str) -> None:
        """Remove a target, which gets no more work."""
        self.planner.disconnect(name)

    def observe_load(self, name: str, report: LoadReport) -> None:
        """Record a load report from a target's agent."""
        self.planner.observe_load(name, report, now=self._now)

    def submit(self, request: WorkRequest, *, now: float) -> Decision:
        """Place, queue or refuse a new request."""
        self._now = now
        refusal = self._refuse_on_arrival(request, now=now)
        if refusal is not None:
            return refusal
        service = self._get_service(request.service)
        entry = _Request(request, max(1, request.tokens), arrived_at=now)
        decision: Decision | None = None
        if self.planner.waits_on_own_condition(request, now=now):
            decision = self._hold_suspect(entry, service, now=now)
        elif not service.queue:
            # The queue is empty, so the request overtakes no other. Otherwise only the
            # queue decides which request is next: a newcomer that took a slot just
            # freed would starve the queue.
            decision = self._start(entry, now=now)
        if decision is None:
            decision = self._enqueue(entry, service, now=now)
        if not isinstance(decision, Refusal):
            self._requests[request.request_id] = entry
            self.admission.take(request.customer, entry.tokens)
            self.planner.add_fresh(request, now=now)
        return decision

    def finish(
        self, request_id: str, report: AttemptReport, *, now: float
    ) -> Decision | None:
        """Record the end of an attempt; return the next decision or None."""
        entry = self._requests.get(request_id)
        if entry is None:
            return None
        self._stop(entry, report, now=now)
        retry = self.planner.finish(request_id, report, now=now)
        if isinstance(retry, RetryAt):
            return self._retry(entry, now=now)
        self._remove(entry)
        return retry if isinstance(retry, Refusal) else None

    def withdraw(self, request_id: str) -> None:
        """Remove a request whose caller has disconnected."""
        entry = self._requests.get(request_id)
        if entry is None:
            return
        service = self._get_service(entry.request.service)
        service.queue.remove(request_id)
        service.retry_queue.pop(request_id, None)
        self._stop(entry, None, now=self._now)
        self._release(entry)
        self._remove(entry)

    def collect(self, *, now: float) -> list[tuple[str, Decision]]:
        """Return new decisions about waiting requests."""
        self._now = now
        for service in self._services.values():
            self._place_retries(service, now=now)
            self._place_queued(service, now=now)
            self._refuse_late_waiters(service, now=now)
        decided = self._decided
        self._decided = []
        return decided

    def count_requests(self) -> int:
        """Return the number of requests that wait or run."""
        return len(self._requests)

    def describe_targets(self) -> list[dict[str, object]]:
        """Return the state of each target."""
        return self.planner.placer.describe(now=self._now)

    def _refuse_on_arrival(self, request: WorkRequest, *, now: float) -> Refusal | None:
        if now >= request.deadline:
            return Refusal(RefusalReason.DEADLINE_UNREACHABLE, Outcome.NOT_RUN)
        if not self.planner.placer.has_target(request.service):
            return Refusal(
                RefusalReason.NO_TARGET,
                Outcome.NOT_RUN,
                self._add_jitter(_NO_TARGET_RETRY_AFTER_S),
            )
        service = self._get_service(request.service)
        return self.planner.refuse(request, now=now) or self.admission.check(
            request.customer,
            max(1, request.tokens),
            hold_s=service.meter.predict_hold_s(),
            now=now,
        )

    def _start(self, entry: _Request, *, now: float) -> Placed | Refusal | None:
        placed = self._place(entry, now=now)
        if isinstance(placed, Placed):
            entry.sent_at = now
            entry.running = True
            meter = self._get_service(entry.request.service).meter
            meter.count_start(
                entry.tokens,
                priority=entry.request.priority,
                customer=entry.request.customer,
                weight=self._get_weight(entry.request.customer),
                now=now,
            )
        return placed

    def _stop(
        self, entry: _Request, report: AttemptReport | None, *, now: float
    ) -> None:
        if entry.running:
            entry.running = False
            untimed = report is None or report.result in _UNTIMED_RESULTS
            self._get_service(entry.request.service).meter.count_end(
                entry.tokens, held_s=None if untimed else now - entry.sent_at
            )

    def _remove(self, entry: _Request) -> None:
        del self._requests[entry.request.request_id]
        self.admission.release(entry.request.customer, entry.tokens)

    def _hold_suspect(
        self, entry: _Request, service: _Service, *, now: float
    ) -> Waiting | Refusal:
        if len(service.retry_queue) >= service.row.queue_limit:
            return self._refuse_full(service, now=now)
        return self._enqueue_retry(entry)

    def _enqueue_retry(self, entry: _Request) -> Waiting:
        service = self._get_service(entry.request.service)
        service.retry_queue[entry.request.request_id] = entry
        return Waiting()

    def _enqueue(
        self, entry: _Request, service: _Service, *, now: float
    ) -> Waiting | Refusal:
        request = entry.request
        weight = self._get_weight(request.customer)
        item = QueuedItem(
            request_id=request.request_id,
            customer=request.customer,
            priority=request.priority,
            tokens=entry.tokens,
            deadline=request.deadline,
            arrived_at=now,
        )
        ahead = service.queue.count_ahead(
            item.customer, priority=item.priority, tokens=item.tokens
        )
        drain = self._measure_drain(service, item, now=now) if ahead else None
        wait_s = ahead * _ARRIVAL_WAIT_MARGIN / drain if drain else 0.0
        late_s = self._predict_lateness(service, item, wait_s, now=now)
        if late_s > 0:
            return self._refuse_late(late_s)
        return self._enqueue_within_limits(service, item, weight, now=now)

    def _enqueue_within_limits(
        self, service: _Service, item: QueuedItem, weight: float, *, now: float
    ) -> Waiting | Refusal:
        queue, row = service.queue, service.row
        if item.tokens > row.queue_token_limit or not row.queue_limit:
            return self._refuse_full(service, now=now)
        for in_tokens, used, limit in (
            (False, len(queue) + 1, row.queue_limit),
            (True, queue.tokens + item.tokens, row.queue_token_limit),
        ):
            open_limit = math.ceil(limit * _UNRESERVED_QUEUE_SHARE)
            if used > open_limit and queue.is_above_share(
                item, weight=weight, limit=open_limit, in_tokens=in_tokens
            ):
                return self._refuse_full(service, now=now)
        while len(queue) >= row.queue_limit or (
            queue.tokens + item.tokens > row.queue_token_limit
        ):
            in_tokens = len(queue) < row.queue_limit
            victim = queue.choose_victim(
                item,
                weight=weight,
                limit=row.queue_token_limit if in_tokens else row.queue_limit,
                in_tokens=in_tokens,
            )
            if victim is item:
                return self._refuse_full(service, now=now)
            self._drop(service, victim, self._refuse_full(service, now=now))
        queue.add(item, weight=weight)
        return Waiting()

    def _predict_lateness(
        self, service: _Service, item: QueuedItem, wait_s: float, *, now: float
    ) -> float:
        """Return the seconds by which a waiting request would miss its deadline.

        Under load beyond capacity, a request that can't be answered in time would take
        a slot from one that can, and its caller would get the refusal only at the
        deadline. Until there are measurements, only the limits of the queue apply.
        """
        run_s = min(
            service.meter.predict_run_s(item.tokens),
            _MAX_RUN_SHARE * (item.deadline - item.arrived_at),
        )
        return now + wait_s + run_s - item.deadline

    def _measure_drain(
        self, service: _Service, item: QueuedItem, *, now: float
    ) -> float | None:
        return service.meter.measure_flow_drain(
            item.priority,
            item.customer,
            weight=self._get_weight(item.customer),
            floor=LOWER_PRIORITY_SHARE,
            now=now,
        )

    def _refuse_late(self, late_s: float) -> Refusal:
        return Refusal(
            RefusalReason.DEADLINE_UNREACHABLE,
            Outcome.NOT_RUN,
            self._add_jitter(late_s),
        )

    def _refuse_full(self, service: _Service, *, now: float) -> Refusal:
        drain = service.meter.measure_drain()
        wait_s = service.queue.tokens / drain if drain else 0.0
        return Refusal(
            RefusalReason.QUEUE_FULL, Outcome.NOT_RUN, self._add_jitter(wait_s)
        )

    def _add_jitter(self, wait_s: float) -> float:
        """Return a Retry-After with jitter, so that not all callers return at once."""
        return clamp_retry_after(wait_s) * (1 + _RETRY_JITTER * self._random.random())

    def _drop(self, service: _Service, item: QueuedItem, refusal: Refusal) -> None:
        service.queue.remove(item.request_id)
        self._remove(self._requests[item.request_id])
        self._decided.append((item.request_id, refusal))

    def _place_retries(self, service: _Service, *, now: float) -> None:
        for request_id, entry in list(service.retry_queue.items()):
            decision: Decision | None = None
            if now >= entry.request.deadline:
                outcome = self.planner.get_outcome(request_id)
                decision = Refusal(RefusalReason.DEADLINE_UNREACHABLE, outcome)
            else:
                decision = self._start(entry, now=now)
            if decision is not None:
                del service.retry_queue[request_id]
                if isinstance(decision, Refusal):
                    self._release(entry)
                    self._remove(entry)
                self._decided.append((request_id, decision))

    def _place_queued(self, service: _Service, *, now: float) -> None:
        while (item := service.queue.peek()) is not None:
            late_s = self._predict_lateness(service, item, 0.0, now=now)
            if late_s > 0:
                # It would hold a slot and still miss its deadline.
                self._drop(service, item, self._refuse_late(late_s))
                continue
            entry = self._requests[item.request_id]
            placed = self._start(entry, now=now)
            if placed is None and not self.planner.waits_on_own_condition(
                entry.request, now=now
            ):
                return
            service.queue.pop()
            if placed is None:
                # It became a crash suspect while it waited.
                service.retry_queue[item.request_id] = entry
                continue
            if isinstance(placed, Refusal):
                self._remove(entry)
            self._decided.append((item.request_id, placed))

    def _refuse_late_waiters(self, service: _Service, *, now: float) -> None:
        """Refuse waiting requests that will no longer start in time.

        This covers a loss of capacity, such as half of the targets at once. Requests
        admitted before would otherwise be refused only at their deadlines, and prevent
        others from a wait that they can afford.
        """
        if now - service.reviewed_at < _REVIEW_INTERVAL_S:
            return
        service.reviewed_at = now
        service.meter.refresh_active(now=now)
        drains: dict[tuple[int, str], float | None] = {}
        for item, ahead in service.queue.predict_waits():
            flow = (item.priority, item.customer)
            if flow not in drains:
                drains[flow] = self._measure_drain(service, item, now=now)
            wait_s = ahead / (drains[flow] or math.inf)
            late_s = self._predict_lateness(service, item, wait_s, now=now)
            if late_s > 0:
                self._drop(service, item, self._refuse_late(late_s))

    def _get_weight(self, customer: str) -> float:
        return float(self.admission.get_row(customer).weight)

    def _get_service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(name)
        return service

    def _retry(self, entry: _Request, *, now: float) -> Decision:
        placed = self._start(entry, now=now)
        if isinstance(placed, Refusal):
            self._remove(entry)
        return placed or self._enqueue_retry(entry)

    def _place(self, entry: _Request, *, now: float) -> Placed | Refusal | None:
        return self.planner.place(entry.request, now=now)

    def _release(self, entry: _Request) -> None:
        self.planner.discard(entry.request, now=self._now)

"""Forward one request to a replica and its answer to the caller."""

from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any

import trio

from hyssopvane._internal.models.direct_refusals import (
    NOT_RUN_STATUSES,
    DirectAnswer,
    DirectRefusal,
)
from hyssopvane._internal.policy.caller_patience import (
    has_waited_before,
    measure_leave_at,
)
from hyssopvane._internal.policy.gate_decisions import (
    Assignment,
    QueuedRequest,
    Rejection,
)
from hyssopvane._internal.policy.queueing import QueuedItem
from hyssopvane._internal.policy.request_priority import rank_request
from hyssopvane._internal.policy.running_attempts import MIN_SERVE_S
from hyssopvane._internal.policy.stream_pauses import StreamPauses
from hyssopvane._internal.protocol.event_stream import (
    EventSplitter,
    EventTooLarge,
    StreamEvent,
    list_slices,
)
from hyssopvane._internal.protocol.headers import RETRY_AFTER
from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.protocol.replica_headers import (
    encode_priority,
    select_for_caller,
    select_for_replica,
)
from hyssopvane._internal.roles.call import AnswerCut
from hyssopvane._internal.roles.crash_evidence import CrashEvidence
from hyssopvane._internal.roles.direct_answer import send_answer
from hyssopvane._internal.roles.direct_request import (
    CallDependencies,
    CallPhase,
    DirectRequest,
)
from hyssopvane._internal.roles.replica_reports import MISDIRECTED, ReplicaReports
from hyssopvane._internal.roles.stalled_request import StalledRequestMover
from hyssopvane._internal.state.routing import (
    Replica,
    RequestKind,
)
from hyssopvane._internal.transport.replica_client import (
    CallWithdrawn,
    CancelledCall,
    ReplicaFailed,
    ReplicaLost,
    ReplicaRefused,
    ReplicaResponse,
    ReplicaUnreachable,
)
from hyssopvane._internal.utils.logs import log_event

MAX_PLAIN_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of an answer that is not streamed; it is buffered before forwarding."""

ON_TIME_WAIT_SHARE = 0.4
"""Share of the objective that a request may wait and still be answered in time.

The remainder is for prompt processing and the first pass: about 0.2 s of 0.5 s.
"""

MAX_WAIT_SHARE = 2.4
"""Multiple of the objective after which a request that is not assigned is refused.

The expert map follows a change of demand within about a second; until then a group
accepts a third less. A request that waits that long is answered late. A caller that is
refused at once retries in the same second and may be refused again.
"""

RESUME_WAIT_S = 1.0
"""Minimum time that a broken stream waits for another replica."""

FULL_REST_S = 0.1
"""Time for which a replica that reported being full gets no request."""

TRIAL_WAIT_S = 1.0
"""Maximum wait for a trial of another request with the same part of the prompt."""

TRIAL_RETRY_AFTER_S = 1.0
"""Retry-After for a request that waited in vain for such a trial."""

MIN_SEND_S = 0.02
"""Minimum time before the deadline at which a request is still sent."""

NOT_RUN_RETRY_AFTER_S = 0.3
"""Retry-After for a request that no replica accepted."""

LEAVING_RETRY_AFTER_S = 0.05
"""Short, since a new connection reaches another entry at once."""

_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_OK = range(200, 300)
_SERVER_ERROR = 500
_MAX_LOGGED_BYTES = 20
"""Maximum length of a header value in a log line."""


class _AttemptFailed(Exception):
    """Report that an attempt failed, and whether the request may have run."""

    def __init__(
        self, why: str, *, not_run: bool, failed: bool = True, retry_after: str = "-"
    ) -> None:
        super().__init__(why)
        self.not_run = not_run
        self.failed = failed
        """Whether the failure counts against the replica."""
        self.retry_after = retry_after
        """Value of the Retry-After header of the answer, as received."""


class _Withdrawn(Exception):
    """Report that a request was not sent since its replica accepts no more."""


class DirectCall:
    """Run one request with its retries until the caller has an answer."""

    def __init__(
        self,
        request: DirectRequest,
        dependencies: CallDependencies,
        send: Any,
        *,
        keep_answer: Callable[[int], None] = lambda size: None,
    ) -> None:
        self._request = request
        self._dependencies = dependencies
        self._send = send
        self._keep_answer = keep_answer
        """Counts the bytes of the last answer that was read whole."""
        self._reports = ReplicaReports(request, dependencies)
        self._replica: Replica | None = None
        """Replica of the last attempt."""
        self._evidence = CrashEvidence(
            request.identity,
            account=dependencies.crashes,
            gates=dependencies.gates,
        )
        self._has_waited_before = has_waited_before(
            request.route,
            resumes=any(
                name == dependencies.names.resume_after for name, _ in request.headers
            ),
            left_s=request.caller_deadline - request.arrived_at,
        )
        self._stream_started = False
        self._last_event_id: bytes | None = None
        self._last_answer: tuple[int, Headers, bytes] | None = None
        self._mover = StalledRequestMover(
            request,
            dependencies,
            wait_for_place=partial(self._wait_for_assignment, moving=True),
            take_repeat=self._take_repeat_for_move,
            get_leave_at=self._measure_leave_at,
        )
        self.outcome = "cut"
        self.phase = CallPhase.WAITING
        self.replica_id = ""
        self.status = 0
        self.first_byte_at: float | None = None
        self.placed_at: float | None = None
        self.sent_at: float | None = None
        """Time at which the last attempt began to be sent."""
        self.predicted_s: float | None = None
        """Wait for the first place as predicted, None if there was no prediction."""
        self.retry_after_s: float | None = None
        """Retry-After of the entry's own answer."""
        self.room_s: float | None = None
        """Predicted time until there is room for a retry."""
        self.pauses = StreamPauses()
        self.ended = False
        self._waiting = trio.CancelScope()
        """Ends the wait for a replica when the entry shuts down."""

    async def run(self) -> None:
        """Answer the caller; raise `AnswerCut` if a started answer breaks off."""
        try:
            with trio.move_on_at(self._request.deadline):
                await self._run()
                if self.outcome == "answered" and self.sent_at is not None:
                    self._dependencies.departure.record_answer(
                        self._request.route.name, trio.current_time() - self.sent_at
                    )
                return
        finally:
            self._mover.release_next_place()
            self._evidence.end_trial()
        await self._give_up(self._decide_timeout())

    def begin_departure(self) -> None:
        """Bound the wait for a replica, as the entry shuts down."""
        self._waiting.deadline = self._measure_send_by()

    def describe_silence(self) -> dict[str, object]:
        """Return how long the last replica has been silent, for the log."""
        if self._replica is None:
            return {}
        gate = self._dependencies.gates.get_gate(self._request.service)
        now = trio.current_time()
        load = gate.find_load(self._replica)
        return {
            "vm_age_ms": -1 if load is None else _to_age_ms(load.observed_at, now),
            "answer_age_ms": -1 if load is None else _to_age_ms(load.answered_at, now),
            "silent": gate.count_silent(self._replica, now),
            "stall": self._mover.describe(),
            "unreached": load is not None and load.is_unreached(now),
        }

    def is_at_silent_vm(self) -> bool:
        """Return whether a replica that is not heard has the request."""
        if self._replica is None or self.phase is CallPhase.WAITING:
            return False
        gate = self._dependencies.gates.get_gate(self._request.service)
        return not gate.is_heard(self._replica, trio.current_time())

    async def _run(self) -> None:
        request = self._request
        while True:
            self.phase = CallPhase.WAITING
            decision = self._mover.take_next_place() or await self._wait_to_send()
            if isinstance(decision, Rejection):
                await self._give_up(self._describe_rejection(decision))
                return
            try:
                await self._attempt(decision.replica)
                return
            except _Withdrawn:
                self._dependencies.metrics.count_event("request-withdrawn")
                log_event(
                    "info",
                    "request-withdrawn",
                    request=request.request_id,
                    replica=decision.replica.id,
                )
            except _AttemptFailed as failure:
                log_event(
                    "info",
                    "attempt-failed",
                    request=request.request_id,
                    replica=decision.replica.id,
                    why=str(failure),
                    not_run=failure.not_run,
                    attempts=request.attempts,
                    retry_after=failure.retry_after,
                    body=request.identity.body.digest.hex(),
                    parts=request.describe_parts(),
                )
                request.may_have_run |= not failure.not_run
                if not self._may_repeat(failure):
                    await self._give_up(self._describe_failure())
                    return
                self._dependencies.metrics.count_retry(str(failure).split(":")[0])

    async def _wait_to_send(self) -> Assignment | Rejection:
        """Wait for a replica, or until the entry could not pass on the answer."""
        send_by = self._measure_send_by()
        if trio.current_time() < send_by:
            with trio.CancelScope(deadline=send_by) as self._waiting:
                return await self._wait_for_assignment()
        return Rejection(
            self._request.request_id, DirectRefusal.LEAVING, LEAVING_RETRY_AFTER_S
        )

    def _measure_send_by(self) -> float:
        """Return the time until which the request can be sent."""
        request = self._request
        if request.may_have_run or self._stream_started:
            # It can't be refused any more.
            return inf
        return self._dependencies.departure.measure_send_by(request.route.name)

    async def _wait_for_assignment(
        self, *, moving: bool = False
    ) -> Assignment | Rejection:
        request = self._request
        now = trio.current_time()
        if self._evidence.is_refused():
            return self._reject_as_crashing()
        objective_s = request.route.objective_s
        late_at = request.arrived_at + objective_s * ON_TIME_WAIT_SHARE
        refuse_at = request.arrived_at + objective_s * MAX_WAIT_SHARE
        if request.attempts or self._stream_started:
            refuse_at = max(refuse_at, now + RESUME_WAIT_S)
        if moving:
            # Behind all requests that can still be on time, a stream would hardly move
            # before its caller leaves, and what was generated for it would be lost.
            late_at = refuse_at = self._measure_leave_at() - MIN_SERVE_S
        elif not await self._begin_trial(min(refuse_at, now + TRIAL_WAIT_S)):
            return Rejection(
                request.request_id, DirectRefusal.TRIAL_PENDING, TRIAL_RETRY_AFTER_S
            )
        if self._evidence.is_refused():
            return self._reject_as_crashing()
        gates = self._dependencies.gates
        item = QueuedItem(
            # The call itself may begin to wait while a search is being cancelled.
            request_id=f"{request.number}-moving" if moving else str(request.number),
            customer="" if request.customer is None else request.customer.name,
            priority=rank_request(
                request.route.priority,
                None if request.customer is None else request.customer.priority,
                by_route=gates.get_gate(request.service).is_prioritized,
            ),
            tokens=request.tokens,
            deadline=request.deadline,
            arrived_at=now,
        )
        waiting = QueuedRequest(
            item,
            late_at=late_at,
            refuse_at=min(refuse_at, request.deadline),
            prompt_tokens=request.prompt_tokens,
            avoid=self._evidence.list_avoided() | request.tried,
            identity=request.identity,
            moving=moving,
            zones=request.zones,
            started=bool(request.attempts) or self._stream_started,
            is_return=self._has_waited_before,
            hold_until=self._measure_leave_at() - MIN_SERVE_S,
        )
        decision = await gates.wait_for_assignment(request.service, waiting, weight=1.0)
        self._record_prediction(decision, waited_since=now)
        if not moving:
            self._record_return(decision, waited_since=now)
        return decision

    def _record_prediction(
        self, decision: Assignment | Rejection, *, waited_since: float
    ) -> None:
        if decision.predicted_s is None:
            return
        if not self._request.attempts:
            self.predicted_s = decision.predicted_s
        if isinstance(decision, Assignment):
            waited_s = trio.current_time() - waited_since
            self._dependencies.metrics.record_turn_error(
                service=self._request.service, seconds=waited_s - decision.predicted_s
            )

    def _record_return(
        self, decision: Assignment | Rejection, *, waited_since: float
    ) -> None:
        """Record what a caller finds that has most likely been refused before."""
        request = self._request
        if not self._has_waited_before or request.attempts:
            return
        if self._dependencies.gates.get_gate(request.service).fleet is not None:
            self._dependencies.metrics.record_return_wait(
                service=request.service,
                is_placed=isinstance(decision, Assignment),
                seconds=trio.current_time() - waited_since,
            )

    async def _begin_trial(self, until: float) -> bool:
        """Wait until the request may run; return False if it may not in time."""
        gate = self._dependencies.gates.get_gate(self._request.service)
        if gate.outages.in_outage:
            # The gate refuses it. Once the group is open, it is asked again before the
            # request is sent.
            return True
        return await self._evidence.begin_trial(until=until)

    def _measure_leave_at(self) -> float:
        """Return the time at which the caller leaves if it receives nothing more."""
        request = self._request
        last_at = self.pauses.last_at
        return measure_leave_at(
            request.route,
            waiting_since=request.arrived_at if last_at is None else last_at,
            deadline=request.deadline,
        )

    def _reject_as_crashing(self) -> Rejection:
        after_s = self._evidence.measure_refusal_s()
        return Rejection(self._request.request_id, DirectRefusal.CRASHING, after_s)

    async def _attempt(self, replica: Replica) -> None:
        request = self._request
        placed_at = trio.current_time()
        self.placed_at = self.placed_at or placed_at
        self._replica, self.replica_id = replica, replica.id
        failed, failed_since = True, None
        try:
            await self._exchange(replica)
            failed = False
        except _AttemptFailed as failure:
            request.tried.add(replica.incarnation)
            failed, failed_since = failure.failed, placed_at
            raise
        except _Withdrawn:
            failed, failed_since = False, placed_at
            raise
        except trio.Cancelled:
            # The caller left or the deadline passed; the replica did not fail.
            self._evidence.record_unanswered()
            failed = False
            raise
        finally:
            self._evidence.end()
            self._evidence.end_trial()
            self._mover.forget()
            self._dependencies.gates.finish(
                request.service, replica, failed=failed, failed_since=failed_since
            )

    async def _exchange(self, replica: Replica) -> None:
        request = self._request
        if request.deadline - trio.current_time() < MIN_SEND_S:
            raise _AttemptFailed("too-late", not_run=True, failed=False)
        request.attempts += 1
        self.phase = CallPhase.CONNECTING
        try:
            async with self._dependencies.client.call(
                replica.address,
                method=request.method,
                target=request.target,
                headers=self._make_headers(replica),
                body=request.body,
                service=request.service,
                presence=request.presence,
                # Opening a connection takes up to a second. In that time an answer to
                # another request may have changed whether the replica accepts any.
                may_send=partial(self._may_send, replica),
                observe_late=partial(self._reports.record_late, replica),
                observe_cancelled=partial(self._record_cancelled, replica),
            ) as response:
                self.phase = CallPhase.ANSWERING
                self._mover.record_received()
                self._mover.record_waiting()
                await self._relay(replica, response)
        except CallWithdrawn as error:
            request.attempts -= 1
            raise _Withdrawn from error
        except ReplicaUnreachable as error:
            if isinstance(error, ReplicaRefused):
                gate = self._dependencies.gates.get_gate(request.service)
                gate.cold.record_unreachable(replica, now=trio.current_time())
            raise _AttemptFailed(f"unreachable: {error}", not_run=True) from error
        except ReplicaFailed as error:
            if self._mover.is_moving:
                self._dependencies.metrics.count_event("stalled-moved")
                self._evidence.record_unanswered()
                raise _AttemptFailed(
                    "stalled: the VM is silent", not_run=False
                ) from error
            if self._mover.has_given_up:
                self._dependencies.metrics.count_event("stalled-ended")
                self._evidence.record_unanswered()
                raise _AttemptFailed(
                    "stalled: no other replica can answer in time", not_run=False
                ) from error
            if isinstance(error, ReplicaLost):
                self._evidence.record_loss(replica)
                cold = self._dependencies.gates.get_gate(request.service).cold
                if cold.is_on and not self._dependencies.client.has_idle(
                    replica.address
                ):
                    cold.record_lost(replica, now=trio.current_time())
            raise _AttemptFailed(f"failed: {error}", not_run=False) from error

    def _record_cancelled(self, replica: Replica, call: CancelledCall) -> None:
        # A replica that works on without having seen the end of this connection is
        # told apart from an entry that has not closed it.
        log_event(
            "info",
            "replica-call-cancelled",
            request=self._request.request_id,
            replica=replica.id,
            port=call.port,
            sent=call.sent,
            closed=call.closed,
            reset=call.reset,
        )

    def _may_send(self, replica: Replica, abort: Callable[[], None]) -> bool:
        gate = self._dependencies.gates.get_gate(self._request.service)
        allowed = gate.may_send(replica, trio.current_time())
        allowed = allowed and trio.current_time() < self._measure_send_by()
        # Another entry may have reported meanwhile that the request crashes replicas.
        allowed = allowed and self._evidence.may_run()
        # A request counts when it is sent, so its turn is taken last.
        has_survived = partial(gate.attempts.has_survived, replica)
        allowed = allowed and gate.cold.take_turn(
            replica, trio.current_time(), has_survived=has_survived
        )
        if allowed:
            self.phase = CallPhase.SENT
            self.sent_at = trio.current_time()
            if not gate.is_heard(replica, self.sent_at):
                self._dependencies.metrics.count_event("sent-to-silent-vm")
            self._evidence.begin(replica)
            self._mover.track(replica, abort)
        return allowed

    def _make_headers(self, replica: Replica) -> Headers:
        request, names = self._request, self._dependencies.names
        left_ms = int((request.caller_deadline - trio.current_time()) * 1_000)
        replaced: list[tuple[bytes, bytes]] = [
            (names.deadline_ms, str(max(1, left_ms)).encode()),
            (names.expected_replica, replica.id.encode()),
        ]
        if request.customer is not None:
            replaced.append((names.customer, request.customer.name.encode()))
        gate = self._dependencies.gates.get_gate(request.service)
        if gate.fleet is not None:
            replaced.append((names.priority, encode_priority(request.priority)))
        if self._last_event_id is not None:
            replaced.append((names.resume_after, self._last_event_id))
        headers = select_for_replica(request.headers, names, overrides=tuple(replaced))
        if request.body or request.method in _METHODS_WITH_BODY:
            headers += ((b"content-length", str(len(request.body)).encode()),)
        return headers

    async def _relay(self, replica: Replica, response: ReplicaResponse) -> None:
        names = self._dependencies.names
        echoed = response.fields.get(names.request_id, b"").decode("latin1")
        if echoed and echoed != self._request.request_id:
            raise ReplicaFailed("the answer belongs to another request")
        self._reports.record(replica, response)
        if echoed and response.status != MISDIRECTED:
            self._evidence.record_answer(replica)
        not_executed = names.not_executed in response.fields
        if not_executed and response.status in _OK:
            raise ReplicaFailed("a successful answer claims that nothing has run")
        if not_executed or response.status == MISDIRECTED:
            self._handle_refusal(replica, response)
        if not echoed:
            raise ReplicaFailed("the answer has no request ID")
        signed = names.signature in response.fields
        if response.status in _OK and not signed:
            raise ReplicaFailed("the successful answer has no signature")
        if b"content-encoding" in response.fields:
            raise ReplicaFailed("the body is encoded, but replicas encode none")
        self._dependencies.gates.get_gate(self._request.service).record_served(replica)
        streamed = self._request.route.kind is RequestKind.STREAM
        if streamed and response.status in _OK:
            await self._relay_stream(response)
        else:
            await self._relay_whole(response)

    def _handle_refusal(self, replica: Replica, response: ReplicaResponse) -> None:
        gate = self._dependencies.gates.get_gate(self._request.service)
        now = trio.current_time()
        if response.status == MISDIRECTED:
            gate.mark_replaced(replica)
        elif gate.may_send(replica, now):
            gate.record_full(replica, now=now, until=now + FULL_REST_S)
        raise _AttemptFailed(
            f"refused-{response.status}",
            not_run=True,
            failed=False,
            retry_after=_format_retry_after(response),
        )

    async def _relay_whole(self, response: ReplicaResponse) -> None:
        body = await response.read(max_bytes=MAX_PLAIN_ANSWER_BYTES)
        self._record_finish(response)
        # The replica does not say that the request has not run, but its status would
        # tell the caller so.
        is_misleading = response.status in NOT_RUN_STATUSES
        if not is_misleading:
            self._keep_answer(len(body))
            headers = select_for_caller(response.headers)
            self._last_answer = (response.status, headers, body)
        if is_misleading or response.status >= _SERVER_ERROR:
            self._request.may_have_run = True
            raise _AttemptFailed(
                f"status-{response.status}",
                not_run=False,
                retry_after=_format_retry_after(response),
            )
        await self._send_last_answer()

    def _record_finish(self, response: ReplicaResponse) -> None:
        self._evidence.record_finish(
            successful=response.status in _OK,
            # The replica may have ended as well as the answer.
            is_confirmed=not response.ends_with_connection,
        )

    async def _send_last_answer(self) -> None:
        assert self._last_answer is not None
        status, headers, body = self._last_answer
        self.first_byte_at = trio.current_time()
        self.status = status
        kept = [(name, value) for name, value in headers if name != b"content-length"]
        length = (b"content-length", str(len(body)).encode())
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*kept, length],
            }
        )
        self.ended = True
        self.outcome = "answered"
        await self._send({"type": "http.response.body", "body": body})

    async def _relay_stream(self, response: ReplicaResponse) -> None:
        splitter = EventSplitter()
        async for part in response.iterate():
            self._mover.record_received()
            for data in list_slices(part):
                await self._relay_events(splitter, data, response)
            response.record_unfinished(splitter.unfinished_bytes)
            self._mover.record_waiting()
        if splitter.remainder.strip():
            # Without length and chunks, nothing else shows that the replica ended.
            raise response.make_failure("the stream ended within an event")
        self._record_finish(response)
        await self._start_stream(response)
        self.ended = True
        self.outcome = "answered"
        await self._send({"type": "http.response.body", "body": b""})

    async def _relay_events(
        self, splitter: EventSplitter, data: bytes, response: ReplicaResponse
    ) -> None:
        """Send the events that some bytes complete in one part."""
        ready = bytearray()
        try:
            for event in splitter.feed(data):
                self._check_event(event)
                ready += event.data
        except EventTooLarge as error:
            raise ReplicaFailed(str(error)) from error
        finally:
            if ready:
                self.pauses.observe(trio.current_time())
                await self._start_stream(response)
                await self._send_part(bytes(ready))

    def _check_event(self, event: StreamEvent) -> None:
        if event.id is None:
            return
        # A replica that restarts the stream instead of resuming it would send the
        # caller the same events twice.
        if self._last_event_id is not None and _is_already_sent(
            event.id, self._last_event_id
        ):
            raise ReplicaFailed("the resumed stream repeats an event ID")
        self._last_event_id = event.id

    async def _start_stream(self, response: ReplicaResponse) -> None:
        if self._stream_started:
            return
        self._stream_started = True
        self.first_byte_at = trio.current_time()
        self.status = response.status
        headers = select_for_caller(response.headers)
        # A resumed stream may be split into different chunks; its length is unknown.
        kept = [(name, value) for name, value in headers if name != b"content-length"]
        await self._send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": kept,
            }
        )

    async def _send_part(self, data: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    def _may_repeat(self, failure: _AttemptFailed) -> bool:
        if self._mover.is_moving:
            # Already counted against the budget.
            return True
        if self._mover.has_given_up:
            return False
        if not failure.not_run and not self._request.route.repeatable:
            return False
        return self._take_repeat()

    def _take_repeat_for_move(self) -> bool:
        return not self.ended and self._take_repeat()

    def _take_repeat(self) -> bool:
        """Return whether one more attempt is allowed, and count it if so."""
        request, now = self._request, trio.current_time()
        if request.attempts >= request.route.max_attempts:
            return False
        if now + MIN_SEND_S >= request.deadline:
            return False
        return self._dependencies.budget.take(request.service, now=now)

    def _describe_rejection(self, rejection: Rejection) -> DirectAnswer:
        if self._request.may_have_run:
            return self._describe_failure()
        self.room_s = rejection.room_s
        if rejection.room_s is not None and rejection.room_s > rejection.retry_after_s:
            self._dependencies.metrics.count_event("retry-before-room")
        return DirectAnswer(DirectRefusal(rejection.reason), rejection.retry_after_s)

    def _describe_failure(self) -> DirectAnswer:
        if self._request.may_have_run:
            return DirectAnswer(DirectRefusal.REPLICA_FAILED)
        gate = self._dependencies.gates.get_gate(self._request.service)
        backoff_s = gate.measure_backoff_s(trio.current_time())
        return DirectAnswer(
            DirectRefusal.REPLICA_REFUSED, max(NOT_RUN_RETRY_AFTER_S, backoff_s)
        )

    def _decide_timeout(self) -> DirectAnswer:
        request = self._request
        if request.attempts:
            # A request that was sent may have run, so the outcome is unknown.
            return DirectAnswer(DirectRefusal.TIMED_OUT)
        return DirectAnswer(DirectRefusal.TIMED_OUT_UNSENT, NOT_RUN_RETRY_AFTER_S)

    async def _give_up(self, answer: DirectAnswer) -> None:
        if self._stream_started:
            self.outcome = "cut"
            raise AnswerCut(self._request.request_id)
        if answer.reason is DirectRefusal.REPLICA_FAILED and self._last_answer:
            await self._send_last_answer()
            self.outcome = "replica-error"
            return
        self.outcome = answer.reason.value
        self.status = answer.status
        self.retry_after_s = answer.retry_after_s
        self.ended = True
        self._dependencies.metrics.count_refusal(answer.reason.value)
        await send_answer(self._send, answer, request_id=self._request.request_id)


def _format_retry_after(response: ReplicaResponse) -> str:
    value = response.fields.get(RETRY_AFTER)
    return "-" if value is None else value[:_MAX_LOGGED_BYTES].decode("latin1")


def _to_age_ms(at: float, now: float) -> int:
    return -1 if at == -inf else round((now - at) * 1_000)


def _is_already_sent(event_id: bytes, last: bytes) -> bool:
    if not (event_id.isdigit() and last.isdigit()):
        return event_id == last
    return int(event_id) <= int(last)

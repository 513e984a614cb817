"""Serve callers on the direct path: find route and customer, then run the request."""

import math
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.routing_feed import RoutingFeed
from hyssopvane._internal.models.direct_refusals import DirectAnswer, DirectRefusal
from hyssopvane._internal.policy.allowed_regions import AllowedRegions
from hyssopvane._internal.policy.request_digest import make_request_digest
from hyssopvane._internal.protocol.headers import index_headers
from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.protocol.prompt_parts import read_prompt_parts
from hyssopvane._internal.roles.call import AnswerCut, run_until_disconnect
from hyssopvane._internal.roles.direct_answer import send_answer
from hyssopvane._internal.roles.direct_call import (
    LEAVING_RETRY_AFTER_S,
    MIN_SEND_S,
    NOT_RUN_RETRY_AFTER_S,
    DirectCall,
)
from hyssopvane._internal.roles.direct_request import CallDependencies, DirectRequest
from hyssopvane._internal.state.routing import (
    Customer,
    RequestKind,
    Route,
    RoutingTable,
)
from hyssopvane._internal.state.suspects import RequestIdentity, SuspectId
from hyssopvane._internal.transport.asgi_messages import (
    BodyTooLarge,
    CallerGone,
    read_body,
    serve_lifespan,
    wait_for_disconnect,
)
from hyssopvane._internal.transport.buffer_guard import (
    BufferGuard,
    BuffersFull,
    GuardedExchange,
)
from hyssopvane._internal.transport.caller_presence import get_presence
from hyssopvane._internal.utils.logs import log_event

_BEARER = "bearer "
_MAX_DEADLINE_MS = 86_400_000
_DEFAULT_TOKENS = 1
_MAX_TOKENS = 10**9
"""Upper bound for a reported number of tokens; no engine holds as many."""
_NOT_READY_RETRY_AFTER_S = 0.5
_STARTING_S = 0.5
"""Maximum wait of a request for the first configuration after the entry's start.

The configuration arrives within a few tenths of a second. After a power loss the first
attempt of a caller has failed at a machine without power; if the second one is refused,
the caller may have no attempt left.
"""
ENTRY_FULL_RETRY_AFTER_S = 0.3
"""Retry-After while the entry holds too much; a new connection mostly reaches another
entry, and callers that repeat at once would come back to this one."""

MAX_WORK_AFTER_LEAVING_S = 0.5
"""Time after which no work may be in progress for a caller that has left."""


_ENTRY_FULL = DirectAnswer(DirectRefusal.ENTRY_FULL, ENTRY_FULL_RETRY_AFTER_S)
_LEAVING = DirectAnswer(DirectRefusal.LEAVING, LEAVING_RETRY_AFTER_S)


class DirectApp:
    """Answer the HTTP requests of callers."""

    def __init__(
        self,
        *,
        feed: RoutingFeed,
        dependencies: CallDependencies,
        random: Random,
        wait_until_informed: Callable[[], Awaitable[None]],
        regions: AllowedRegions | None = None,
        guard: BufferGuard | None = None,
    ) -> None:
        self._feed = feed
        self._dependencies = dependencies
        self._random = random
        self._wait_until_informed = wait_until_informed
        """Waits until the entry knows which requests others refuse."""
        self._regions = AllowedRegions({}) if regions is None else regions
        self._guard = guard
        """Bounds what is held for slow readers; None to bound only each one."""
        self._numbers = count()
        self.running = 0
        self.refusing = False
        """Whether new requests are refused because this entry shuts down."""
        self._reading: set[trio.CancelScope] = set()
        """Scopes in which request bodies are read."""
        self._calls: set[DirectCall] = set()

    def refuse_new(self, *, ends_at: float) -> None:
        """Refuse requests that have not been read or can't end before the entry does.

        A request whose body ends later would be cut at its replica.
        """
        self.refusing = True
        for scope in tuple(self._reading):
            scope.cancel()
        self._dependencies.departure.begin(ends_at)
        for call in tuple(self._calls):
            call.begin_departure()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope; answer the request if it is HTTP."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            self.running += 1
            try:
                if self._guard is None:
                    await self._serve(scope, receive, send)
                else:
                    exchange = GuardedExchange(self._guard, scope, receive, send)
                    await exchange.run(self._serve, scope)
            finally:
                self.running -= 1
        else:
            await send({"type": "websocket.close", "code": 1003})

    async def _serve(
        self,
        scope: Any,
        receive: Any,
        send: Any,
        exchange: GuardedExchange | None = None,
    ) -> None:
        presence = get_presence(scope)
        read_at = trio.current_time()
        arrived_at = min(read_at, presence.received_at)
        fields = index_headers(scope["headers"])
        request_id = fields.get(self._dependencies.names.request_id, b"").decode(
            "latin1"
        )
        try:
            found = await self._read_request(
                scope, receive, fields, request_id, arrived_at, read_at, exchange
            )
        except BuffersFull:
            found = _ENTRY_FULL
        except CallerGone:
            self._log_end(request_id, "caller-gone", arrived_at)
            return
        if exchange is not None and isinstance(found, DirectRequest):
            found = _ENTRY_FULL if exchange.is_service_refused(found.service) else found
        if isinstance(found, DirectAnswer):
            if exchange is not None:
                # The server may wait long for the end of the request.
                exchange.release_body()
            self._dependencies.metrics.count_refusal(found.reason.value)
            self._log_end(
                request_id,
                found.reason.value,
                arrived_at,
                status=found.status,
                path=scope["path"],
                version=self._get_version(),
            )
            await send_answer(send, found, request_id=request_id)
            return
        self._dependencies.budget.add_fresh(found.service, now=arrived_at)
        if exchange is None:
            call = DirectCall(found, self._dependencies, send)
        else:
            route = found.route
            exchange.account.resumable = (
                route.kind is RequestKind.STREAM and route.resumable
            )
            call = DirectCall(
                found, self._dependencies, send, keep_answer=exchange.keep_answer
            )
        await self._run(found, call, receive)

    async def _run(
        self, request: DirectRequest, call: DirectCall, receive: Any
    ) -> None:
        left_at = math.inf

        async def wait() -> None:
            nonlocal left_at
            await wait_for_disconnect(receive)
            if call.ended:
                # The server reports the caller as disconnected while the last part is
                # being sent; cancelling then would truncate the answer.
                await trio.sleep_forever()
            left_at = trio.current_time()
            self._record_departure(request, call)

        cut = False
        self._calls.add(call)
        try:
            await run_until_disconnect(call.run, wait)
            if not call.ended:
                call.outcome = "caller-gone"
            if trio.current_time() - left_at > MAX_WORK_AFTER_LEAVING_S:
                self._dependencies.metrics.count_event("caller-left-late")
        except* AnswerCut:
            cut = True
        finally:
            self._calls.discard(call)
            # Also record requests that are cancelled when the process ends.
            self._record_end(request, call)
        if cut:
            raise AnswerCut(request.request_id)

    def _record_departure(self, request: DirectRequest, call: DirectCall) -> None:
        self._dependencies.metrics.count_event("caller-left")
        if call.is_at_silent_vm():
            self._dependencies.metrics.count_event("stalled-left")
        log_event(
            "info",
            "caller-left",
            request=request.request_id,
            service=request.service,
            phase=call.phase,
            replica=call.replica_id or "-",
            attempts=request.attempts,
            after_ms=_to_ms(trio.current_time(), request.arrived_at),
            read_ms=_to_ms(request.read_at, request.arrived_at),
            sent_ms=_to_ms(call.sent_at, request.arrived_at),
            end_late_ms=round(request.presence.read_delay_s * 1_000),
            **call.describe_silence(),
        )

    def _record_end(self, request: DirectRequest, call: DirectCall) -> None:
        now = trio.current_time()
        metrics = self._dependencies.metrics
        metrics.count_request(service=request.service, outcome=call.outcome)
        metrics.record_duration(
            service=request.service, seconds=now - request.arrived_at
        )
        gate = self._dependencies.gates.get_gate(request.service)
        is_refused = call.outcome == DirectRefusal.CRASHING
        log_event(
            "info",
            "request",
            request=request.request_id,
            outcome=call.outcome,
            status=call.status,
            route=request.route.name,
            customer="-" if request.customer is None else request.customer.name,
            service=request.service,
            replica=call.replica_id or "-",
            attempts=request.attempts,
            read_ms=_to_ms(request.read_at, request.arrived_at),
            placed_ms=_to_ms(call.placed_at, request.arrived_at),
            sent_ms=_to_ms(call.sent_at, request.arrived_at),
            predicted_ms=_to_ms(call.predicted_s, 0.0),
            retry_ms=_to_ms(call.retry_after_s, 0.0),
            room_ms=_to_ms(call.room_s, 0.0),
            first_ms=_to_ms(call.first_byte_at, request.arrived_at),
            pause_ms=round(call.pauses.longest_s * 1_000),
            pause_at_ms=_to_ms(call.pauses.longest_at or None, request.arrived_at),
            total_ms=_to_ms(now, request.arrived_at),
            prompt=request.prompt_tokens,
            parts=request.describe_parts(),
            objective_ms=round(request.route.objective_s * 1_000),
            allowed_ms=round(request.route.pause_s * 1_000),
            left_ms=_to_ms(request.caller_deadline, now),
            version=self._get_version(),
            **({"body": request.identity.body.digest.hex()} if is_refused else {}),
            **gate.describe(now),
        )

    async def _read_request(
        self,
        scope: Any,
        receive: Any,
        fields: dict[bytes, bytes],
        request_id: str,
        arrived_at: float,
        read_at: float,
        exchange: GuardedExchange | None,
    ) -> DirectRequest | DirectAnswer:
        deadline_s = _read_deadline_s(fields.get(self._dependencies.names.deadline_ms))
        with trio.move_on_after(min(_STARTING_S, deadline_s or _STARTING_S)):
            await self._feed.wait_until_ready()
            await self._wait_until_informed()
        table = self._feed.table
        if table is None or not self._feed.is_ready():
            return DirectAnswer(DirectRefusal.NOT_READY, _NOT_READY_RETRY_AFTER_S)
        if not request_id:
            return DirectAnswer(DirectRefusal.MALFORMED)
        if self.refusing:
            return _LEAVING
        if exchange is not None and exchange.is_refused():
            return _ENTRY_FULL
        headers: Headers = tuple(
            (bytes(name).lower(), bytes(value)) for name, value in scope["headers"]
        )
        if sum(len(n) + len(v) + 4 for n, v in headers) > table.bounds.max_header_bytes:
            return DirectAnswer(DirectRefusal.HEADERS_TOO_LARGE)
        route = _find_route(table, scope, fields)
        if route is None:
            return DirectAnswer(DirectRefusal.UNKNOWN_ROUTE)
        customer = _find_customer(table, fields)
        if customer is None and table.needs_keys and not route.public:
            return DirectAnswer(DirectRefusal.UNKNOWN_KEY)
        if deadline_s is None:
            deadline_s = route.timeout_s
        caller_deadline = arrived_at + deadline_s
        deadline = min(caller_deadline, arrived_at + route.timeout_s)
        if trio.current_time() + MIN_SEND_S >= deadline:
            return DirectAnswer(DirectRefusal.TIMED_OUT_UNSENT, NOT_RUN_RETRY_AFTER_S)
        with trio.move_on_at(deadline) as reading:
            self._reading.add(reading)
            try:
                body = await read_body(receive, max_bytes=table.bounds.max_body_bytes)
            except BodyTooLarge:
                return DirectAnswer(DirectRefusal.BODY_TOO_LARGE)
            finally:
                self._reading.discard(reading)
            if self.refusing:
                return _LEAVING
            return self._make_request(
                scope,
                headers,
                fields,
                request_id,
                route,
                customer,
                body,
                arrived_at,
                read_at,
                deadline,
                caller_deadline,
            )
        return _LEAVING if self.refusing else DirectAnswer(DirectRefusal.BODY_SLOW)

    def _make_request(
        self,
        scope: Any,
        headers: Headers,
        fields: dict[bytes, bytes],
        request_id: str,
        route: Route,
        customer: Customer | None,
        body: bytes,
        arrived_at: float,
        read_at: float,
        deadline: float,
        caller_deadline: float,
    ) -> DirectRequest:
        path: bytes = scope.get("raw_path") or scope["path"].encode()
        query: bytes = scope.get("query_string", b"")
        target = path + (b"?" + query if query else b"")
        name = "" if customer is None else customer.name
        service = self._choose_service(route)
        digest = make_request_digest(name.encode(), target, body)
        parts = read_prompt_parts(fields.get(self._dependencies.names.prompt_parts))
        tokens = _read_tokens(fields.get(self._dependencies.names.token_counts))
        return DirectRequest(
            request_id=request_id,
            number=next(self._numbers),
            method=scope["method"],
            target=target,
            headers=headers,
            body=body,
            route=route,
            service=service,
            customer=customer,
            arrived_at=arrived_at,
            read_at=read_at,
            deadline=deadline,
            caller_deadline=caller_deadline,
            tokens=max(_DEFAULT_TOKENS, sum(tokens)),
            prompt_tokens=tokens[0],
            identity=RequestIdentity(
                SuspectId(service, digest, name),
                tuple(SuspectId(service, part, is_part=True) for part in parts),
            ),
            presence=get_presence(scope),
            zones=self._regions.find_zones(route, customer),
        )

    def _choose_service(self, route: Route) -> str:
        if len(route.split) == 1:
            return route.split[0].service
        weights = [part.weight for part in route.split]
        return self._random.choices(route.split, weights)[0].service

    def _get_version(self) -> int:
        return 0 if self._feed.table is None else self._feed.table.version

    def _log_end(
        self, request_id: str, outcome: str, arrived_at: float, **fields: object
    ) -> None:
        log_event(
            "info",
            "request",
            request=request_id or "-",
            outcome=outcome,
            total_ms=_to_ms(trio.current_time(), arrived_at),
            **fields,
        )


def _find_route(
    table: RoutingTable, scope: Any, fields: dict[bytes, bytes]
) -> Route | None:
    host = fields.get(b"host", b"").decode("latin1").lower()
    path = (scope.get("raw_path") or scope["path"].encode()).decode("latin1")
    found = table.find_route(host, path)
    if found is None and ":" in host:
        found = table.find_route(host.rpartition(":")[0], path)
    return found


def _find_customer(table: RoutingTable, fields: dict[bytes, bytes]) -> Customer | None:
    value = fields.get(b"authorization", b"").decode("latin1")
    if not value.lower().startswith(_BEARER):
        return None
    return table.customers_by_key.get(value[len(_BEARER) :].strip())


def _read_deadline_s(value: bytes | None) -> float | None:
    if value is None or not value.isdigit() or int(value) > _MAX_DEADLINE_MS:
        return None
    return int(value) / 1_000


def _read_tokens(value: bytes | None) -> tuple[int, ...]:
    """Return the prompt tokens and the maximum output tokens that are given."""
    parts = (value or b"").split(b",")
    if not all(part.strip().isdigit() for part in parts):
        return (0,)
    return tuple(min(int(part), _MAX_TOKENS) for part in parts)


def _to_ms(at: float | None, since: float) -> int:
    return -1 if at is None else round((at - since) * 1_000)

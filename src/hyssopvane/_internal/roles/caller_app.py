"""Serve callers: authenticate them, then read and run their requests."""

import hashlib
import time
from dataclasses import dataclass
from typing import Any

import trio
import uuid6

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.policy.estimates import estimate_tokens, hash_prefixes
from hyssopvane._internal.policy.keyed_request import make_outcome_unknown
from hyssopvane._internal.protocol import headers
from hyssopvane._internal.protocol.idempotency import (
    IdempotencyKey,
    check_key,
    read_key,
)
from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.roles.call import (
    AnswerCut,
    CallerRequest,
    ReplyWriter,
    run_until_disconnect,
)
from hyssopvane._internal.roles.dispatcher import Dispatcher
from hyssopvane._internal.state.directory import Directory
from hyssopvane._internal.state.table import CustomerRow, ServiceRow
from hyssopvane._internal.state.work import WorkRequest
from hyssopvane._internal.transport.asgi_messages import (
    BodyTooLarge,
    CallerGone,
    read_body,
    serve_lifespan,
    wait_for_disconnect,
)
from hyssopvane._internal.transport.caller_presence import get_presence
from hyssopvane._internal.utils.logs import log_event
from hyssopvane._internal.utils.metrics import Metrics

_BEARER = b"Bearer "
_MAX_DEADLINE_MS = 86_400_000
_RETRY_AFTER_S = 1.0


class RequestRefused(Exception):
    """Abort the checks of a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the memory that one caller's request can use at an entry."""

    max_body_bytes: int


class CallerApp:
    """Handle the requests on the callers' listener."""

    def __init__(
        self,
        *,
        directory: "DirectorySource",
        dispatcher: Dispatcher,
        metrics: Metrics,
        limits: CallerLimits,
    ) -> None:
        self._source = directory
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._limits = limits

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)
        else:
            await send({"type": "websocket.close", "code": 1003})

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        request_id = str(uuid6.uuid7())
        reply = ReplyWriter(send, request_id=request_id)
        started_at = min(trio.current_time(), get_presence(scope).received_at)
        try:
            request = await self._read_request(scope, receive, request_id, started_at)
        except RequestRefused as refused:
            refusal = _make_unknown_if_keyed(refused.refusal, _read_headers(scope))
            self._metrics.count_refusal(refusal.reason.value)
            await reply.send_refusal(refusal)
            return
        except CallerGone:
            self._metrics.count_refusal(RefusalReason.CALLER_GONE.value)
            return
        outcome = await self._run(request, reply, receive)
        seconds = trio.current_time() - started_at
        self._metrics.count_request(service=request.work.service, outcome=outcome)
        self._metrics.record_duration(service=request.work.service, seconds=seconds)
        log_event(
            "info",
            "request",
            request=request_id,
            customer=request.work.customer,
            service=request.work.service,
            outcome=outcome,
            seconds=seconds,
        )
        if outcome == "cut":
            raise AnswerCut(request_id)

    async def _run(
        self, request: CallerRequest, reply: ReplyWriter, receive: Any
    ) -> str:
        async def run() -> None:
            await self._dispatcher.run(request, reply)

        async def wait() -> None:
            await wait_for_disconnect(receive)
            if reply.ended:
                # The server may report the disconnect while the last part is being
                # sent. If that send were cancelled, a keep-alive connection would never
                # count as idle, and a shutdown would wait for it until its time limit.
                await trio.sleep_forever()

        outcome = "cut"
        try:
            await run_until_disconnect(run, wait)
            # The server reports a disconnect after a complete answer, too.
            outcome = "ended" if reply.ended else "caller-gone"
        except* AnswerCut:
            pass
        return outcome

    async def _read_request(
        self, scope: Any, receive: Any, request_id: str, started_at: float
    ) -> CallerRequest:
        fields = _read_headers(scope)
        directory = self._source.get_directory()
        customer = _find_customer(directory, fields)
        service = _find_service(directory, scope["path"])
        deadline_s = _read_deadline(fields, service)
        key = _read_key(fields, service)
        try:
            body = await read_body(receive, max_bytes=self._limits.max_body_bytes)
        except BodyTooLarge:
            detail = f"the limit is {self._limits.max_body_bytes} bytes"
            raise RequestRefused(
                Refusal(RefusalReason.BODY_TOO_LARGE, Outcome.NOT_RUN, detail=detail)
            ) from None
        query: bytes = scope.get("query_string", b"")
        path: bytes = scope.get("raw_path") or scope["path"].encode()
        return CallerRequest(
            work=WorkRequest(
                request_id=request_id,
                customer=customer.name,
                service=service.name,
                tokens=estimate_tokens(body),
                priority=customer.priority,
                deadline=started_at + deadline_s,
                repeatable=service.repeatable,
                affinity=hash_prefixes(body),
                body_digest=hashlib.sha256(body).digest(),
            ),
            method=scope["method"],
            path=_strip_prefix(path, service) + (b"?" + query if query else b""),
            headers=fields,
            body=body,
            key=key,
            key_window_s=service.idempotency_window_s,
            presence=get_presence(scope),
        )


class DirectorySource:
    """Hold the directory of the table in force; `None` until a table is known."""

    def __init__(self) -> None:
        self.directory: Directory | None = None

    def get_directory(self) -> Directory:
        """Return the directory; raise `RequestRefused` while no table is known."""
        if self.directory is None:
            raise RequestRefused(
                Refusal(
                    RefusalReason.NOT_READY,
                    Outcome.NOT_RUN,
                    _RETRY_AFTER_S,
                    detail="this entry has not read the table yet",
                )
            )
        return self.directory


def _read_headers(scope: Any) -> Headers:
    return tuple((bytes(name), bytes(value)) for name, value in scope["headers"])


def _read_key(fields: Headers, service: ServiceRow) -> IdempotencyKey | None:
    key = read_key(fields)
    if isinstance(key, Refusal):
        raise RequestRefused(key)
    refusal = check_key(
        key,
        required=service.key_required,
        window_s=service.idempotency_window_s,
        now=time.time(),
    )
    if refusal is not None:
        raise RequestRefused(refusal)
    return key


def _make_unknown_if_keyed(refusal: Refusal, fields: Headers) -> Refusal:
    """Make the outcome unknown for a keyed request: another attempt may have run."""
    if isinstance(read_key(fields), IdempotencyKey):
        return make_outcome_unknown(refusal)
    return refusal


def _find_customer(directory: Directory, fields: Headers) -> CustomerRow:
    value = headers.get_header(fields, headers.AUTHORIZATION) or b""
    key = value.removeprefix(_BEARER) if value.startswith(_BEARER) else b""
    customer = directory.find_customer(hashlib.sha256(key).hexdigest()) if key else None
    if customer is None:
        raise RequestRefused(Refusal(RefusalReason.UNKNOWN_CALLER, Outcome.NOT_RUN))
    return customer


def _find_service(directory: Directory, path: str) -> ServiceRow:
    service = directory.find_service(path)
    if service is None:
        raise RequestRefused(Refusal(RefusalReason.UNKNOWN_SERVICE, Outcome.NOT_RUN))
    return service


def _read_deadline(fields: Headers, service: ServiceRow) -> float:
    value = headers.get_header(fields, headers.DEADLINE_MS)
    if value is None:
        return float(service.deadline_s)
    if not value.isdigit() or not 0 < int(value) <= _MAX_DEADLINE_MS:
        detail = "Hyssopvane-Deadline-Ms is a whole number of milliseconds, up to a day"
        raise RequestRefused(
            Refusal(RefusalReason.MALFORMED, Outcome.NOT_RUN, detail=detail)
        )
    return int(value) / 1_000


def _strip_prefix(path: bytes, service: ServiceRow) -> bytes:
    stripped = path[len(service.path_prefix.rstrip("/").encode()) :]
    return stripped if stripped.startswith(b"/") else b"/" + stripped

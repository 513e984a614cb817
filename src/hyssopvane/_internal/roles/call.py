"""Represent a caller's request and write the answer to it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from hyssopvane._internal.models.refusals import Outcome, Refusal
from hyssopvane._internal.protocol import headers
from hyssopvane._internal.protocol.idempotency import IdempotencyKey
from hyssopvane._internal.protocol.messages import Head, Headers, Open
from hyssopvane._internal.state.work import WorkRequest
from hyssopvane._internal.transport.asgi_messages import send_json
from hyssopvane._internal.transport.caller_presence import (
    ASSUMED_PRESENCE,
    CallerPresence,
)

_RETRY_AFTER = b"retry-after"
_MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a request that was read completely, from an authenticated caller."""

    work: WorkRequest
    method: str
    path: bytes
    headers: Headers
    body: bytes
    key: IdempotencyKey | None = None
    key_window_s: int = 0
    presence: CallerPresence = ASSUMED_PRESENCE


def make_opening(
    request: CallerRequest,
    *,
    attempt: bytes,
    incarnation: int,
    join: bool = False,
    resume_from: int = 0,
) -> Open:
    """Return the message that opens an attempt at an agent, or joins a running one."""
    remaining_s = request.work.deadline - trio.current_time()
    length = (b"content-length", str(len(request.body)).encode())
    fields = headers.select_for_target(
        request.headers, request_id=request.work.request_id
    )
    return Open(
        request_id=request.work.request_id,
        attempt=attempt,
        incarnation=incarnation,
        customer=request.work.customer,
        method=request.method,
        path=request.path,
        headers=() if join else (*fields, length),
        deadline_ms=max(0, int(remaining_s * _MILLISECONDS)),
        key="" if request.key is None else request.key.text,
        body_digest=request.work.body_digest,
        join=join,
        resume_from=resume_from,
        key_window_s=request.key_window_s,
    )


class ReplyWriter:
    """Write one answer or one refusal to the caller."""

    def __init__(self, send: Any, *, request_id: str) -> None:
        self._send = send
        self._request_id = request_id.encode()
        self.started = False
        self.ended = False
        self.sent_bytes = 0
        """Bytes of the answer's body that were sent to the caller."""

    async def send_head(self, head: Head) -> None:
        """Send the status and headers of the answer to a request that ran."""
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": [*head.headers, *self._make_outcome_headers(Outcome.RAN)],
            }
        )

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        self.sent_bytes += len(data)
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def send_end(self) -> None:
        """Send the end of the answer."""
        self.ended = True
        await self._send({"type": "http.response.body", "body": b""})

    async def send_refusal(self, refusal: Refusal) -> None:
        """Send the reason why there is no answer, and when to retry."""
        self.started = self.ended = True
        reply_headers: Headers = (
            *self._make_outcome_headers(refusal.outcome),
            (headers.REASON, refusal.reason.value.encode()),
        )
        if refusal.retry_after_s is not None:
            # Whole seconds, rounded up, so that callers don't retry too early.
            seconds = max(1, -int(-refusal.retry_after_s // 1))
            reply_headers += ((_RETRY_AFTER, str(seconds).encode()),)
        await send_json(
            self._send,
            {
                "outcome": refusal.outcome.value,
                "reason": refusal.reason.value,
                "hint": refusal.remedy,
                "detail": refusal.detail,
                "request_id": self._request_id.decode(),
            },
            status=refusal.status,
            headers=reply_headers,
        )

    def _make_outcome_headers(self, outcome: Outcome) -> Headers:
        return (
            (headers.OUTCOME, outcome.value.encode()),
            (headers.REQUEST_ID, self._request_id),
        )


class AnswerCut(Exception):
    """Make the server close the connection, since the answer can't be completed."""


async def run_until_disconnect(
    work: Callable[[], Awaitable[None]],
    wait_for_disconnect: Callable[[], Awaitable[None]],
) -> None:
    """Run `work` until it ends or the caller disconnects."""

    async def run_work() -> None:
        await work()
        nursery.cancel_scope.cancel()

    async def watch_caller() -> None:
        await wait_for_disconnect()
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_caller)
        nursery.start_soon(run_work)

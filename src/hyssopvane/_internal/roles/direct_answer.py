"""Send the refusals and failures that a direct entry answers itself."""

from typing import Any

from hyssopvane._internal.models.direct_refusals import DirectAnswer
from hyssopvane._internal.transport.asgi_messages import send_response


async def send_answer(send: Any, answer: DirectAnswer, *, request_id: str) -> None:
    """Send an answer of the entry as plain text, with its reason as the body."""
    body = answer.reason.value.encode() + b"\n"
    headers: list[tuple[bytes, bytes]] = [(b"content-type", b"text/plain")]
    if request_id:
        headers.append((b"x-request-id", request_id.encode("latin1")))
    if answer.retry_after_s is not None:
        headers.append((b"retry-after", f"{answer.retry_after_s:.2f}".encode()))
    await send_response(send, status=answer.status, headers=tuple(headers), body=body)

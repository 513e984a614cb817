"""Receive and send ASGI messages."""

import json
from typing import Any

import trio

from hyssopvane._internal.protocol.messages import Headers

JSON_TYPE = (b"content-type", b"application/json")
TEXT_TYPE = (b"content-type", b"text/plain; charset=utf-8")


class BodyTooLarge(Exception):
    """Report a body that exceeds its size limit."""


class CallerGone(Exception):
    """Report that the caller disconnected before its body was complete."""


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the ASGI lifespan messages until the shutdown."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


async def read_body(receive: Any, *, max_bytes: int) -> bytes:
    """Read a complete body; raise `BodyTooLarge` or `CallerGone`."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGone
        size += len(message.get("body", b""))
        if size > max_bytes:
            raise BodyTooLarge
        parts.append(bytes(message.get("body", b"")))
        if not message.get("more_body", False):
            return b"".join(parts)


async def discard_body(receive: Any) -> None:
    """Read and drop a body until its end or until the caller disconnects."""
    more = True
    while more:
        message = await receive()
        more = message["type"] == "http.request" and message.get("more_body", False)


async def wait_for_disconnect(receive: Any) -> None:
    """Wait until the caller disconnects; its body must have been read before."""
    while (await receive())["type"] != "http.disconnect":
        # Yield, as a server may return the end of the body again without waiting.
        await trio.lowlevel.checkpoint()


async def send_response(
    send: Any, *, status: int, headers: Headers, body: bytes
) -> None:
    """Send a complete response."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Any, document: object, *, status: int = 200, headers: Headers = ()
) -> None:
    """Send a complete JSON response."""
    body = json.dumps(document, separators=(", ", ": ")).encode() + b"\n"
    await send_response(send, status=status, headers=(*headers, JSON_TYPE), body=body)

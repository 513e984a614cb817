"""Read and write the messages of ASGI."""

import json
from typing import Any

import trio

from hyssopvane._internal.protocol.messages import Headers

JSON_TYPE = (b"content-type", b"application/json")
TEXT_TYPE = (b"content-type", b"text/plain; charset=utf-8")


class BodyTooLarge(Exception):
    """Tell that a body is over its limit."""


class CallerGone(Exception):
    """Tell that the caller closed the connection before its body was whole."""


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Answer the server's messages at its start and end."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


async def read_body(receive: Any, *, max_bytes: int) -> bytes:
    """Read a whole body; raise `BodyTooLarge` or `CallerGone`."""
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
    """Read a body to its end or until the caller has gone, and keep nothing."""
    more = True
    while more:
        message = await receive()
        more = message["type"] == "http.request" and message.get("more_body", False)


async def wait_for_disconnect(receive: Any) -> None:
    """Wait until the caller has gone; its body must have been read."""
    while (await receive())["type"] != "http.disconnect":
        # A server that repeats the end of the body at once must not spin the loop.
        await trio.lowlevel.checkpoint()


async def send_response(
    send: Any, *, status: int, headers: Headers, body: bytes
) -> None:
    """Send a whole response."""
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
    """Send a response in JSON."""
    body = json.dumps(document, separators=(", ", ": ")).encode() + b"\n"
    await send_response(send, status=status, headers=(*headers, JSON_TYPE), body=body)

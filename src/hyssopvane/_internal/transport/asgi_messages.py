"""Read and write the messages of ASGI."""

import json
from typing import Any

import trio

from hyssopvane._internal.protocol.messages import Headers

JSON_TYPE = (b"content-type", b"application/json")
TEXT_TYPE = (b"content-type", b"text/plain; charset=utf-8")

_HTTP2_INTERNAL_ERROR = 2


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


async def reset_answer(scope: Any, send: Any) -> None:
    """Reset the HTTP/2 stream of an answer that can't be completed.

    When an application fails after the head, hypercorn closes an HTTP/1.1 connection
    but leaves an HTTP/2 stream open: the caller waits until the idle connection is
    closed, a minute later, for the rest that never comes. Its protocol object, behind
    `send`, is the only way to the stream; with another server nothing is done here.
    """
    stream: Any = getattr(send, "__self__", None)
    protocol: Any = getattr(getattr(stream, "send", None), "__self__", None)
    connection: Any = getattr(protocol, "connection", None)
    if scope.get("http_version") != "2" or connection is None or protocol is None:
        return
    connection.reset_stream(stream.stream_id, error_code=_HTTP2_INTERNAL_ERROR)
    await protocol._flush()

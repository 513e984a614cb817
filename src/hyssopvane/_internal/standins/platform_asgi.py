"""Share the plain HTTP of the stand-ins: read a body, answer in JSON."""

import json
from typing import Any

from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope


async def answer_lifespan(receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
    """Answer the messages with which a server starts and stops an application."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


async def read_body(receive: ASGIReceiveCallable) -> bytes:
    """Return the whole body of a request, or what came before the caller left."""
    chunks: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return b"".join(chunks)
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def read_json(receive: ASGIReceiveCallable) -> Any:
    """Return the body as JSON; raise `ValueError` when it is not."""
    return json.loads(await read_body(receive) or b"{}")


async def send_json(send: ASGISendCallable, status: int, document: Any) -> None:
    """Send a whole answer in JSON."""
    body = json.dumps(document).encode()
    await start_answer(send, status, length=len(body))
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def start_answer(
    send: ASGISendCallable, status: int, *, length: int | None = None
) -> None:
    """Send the head of an answer in JSON."""
    headers = [(b"content-type", b"application/json")]
    if length is not None:
        headers.append((b"content-length", str(length).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
            "trailers": False,
        }
    )


def get_route(scope: Scope) -> str:
    """Return the method and path of a request, such as "GET /calls"."""
    if scope["type"] != "http":
        return ""
    return f"{scope['method']} {scope['path']}"

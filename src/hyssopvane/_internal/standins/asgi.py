"""Read requests and send responses in the ASGI applications of the stand-ins."""

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias
from urllib.parse import parse_qsl, unquote

import trio
from hypercorn.typing import (
    ASGIReceiveCallable,
    ASGISendCallable,
    HTTPScope,
    Scope,
)

from hyssopvane._internal.transport.asgi_messages import read_body

BYTES_TYPE = "application/octet-stream"
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"

MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    """Header values by lower-case header name."""
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Return the body as a JSON object; raise `ValueError` if it isn't one."""
        document = json.loads(self.body)
        if not isinstance(document, dict):
            raise ValueError("the body must be a JSON object")
        return document


class Responder:
    """Send the response to one request."""

    def __init__(self, receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
        self._receive = receive
        self._send = send
        self.started = False
        self.ended = False
        """Whether the last part of the response was sent."""

    async def send_json(self, status: int, value: object) -> None:
        """Send a JSON response."""
        body = json.dumps(value).encode()
        await self.send_bytes(status, body, content_type=JSON_TYPE)

    async def send_bytes(
        self,
        status: int,
        body: bytes,
        *,
        content_type: str = BYTES_TYPE,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a response whose complete body is known."""
        await self.start_bytes(
            status, len(body), content_type=content_type, headers=headers
        )
        await self.send_chunk(body, more=False)

    async def start_bytes(
        self,
        status: int,
        length: int,
        *,
        content_type: str = BYTES_TYPE,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send the status and headers of a response whose body length is known."""
        pairs = {"content-length": str(length)} | dict(headers or {})
        await self.start(status, content_type=content_type, headers=pairs)

    async def start(
        self,
        status: int,
        *,
        content_type: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send the status and headers of a response."""
        pairs = {"content-type": content_type} | dict(headers or {})
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(k.encode(), v.encode()) for k, v in pairs.items()],
                "trailers": False,
            }
        )

    async def send_chunk(self, chunk: bytes, *, more: bool = True) -> None:
        """Send a part of the body; `more=False` marks the last part."""
        self.ended = not more
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": more}
        )

    async def run_while_connected(self, work: Callable[[], Awaitable[None]]) -> bool:
        """Run `work` until the caller disconnects; return whether it responded."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            await work()
            nursery.cancel_scope.cancel()
        return self.ended

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        # The server may report a disconnect while it sends the last part. Cancelling
        # the send would leave the keep-alive connection between two requests: it would
        # never count as idle and would delay the shutdown.
        if not self.ended:
            scope.cancel()


Handler: TypeAlias = Callable[[Request, Responder], Awaitable[None]]


class Router:
    """Route each request to the handler of its method and path."""

    def __init__(
        self,
        routes: Mapping[tuple[str, str], Handler],
        *,
        fallback: Handler | None = None,
    ) -> None:
        self._routes = dict(routes)
        self._fallback = fallback or _answer_not_found

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Handle one ASGI scope; respond 400 if the handler rejects the request."""
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            return
        request = _make_request(scope, body)
        responder = Responder(receive, send)
        handler = self._routes.get((request.method, request.path), self._fallback)
        try:
            await handler(request, responder)
        except* (ValueError, KeyError, TypeError) as errors:
            if responder.started:
                raise
            reasons = [repr(error) for error in errors.exceptions]
            await responder.send_json(400, {"error": f"bad request: {reasons}"})


async def _answer_not_found(request: Request, responder: Responder) -> None:
    await responder.send_json(404, {"error": f"no {request.method} {request.path}"})


async def _answer_lifespan(
    receive: ASGIReceiveCallable, send: ASGISendCallable
) -> None:
    # Hypercorn under trio fails with an exception group if these aren't answered.
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


async def _read_body(receive: ASGIReceiveCallable) -> bytes | None:
    parts = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        parts.append(message["body"])
        if not message["more_body"]:
            return b"".join(parts)


def _make_request(scope: HTTPScope, body: bytes) -> Request:
    return Request(
        method=scope["method"],
        path=unquote(scope["path"]),
        query=dict(parse_qsl(scope["query_string"].decode())),
        headers={k.decode().lower(): v.decode() for k, v in scope["headers"]},
        body=body,
    )


async def read_json(receive: ASGIReceiveCallable) -> Any:
    """Read a body as JSON; raise `ValueError` if it isn't JSON."""
    return json.loads(await read_body(receive, max_bytes=MAX_BODY_BYTES) or b"{}")


def get_route(scope: Scope) -> str:
    """Return the method and path of a request, such as "GET /calls"."""
    if scope["type"] != "http":
        return ""
    return f"{scope['method']} {scope['path']}"

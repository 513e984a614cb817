"""Read requests and send answers of small ASGI applications."""

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
    """Hold one request whose body has arrived whole."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    """Header values by lower-case name."""
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Return the body as a JSON object; raise `ValueError` when it is none."""
        document = json.loads(self.body)
        if not isinstance(document, dict):
            raise ValueError("the body must be a JSON object")
        return document


class Responder:
    """Send the answer to one request."""

    def __init__(self, receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
        self._receive = receive
        self._send = send
        self.started = False
        self.ended = False
        """Whether the last part of the answer was sent."""

    async def send_json(self, status: int, value: object) -> None:
        """Send a JSON answer."""
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
        """Send an answer whose body is known."""
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
        """Send the head of an answer whose length is known."""
        pairs = {"content-length": str(length)} | dict(headers or {})
        await self.start(status, content_type=content_type, headers=pairs)

    async def start(
        self,
        status: int,
        *,
        content_type: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send the head of an answer."""
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
        """Send a part of the body."""
        self.ended = not more
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": more}
        )

    async def run_while_connected(self, work: Callable[[], Awaitable[None]]) -> bool:
        """Run `work`, cancelled when the caller goes; return whether it answered."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            await work()
            nursery.cancel_scope.cancel()
        return self.ended

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        # The server reports a disconnect also from within the sending of the last
        # part. A cancel there would interrupt it between two requests: the kept
        # connection would never count as idle and hold up the shutdown.
        if not self.ended:
            scope.cancel()


Handler: TypeAlias = Callable[[Request, Responder], Awaitable[None]]


class Router:
    """Call the handler of a request's method and path."""

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
        """Answer one ASGI scope."""
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
    # Hypercorn under trio ends with an exception group when these stay unanswered.
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
    """Return a body as JSON; raise `ValueError` when it is not."""
    return json.loads(await read_body(receive, max_bytes=MAX_BODY_BYTES) or b"{}")


def get_route(scope: Scope) -> str:
    """Return the method and path of a request, such as "GET /calls"."""
    if scope["type"] != "http":
        return ""
    return f"{scope['method']} {scope['path']}"

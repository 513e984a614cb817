"""Serve operators: readiness, metrics, state in force and decisions."""

import hmac
from abc import abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict
from typing import Any
from urllib.parse import parse_qsl

from hyssopvane._internal.exceptions import OperatorRequestError
from hyssopvane._internal.models.settings import AgentSettings, EntrySettings
from hyssopvane._internal.roles.process import Role
from hyssopvane._internal.state.decisions import DecisionLog
from hyssopvane._internal.transport.asgi_messages import (
    TEXT_TYPE,
    send_json,
    send_response,
    serve_lifespan,
)
from hyssopvane._internal.utils.metrics import Metrics

PageHandler = Callable[[Mapping[str, str]], Awaitable[object]]
"""Function that takes the query of a page's URL and returns a JSON document."""


class OperatedProcess(Role):
    """Provide the metrics, decisions and pages that operators read."""

    def __init__(self, settings: EntrySettings | AgentSettings) -> None:
        self.metrics = Metrics(role=settings.role, vm=settings.vm)
        self.decisions = DecisionLog()
        self.vm = settings.vm
        self.token = settings.token
        self.pages: dict[str, PageHandler] = {}
        """Additional pages of the operators' listener, by path."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections and metrics of the process."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether the process accepts new requests."""

    @abstractmethod
    def describe(self) -> dict[str, object]:
        """Return the state of the process as a JSON document."""


class OperatorsApp:
    """Serve the operators' listener; all pages but readiness require the token."""

    def __init__(self, process: OperatedProcess) -> None:
        self._process = process

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        path: str = scope["path"]
        if path == "/ready":
            await self._send_readiness(send)
        elif not self._is_authorized(scope):
            await send_json(
                send,
                {
                    "error": "the operators' token is missing or wrong",
                    "hint": "send Authorization: Bearer TOKEN, the settings' token",
                },
                status=401,
            )
        elif path == "/metrics":
            body = self._process.metrics.render()
            await send_response(send, status=200, headers=(TEXT_TYPE,), body=body)
        elif path == "/in-force":
            await send_json(send, self._process.describe())
        elif path.startswith("/explain/"):
            await self._send_decisions(send, path.removeprefix("/explain/"))
        elif path in self._process.pages:
            await self._send_page(send, path, scope["query_string"])
        else:
            more = "".join(f", {page}" for page in self._process.pages)
            hint = f"use /ready, /metrics, /in-force, /explain/REQUEST-ID{more}"
            await send_json(send, {"error": "no such page", "hint": hint}, status=404)

    async def _send_readiness(self, send: Any) -> None:
        ready = self._process.is_ready()
        await send_json(send, {"ready": ready}, status=200 if ready else 503)

    async def _send_decisions(self, send: Any, request_id: str) -> None:
        records = self._process.decisions.find(request_id)
        await send_json(
            send,
            {
                "vm": self._process.vm,
                "request_id": request_id,
                "decisions": [asdict(record) for record in records],
            },
        )

    async def _send_page(self, send: Any, path: str, query_string: bytes) -> None:
        query = dict(parse_qsl(query_string.decode("ascii", errors="replace")))
        try:
            document = await self._process.pages[path](query)
        except OperatorRequestError as error:
            refusal = {
                "error": error.message,
                "context": error.context,
                "hint": error.hint,
            }
            await send_json(send, refusal, status=400)
        else:
            await send_json(send, document)

    def _is_authorized(self, scope: Any) -> bool:
        wanted = f"Bearer {self._process.token}".encode()
        given = dict(scope["headers"]).get(b"authorization", b"")
        return hmac.compare_digest(wanted, given)

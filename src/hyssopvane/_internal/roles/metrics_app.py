"""Serve the metrics of a process on the direct path to collectors."""

from typing import Any, Protocol

from hyssopvane._internal.transport.asgi_messages import (
    TEXT_TYPE,
    send_response,
    serve_lifespan,
)

METRICS_PATH = "/metrics"


class RenderableMetrics(Protocol):
    """Represent metrics that can be rendered as text."""

    def render(self) -> bytes:
        """Return all instruments in the Prometheus text format."""


class MetricsApp:
    """Answer requests for the metrics in the Prometheus text format."""

    def __init__(self, metrics: RenderableMetrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request; any other path gets 404."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        known = scope["path"] == METRICS_PATH
        body = self._metrics.render() if known else b""
        status = 200 if known else 404
        await send_response(send, status=status, headers=(TEXT_TYPE,), body=body)

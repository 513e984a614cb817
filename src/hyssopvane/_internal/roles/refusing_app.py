"""Refuse requests that the entry can't serve, without interpreting their bodies."""

from typing import Any

import uuid6

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.protocol import headers
from hyssopvane._internal.roles.call import ReplyWriter
from hyssopvane._internal.transport.asgi_messages import discard_body
from hyssopvane._internal.utils.metrics import Metrics

_RETRY_AFTER_S = 1.0


class RefusingApp:
    """Answer every request with the same refusal."""

    def __init__(self, reason: RefusalReason, *, metrics: Metrics) -> None:
        self._reason = reason
        self._metrics = metrics

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Refuse one request."""
        if scope["type"] != "http":
            return
        self._metrics.count_refusal(self._reason.value)
        # The connection closes after this answer. A caller that still sends its body
        # would get a connection error and never read the reason.
        await discard_body(receive)
        keyed = any(name == headers.IDEMPOTENCY_KEY for name, _ in scope["headers"])
        # Another attempt of the same key may have run through another entry.
        outcome = Outcome.UNKNOWN if keyed else Outcome.NOT_RUN
        refusal = Refusal(self._reason, outcome, _RETRY_AFTER_S)
        await ReplyWriter(send, request_id=str(uuid6.uuid7())).send_refusal(refusal)


CONNECTION_ENDED = b"connection-ended"
"""Reason for a request that arrives while its idle connection is closed.

It has no outcome, since the server does not know whether the request has an idempotency
key, whose other attempts may have run.
"""


def describe_late_request() -> bytes:
    """Return the header lines for a request that arrives as its connection closes."""
    return b"%b: %b\r\n" % (headers.REASON, CONNECTION_ENDED)


class MalformedRequestHandler:
    """Count malformed requests, and mark their answers as not run."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def __call__(self) -> bytes:
        """Return the header lines of the answer."""
        reason = RefusalReason.MALFORMED.value
        self._metrics.count_refusal(reason)
        fields = {
            headers.OUTCOME: Outcome.NOT_RUN.value.encode(),
            headers.REASON: reason.encode(),
        }
        return b"".join(b"%b: %b\r\n" % pair for pair in fields.items())

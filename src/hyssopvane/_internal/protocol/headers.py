"""Define and filter the HTTP headers that the system reads and writes."""

import re
from collections.abc import Iterable, Mapping

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.messages import Headers

OUTCOME = b"hyssopvane-outcome"
REASON = b"hyssopvane-reason"
REQUEST_ID = b"hyssopvane-request-id"
TARGET_REQUEST_ID = b"x-request-id"
IDEMPOTENCY_KEY = b"idempotency-key"
DEADLINE_MS = b"hyssopvane-deadline-ms"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"

# RFC 9110, 7.6.1: these apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Statuses whose Retry-After applies to the whole server, not to one request.
_OVERLOAD_STATUSES = frozenset({429, 503})
_SECONDS = re.compile(rb"[0-9]{1,20}(\.[0-9]{1,9})?")
# The server that callers connect to writes its own date header.
_TARGET_ONLY = frozenset({b"date"})
_CALLER_ONLY = frozenset({AUTHORIZATION, b"host", b"content-length", b"expect"})


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, None without one; `name` is in lower case."""
    for found, value in headers:
        if found == name:
            return value
    return None


def index_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> dict[bytes, bytes]:
    """Map each header name in lower case to its first value."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        found.setdefault(name.lower(), value)
    return found


def read_backoff_s(status: int, fields: Mapping[bytes, bytes]) -> float | None:
    """Return the back-off in seconds that a server asks for, None without one.

    Raise `ProtocolError` when the Retry-After header is invalid.
    """
    return read_retry_after_s(fields) if status in _OVERLOAD_STATUSES else None


def read_retry_after_s(fields: Mapping[bytes, bytes]) -> float | None:
    """Return the seconds in the Retry-After header, None without one.

    Raise `ProtocolError` when the value is not a number of seconds. A date is rejected,
    as its meaning depends on the sender's clock.
    """
    value = fields.get(RETRY_AFTER)
    if value is None:
        return None
    if _SECONDS.fullmatch(value.strip()) is None:
        raise ProtocolError(
            "a Retry-After header is not a number of seconds",
            context=repr(value[:40]),
        )
    return float(value)


def select_for_target(headers: Headers, *, request_id: str) -> Headers:
    """Return the headers to forward to a target, with the request id."""
    kept = tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in _CALLER_ONLY
        and name != TARGET_REQUEST_ID
    )
    return kept + ((TARGET_REQUEST_ID, request_id.encode()),)


def select_for_caller(headers: Headers) -> Headers:
    """Return the headers of a target's answer to forward to the caller."""
    return tuple(
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in _TARGET_ONLY
    )

"""Name the HTTP headers that the system reads and writes."""

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

# RFC 9110, 7.6.1: these speak of one connection and are not passed on.
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
# Statuses whose Retry-After speaks of the server, not of one request.
_TURNED_AWAY = frozenset({429, 503})
_SECONDS = re.compile(rb"[0-9]{1,20}(\.[0-9]{1,9})?")
# The server in front of the callers writes its own.
_OF_THE_TARGET_ONLY = frozenset({b"date"})
_OF_THE_CALLER_ONLY = frozenset({AUTHORIZATION, b"host", b"content-length", b"expect"})


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given in lower case."""
    for found, value in headers:
        if found == name:
            return value
    return None


def join_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> dict[bytes, bytes]:
    """Return the first value of each header by its name in lower case."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        found.setdefault(name.lower(), value)
    return found


def read_backoff(status: int, fields: Mapping[bytes, bytes]) -> float | None:
    """Return the seconds for which whoever answers wants no requests, None for none.

    Raise `ProtocolError` where the answer names them in a way that can't be read.
    """
    return read_retry_after(fields) if status in _TURNED_AWAY else None


def read_retry_after(fields: Mapping[bytes, bytes]) -> float | None:
    """Return the seconds that an answer asks to stay away, None where it names none.

    Raise `ProtocolError` where it names them in a way that can't be read. A time of day
    is not read: it would need the clock of whoever sent it.
    """
    value = fields.get(RETRY_AFTER)
    if value is None:
        return None
    if _SECONDS.fullmatch(value.strip()) is None:
        raise ProtocolError(
            "an answer says in no seconds when to come back", context=repr(value[:40])
        )
    return float(value)


def select_for_target(headers: Headers, *, request_id: str) -> Headers:
    """Return the headers that go on to a target, with the request id."""
    kept = tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in _OF_THE_CALLER_ONLY
        and name != TARGET_REQUEST_ID
    )
    return kept + ((TARGET_REQUEST_ID, request_id.encode()),)


def select_for_caller(headers: Headers) -> Headers:
    """Return the headers of a target's answer that go on to the caller."""
    return tuple(
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in _OF_THE_TARGET_ONLY
    )

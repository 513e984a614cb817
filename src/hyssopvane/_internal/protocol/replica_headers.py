"""Name the headers that callers, entries and replicas exchange on the direct path."""

import re
from collections.abc import Mapping
from dataclasses import dataclass

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.headers import HOP_BY_HOP
from hyssopvane._internal.protocol.messages import Headers


@dataclass(frozen=True, slots=True)
class ReplicaHeaders:
    """Hold the header names of an installation, in lower case."""

    request_id: bytes
    deadline_ms: bytes
    """Milliseconds that whoever asks will still wait."""
    customer: bytes
    """Name of the customer; set by the entry, never by a caller."""
    expected_replica: bytes
    """Replica that alone may run the request."""
    not_executed: bytes
    """Stands on answers of replicas that did not run the request."""
    signature: bytes
    """Stands on each answer that a replica made by running the request."""
    failed_replica: bytes
    """Replica of a group that is the reason of a failure."""
    resume_after: bytes
    """Id of the last event that the caller has."""
    token_counts: bytes
    """Prompt tokens and the most output tokens, separated by a comma."""
    length_hint: bytes
    """Caller's guess of the output tokens."""
    priority: bytes
    """Rank at the replica, 0 to 9, 0 first."""
    request_limit: bytes
    """Requests a second that a replica in need takes from all entries together."""
    leaving: bytes
    """Stands on all answers of a replica that is about to end, with the value 1."""


_LEAVING_VALUE = b"1"
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

_CONNECTION_HEADERS = HOP_BY_HOP | {b"expect"}


def select_for_replica(
    headers: Headers, names: ReplicaHeaders, *, replaced: Headers
) -> Headers:
    """Return a caller's headers as they go on to a replica.

    Headers in `replaced` go before what the caller sent under the same name. The key
    is left out: a replica must not be able to act as the customer.
    """
    dropped = _CONNECTION_HEADERS | _list_connection_options(headers)
    dropped |= {name for name, _ in replaced}
    dropped |= {b"authorization", b"content-length", names.customer}
    kept = tuple((name, value) for name, value in headers if name not in dropped)
    return (*kept, *replaced)


def select_for_caller(headers: Headers) -> Headers:
    """Return a replica's headers as they go on to the caller."""
    lowered = tuple((name.lower(), value) for name, value in headers)
    dropped = _CONNECTION_HEADERS | _list_connection_options(lowered) | {b"date"}
    return tuple((name, value) for name, value in lowered if name not in dropped)


def read_request_limit(
    fields: Mapping[bytes, bytes], names: ReplicaHeaders
) -> float | None:
    """Return the requests a second that a replica takes, None where it names no limit.

    Raise `ProtocolError` where it names one that can't be read.
    """
    value = fields.get(names.request_limit)
    if value is None:
        return None
    if _DECIMAL.fullmatch(value.strip()) is None:
        raise ProtocolError(
            "a replica names a limit that can't be read", context=repr(value[:40])
        )
    return float(value)


def indicates_leaving(fields: Mapping[bytes, bytes], names: ReplicaHeaders) -> bool:
    """Tell whether an answer says that its replica leaves."""
    return fields.get(names.leaving, b"").strip() == _LEAVING_VALUE


def _list_connection_options(headers: Headers) -> frozenset[bytes]:
    # RFC 9110, 7.6.1: the names that Connection lists concern that connection only.
    return frozenset(
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    )

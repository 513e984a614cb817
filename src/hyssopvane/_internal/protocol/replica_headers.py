"""Define the headers of callers, entries and replicas on the direct path."""

import re
from collections.abc import Mapping
from dataclasses import dataclass

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.headers import HOP_BY_HOP
from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.state.cold import MAX_COLD_MS


@dataclass(frozen=True, slots=True)
class ReplicaHeaders:
    """Hold the configurable header names of an installation, in lower case."""

    request_id: bytes
    deadline_ms: bytes
    """Milliseconds that the sender of the request will still wait."""
    customer: bytes
    """Name of the customer; set by the entry, and removed from callers' requests."""
    expected_replica: bytes
    """The only replica that may run the request."""
    not_executed: bytes
    """Marks answers of replicas that did not run the request."""
    signature: bytes
    """Marks each answer that a replica produced by running the request."""
    failed_replica: bytes
    """Replica of a group that caused a failure."""
    resume_after: bytes
    """Id of the last event that the caller has received."""
    token_counts: bytes
    """Number of prompt tokens and maximum of output tokens, separated by a comma."""
    prompt_parts: bytes
    """Parts of the prompt in order; see `protocol/prompt_parts`."""
    length_hint: bytes
    """Caller's estimate of the number of output tokens."""
    priority: bytes
    """Priority at the replica, from 0, the highest, to 9."""
    request_limit: bytes
    """Requests per second that an overloaded replica accepts from all entries."""
    leaving: bytes
    """Marks all answers of a replica that is shutting down, with the value 1."""
    cold_left: bytes
    """Milliseconds for which the replica is still cold."""


_LEAVING_VALUE = b"1"
_MILLISECONDS = 1_000.0
_MAX_PRIORITY = 9
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

_CONNECTION_HEADERS = HOP_BY_HOP | {b"expect"}


def encode_priority(priority: int) -> bytes:
    """Return the value of the priority header; replicas know priorities 0 to 9."""
    return str(min(max(priority, 0), _MAX_PRIORITY)).encode()


def select_for_replica(
    headers: Headers, names: ReplicaHeaders, *, overrides: Headers
) -> Headers:
    """Return a caller's headers as they are forwarded to a replica.

    Headers in `overrides` replace those of the caller with the same name. The API key
    is removed: a replica must not be able to act as the customer.
    """
    dropped = _CONNECTION_HEADERS | _list_connection_options(headers)
    dropped |= {name for name, _ in overrides}
    dropped |= {b"authorization", b"content-length", names.customer}
    kept = tuple((name, value) for name, value in headers if name not in dropped)
    return (*kept, *overrides)


def select_for_caller(headers: Headers) -> Headers:
    """Return a replica's headers as they are forwarded to the caller."""
    lowered = tuple((name.lower(), value) for name, value in headers)
    dropped = _CONNECTION_HEADERS | _list_connection_options(lowered) | {b"date"}
    return tuple((name, value) for name, value in lowered if name not in dropped)


def read_request_limit(
    fields: Mapping[bytes, bytes], names: ReplicaHeaders
) -> float | None:
    """Return a replica's limit in requests per second, None without one.

    Raise `ProtocolError` when the header is not a decimal number.
    """
    value = fields.get(names.request_limit)
    if value is None:
        return None
    if _DECIMAL.fullmatch(value.strip()) is None:
        raise ProtocolError(
            "the request limit of a replica is not a decimal number",
            context=repr(value[:40]),
        )
    return float(value)


def read_cold_left_s(
    fields: Mapping[bytes, bytes], names: ReplicaHeaders
) -> float | None:
    """Return the seconds for which a replica is still cold, None if it doesn't say.

    Raise `ProtocolError` when the header is not a decimal number of milliseconds up to
    `MAX_COLD_MS`.
    """
    value = fields.get(names.cold_left)
    if value is None:
        return None
    if _DECIMAL.fullmatch(value.strip()) is None or float(value) > MAX_COLD_MS:
        raise ProtocolError(
            f"the cold time of a replica is not a number up to {MAX_COLD_MS:.0f}",
            context=repr(value[:40]),
        )
    return float(value) / _MILLISECONDS


def indicates_leaving(fields: Mapping[bytes, bytes], names: ReplicaHeaders) -> bool:
    """Return whether an answer indicates that its replica is shutting down."""
    return fields.get(names.leaving, b"").strip() == _LEAVING_VALUE


def _list_connection_options(headers: Headers) -> frozenset[bytes]:
    # RFC 9110, 7.6.1: headers listed in Connection apply to that connection only.
    return frozenset(
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    )

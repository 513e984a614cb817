"""Encode and decode the requests and grants of limit shares between entries."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.codec import load_schema
from hyssopvane._internal.state.shares import ShareGrant, ShareRequest

DEMAND_TOPIC = "demand"

_SCHEMA_FILE = Path(__file__).with_name("demand.capnp")
_MS_PER_S = 1_000


def encode_share_requests(requests: Sequence[ShareRequest]) -> bytes:
    """Encode the share requests for one entry."""
    message = load_schema(_SCHEMA_FILE).Asks.new_message()
    builders = message.init("asks", len(requests))
    for builder, request in zip(builders, requests, strict=True):
        builder.customer = request.customer
        builder.sequence = request.sequence
        builder.need = request.need
        builder.held = request.held
        # Round up: the granting entry must not count a grant for less time than it
        # lasts.
        builder.heldMs = int(request.held_s * _MS_PER_S) + 1
    encoded: bytes = message.to_bytes_packed()
    return encoded


def decode_share_requests(data: bytes) -> list[ShareRequest]:
    """Decode share requests; raise `ProtocolError` when the bytes are invalid."""
    return [
        ShareRequest(
            customer=one.customer,
            sequence=one.sequence,
            need=one.need,
            held=one.held,
            held_s=one.heldMs / _MS_PER_S,
        )
        for one in _read("Asks", data).asks
    ]


def encode_share_grants(grants: Sequence[ShareGrant]) -> bytes:
    """Encode the grants that answer share requests."""
    message = load_schema(_SCHEMA_FILE).Answers.new_message()
    builders = message.init("answers", len(grants))
    for builder, grant in zip(builders, grants, strict=True):
        builder.customer = grant.customer
        builder.sequence = grant.sequence
        builder.amount = grant.amount
        builder.leaseMs = int(grant.lease_s * _MS_PER_S)
        builder.againMs = int(grant.retry_after_s * _MS_PER_S)
    encoded: bytes = message.to_bytes_packed()
    return encoded


def decode_share_grants(data: bytes) -> list[ShareGrant]:
    """Decode share grants; raise `ProtocolError` when the bytes are invalid."""
    return [
        ShareGrant(
            customer=one.customer,
            sequence=one.sequence,
            amount=one.amount,
            lease_s=one.leaseMs / _MS_PER_S,
            retry_after_s=one.againMs / _MS_PER_S,
        )
        for one in _read("Answers", data).answers
    ]


def _read(kind: str, data: bytes) -> Any:
    import capnp

    try:
        return getattr(load_schema(_SCHEMA_FILE), kind).from_bytes_packed(data)
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(
            "a message about limit shares can't be decoded",
            context=str(error).splitlines()[0][:200],
            hint="run the same version on both ends",
        ) from error

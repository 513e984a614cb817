"""Encode what entries tell each other about shares of limits."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.codec import load_schema
from hyssopvane._internal.state.shares import ShareGrant, ShareRequest

DEMAND_TOPIC = "demand"

_SCHEMA_FILE = Path(__file__).with_name("demand.capnp")
_MILLISECONDS = 1_000


def encode_requests(asks: Sequence[ShareRequest]) -> bytes:
    """Encode asks to one entry."""
    message = load_schema(_SCHEMA_FILE).Asks.new_message()
    builders = message.init("asks", len(asks))
    for builder, ask in zip(builders, asks, strict=True):
        builder.customer = ask.customer
        builder.sequence = ask.sequence
        builder.need = ask.need
        builder.held = ask.held
        # Rounded up: a giver must not count a grant for less time than it lasts.
        builder.heldMs = int(ask.held_s * _MILLISECONDS) + 1
    encoded: bytes = message.to_bytes_packed()
    return encoded


def decode_requests(data: bytes) -> list[ShareRequest]:
    """Decode asks; raise `ProtocolError` when they are none."""
    return [
        ShareRequest(
            customer=one.customer,
            sequence=one.sequence,
            need=one.need,
            held=one.held,
            held_s=one.heldMs / _MILLISECONDS,
        )
        for one in _read("Asks", data).asks
    ]


def encode_grants(answers: Sequence[ShareGrant]) -> bytes:
    """Encode the answers to asks."""
    message = load_schema(_SCHEMA_FILE).Answers.new_message()
    builders = message.init("answers", len(answers))
    for builder, answer in zip(builders, answers, strict=True):
        builder.customer = answer.customer
        builder.sequence = answer.sequence
        builder.amount = answer.amount
        builder.leaseMs = int(answer.lease_s * _MILLISECONDS)
        builder.againMs = int(answer.retry_after_s * _MILLISECONDS)
    encoded: bytes = message.to_bytes_packed()
    return encoded


def decode_grants(data: bytes) -> list[ShareGrant]:
    """Decode answers; raise `ProtocolError` when they are none."""
    return [
        ShareGrant(
            customer=one.customer,
            sequence=one.sequence,
            amount=one.amount,
            lease_s=one.leaseMs / _MILLISECONDS,
            retry_after_s=one.againMs / _MILLISECONDS,
        )
        for one in _read("Answers", data).answers
    ]


def _read(kind: str, data: bytes) -> Any:
    import capnp

    try:
        return getattr(load_schema(_SCHEMA_FILE), kind).from_bytes_packed(data)
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(
            "a message about demand can't be decoded",
            context=str(error).splitlines()[0][:200],
            hint="run the same version on both ends",
        ) from error

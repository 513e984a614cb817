"""Encode claims for the key-value service and for messages between entries."""

from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any

from hyssopvane._internal import protocol
from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.codec import load_schema
from hyssopvane._internal.state.claims import (
    BUCKET_COUNT,
    Claim,
    ClaimChange,
    ClaimKey,
    ClaimPage,
)

CLAIM_PREFIX = "claims/page/"
_SCHEMA_FILE = Path(protocol.__file__).with_name("claims.capnp")
_Target = tuple[str, int]
_WRITE_ID_BYTES = 8


class ChangeStatus(IntEnum):
    """Report how a change ended."""

    KNOWN = 0
    """The current claim of the key is known; it may be another attempt's."""
    UNAVAILABLE = 1
    """The change was not written."""
    UNKNOWN = 2
    """The change may have been written, or the key may have run before a restore."""
    EXPIRED = 3
    """The page of the key was already deleted."""


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Report how a change ended and the current claim of the key."""

    status: ChangeStatus
    claim: Claim | None = None


def get_page_key(slice_number: int, bucket: int) -> str:
    """Return the key of a page in the key-value service."""
    return f"{CLAIM_PREFIX}{slice_number:012d}/{bucket}"


def get_page_slice(key: str) -> int:
    """Return the slice number from the key of a page."""
    return int(key.split("/")[-2])


def encode_page(page: ClaimPage, *, write_id: int = 0) -> bytes:
    """Encode a page; claims of one target share one copy of its name."""
    message = load_schema(_SCHEMA_FILE).Page.new_message(writeId=write_id)
    numbers: dict[_Target, int] = {}
    builders = message.init("claims", len(page.claims))
    for builder, (key_hash, claim) in zip(builders, page.claims.items(), strict=True):
        target = (claim.target, claim.incarnation)
        number = numbers.setdefault(target, len(numbers))
        _write_claim(builder, key_hash, claim, number)
    targets = message.init("targets", len(numbers))
    for builder, target in zip(targets, numbers, strict=True):
        builder.name, builder.incarnation = target
    encoded: bytes = message.to_bytes()
    return encoded


def read_page_prefix(data: bytes) -> bytes:
    """Return the prefix of a page up to its write ID, which is unique to one write.

    Return no bytes if the page has no write ID. Raise `ProtocolError` when the data is
    not a page.
    """
    import capnp

    try:
        with load_schema(_SCHEMA_FILE).Page.from_bytes(data) as page:
            write_id = page.writeId.to_bytes(_WRITE_ID_BYTES, "little")
    except capnp.KjException as error:
        raise _make_error("a page of claims", error) from error
    if not any(write_id):
        return b""
    return data[: data.index(write_id) + _WRITE_ID_BYTES]


def decode_page(data: bytes) -> ClaimPage:
    """Decode a page; raise `ProtocolError` when the data is not a page."""
    import capnp

    try:
        with load_schema(_SCHEMA_FILE).Page.from_bytes(data) as page:
            targets = [(one.name, one.incarnation) for one in page.targets]
            return ClaimPage(
                {
                    one.keyHash: _read_claim(one, targets[one.target])
                    for one in page.claims
                }
            )
    except (capnp.KjException, IndexError) as error:
        raise _make_error("a page of claims", error) from error


def encode_change(change: ClaimChange) -> bytes:
    """Encode a change to send it to another entry."""
    message = load_schema(_SCHEMA_FILE).Change.new_message()
    message.slice = change.key.slice
    message.expectedAttempt = change.expected_attempt
    _write_claim(message.claim, change.key.key_hash, change.claim, 0)
    _write_target(message.target, change.claim)
    encoded: bytes = message.to_bytes()
    return encoded


def decode_change(data: bytes) -> ClaimChange:
    """Decode a change from another entry; raise `ProtocolError`."""
    import capnp

    try:
        with load_schema(_SCHEMA_FILE).Change.from_bytes(data) as message:
            key_hash = message.claim.keyHash
            target = (message.target.name, message.target.incarnation)
            return ClaimChange(
                key=ClaimKey(key_hash, message.slice, key_hash % BUCKET_COUNT),
                expected_attempt=message.expectedAttempt,
                claim=_read_claim(message.claim, target),
            )
    except capnp.KjException as error:
        raise _make_error("a change of a claim", error) from error


def encode_result(key_hash: int, result: ChangeResult) -> bytes:
    """Encode the result of a change and the current claim of its key."""
    message = load_schema(_SCHEMA_FILE).Result.new_message()
    message.status = int(result.status)
    if result.claim is not None:
        message.present = True
        _write_claim(message.claim, key_hash, result.claim, 0)
        _write_target(message.target, result.claim)
    encoded: bytes = message.to_bytes()
    return encoded


def decode_result(data: bytes) -> ChangeResult:
    """Decode the result of a change; raise `ProtocolError`."""
    import capnp

    try:
        with load_schema(_SCHEMA_FILE).Result.from_bytes(data) as message:
            claim = None
            if message.present:
                target = (message.target.name, message.target.incarnation)
                claim = _read_claim(message.claim, target)
            return ChangeResult(ChangeStatus(message.status), claim)
    except (capnp.KjException, ValueError) as error:
        raise _make_error("the result of a change", error) from error


def _write_claim(builder: Any, key_hash: int, claim: Claim, target: int) -> None:
    builder.keyHash = key_hash
    builder.attempt = claim.attempt
    builder.bodyDigest = claim.body_digest
    builder.target = target
    builder.void = claim.void


def _write_target(builder: Any, claim: Claim) -> None:
    builder.name = claim.target
    builder.incarnation = claim.incarnation


def _read_claim(reader: Any, target: _Target) -> Claim:
    return Claim(
        attempt=reader.attempt,
        body_digest=reader.bodyDigest,
        target=target[0],
        incarnation=target[1],
        void=reader.void,
    )


def _make_error(what: str, error: Exception) -> ProtocolError:
    return ProtocolError(
        f"{what} can't be decoded",
        context=str(error).splitlines()[0][:200],
        hint="run the same version on all entries",
    )

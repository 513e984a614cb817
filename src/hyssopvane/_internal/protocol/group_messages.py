"""Encode the datagrams of the direct path."""

import zlib
from collections.abc import Callable, Sequence
from math import isfinite
from pathlib import Path
from typing import Any

import capnp

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.codec import load_schema
from hyssopvane._internal.state.beliefs import Beliefs, BelievedItem
from hyssopvane._internal.state.group import (
    COUNT_MODULUS,
    EntryState,
    MapChange,
    RankState,
)
from hyssopvane._internal.state.loads import GroupLoad, MemberLoad
from hyssopvane._internal.utils.ip_addresses import is_address

GroupMessage = EntryState | GroupLoad | RankState | MapChange

_SCHEMA_FILE = Path(__file__).with_name("group.capnp")
_MAX_BELIEF_WORDS = 8 * 1024 * 1024
_MICROSECONDS = 1_000_000
_MAX_PASS_US = 2**32 - 1
_MILLISECONDS = 1_000
_MAX_AGE_MS = 2**16 - 1
_CHECKSUM_BYTES = 4


def encode_message(message: GroupMessage) -> bytes:
    """Encode one datagram."""
    datagram = load_schema(_SCHEMA_FILE).Datagram.new_message()
    match message:
        case EntryState():
            _write_entry(datagram.init("entry"), message)
        case GroupLoad():
            _write_load(datagram.init("load"), message)
        case RankState():
            _write_rank(datagram.init("rank"), message)
        case MapChange():
            _write_change(datagram.init("change"), message)
    return _seal(datagram.to_bytes_packed())


def decode_message(data: bytes) -> GroupMessage:
    """Decode a datagram; raise `ProtocolError` when it is none of ours."""
    try:
        body = _open(data)
        datagram = load_schema(_SCHEMA_FILE).Datagram.from_bytes_packed(body)
        message = _READERS[str(datagram.which())](datagram)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise ProtocolError("a datagram can't be read", context=str(error)) from error
    _check(message)
    return message


def _check(message: GroupMessage) -> None:
    """Raise `ProtocolError` where a readable message holds what nobody sends.

    Addresses are sent to and numbers are counted with; a wrong one would end the
    process far from here, where nobody could tell who sent it.
    """
    match message:
        case EntryState():
            # An entry that gives nothing on names no address for its beliefs.
            given = (message.beliefs,) if message.beliefs else ()
            addresses: tuple[str, ...] = (message.address, *given)
            sound = True
        case GroupLoad():
            addresses = message.entries + tuple(m.address for m in message.members)
            sound = message.ranks > 0 and all(
                isfinite(m.pace) and m.pace >= 0 for m in message.members
            )
        case RankState():
            addresses = (message.messages, message.replica)
            sound = message.rank < message.ranks and (
                isfinite(message.pace) and message.pace >= 0
            )
        case MapChange():
            addresses = message.forward
            sound = True
    if not sound or not all(is_address(one) for one in addresses):
        raise ProtocolError(
            "a datagram holds what no process of ours sends", context=str(message)[:200]
        )


def encode_beliefs(beliefs: Beliefs) -> bytes:
    """Encode what an entry has learnt from the store."""
    message = load_schema(_SCHEMA_FILE).Beliefs.new_message()
    message.configurationRevision = beliefs.configuration_revision
    message.configuration = beliefs.configuration
    message.replicasRevision = beliefs.replicas_revision
    builders = message.init("replicas", len(beliefs.replicas))
    for builder, item in zip(builders, beliefs.replicas, strict=True):
        builder.key = item.key
        builder.value = item.value
        builder.revision = item.revision
    return _seal(message.to_bytes_packed())


def decode_beliefs(data: bytes) -> Beliefs:
    """Decode another entry's beliefs; raise `ProtocolError` when they are none."""
    try:
        message = load_schema(_SCHEMA_FILE).Beliefs.from_bytes_packed(
            _open(data), traversal_limit_in_words=_MAX_BELIEF_WORDS
        )
        return Beliefs(
            configuration_revision=message.configurationRevision,
            configuration=bytes(message.configuration),
            replicas_revision=message.replicasRevision,
            replicas=tuple(
                BelievedItem(item.key, bytes(item.value), item.revision)
                for item in message.replicas
            ),
        )
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError("beliefs can't be read", context=str(error)) from error


def _seal(body: bytes) -> bytes:
    """Put a checksum before a message."""
    return zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big") + body


def _open(data: bytes) -> bytes:
    """Return the message behind a checksum; raise `ProtocolError` when it is damaged.

    The decoder of packed messages ends the whole process at some damaged ones, where
    its own clean-up fails: there is no error that Python could catch, only a line on
    standard error, and all callers of the process are cut. So none gets there.
    """
    checksum, body = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
    if zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big") != checksum:
        raise ProtocolError("a message is damaged", context=f"{len(data)} bytes")
    return body


def _write_entry(builder: Any, message: EntryState) -> None:
    builder.address = message.address
    builder.beliefs = message.beliefs
    builder.configurationRevision = message.configuration_revision
    builder.replicasRevision = message.replicas_revision
    builder.unheard = message.unheard


def _read_entry(datagram: Any) -> EntryState:
    one = datagram.entry
    return EntryState(
        address=one.address,
        beliefs=one.beliefs,
        configuration_revision=one.configurationRevision,
        replicas_revision=one.replicasRevision,
        unheard=one.unheard,
    )


def _write_load(builder: Any, message: GroupLoad) -> None:
    builder.group = message.group
    builder.epoch = message.epoch
    builder.ranks = message.ranks
    builder.open = message.open
    builder.step = message.step
    builder.passUs = min(_MAX_PASS_US, int(message.pass_s * _MICROSECONDS))
    builder.entries = list(message.entries)
    members = builder.init("members", len(message.members))
    for one, member in zip(members, message.members, strict=True):
        one.address = member.address
        one.active = member.active
        one.queued = member.queued
        one.pace = member.pace
        one.ageMs = min(_MAX_AGE_MS, max(0, int(member.age_s * _MILLISECONDS)))
        one.startedMs = member.started_ms


def _read_load(datagram: Any) -> GroupLoad:
    one = datagram.load
    return GroupLoad(
        group=one.group,
        epoch=one.epoch,
        ranks=one.ranks,
        open=one.open,
        step=one.step,
        pass_s=one.passUs / _MICROSECONDS,
        entries=tuple(one.entries),
        members=tuple(
            MemberLoad(
                member.address,
                member.active,
                member.queued,
                member.pace,
                member.ageMs / _MILLISECONDS,
                member.startedMs,
            )
            for member in one.members
        ),
    )


def _write_rank(builder: Any, message: RankState) -> None:
    builder.messages = message.messages
    builder.replica = message.replica
    builder.group = message.group
    builder.epoch = message.epoch
    builder.rank = message.rank
    builder.ranks = message.ranks
    builder.open = message.open
    builder.active = message.active
    builder.step = message.step
    builder.mapVersion = message.map_version
    builder.prepared = message.prepared
    builder.armedVersion = message.armed_version
    builder.armedStep = message.armed_step
    builder.heldStep = message.held_step
    _write_lists(builder.experts, message.experts)
    builder.queued = message.queued
    builder.pace = message.pace
    builder.startedMs = message.started_ms
    builder.counts = [count % COUNT_MODULUS for count in message.counts]


def _read_rank(datagram: Any) -> RankState:
    one = datagram.rank
    return RankState(
        messages=one.messages,
        replica=one.replica,
        group=one.group,
        epoch=one.epoch,
        rank=one.rank,
        ranks=one.ranks,
        open=one.open,
        active=one.active,
        step=one.step,
        map_version=one.mapVersion,
        prepared=one.prepared,
        armed_version=one.armedVersion,
        armed_step=one.armedStep,
        held_step=one.heldStep,
        experts=_read_lists(one.experts),
        queued=one.queued,
        pace=one.pace,
        counts=tuple(one.counts),
        started_ms=one.startedMs,
    )


def _write_change(builder: Any, message: MapChange) -> None:
    builder.group = message.group
    builder.epoch = message.epoch
    builder.version = message.version
    by_rank = tuple(rank for one in message.experts for rank in one)
    _write_lists(builder.experts, by_rank)
    builder.sets = len(message.experts)
    builder.forward = list(message.forward)
    builder.step = message.step


def _read_change(datagram: Any) -> MapChange:
    one = datagram.change
    by_rank = _read_lists(one.experts)
    ranks = len(by_rank) // max(1, one.sets)
    return MapChange(
        group=one.group,
        epoch=one.epoch,
        version=one.version,
        experts=tuple(
            by_rank[at : at + ranks] for at in range(0, ranks * one.sets, ranks or 1)
        ),
        step=one.step,
        forward=tuple(one.forward),
    )


def _write_lists(builder: Any, lists: Sequence[Sequence[int]]) -> None:
    builder.items = [item for one in lists for item in one]
    builder.lengths = [len(one) for one in lists]


def _read_lists(builder: Any) -> tuple[tuple[int, ...], ...]:
    items, found, at = tuple(builder.items), [], 0
    for length in builder.lengths:
        found.append(items[at : at + length])
        at += length
    return tuple(found)


_READERS: dict[str, Callable[[Any], GroupMessage]] = {
    "entry": _read_entry,
    "load": _read_load,
    "rank": _read_rank,
    "change": _read_change,
}

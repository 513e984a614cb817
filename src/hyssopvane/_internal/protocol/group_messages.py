"""Encode the datagrams of the direct path."""

import struct
import zlib
from array import array
from collections.abc import Callable, Sequence
from math import isfinite
from pathlib import Path
from typing import Any

import capnp

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.codec import load_schema
from hyssopvane._internal.state.group import (
    Counts,
    EntryState,
    MapChange,
    OrderRequest,
    Presence,
    RankState,
)
from hyssopvane._internal.state.limits import LimitReport, ReplicaLimits
from hyssopvane._internal.state.loads import (
    EntryContact,
    GroupLoad,
    Member,
    MemberLoad,
    Roster,
)
from hyssopvane._internal.state.store_snapshot import StoreItem, StoreSnapshot
from hyssopvane._internal.utils.ip_addresses import is_address

GroupMessage = (
    EntryState
    | GroupLoad
    | Roster
    | RankState
    | Presence
    | OrderRequest
    | MapChange
    | ReplicaLimits
)

_SCHEMA_FILE = Path(__file__).with_name("group.capnp")
_MAX_BELIEF_WORDS = 8 * 1024 * 1024
_MICROSECONDS = 1_000_000
_MAX_PASS_US = 2**32 - 1
_MEMBER = struct.Struct("<HHBB")
_MAX_WORD = 2**16 - 1
_MAX_BYTE = 2**8 - 1
_MILLISECONDS = 1_000
_MAX_AGE_MS = 2**32 - 1
_PACE_UNITS = 16
_AGE_UNITS = 100
_MAX_COUNTS = 2**16
"""Counts in one message: 16 sets of 4,096 experts."""
_QUICK = 1
"""Level of compression: the better ones take three times as long for a tenth less."""
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
        case Roster():
            _write_roster(datagram.init("roster"), message)
        case Presence():
            _write_presence(datagram.init("presence"), message)
        case OrderRequest():
            _write_order(datagram.init("order"), message)
        case ReplicaLimits():
            _write_limits(datagram.init("limits"), message)
    return _seal(datagram.to_bytes_packed())


def decode_message(data: bytes) -> GroupMessage:
    """Decode a datagram; raise `ProtocolError` when it is none of ours."""
    try:
        body = _open(data)
        datagram = load_schema(_SCHEMA_FILE).Datagram.from_bytes_packed(body)
        message = _READERS[str(datagram.which())](datagram)
    except (capnp.KjException, KeyError, ValueError, zlib.error) as error:
        raise ProtocolError("a datagram can't be read", context=str(error)) from error
    _check(message)
    return message


def _check(message: GroupMessage) -> None:
    """Raise `ProtocolError` where a readable message holds what nobody sends.

    Addresses are sent to and numbers are counted with; a wrong one would end the
    process far from here, where nobody could tell who sent it.
    """
    sound = True
    match message:
        case EntryState():
            # An entry that gives nothing on names no address for its beliefs.
            addresses = (message.address, *_present(message.beliefs, message.via))
        case GroupLoad():
            addresses = _present(message.forward)
            sound = 0 < len(message.members) <= message.ranks
        case Roster():
            addresses = (
                *(one.address for one in message.members),
                *(one.address for one in message.entries),
                *_present(message.forward),
            )
            sound = bool(message.members)
        case Presence():
            addresses = (message.messages,)
        case RankState():
            # A short word leaves out what the one before it has told.
            addresses = _present(message.messages, message.replica)
            sound = message.rank < message.ranks and (
                isfinite(message.pace) and message.pace >= 0
            )
        case OrderRequest():
            addresses = ()
        case MapChange():
            addresses = message.forward
        case ReplicaLimits():
            addresses = tuple(one.replica for one in message.reports)
            sound = all(_is_limit(one.per_s) for one in message.reports)
    if not sound or not all(is_address(one) for one in addresses):
        raise ProtocolError(
            "a datagram holds what no process of ours sends", context=str(message)[:200]
        )


def _is_limit(per_s: float | None) -> bool:
    return per_s is None or (isfinite(per_s) and per_s >= 0)


def _present(*addresses: str) -> tuple[str, ...]:
    return tuple(one for one in addresses if one)


def encode_snapshot(beliefs: StoreSnapshot) -> bytes:
    """Encode what an entry has learnt from the store."""
    message = load_schema(_SCHEMA_FILE).Beliefs.new_message()
    message.configurationRevision = beliefs.configuration_revision
    message.configuration = beliefs.configuration
    message.replicasRevision = beliefs.replicas_revision
    message.replicasEra = beliefs.replicas_era
    builders = message.init("replicas", len(beliefs.replicas))
    for builder, item in zip(builders, beliefs.replicas, strict=True):
        builder.key = item.key
        builder.value = item.value
        builder.revision = item.revision
    return _seal(message.to_bytes_packed())


def decode_snapshot(data: bytes) -> StoreSnapshot:
    """Decode another entry's beliefs; raise `ProtocolError` when they are none."""
    try:
        message = load_schema(_SCHEMA_FILE).Beliefs.from_bytes_packed(
            _open(data), traversal_limit_in_words=_MAX_BELIEF_WORDS
        )
        return StoreSnapshot(
            configuration_revision=message.configurationRevision,
            configuration=bytes(message.configuration),
            replicas_revision=message.replicasRevision,
            replicas_era=message.replicasEra,
            replicas=tuple(
                StoreItem(item.key, bytes(item.value), item.revision)
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
    builder.configurationVersion = message.configuration_version
    builder.replicasRevision = message.replicas_revision
    builder.replicasEra = message.replicas_era
    builder.unheard = message.lacks_load
    builder.availabilityZone = message.availability_zone
    builder.via = message.via
    if message.store_returned_s is not None:
        returned_ms = int(message.store_returned_s * _MILLISECONDS)
        builder.storeReturnedMs = min(_MAX_WORD, 1 + returned_ms)


def _read_entry(datagram: Any) -> EntryState:
    one = datagram.entry
    return EntryState(
        address=one.address,
        beliefs=one.beliefs,
        configuration_version=one.configurationVersion,
        replicas_revision=one.replicasRevision,
        replicas_era=one.replicasEra,
        lacks_load=one.unheard,
        availability_zone=one.availabilityZone,
        via=one.via,
        store_returned_s=_read_returned(one.storeReturnedMs),
    )


def _read_returned(milliseconds: int) -> float | None:
    return (milliseconds - 1) / _MILLISECONDS if milliseconds else None


def _write_presence(builder: Any, message: Presence) -> None:
    builder.messages = message.messages
    builder.group = message.group
    builder.epoch = message.epoch
    builder.rank = message.rank
    builder.leads = message.leads


def _read_presence(datagram: Any) -> Presence:
    one = datagram.presence
    return Presence(one.messages, one.group, one.epoch, one.rank, one.leads)


def _write_order(builder: Any, message: OrderRequest) -> None:
    builder.group = message.group
    builder.epoch = message.epoch
    builder.step = message.step
    builder.release = message.release


def _read_order(datagram: Any) -> OrderRequest:
    one = datagram.order
    return OrderRequest(one.group, one.epoch, one.step, one.release)


def _write_limits(builder: Any, message: ReplicaLimits) -> None:
    items = builder.init("news", len(message.reports))
    for item, one in zip(items, message.reports, strict=True):
        item.replica = one.replica
        item.startedMs = one.started_ms
        item.named = one.per_s is not None
        item.perS = one.per_s or 0.0
        item.ageMs = min(_MAX_AGE_MS, max(0, int(one.age_s * _MILLISECONDS)))


def _read_limits(datagram: Any) -> ReplicaLimits:
    return ReplicaLimits(
        tuple(
            LimitReport(
                replica=one.replica,
                started_ms=one.startedMs,
                per_s=one.perS if one.named else None,
                age_s=one.ageMs / _MILLISECONDS,
            )
            for one in datagram.limits.news
        )
    )


def _write_load(builder: Any, message: GroupLoad) -> None:
    builder.roster = message.roster
    builder.source = message.source
    builder.sequence = message.sequence
    builder.epoch = message.epoch
    builder.ranks = message.ranks
    builder.open = message.open
    builder.step = message.step
    builder.passUs = min(_MAX_PASS_US, int(message.pass_s * _MICROSECONDS))
    builder.entries = min(_MAX_WORD, message.entries)
    builder.members = b"".join(_pack_member(member) for member in message.members)
    builder.relay = message.relay
    builder.forward = message.forward


def _pack_member(member: MemberLoad) -> bytes:
    return _MEMBER.pack(
        min(_MAX_WORD, member.active),
        min(_MAX_WORD, member.queued),
        min(_MAX_BYTE, round(member.pace * _PACE_UNITS)),
        min(_MAX_BYTE, max(0, int(member.age_s * _AGE_UNITS))),
    )


def _read_load(datagram: Any) -> GroupLoad:
    one = datagram.load
    try:
        members = tuple(
            MemberLoad(active, queued, pace / _PACE_UNITS, age / _AGE_UNITS)
            for active, queued, pace, age in _MEMBER.iter_unpack(one.members)
        )
    except struct.error as error:
        raise ValueError(f"members of a load: {error}") from error
    return GroupLoad(
        roster=one.roster,
        source=one.source,
        sequence=one.sequence,
        epoch=one.epoch,
        ranks=one.ranks,
        open=one.open,
        step=one.step,
        pass_s=one.passUs / _MICROSECONDS,
        entries=one.entries,
        members=members,
        relay=one.relay,
        forward=one.forward,
    )


def _write_roster(builder: Any, message: Roster) -> None:
    builder.number = message.number
    builder.group = message.group
    members = builder.init("members", len(message.members))
    for one, member in zip(members, message.members, strict=True):
        one.address = member.address
        one.startedMs = member.started_ms
    entries = builder.init("entries", len(message.entries))
    for one, entry in zip(entries, message.entries, strict=True):
        one.address = entry.address
        one.availabilityZone = entry.availability_zone
    builder.relay = message.relay
    builder.forward = message.forward


def _read_roster(datagram: Any) -> Roster:
    one = datagram.roster
    return Roster(
        number=one.number,
        group=one.group,
        members=tuple(Member(m.address, m.startedMs) for m in one.members),
        entries=tuple(
            EntryContact(entry.address, entry.availabilityZone) for entry in one.entries
        ),
        relay=one.relay,
        forward=one.forward,
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
    _write_counts(builder.counts, message.counts)


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
        counts=_read_counts(one.counts),
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
    items = [item for one in lists for item in one]
    builder.wide = max(items, default=0) > _MAX_BYTE
    builder.items = _pack_numbers(items, wide=builder.wide)
    builder.lengths = _pack_numbers([len(one) for one in lists], wide=True)


def _read_lists(builder: Any) -> tuple[tuple[int, ...], ...]:
    items = _unpack_numbers(builder.items, wide=builder.wide)
    found, at = [], 0
    for length in _unpack_numbers(builder.lengths, wide=True):
        found.append(items[at : at + length])
        at += length
    return tuple(found)


def _pack_numbers(numbers: Sequence[int], *, wide: bool) -> bytes:
    return array("H" if wide else "B", numbers).tobytes()


def _unpack_numbers(data: bytes, *, wide: bool) -> tuple[int, ...]:
    # The system's VMs are of one kind, so both ends have the same order of bytes.
    numbers = array("H" if wide else "B")
    numbers.frombytes(data)
    return tuple(numbers)


def _write_counts(builder: Any, counts: Counts) -> None:
    if not counts:
        return
    unit = max(1, -(-max(counts) // _MAX_BYTE))
    rounded = bytes((count + unit // 2) // unit for count in counts)
    builder.items = zlib.compress(rounded, _QUICK)
    builder.unit = unit
    builder.size = len(counts)


def _read_counts(builder: Any) -> Counts:
    size, unit = builder.size, builder.unit
    if not size:
        return ()
    if size > _MAX_COUNTS:
        raise ValueError(f"{size} counts in one message")
    # A few bytes may unfold to gigabytes: no more is unfolded than is announced.
    rounded = zlib.decompressobj().decompress(builder.items, size)
    if len(rounded) != size:
        raise ValueError(f"{len(rounded)} counts instead of {size}")
    return tuple(rounded) if unit == 1 else tuple(one * unit for one in rounded)


_READERS: dict[str, Callable[[Any], GroupMessage]] = {
    "entry": _read_entry,
    "load": _read_load,
    "rank": _read_rank,
    "change": _read_change,
    "roster": _read_roster,
    "presence": _read_presence,
    "order": _read_order,
    "limits": _read_limits,
}

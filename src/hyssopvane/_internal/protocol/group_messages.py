"""Encode and decode the datagrams and store snapshots of the direct path."""

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
from hyssopvane._internal.protocol.waiting_rows import decode_rows, encode_rows
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
from hyssopvane._internal.state.store_position import UNKNOWN, StorePosition
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
_MAX_SNAPSHOT_WORDS = 8 * 1024 * 1024
_US_PER_S = 1_000_000
_MAX_PASS_US = 2**32 - 1
_MEMBER = struct.Struct("<HHBB")
_MAX_UINT16 = 2**16 - 1
_MAX_UINT32 = 2**32 - 1
_MAX_UINT8 = 2**8 - 1
_MS_PER_S = 1_000
_MAX_AGE_MS = 2**32 - 1
_PACE_STEPS_PER_UNIT = 16
_AGE_UNITS_PER_S = 100
_MAX_COUNTS = 2**16
"""Maximum number of counts in one message: 16 sets of 4,096 experts."""
_COMPRESSION_LEVEL = 1
"""Fastest zlib level; better ones take three times as long to save another tenth."""
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
    return _add_checksum(datagram.to_bytes_packed())


def decode_message(data: bytes) -> GroupMessage:
    """Decode a datagram; raise `ProtocolError` when it is invalid."""
    try:
        body = _remove_checksum(data)
        datagram = load_schema(_SCHEMA_FILE).Datagram.from_bytes_packed(body)
        message = _READERS[str(datagram.which())](datagram)
    except (capnp.KjException, KeyError, ValueError, zlib.error) as error:
        raise ProtocolError(
            "a datagram can't be decoded", context=str(error)
        ) from error
    _validate(message)
    return message


def _validate(message: GroupMessage) -> None:
    """Raise `ProtocolError` when a decoded message holds invalid values.

    The process sends to these addresses and computes with these numbers. An invalid one
    would end the process later, where its sender is no longer known.
    """
    is_valid = True
    match message:
        case EntryState():
            # An entry that shares no snapshots leaves the address for them empty.
            addresses = (message.address, *_drop_empty(message.beliefs, message.via))
        case GroupLoad():
            addresses = _drop_empty(message.forward)
            is_valid = 0 < len(message.members) <= message.ranks
        case Roster():
            addresses = (
                *(one.address for one in message.members),
                *(one.address for one in message.entries),
                *_drop_empty(message.forward),
            )
            is_valid = bool(message.members)
        case Presence():
            addresses = (message.messages,)
        case RankState():
            # A short state omits the addresses that an earlier full state contained.
            addresses = _drop_empty(message.messages, message.replica)
            is_valid = message.rank < message.ranks and (
                isfinite(message.pace) and message.pace >= 0
            )
        case OrderRequest():
            addresses = ()
        case MapChange():
            addresses = message.forward
        case ReplicaLimits():
            addresses = tuple(one.replica for one in message.reports)
            is_valid = all(_is_valid_limit(one.per_s) for one in message.reports)
    if not is_valid or not all(is_address(one) for one in addresses):
        raise ProtocolError(
            "a datagram holds invalid values", context=str(message)[:200]
        )


def _is_valid_limit(per_s: float | None) -> bool:
    return per_s is None or (isfinite(per_s) and per_s >= 0)


def _drop_empty(*addresses: str) -> tuple[str, ...]:
    return tuple(one for one in addresses if one)


def encode_store_snapshot(snapshot: StoreSnapshot) -> bytes:
    """Encode what an entry has read from the store."""
    message = load_schema(_SCHEMA_FILE).Beliefs.new_message()
    message.configurationRevision = snapshot.configuration_revision
    message.configuration = snapshot.configuration
    message.replicasRevision = snapshot.replicas_revision
    message.replicasEra = snapshot.replicas_era
    _write_items(message.init("replicas", len(snapshot.replicas)), snapshot.replicas)
    evacuations = snapshot.evacuations
    _write_items(message.init("evacuations", len(evacuations)), evacuations)
    _write_position(message.init("evacuationsPosition"), snapshot.evacuations_position)
    return _add_checksum(message.to_bytes_packed())


def _write_items(builders: Any, items: Sequence[StoreItem]) -> None:
    for builder, item in zip(builders, items, strict=True):
        builder.key = item.key
        builder.value = item.value
        builder.revision = item.revision


def _read_items(readers: Any) -> tuple[StoreItem, ...]:
    return tuple(
        StoreItem(item.key, bytes(item.value), item.revision) for item in readers
    )


def _write_position(builder: Any, position: StorePosition) -> None:
    builder.era = position.era
    builder.revision = position.revision


def _read_position(reader: Any) -> StorePosition:
    return StorePosition(reader.era, reader.revision)


def decode_store_snapshot(data: bytes) -> StoreSnapshot:
    """Decode another entry's snapshot; raise `ProtocolError` when it is invalid."""
    try:
        message = load_schema(_SCHEMA_FILE).Beliefs.from_bytes_packed(
            _remove_checksum(data), traversal_limit_in_words=_MAX_SNAPSHOT_WORDS
        )
        return StoreSnapshot(
            configuration_revision=message.configurationRevision,
            configuration=bytes(message.configuration),
            replicas_revision=message.replicasRevision,
            replicas_era=message.replicasEra,
            replicas=_read_items(message.replicas),
            evacuations=_read_items(message.evacuations),
            evacuations_position=_read_position(message.evacuationsPosition),
        )
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(
            "a store snapshot can't be decoded", context=str(error)
        ) from error


def _add_checksum(body: bytes) -> bytes:
    """Prepend a checksum to a message."""
    return zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big") + body


def _remove_checksum(data: bytes) -> bytes:
    """Verify and remove the checksum; raise `ProtocolError` for a damaged message.

    The decoder of packed messages ends the whole process on some damaged input because
    its own clean-up fails. Python can't catch that: there is only a line on standard
    error, and all callers lose their connections. The checksum keeps such input from
    the decoder.
    """
    checksum, body = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
    if zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big") != checksum:
        raise ProtocolError(
            "the checksum of a message does not match", context=f"{len(data)} bytes"
        )
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
        returned_ms = int(message.store_returned_s * _MS_PER_S)
        builder.storeReturnedMs = min(_MAX_UINT16, 1 + returned_ms)
    if message.unreported_requests is not None:
        builder.unreportedRequests = min(_MAX_UINT32, 1 + message.unreported_requests)
    if message.evacuations_changed_at != UNKNOWN:
        _write_position(
            builder.init("evacuationsChangedAt"), message.evacuations_changed_at
        )
    if message.waiting is not None:
        builder.tellsWaiting = True
        builder.waiting = encode_rows(message.waiting)


def _read_entry(datagram: Any) -> EntryState:
    reader = datagram.entry
    return EntryState(
        address=reader.address,
        beliefs=reader.beliefs,
        configuration_version=reader.configurationVersion,
        replicas_revision=reader.replicasRevision,
        replicas_era=reader.replicasEra,
        lacks_load=reader.unheard,
        availability_zone=reader.availabilityZone,
        via=reader.via,
        store_returned_s=_read_store_returned(reader.storeReturnedMs),
        unreported_requests=(reader.unreportedRequests - 1)
        if reader.unreportedRequests
        else None,
        evacuations_changed_at=_read_position(reader.evacuationsChangedAt),
        waiting=decode_rows(reader.waiting) if reader.tellsWaiting else None,
    )


def _read_store_returned(milliseconds: int) -> float | None:
    return (milliseconds - 1) / _MS_PER_S if milliseconds else None


def _write_presence(builder: Any, message: Presence) -> None:
    builder.messages = message.messages
    builder.group = message.group
    builder.epoch = message.epoch
    builder.rank = message.rank
    builder.leads = message.leads


def _read_presence(datagram: Any) -> Presence:
    reader = datagram.presence
    return Presence(
        reader.messages, reader.group, reader.epoch, reader.rank, reader.leads
    )


def _write_order(builder: Any, message: OrderRequest) -> None:
    builder.group = message.group
    builder.epoch = message.epoch
    builder.step = message.step
    builder.release = message.release


def _read_order(datagram: Any) -> OrderRequest:
    reader = datagram.order
    return OrderRequest(reader.group, reader.epoch, reader.step, reader.release)


def _write_limits(builder: Any, message: ReplicaLimits) -> None:
    items = builder.init("news", len(message.reports))
    for item, one in zip(items, message.reports, strict=True):
        item.replica = one.replica
        item.startedMs = one.started_ms
        item.named = one.per_s is not None
        item.perS = one.per_s or 0.0
        item.ageMs = min(_MAX_AGE_MS, max(0, int(one.age_s * _MS_PER_S)))


def _read_limits(datagram: Any) -> ReplicaLimits:
    return ReplicaLimits(
        tuple(
            LimitReport(
                replica=one.replica,
                started_ms=one.startedMs,
                per_s=one.perS if one.named else None,
                age_s=one.ageMs / _MS_PER_S,
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
    builder.passUs = min(_MAX_PASS_US, int(message.pass_s * _US_PER_S))
    builder.entries = min(_MAX_UINT16, message.entries)
    builder.members = b"".join(_pack_member(member) for member in message.members)
    builder.relay = message.relay
    builder.forward = message.forward
    if message.waiting is not None:
        builder.tellsWaiting = True
        builder.waiting = encode_rows(message.waiting)
        builder.reporting = min(_MAX_UINT16, message.reporting)


def _pack_member(member: MemberLoad) -> bytes:
    return _MEMBER.pack(
        min(_MAX_UINT16, member.active),
        min(_MAX_UINT16, member.queued),
        min(_MAX_UINT8, round(member.pace * _PACE_STEPS_PER_UNIT)),
        min(_MAX_UINT8, max(0, int(member.age_s * _AGE_UNITS_PER_S))),
    )


def _read_load(datagram: Any) -> GroupLoad:
    reader = datagram.load
    try:
        members = tuple(
            MemberLoad(
                active, queued, pace / _PACE_STEPS_PER_UNIT, age / _AGE_UNITS_PER_S
            )
            for active, queued, pace, age in _MEMBER.iter_unpack(reader.members)
        )
    except struct.error as error:
        raise ValueError(f"members of a load: {error}") from error
    return GroupLoad(
        roster=reader.roster,
        source=reader.source,
        sequence=reader.sequence,
        epoch=reader.epoch,
        ranks=reader.ranks,
        open=reader.open,
        step=reader.step,
        pass_s=reader.passUs / _US_PER_S,
        entries=reader.entries,
        members=members,
        relay=reader.relay,
        forward=reader.forward,
        waiting=decode_rows(reader.waiting) if reader.tellsWaiting else None,
        reporting=reader.reporting,
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
    reader = datagram.roster
    return Roster(
        number=reader.number,
        group=reader.group,
        members=tuple(Member(m.address, m.startedMs) for m in reader.members),
        entries=tuple(
            EntryContact(entry.address, entry.availabilityZone)
            for entry in reader.entries
        ),
        relay=reader.relay,
        forward=reader.forward,
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
    reader = datagram.rank
    return RankState(
        messages=reader.messages,
        replica=reader.replica,
        group=reader.group,
        epoch=reader.epoch,
        rank=reader.rank,
        ranks=reader.ranks,
        open=reader.open,
        active=reader.active,
        step=reader.step,
        map_version=reader.mapVersion,
        prepared=reader.prepared,
        armed_version=reader.armedVersion,
        armed_step=reader.armedStep,
        held_step=reader.heldStep,
        experts=_read_lists(reader.experts),
        queued=reader.queued,
        pace=reader.pace,
        counts=_read_counts(reader.counts),
        started_ms=reader.startedMs,
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
    reader = datagram.change
    by_rank = _read_lists(reader.experts)
    ranks = len(by_rank) // max(1, reader.sets)
    return MapChange(
        group=reader.group,
        epoch=reader.epoch,
        version=reader.version,
        experts=tuple(
            by_rank[start : start + ranks]
            for start in range(0, ranks * reader.sets, ranks or 1)
        ),
        step=reader.step,
        forward=tuple(reader.forward),
    )


def _write_lists(builder: Any, lists: Sequence[Sequence[int]]) -> None:
    items = [item for one in lists for item in one]
    builder.wide = max(items, default=0) > _MAX_UINT8
    builder.items = _pack_numbers(items, wide=builder.wide)
    builder.lengths = _pack_numbers([len(one) for one in lists], wide=True)


def _read_lists(builder: Any) -> tuple[tuple[int, ...], ...]:
    items = _unpack_numbers(builder.items, wide=builder.wide)
    found, offset = [], 0
    for length in _unpack_numbers(builder.lengths, wide=True):
        found.append(items[offset : offset + length])
        offset += length
    return tuple(found)


def _pack_numbers(numbers: Sequence[int], *, wide: bool) -> bytes:
    return array("H" if wide else "B", numbers).tobytes()


def _unpack_numbers(data: bytes, *, wide: bool) -> tuple[int, ...]:
    # All VMs of the system are of the same kind, so both ends have the same byte order.
    numbers = array("H" if wide else "B")
    numbers.frombytes(data)
    return tuple(numbers)


def _write_counts(builder: Any, counts: Counts) -> None:
    if not counts:
        return
    unit = max(1, -(-max(counts) // _MAX_UINT8))
    rounded = bytes((count + unit // 2) // unit for count in counts)
    builder.items = zlib.compress(rounded, _COMPRESSION_LEVEL)
    builder.unit = unit
    builder.size = len(counts)


def _read_counts(builder: Any) -> Counts:
    size, unit = builder.size, builder.unit
    if not size:
        return ()
    if size > _MAX_COUNTS:
        raise ValueError(f"{size} counts in one message")
    # A few bytes may decompress to gigabytes, so stop at the announced size.
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

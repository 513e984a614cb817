"""Encode and decode the messages about the table between processes."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from hyssopvane._internal import protocol
from hyssopvane._internal.coordination.page_delta import PageChange
from hyssopvane._internal.coordination.vm_list import VmRecord, VmRole, VmState
from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.codec import load_schema
from hyssopvane._internal.state.store_position import StorePosition

_SCHEMA_FILE = Path(protocol.__file__).with_name("spread.capnp")
_Decoded = TypeVar("_Decoded")


@dataclass(frozen=True, slots=True)
class Pages:
    """Hold changes of pages and whether the sender has more of them."""

    changes: tuple[PageChange, ...]
    more: bool = False


@dataclass(frozen=True, slots=True)
class Beat:
    """Report that a watcher is alive, and the version of the sender's table."""

    origin: str
    incarnation: int
    sequence: int
    revision: int
    digest: int
    in_touch: bool
    """Whether the watcher is in contact with the service."""
    vms_digest: int = 0
    """Hash of the sender's list of VMs."""
    era: int = 0
    """Era of the service that the revision belongs to."""

    @property
    def position(self) -> StorePosition:
        """Return the position of the sender's table in the history of the service."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class VmChanges:
    """Hold the VMs that changed in the list or left it."""

    changed: tuple[VmRecord, ...]
    gone: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OwnRow:
    """Hold the cells of one row at the revision of its page."""

    row: str
    page_revision: int
    cells: Mapping[str, str] | None
    """None when the table has no such row."""
    page_era: int = 0
    lost_revision: int = 0
    """Sum of the revisions of the page from earlier eras that the sender holds.

    An entry receives edits that the service has lost from peers, after the page itself.
    """

    @property
    def order(self) -> tuple[StorePosition, int]:
        """Return the key that orders the versions of the row from several senders."""
        return StorePosition(self.page_era, self.page_revision), self.lost_revision


@dataclass(frozen=True, slots=True)
class OwnRows:
    """Hold the table rows that one agent needs."""

    table_revision: int
    rows: tuple[OwnRow, ...]
    table_era: int = 0


def encode_pages(pages: Pages) -> bytes:
    """Encode changes of pages and whether there are more."""
    message = load_schema(_SCHEMA_FILE).Pages.new_message()
    message.more = pages.more
    builders = message.init("changes", len(pages.changes))
    for builder, change in zip(builders, pages.changes, strict=True):
        builder.key = change.key
        builder.baseRevision = change.base_revision
        builder.revision = change.revision
        builder.digest = change.digest
        builder.content = change.content
        builder.era = change.era
    return _pack(message)


def decode_pages(data: bytes) -> Pages:
    """Decode changes of pages; raise `ProtocolError`."""

    def read(message: Any) -> Pages:
        changes = tuple(
            PageChange(
                one.key,
                one.baseRevision,
                one.revision,
                one.digest,
                bytes(one.content),
                one.era,
            )
            for one in message.changes
        )
        return Pages(changes, message.more)

    return _unpack("Pages", data, read)


def encode_question(held: Mapping[str, Sequence[StorePosition]]) -> bytes:
    """Encode the positions of all page versions that the sender holds."""
    message = load_schema(_SCHEMA_FILE).Question.new_message()
    states = [
        (key, position) for key, positions in held.items() for position in positions
    ]
    builders = message.init("held", len(states))
    for builder, (key, position) in zip(builders, states, strict=True):
        builder.key, builder.era, builder.revision = (
            key,
            position.era,
            position.revision,
        )
    return _pack(message)


def decode_question(data: bytes) -> dict[tuple[str, int], int]:
    """Decode the held revision by page key and era.

    Raise `ProtocolError` when the data is not a question.
    """
    return _unpack(
        "Question",
        data,
        lambda message: {(one.key, one.era): one.revision for one in message.held},
    )


def encode_beat(beat: Beat) -> bytes:
    """Encode a beat of a watcher."""
    message = load_schema(_SCHEMA_FILE).Beat.new_message(
        origin=beat.origin,
        incarnation=beat.incarnation,
        sequence=beat.sequence,
        revision=beat.revision,
        digest=beat.digest,
        inTouch=beat.in_touch,
        vmsDigest=beat.vms_digest,
        era=beat.era,
    )
    return _pack(message)


def decode_beat(data: bytes) -> Beat:
    """Decode a beat of a watcher; raise `ProtocolError`."""
    return _unpack(
        "Beat",
        data,
        lambda one: Beat(
            one.origin,
            one.incarnation,
            one.sequence,
            one.revision,
            one.digest,
            one.inTouch,
            one.vmsDigest,
            one.era,
        ),
    )


def encode_vm_changes(changes: VmChanges) -> bytes:
    """Encode changes of the list of VMs."""
    message = load_schema(_SCHEMA_FILE).VmChanges.new_message()
    message.gone = list(changes.gone)
    builders = message.init("changed", len(changes.changed))
    for builder, record in zip(builders, changes.changed, strict=True):
        builder.name = record.name
        builder.address = record.address
        builder.availabilityZone = record.availability_zone
        builder.role = str(record.role)
        builder.service = record.service
        builder.state = str(record.state)
    return _pack(message)


def decode_vm_changes(data: bytes) -> VmChanges:
    """Decode changes of the list of VMs; raise `ProtocolError`."""
    return _unpack(
        "VmChanges",
        data,
        lambda message: VmChanges(
            tuple(_read_vm(one) for one in message.changed), tuple(message.gone)
        ),
    )


def _read_vm(one: Any) -> VmRecord:
    return VmRecord(
        one.name,
        one.address,
        one.availabilityZone,
        VmRole(one.role),
        one.service,
        VmState(one.state),
    )


def encode_own_rows(rows: OwnRows) -> bytes:
    """Encode the rows of one agent."""
    message = load_schema(_SCHEMA_FILE).OwnRows.new_message()
    message.tableRevision = rows.table_revision
    message.tableEra = rows.table_era
    builders = message.init("rows", len(rows.rows))
    for builder, row in zip(builders, rows.rows, strict=True):
        builder.row = row.row
        builder.pageRevision = row.page_revision
        builder.pageEra = row.page_era
        builder.lostRevision = row.lost_revision
        builder.present = row.cells is not None
        _write_cells(builder, row.cells or {})
    return _pack(message)


def decode_own_rows(data: bytes) -> OwnRows:
    """Decode the rows of one agent; raise `ProtocolError`."""

    def read(message: Any) -> OwnRows:
        rows = tuple(
            OwnRow(
                one.row,
                one.pageRevision,
                {cell.column: cell.text for cell in one.cells} if one.present else None,
                one.pageEra,
                one.lostRevision,
            )
            for one in message.rows
        )
        return OwnRows(message.tableRevision, rows, message.tableEra)

    return _unpack("OwnRows", data, read)


def _write_cells(builder: Any, cells: Mapping[str, str]) -> None:
    items = builder.init("cells", len(cells))
    for item, (column, text) in zip(items, cells.items(), strict=True):
        item.column, item.text = column, text


def _pack(message: Any) -> bytes:
    packed: bytes = message.to_bytes_packed()
    return packed


def _unpack(kind: str, data: bytes, read: Callable[[Any], _Decoded]) -> _Decoded:
    import capnp

    try:
        schema = getattr(load_schema(_SCHEMA_FILE), kind)
        return read(schema.from_bytes_packed(data))
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(
            f"a message about the table can't be decoded: {kind}",
            context=str(error).splitlines()[0][:200],
            hint="run the same version on all VMs",
        ) from error

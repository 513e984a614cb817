"""Decode the reports of ranks, and encode orders to them."""

import json
from collections.abc import Mapping, Sequence
from typing import Annotated, Any, Literal, TypeVar

from hyssopvane._internal.models.lean_models import Field
from hyssopvane._internal.platform.documents import (
    Count,
    Document,
    Measure,
    Name,
    read_document,
)
from hyssopvane._internal.state.ranks import (
    Arm,
    Disarm,
    Hold,
    Prepare,
    RankOrder,
    RankReport,
    Release,
)

REPORT_PATH = b"/api/report"
COUNTS_PATH = b"/api/picked"
MAP_PATH = b"/api/picked?lists=1"
ORDER_PATH = b"/api/order"

MAX_RANKS = 4_096
"""Largest accepted group; the largest that is planned for has 64 ranks."""

MAX_EXPERTS = 65_535
"""Largest accepted number of experts of all sets: messages use two-byte numbers."""

MAX_REQUESTS = 65_535
"""Largest accepted number of requests of a replica, a 16-bit field in messages."""

_MAX_LOGGED_BYTES = 200
"""Bytes of an unreadable document that are logged."""

Requests = Annotated[int, Field(ge=0, le=MAX_REQUESTS)]
_Expert = Annotated[int, Field(ge=0, lt=MAX_EXPERTS)]
_ExpertsBySet = Annotated[list[list[_Expert]], Field(max_length=MAX_EXPERTS)]
_Kind = TypeVar("_Kind", bound=Document)


class _Group(Document):
    name: Name
    epoch: Count
    rank: Annotated[int, Field(ge=0, lt=MAX_RANKS)]
    state: Literal["open", "broken"]


class _Armed(Document):
    version: Count = 0
    step: Count = 0


class Report(Document):
    """Represent the report document of a replica."""

    group: _Group | None = None
    size: Annotated[int, Field(ge=1, le=MAX_RANKS)] = 1
    active: Requests = 0
    queued: Requests = 0
    pace: Measure = 1.0
    step: Count = 0
    # A version number, not the map itself.
    expert_map: Count | None = Field(0, alias="expert-map")
    # A version, a list of versions, or tables that hold them.
    prepared: Count | _Armed | list[Count | _Armed] | None = None
    armed: _Armed | Count | list[_Armed] | None = None
    held: Count | _Armed | None = None
    busy: bool = False
    # Despite its name, the number of orders that the rank accepted since its start.
    seq: Count = 0
    # The replica's start by its own clock, in ms; 0 if it is not sent.
    born: Count = 0


def decode_report(body: bytes) -> RankReport:
    """Return the report of a rank; raise `ConfigurationError`."""
    item = _read(Report, body)
    group = item.group
    armed = item.armed[0] if isinstance(item.armed, list) and item.armed else item.armed
    return RankReport(
        group="" if group is None else group.name,
        epoch=0 if group is None else group.epoch,
        rank=0 if group is None else group.rank,
        ranks=item.size,
        open=group is None or group.state == "open",
        active=item.active,
        queued=item.queued,
        pace=item.pace,
        step=item.step,
        map_version=item.expert_map or 0,
        prepared=_read_version(item.prepared),
        armed_version=_read_version(item.armed),
        armed_step=armed.step if isinstance(armed, _Armed) else 0,
        held_step=item.held.step if isinstance(item.held, _Armed) else item.held or 0,
        busy=item.busy,
        sequence=item.seq,
        started_ms=item.born,
    )


class Picks(Document):
    """Represent how often each expert was chosen since the rank started."""

    step: Count
    epoch: Count
    # One list of all sets, in order of the sets.
    counts: Annotated[tuple[Count, ...], Field(max_length=MAX_EXPERTS, strict=False)]


def decode_counts(body: bytes) -> Picks:
    """Return the expert counts of a rank; raise `ConfigurationError`."""
    return _read(Picks, body)


class _Experts(Document):
    experts: _ExpertsBySet


class Experts(Document):
    """Represent the experts of one rank."""

    # Despite its name, the experts of one rank and not the whole map.
    lists: _Experts | _ExpertsBySet = Field(alias="expert-map")


def decode_experts(body: bytes) -> tuple[tuple[int, ...], ...]:
    """Return the experts on a rank, by set; raise `ConfigurationError`."""
    lists = _read(Experts, body).lists
    by_set = lists.experts if isinstance(lists, _Experts) else lists
    return tuple(tuple(one) for one in by_set)


def _read(kind: type[_Kind], body: bytes) -> _Kind:
    context = body[:_MAX_LOGGED_BYTES].decode("latin1")
    return read_document(kind, body, context=context, hint="the rank is polled again")


def encode_order(order: RankOrder) -> bytes:
    """Return an order as the JSON body of a request."""
    return json.dumps(_make_document(order)).encode()


def _make_document(order: RankOrder) -> Mapping[str, Any]:
    match order:
        case Prepare():
            return {
                "operation": "prepare",
                "version": order.version,
                "epoch": order.epoch,
                "expert-map": _list_experts(order.experts),
            }
        case Arm():
            return {
                "operation": "arm",
                "version": order.version,
                "step": order.step,
                "epoch": order.epoch,
            }
        case Disarm():
            return {
                "operation": "disarm",
                "version": order.version,
                "epoch": order.epoch,
            }
        case Hold():
            return {"operation": "hold", "step": order.step, "epoch": order.epoch}
        case Release():
            return {"operation": "go", "step": order.step, "epoch": order.epoch}


def _list_experts(
    experts: Sequence[Sequence[Sequence[int]]],
) -> list[list[list[int]]]:
    return [[list(rank) for rank in one_set] for one_set in experts]


def _read_version(value: object) -> int:
    if isinstance(value, list):
        return max((_read_version(one) for one in value), default=0)
    if isinstance(value, _Armed):
        return value.version
    return value if isinstance(value, int) else 0

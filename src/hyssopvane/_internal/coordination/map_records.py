"""Encode and decode the records, maps and messages of expert map switches."""

import json
from typing import Any

from pydantic import TypeAdapter, ValidationError

from hyssopvane._internal.coordination.key_value import KeyValue, get_value_prefix
from hyssopvane._internal.exceptions import MapSwitchError
from hyssopvane._internal.policy.expert_maps import ExpertMap
from hyssopvane._internal.state.map_switch import (
    GroupRecord,
    RankAnswer,
    VersionedRecord,
)
from hyssopvane._internal.utils.json_documents import (
    UnreadableDocument,
    parse_document,
    read_number,
)

PREFIX = "maps/"

_RECORD: TypeAdapter[GroupRecord] = TypeAdapter(GroupRecord)
_ANSWER: TypeAdapter[RankAnswer] = TypeAdapter(RankAnswer)
_MAP: TypeAdapter[ExpertMap] = TypeAdapter(ExpertMap)


def get_record_key(service: str, group: str) -> str:
    """Return the key of a group's record."""
    return f"{PREFIX}{service}/{group}/switch"


def get_map_key(service: str, group: str, name: str) -> str:
    """Return the key of a map from the name that engines use for it."""
    return f"{PREFIX}{service}/{group}/map/{name}"


def get_coordinator_key(service: str, group: str) -> str:
    """Return the key that the coordinator of a group attaches to its lease."""
    return f"{PREFIX}{service}/{group}/duty"


def format_record(record: GroupRecord) -> bytes:
    """Encode a record as JSON."""
    return _RECORD.dump_json(record)


def parse_record(item: KeyValue | None, *, era: int = 0) -> VersionedRecord:
    """Decode a record; return the initial one if the group has never switched.

    `era` is the era of the service in which no record was found.
    """
    if item is None:
        return VersionedRecord(era=era)
    record = _parse(_RECORD, item.value, item.key)
    return VersionedRecord(
        record, item.revision, item.era, get_value_prefix(item.value)
    )


def format_map(expert_map: ExpertMap) -> bytes:
    """Encode a map as JSON."""
    return _MAP.dump_json(expert_map)


def parse_map(item: KeyValue) -> ExpertMap:
    """Decode a map; raise `MapSwitchError` when it is malformed."""
    found: ExpertMap = _parse(_MAP, item.value, item.key)
    return found


def format_order(group: str, fence: int) -> bytes:
    """Encode the message by which a coordinator makes an agent read the record."""
    return json.dumps({"group": group, "fence": fence}).encode()


def parse_order(body: bytes) -> tuple[str, int]:
    """Return the group and the fence from a coordinator's message."""
    try:
        return parse_document(
            body, lambda one: (str(one["group"]), read_number(one["fence"]))
        )
    except UnreadableDocument as error:
        raise MapSwitchError(
            "an order about an expert map is malformed",
            hint="check that all processes run the same version",
        ) from error


def format_answer(answer: RankAnswer) -> bytes:
    """Encode an agent's answer as JSON."""
    return _ANSWER.dump_json(answer)


def parse_answer(body: bytes, *, rank: str) -> RankAnswer:
    """Decode an agent's answer; raise `MapSwitchError` when it is malformed."""
    answer: RankAnswer = _parse(_ANSWER, body, rank)
    return answer


def _parse(adapter: TypeAdapter[Any], content: bytes, source: str) -> Any:
    try:
        return adapter.validate_json(content)
    except ValidationError as error:
        raise MapSwitchError(
            f"a record of an expert map is malformed: {error.errors()[0]['msg']}",
            context=source,
            hint="check that all processes run the same version",
        ) from error

"""Write a group's record and map as the key-value service holds them."""

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

PREFIX = "maps/"

_RECORD: TypeAdapter[GroupRecord] = TypeAdapter(GroupRecord)
_ANSWER: TypeAdapter[RankAnswer] = TypeAdapter(RankAnswer)
_MAP: TypeAdapter[ExpertMap] = TypeAdapter(ExpertMap)


def get_record_key(service: str, group: str) -> str:
    """Return the key of a group's record."""
    return f"{PREFIX}{service}/{group}/switch"


def get_map_key(service: str, group: str, name: str) -> str:
    """Return the key of a map, by the name that engines know."""
    return f"{PREFIX}{service}/{group}/map/{name}"


def get_duty_key(service: str, group: str) -> str:
    """Return the key that the holder of a group's duty puts under its lease."""
    return f"{PREFIX}{service}/{group}/duty"


def format_record(record: GroupRecord) -> bytes:
    """Return a record's JSON."""
    return _RECORD.dump_json(record)


def parse_record(item: KeyValue | None, *, era: int = 0) -> VersionedRecord:
    """Read a record; a group that has none has never switched.

    `era` is the era of the service in which none was found.
    """
    if item is None:
        return VersionedRecord(era=era)
    record = _parse(_RECORD, item.value, item.key)
    return VersionedRecord(
        record, item.revision, item.era, get_value_prefix(item.value)
    )


def format_map(expert_map: ExpertMap) -> bytes:
    """Return a map's JSON."""
    return _MAP.dump_json(expert_map)


def parse_map(item: KeyValue) -> ExpertMap:
    """Read a map."""
    found: ExpertMap = _parse(_MAP, item.value, item.key)
    return found


def format_order(group: str, fence: int) -> bytes:
    """Return the question by which a coordinator asks an agent to look."""
    return json.dumps({"group": group, "fence": fence}).encode()


def parse_order(body: bytes) -> tuple[str, int]:
    """Return the group and the fence of a question."""
    try:
        document = json.loads(body)
        return str(document["group"]), int(document["fence"])
    except (ValueError, KeyError, TypeError) as error:
        raise MapSwitchError(
            "an order about an expert map is malformed",
            hint="check that all processes run the same version",
        ) from error


def format_answer(answer: RankAnswer) -> bytes:
    """Return an answer's JSON."""
    return _ANSWER.dump_json(answer)


def parse_answer(body: bytes, *, rank: str) -> RankAnswer:
    """Read an agent's answer."""
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

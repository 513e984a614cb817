"""Encode and decode what entries share about requests that crash replicas."""

import json
from collections.abc import Mapping
from math import isfinite
from typing import Any

from hyssopvane._internal.state.suspects import (
    Crash,
    CrashKey,
    SuspectId,
    SuspectRecord,
)

MAX_CASES = 4_096
"""Maximum number of records in a page, more than entries write."""

_FORMAT = 1
_MAX_CRASHES = 64
_MAX_NAME_LENGTH = 256
_MAX_DIGEST_BYTES = 64


def format_page(records: Mapping[SuspectId, SuspectRecord], *, offset: float) -> bytes:
    """Encode records as JSON with times of the wall clock."""
    document = {
        "format": _FORMAT,
        "cases": [
            _format_record(body, record, offset) for body, record in records.items()
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def parse_page(content: bytes, *, offset: float) -> dict[SuspectId, SuspectRecord]:
    """Decode records; raise `ValueError` when the page is malformed."""
    try:
        document = json.loads(content)
        if document["format"] != _FORMAT:
            raise ValueError(f"unknown format {document['format']}")
        if len(document["cases"]) > MAX_CASES:
            raise ValueError(f"{len(document['cases'])} cases")
        return dict(_parse_record(one, offset) for one in document["cases"])
    except (
        LookupError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ValueError(f"unreadable page: {error!r}") from error


def _format_record(
    body: SuspectId, record: SuspectRecord, offset: float
) -> dict[str, object]:
    document: dict[str, object] = {
        "service": body.service,
        "digest": body.digest.hex(),
        "crashes": [
            [crash.target, crash.incarnation, round(crash.at + offset, 3)]
            for crash in record.crashes
        ],
        "quarantined": record.quarantined,
        "until": round(record.until + offset, 3),
    }
    # Entries of earlier versions read none of these.
    if body.customer:
        document["customer"] = body.customer
    if body.is_part:
        document["part"] = True
    if any(crash.generation != 1 for crash in record.crashes):
        document["generations"] = [crash.generation for crash in record.crashes]
    if record.voided:
        document["voided"] = sorted(record.voided)
    if record.has_finished:
        document["finished"] = True
    return document


def _parse_record(
    document: dict[str, Any], offset: float
) -> tuple[SuspectId, SuspectRecord]:
    crashes, until = document["crashes"], document["until"]
    generations = document.get("generations", [1] * len(crashes))
    voided = document.get("voided", [])
    for one in (crashes, generations, voided):
        if not isinstance(one, list) or len(one) > _MAX_CRASHES:
            raise TypeError("crashes must be a short list")
    body = SuspectId(
        _check_name(document["service"]),
        bytes.fromhex(str(document["digest"])),
        _check_name(document.get("customer", "")),
        is_part=bool(document.get("part", False)),
    )
    if len(body.digest) > _MAX_DIGEST_BYTES:
        raise ValueError("a digest is too long")
    record = SuspectRecord(
        crashes=tuple(
            _parse_crash(crash, generation, offset)
            for crash, generation in zip(crashes, generations, strict=True)
        ),
        quarantined=bool(document["quarantined"]),
        until=_check_time(until) - offset,
        voided=frozenset(_check_key(one) for one in voided),
        has_finished=bool(document.get("finished", False)),
    )
    return body, record


def _parse_crash(crash: list[object], generation: object, offset: float) -> Crash:
    target, incarnation, at = crash
    return Crash(
        _check_name(target),
        _check_number(incarnation),
        _check_time(at) - offset,
        _check_number(generation),
    )


def _check_name(value: object) -> str:
    if not isinstance(value, str) or len(value) > _MAX_NAME_LENGTH:
        raise TypeError(f"not a name: {value!r:.40}")
    return value


def _check_number(value: object) -> int:
    if not isinstance(value, int) or value < 0:
        raise TypeError(f"not a number: {value!r:.40}")
    return value


def _check_time(value: object) -> float:
    if not isinstance(value, int | float) or not isfinite(value):
        raise TypeError(f"not a time: {value!r:.40}")
    return float(value)


def _check_key(value: list[object]) -> CrashKey:
    target, incarnation = value
    return (_check_name(target), _check_number(incarnation))

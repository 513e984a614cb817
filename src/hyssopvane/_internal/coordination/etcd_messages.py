"""Build and parse the messages of etcd's JSON gateway."""

from base64 import b64decode, b64encode
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from hyssopvane._internal.coordination.key_value import (
    NO_LEASE,
    Check,
    KeyValue,
    Swap,
    SwapLost,
    Swapped,
    WatchEvent,
)
from hyssopvane._internal.coordination.service_era import NO_CLUSTER

JsonObject: TypeAlias = dict[str, Any]

_NO_END = b"\0"
"""End of a range that includes the last key, as etcd defines it."""


@dataclass(frozen=True, slots=True)
class ServiceHeader:
    """Hold the cluster id and the revision of the service from an answer."""

    cluster: int
    revision: int


def get_range_end(prefix: bytes) -> bytes:
    """Return the first key after every key with the prefix."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return _NO_END


def make_transaction(swaps: Sequence[Swap], checks: Sequence[Check]) -> JsonObject:
    """Return the request that applies swaps if they and the checks hold."""
    expected: tuple[Swap | Check, ...] = (*swaps, *checks)
    return {
        "compare": [one for item in expected for one in _make_compares(item)],
        "success": [_make_change(swap) for swap in swaps],
        "failure": [
            {"request_range": {"key": encode_text(item.key)}} for item in expected
        ],
    }


def _make_compares(item: Swap | Check) -> list[JsonObject]:
    key, prefix = encode_text(item.key), item.expected_prefix
    if not prefix:
        revision = str(item.expected_revision)
        return [
            {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision}
        ]
    return [
        {"key": key, "target": "VALUE", "result": result, "value": encode_bytes(bound)}
        for result, bound in list_value_bounds(prefix)
    ]


def list_value_bounds(prefix: bytes) -> list[tuple[str, bytes]]:
    """Return the comparisons that hold only for values longer than their prefix."""
    end = get_range_end(prefix)
    return [("GREATER", prefix)] + ([("LESS", end)] if end != _NO_END else [])


def _make_change(swap: Swap) -> JsonObject:
    if swap.value is None:
        return {"request_delete_range": {"key": encode_text(swap.key)}}
    put = {"key": encode_text(swap.key), "value": encode_bytes(swap.value)}
    if swap.lease != NO_LEASE:
        put["lease"] = str(swap.lease)
    return {"request_put": put}


def parse_event(event: JsonObject, era: int) -> WatchEvent:
    """Parse one change of a watch."""
    item = _parse_item(event["kv"], era)
    value = None if event.get("type") == "DELETE" else item.value
    return WatchEvent(item.key, value, item.revision, era)


def parse_transaction(answer: JsonObject, era: int) -> Swapped | SwapLost:
    """Parse the result of a transaction."""
    if answer.get("succeeded", False):
        return Swapped(parse_revision(answer), era)
    current: list[KeyValue] = []
    for response in answer["responses"]:
        current.extend(parse_items(response["response_range"], era))
    return SwapLost(tuple(current), era)


def parse_revision(answer: JsonObject) -> int:
    """Return the revision of the service in the header of an answer."""
    return int(answer["header"]["revision"])


def parse_header(answer: JsonObject) -> ServiceHeader:
    """Parse the header of an answer."""
    header = answer["header"]
    return ServiceHeader(
        int(header.get("cluster_id", NO_CLUSTER)), int(header["revision"])
    )


def parse_items(answer: JsonObject, era: int) -> tuple[KeyValue, ...]:
    """Parse the keys and values of an answer."""
    return tuple(_parse_item(item, era) for item in answer.get("kvs", []))


def _parse_item(item: JsonObject, era: int) -> KeyValue:
    return KeyValue(
        key=b64decode(item["key"]).decode(),
        value=b64decode(item.get("value", "")),
        revision=int(item.get("mod_revision", 0)),
        era=era,
    )


def encode_text(text: str) -> str:
    """Encode a key in base64."""
    return encode_bytes(text.encode())


def encode_bytes(value: bytes) -> str:
    """Encode a value in base64."""
    return b64encode(value).decode()

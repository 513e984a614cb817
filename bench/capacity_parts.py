"""Measure components that need no connections: table, claims, decisions, codec."""

import hashlib
import time
from collections.abc import Callable
from random import Random

import trio

from bench.decisions import measure_cost
from bench.slopes import Point, Slope, fit_slope
from hyssopvane._internal.coordination.claim_pages import decode_page, encode_page
from hyssopvane._internal.coordination.key_value import KeyValue
from hyssopvane._internal.coordination.table_pages import (
    Cell,
    Page,
    StoredRow,
    format_page,
    get_page_key,
)
from hyssopvane._internal.coordination.table_store import TableReader
from hyssopvane._internal.protocol.codec import decode_frames, encode_frames
from hyssopvane._internal.protocol.messages import Chunk, Frame
from hyssopvane._internal.standins.key_value_state import KeyValueState
from hyssopvane._internal.state.claims import Claim, ClaimPage
from hyssopvane._internal.state.columns import RowId, RowKind
from tests.lib.fake_key_value import FakeKeyValueStore

_MICROSECONDS = 1e6
_MILLISECONDS = 1e3
_ROUNDS = 2_000
_CELLS = (
    ("weight", "250"),
    ("rate_limit", "40.0"),
    ("concurrency_limit", "64"),
    ("token_limit", "200000"),
)


def time_best(work: Callable[[], object], *, rounds: int, parts: int = 5) -> float:
    """Return the processor time of one call in seconds, the best of several series.

    The best series is the one least disturbed by other work on the machine.
    """
    best = float("inf")
    for _ in range(parts):
        started_at = time.process_time()
        for _ in range(rounds):
            work()
        best = min(best, time.process_time() - started_at)
    return best / rounds


def measure_targets() -> Slope:
    """Measure one decision by the number of targets that an entry knows."""
    points = [
        Point(
            size,
            measure_cost(
                targets=size, customers=36, waiting=0, rounds=_ROUNDS
            ).microseconds,
        )
        for size in (10, 32, 64, 128, 256)
    ]
    return fit_slope("targets", points, size_unit="target", value_unit="us")


def measure_customers() -> Slope:
    """Measure one decision by the number of customers."""
    points = [
        Point(
            size,
            measure_cost(
                targets=64, customers=size, waiting=0, rounds=_ROUNDS
            ).microseconds,
        )
        for size in (10, 36, 100, 200, 360)
    ]
    return fit_slope("customers", points, size_unit="customer", value_unit="us")


def measure_table_memory() -> Slope:
    """Measure the bytes of the complete table by the number of customer rows."""
    points = []
    for size in (60, 120, 240, 360, 720):
        items = make_table(size)
        points.append(Point(size, sum(len(item.value) for item in items)))
    return fit_slope("table-bytes", points, size_unit="row", value_unit="bytes")


def measure_changed_cells() -> Slope:
    """Measure a reader's processor time by changed cells, for a table of 366 rows."""
    points = [Point(size, trio.run(_apply_changes, size)) for size in (10, 20, 40, 80)]
    return fit_slope("changed-cells", points, size_unit="change", value_unit="ms")


async def _apply_changes(count: int) -> float:
    items = make_table(366)
    async with trio.open_nursery() as nursery:
        store = FakeKeyValueStore(KeyValueState(time.monotonic), nursery)
        reader = TableReader(store, random=Random(0))
    reader.accept(items)

    def apply() -> None:
        for number in range(count):
            item = items[number % len(items)]
            revision = reader.table.revision + 1
            reader.accept([KeyValue(item.key, item.value, revision, 0)])

    return time_best(apply, rounds=2) * _MILLISECONDS


def measure_claim_bytes() -> Slope:
    """Measure the bytes of a page by its number of claims."""
    points = [
        Point(size, len(encode_page(make_claims(size))))
        for size in (100, 500, 1_000, 2_000, 4_000)
    ]
    return fit_slope("claim-bytes", points, size_unit="claim", value_unit="bytes")


def measure_claim_time() -> Slope:
    """Measure the time to decode and re-encode a page by its number of claims."""
    points = []
    for size in (100, 500, 1_000, 2_000):
        page = make_claims(size)
        data = encode_page(page)

        def rewrite(data: bytes = data) -> None:
            encode_page(decode_page(data))

        points.append(Point(size, time_best(rewrite, rounds=5) * _MILLISECONDS))
    return fit_slope("claim-time", points, size_unit="claim", value_unit="ms")


def measure_token_codec() -> Slope:
    """Measure encoding and decoding of a batch by its number of token chunks."""
    points = []
    for size in (1, 8, 32, 64, 128):
        frames = [
            Frame(number * 2 + 1, Chunk(b'data: {"index": 1, "text": "word"}\n\n'))
            for number in range(size)
        ]

        def round_trip(frames: list[Frame] = frames) -> None:
            decode_frames(encode_frames(frames))

        points.append(Point(size, time_best(round_trip, rounds=200) * _MICROSECONDS))
    return fit_slope("token-codec", points, size_unit="token", value_unit="us")


def make_table(rows: int) -> list[KeyValue]:
    """Return the pages of a table with `rows` customers."""
    pages: dict[str, Page] = {}
    for number in range(rows):
        row = RowId(RowKind.CUSTOMER, f"customer-{number:04d}")
        digest = hashlib.sha256(row.name.encode()).hexdigest()
        cells = {name: Cell(text, number + 1) for name, text in _CELLS}
        cells["key_sha256"] = Cell(digest, number + 1)
        key = get_page_key(row)
        stored = StoredRow(number + 1, cells)
        pages[key] = pages.get(key, Page()).with_row(row, stored)
    return [
        KeyValue(key, format_page(page), rows + 1, 0)
        for key, page in sorted(pages.items())
    ]


def make_claims(count: int) -> ClaimPage:
    """Return a page of claims distributed over twenty targets."""
    random = Random(count)
    return ClaimPage(
        {
            random.getrandbits(64): Claim(
                attempt=random.getrandbits(64),
                body_digest=random.getrandbits(32),
                target=f"draft-{number % 20}",
                incarnation=number % 20 + 1,
            )
            for number in range(count)
        }
    )


MEASURES = {
    "targets": measure_targets,
    "customers": measure_customers,
    "table-bytes": measure_table_memory,
    "changed-cells": measure_changed_cells,
    "claim-bytes": measure_claim_bytes,
    "claim-time": measure_claim_time,
    "token-codec": measure_token_codec,
}

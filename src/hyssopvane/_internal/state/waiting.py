"""Define what waits for a service, as entries report it to each other."""

from dataclasses import dataclass
from functools import lru_cache

import xxhash

OTHER_CUSTOMERS = 0
"""Customer of a row that adds up the customers which have no row of their own."""

LATE_PRIORITY = 128
"""Added to the priority of requests that can't be answered on time any more.

They come after all requests that can be on time.
"""

MAX_ROWS = 64
"""Most rows of one report or sum."""

MAX_REQUESTS = 2**16 - 1
"""Most requests of one row; larger numbers are cut off."""


@dataclass(frozen=True, slots=True)
class WaitingRow:
    """Count the waiting requests of one customer with one priority."""

    priority: int
    """Priority of the requests; 0 is served first."""
    customer: int
    """32-bit hash of the customer's name."""
    requests: int


@lru_cache(maxsize=4_096)
def hash_customer(name: str) -> int:
    """Return the 32-bit hash by which entries report a customer to each other."""
    number: int = xxhash.xxh32_intdigest(name.encode())
    return number if number != OTHER_CUSTOMERS else OTHER_CUSTOMERS + 1


def merge_rows(counts: dict[tuple[int, int], int]) -> tuple[WaitingRow, ...]:
    """Return rows of counts by priority and customer, at most `MAX_ROWS`.

    The smallest ones are added up for each priority.
    """
    counts = {key: number for key, number in counts.items() if number > 0}
    if len(counts) > MAX_ROWS:
        counts = _merge_smallest(counts)
    return tuple(
        WaitingRow(priority, customer, min(MAX_REQUESTS, number))
        for (priority, customer), number in sorted(counts.items())
    )


def _merge_smallest(counts: dict[tuple[int, int], int]) -> dict[tuple[int, int], int]:
    priorities = sorted({priority for priority, _ in counts})[: MAX_ROWS // 2]
    named = sorted(
        (
            (number, key)
            for key, number in counts.items()
            if key[1] != OTHER_CUSTOMERS and key[0] in priorities
        ),
        reverse=True,
    )
    kept = {key: number for number, key in named[: MAX_ROWS - len(priorities)]}
    for (priority, customer), number in counts.items():
        if (priority, customer) not in kept:
            key = (min(priority, priorities[-1]), OTHER_CUSTOMERS)
            kept[key] = kept.get(key, 0) + number
    return kept

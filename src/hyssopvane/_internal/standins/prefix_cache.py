"""Simulate an engine's prompt prefix cache with limited memory."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import StrEnum

import xxhash

BLOCK_CHARACTERS = 64
MAX_EVENTS = 10_000
"""Events retained for readers, who see dropped older ones as a gap."""


class CacheEventKind(StrEnum):
    """List the kinds of cache changes."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Represent one change of the cache; a missing number reveals a lost event."""

    number: int
    kind: CacheEventKind
    block: str


def hash_blocks(prompt: str) -> list[str]:
    """Return one digest per block; each also covers all preceding blocks."""
    digests = []
    seed = 0
    for start in range(0, len(prompt), BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        seed = xxhash.xxh64_intdigest(block.encode(), seed=seed)
        digests.append(f"{seed:016x}")
    return digests


class PrefixCache:
    """Cache the most recently used blocks; publish changes with a delay and gaps."""

    def __init__(self, capacity: int, *, event_lag_s: float, event_gap: int) -> None:
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        self._event_gap = event_gap
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._next_number = 1

    @property
    def blocks_free(self) -> int:
        """Return how many more blocks fit without an eviction."""
        return self._capacity - len(self._blocks)

    def use_blocks(self, digests: list[str], now: float) -> int:
        """Store a prompt's blocks; return how many leading ones were cached."""
        hits = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            hits += 1
        # The blocks are used in reverse order, so that later blocks of a prompt are
        # evicted before its prefix.
        for digest in reversed(digests):
            self._store(digest, now)
        return hits

    def get_events(self, since: int, now: float) -> list[CacheEvent]:
        """Return the events numbered above `since` that are published by `now`."""
        published = now - self._event_lag_s
        return [
            event
            for at, event in self._events
            if at <= published and event.number > since
        ]

    def _store(self, digest: str, now: float) -> None:
        if digest not in self._blocks:
            self._publish(CacheEventKind.STORED, digest, now)
        self._blocks[digest] = None
        self._blocks.move_to_end(digest)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, evicted, now)

    def _publish(self, kind: CacheEventKind, digest: str, now: float) -> None:
        number = self._next_number
        self._next_number += 1
        if self._event_gap and number % self._event_gap == 0:
            return
        self._events.append((now, CacheEvent(number, kind, digest)))

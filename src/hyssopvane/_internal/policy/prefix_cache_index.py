"""Approximate index of the targets that have a prompt prefix in their cache."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

# Engines keep prefixes in limited memory, and the event of an eviction may never
# arrive. An entry that isn't renewed expires after this time, in seconds.
ENTRY_TTL_S = 60.0
# After a gap in a target's events its entries can't all be right. Those in use are
# renewed within this time, in seconds; the others expire.
TTL_AFTER_GAP_S = 5.0
# If a prompt that was expected to be cached takes as long as an uncached one twice in a
# row, the target's cache is too small to keep it, and preferring the target only costs
# balance.
MAX_MISSES = 2
# Time for which a target that didn't keep a prefix is not preferred for it, in seconds.
BARRED_S = 60.0
# An entry process of the designed size sees 90 requests a second with up to 8 prefixes
# each. This holds the distinct prefixes of the last minute in about 8 MB.
MAX_PREFIXES = 16_384
# Maximum number of targets kept per prefix; any of them is good enough.
MAX_HOLDERS = 4
# A prompt counts as uncached if its time to first token per token is at least this
# fraction of that of prompts that aren't expected to be cached.
MISS_LATENCY_RATIO = 0.75
_LATENCY_SMOOTHING = 0.1


@dataclass(slots=True)
class _CachedPrefix:
    expires_at: float
    misses: int = 0
    barred: bool = False


class PrefixCacheIndex:
    """Track cached prefixes by events that arrive late and with gaps.

    Entries expire, and measured latencies correct wrong ones.
    """

    def __init__(self, *, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._prefixes: OrderedDict[int, dict[str, _CachedPrefix]] = OrderedDict()
        self._gaps: dict[str, float] = {}
        self._uncached_s_per_token = 0.0

    def __len__(self) -> int:
        return len(self._prefixes)

    def find(self, prefixes: tuple[int, ...], *, now: float) -> tuple[str, ...]:
        """Return the targets expected to hold the longest of these prefixes."""
        for prefix in reversed(prefixes):
            entries = self._prefixes.get(prefix)
            if entries is None:
                continue
            holders = tuple(
                name
                for name, entry in entries.items()
                if not entry.barred and self._is_valid(name, entry, now)
            )
            if holders:
                return holders
        return ()

    def is_barred(self, prefix: int, target: str, *, now: float) -> bool:
        """Return whether a target recently failed to keep a prefix."""
        entry = self._prefixes.get(prefix, {}).get(target)
        return entry is not None and entry.barred and entry.expires_at > now

    def store(self, prefixes: Iterable[int], target: str, *, now: float) -> None:
        """Record that a target holds prefixes from now on."""
        for prefix in prefixes:
            holders = self._prefixes.setdefault(prefix, {})
            self._prefixes.move_to_end(prefix)
            entry = holders.get(target)
            if entry is not None and entry.barred and entry.expires_at > now:
                continue
            misses = entry.misses if entry is not None else 0
            holders[target] = _CachedPrefix(now + ENTRY_TTL_S, misses)
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
        while len(self._prefixes) > self._max_prefixes:
            self._prefixes.popitem(last=False)

    def evict(self, prefixes: Iterable[int], target: str) -> None:
        """Record that a target no longer holds prefixes."""
        for prefix in prefixes:
            self._prefixes.get(prefix, {}).pop(target, None)

    def record_gap(self, target: str, *, now: float) -> None:
        """Record that events of a target were lost."""
        self._gaps[target] = now

    def remove_target(self, target: str) -> None:
        """Remove all entries of a target: its cache was lost with its process."""
        self._gaps.pop(target, None)
        for holders in self._prefixes.values():
            holders.pop(target, None)

    def observe_latency(
        self,
        prefixes: tuple[int, ...],
        target: str,
        *,
        expected_hit: bool,
        s_per_token: float,
        now: float,
    ) -> None:
        """Correct the index by the time to first token of an answer.

        `s_per_token` is this time in seconds divided by the request's tokens.
        """
        if not expected_hit:
            self._update_uncached_latency(s_per_token)
            return
        if not self._uncached_s_per_token:
            return
        missed = s_per_token >= self._uncached_s_per_token * MISS_LATENCY_RATIO
        for prefix in prefixes:
            entry = self._prefixes.get(prefix, {}).get(target)
            if entry is not None:
                self._record_lookup(entry, missed, now)

    def _record_lookup(self, entry: _CachedPrefix, missed: bool, now: float) -> None:
        entry.misses = entry.misses + 1 if missed else 0
        if entry.misses >= MAX_MISSES:
            entry.barred = True
            entry.misses = 0
            entry.expires_at = now + BARRED_S

    def _update_uncached_latency(self, s_per_token: float) -> None:
        if not self._uncached_s_per_token:
            self._uncached_s_per_token = s_per_token
        change = s_per_token - self._uncached_s_per_token
        self._uncached_s_per_token += _LATENCY_SMOOTHING * change

    def _is_valid(self, target: str, entry: _CachedPrefix, now: float) -> bool:
        if entry.expires_at <= now:
            return False
        gap_at = self._gaps.get(target)
        if gap_at is None or entry.expires_at - ENTRY_TTL_S > gap_at:
            return True
        return now < gap_at + TTL_AFTER_GAP_S

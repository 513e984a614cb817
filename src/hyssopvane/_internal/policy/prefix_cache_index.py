"""Believe which targets hold which prompt prefixes in their caches."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

# Engines keep prefixes in limited memory, and the event that tells of an eviction may
# never come. A belief that nothing renews ends by itself after this time.
ENTRY_TTL_S = 60.0
# After a gap in the events the target's beliefs can't all be right; those that are
# still used are renewed within this time, the others end.
TTL_AFTER_GAP_S = 5.0
# A prompt believed cached that twice took as long as an uncached one shows a target
# whose cache is too small to keep it: to send it there only costs balance.
MAX_MISSES = 2
# Time for which a target whose cache did not keep a prefix is not preferred for it.
BARRED_S = 60.0
# An entry of the target size sees 90 requests a second of up to 8 prefixes: this keeps
# the last minute of those that differ, in about 8 MB.
MAX_PREFIXES = 16_384
# More copies of a prefix than this are not worth remembering: any of them will do.
MAX_HOLDERS = 4
# A prompt is taken for uncached when its first token took this share of what prompts
# that are not believed cached take, for equal tokens.
MISS_LATENCY_RATIO = 0.75
_LATENCY_SMOOTHING = 0.1


@dataclass(slots=True)
class _CachedPrefix:
    expires_at: float
    misses: int = 0
    barred: bool = False


class PrefixCacheIndex:
    """Hold beliefs that come late and with gaps, expire, and heal by experience."""

    def __init__(self, *, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._prefixes: OrderedDict[int, dict[str, _CachedPrefix]] = OrderedDict()
        self._gaps: dict[str, float] = {}
        self._uncached_s_per_token = 0.0

    def __len__(self) -> int:
        return len(self._prefixes)

    def find(self, prefixes: tuple[int, ...], *, now: float) -> tuple[str, ...]:
        """Return the targets believed to hold the longest of these prefixes."""
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
        """Tell whether a target has shown that it does not keep a prefix."""
        entry = self._prefixes.get(prefix, {}).get(target)
        return entry is not None and entry.barred and entry.expires_at > now

    def store(self, prefixes: Iterable[int], target: str, *, now: float) -> None:
        """Believe that a target holds prefixes from now on."""
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
        """Believe that a target no longer holds prefixes."""
        for prefix in prefixes:
            self._prefixes.get(prefix, {}).pop(target, None)

    def record_gap(self, target: str, *, now: float) -> None:
        """Take note that events of a target were lost."""
        self._gaps[target] = now

    def remove_target(self, target: str) -> None:
        """Drop all beliefs about a target: its cache was lost with its process."""
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
        """Learn from the time to the first token whether a belief was right."""
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

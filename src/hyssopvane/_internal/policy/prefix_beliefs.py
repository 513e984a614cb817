"""Believe which targets hold which prompt prefixes in their caches."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

# Engines keep prefixes in limited memory, and the event that tells of an eviction may
# never come. A belief that nothing renews ends by itself after this time.
BELIEF_S = 60.0
# After a gap in the events the target's beliefs can't all be right; those that are
# still used are renewed within this time, the others end.
BELIEF_AFTER_GAP_S = 5.0
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
MISS_SHARE = 0.75
_RATE_WEIGHT = 0.1


@dataclass(slots=True)
class _Belief:
    expires_at: float
    misses: int = 0
    barred: bool = False


class PrefixBeliefs:
    """Hold beliefs that come late and with gaps, expire, and heal by experience."""

    def __init__(self, *, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._prefixes: OrderedDict[int, dict[str, _Belief]] = OrderedDict()
        self._gaps: dict[str, float] = {}
        self._uncached_s_per_token = 0.0

    def __len__(self) -> int:
        return len(self._prefixes)

    def find(self, prefixes: tuple[int, ...], *, now: float) -> tuple[str, ...]:
        """Return the targets believed to hold the longest of these prefixes."""
        for prefix in reversed(prefixes):
            beliefs = self._prefixes.get(prefix)
            if beliefs is None:
                continue
            holders = tuple(
                name
                for name, belief in beliefs.items()
                if not belief.barred and self._is_valid(name, belief, now)
            )
            if holders:
                return holders
        return ()

    def is_barred(self, prefix: int, target: str, *, now: float) -> bool:
        """Tell whether a target has shown that it does not keep a prefix."""
        belief = self._prefixes.get(prefix, {}).get(target)
        return belief is not None and belief.barred and belief.expires_at > now

    def store(self, prefixes: Iterable[int], target: str, *, now: float) -> None:
        """Believe that a target holds prefixes from now on."""
        for prefix in prefixes:
            beliefs = self._prefixes.setdefault(prefix, {})
            self._prefixes.move_to_end(prefix)
            belief = beliefs.get(target)
            if belief is not None and belief.barred and belief.expires_at > now:
                continue
            misses = belief.misses if belief is not None else 0
            beliefs[target] = _Belief(now + BELIEF_S, misses)
            if len(beliefs) > MAX_HOLDERS:
                del beliefs[next(iter(beliefs))]
        while len(self._prefixes) > self._max_prefixes:
            self._prefixes.popitem(last=False)

    def evict(self, prefixes: Iterable[int], target: str) -> None:
        """Believe that a target no longer holds prefixes."""
        for prefix in prefixes:
            self._prefixes.get(prefix, {}).pop(target, None)

    def note_gap(self, target: str, *, now: float) -> None:
        """Take note that events of a target were lost."""
        self._gaps[target] = now

    def forget_target(self, target: str) -> None:
        """Drop all beliefs about a target: its cache was lost with its process."""
        self._gaps.pop(target, None)
        for beliefs in self._prefixes.values():
            beliefs.pop(target, None)

    def observe_latency(
        self,
        prefixes: tuple[int, ...],
        target: str,
        *,
        believed: bool,
        s_per_token: float,
        now: float,
    ) -> None:
        """Learn from the time to the first token whether a belief was right."""
        if not believed:
            self._learn_uncached(s_per_token)
            return
        if not self._uncached_s_per_token:
            return
        missed = s_per_token >= self._uncached_s_per_token * MISS_SHARE
        for prefix in prefixes:
            belief = self._prefixes.get(prefix, {}).get(target)
            if belief is not None:
                self._judge(belief, missed, now)

    def _judge(self, belief: _Belief, missed: bool, now: float) -> None:
        belief.misses = belief.misses + 1 if missed else 0
        if belief.misses >= MAX_MISSES:
            belief.barred = True
            belief.misses = 0
            belief.expires_at = now + BARRED_S

    def _learn_uncached(self, s_per_token: float) -> None:
        if not self._uncached_s_per_token:
            self._uncached_s_per_token = s_per_token
        change = s_per_token - self._uncached_s_per_token
        self._uncached_s_per_token += _RATE_WEIGHT * change

    def _is_valid(self, target: str, belief: _Belief, now: float) -> bool:
        if belief.expires_at <= now:
            return False
        gap_at = self._gaps.get(target)
        if gap_at is None or belief.expires_at - BELIEF_S > gap_at:
            return True
        return now < gap_at + BELIEF_AFTER_GAP_S

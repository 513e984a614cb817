"""Simulate an engine with continuous batching; callers pass in the current time."""

import heapq
from collections import deque
from dataclasses import dataclass, field

import xxhash

from hyssopvane._internal.standins.expert_rank import (
    ExpertRank,
    Order,
    OrderRefusal,
)
from hyssopvane._internal.standins.journal import Caller, Journal, RunEvent
from hyssopvane._internal.standins.prefix_cache import (
    CacheEvent,
    PrefixCache,
    hash_blocks,
)

MAX_CATCH_UP_STEPS = 2
"""Most overdue steps run after a late call; the rest are lost, as on a real engine."""

WORDS = (
    "indenture parish baptism ship arrival surname record clerk draft lot damage "
    "bumper engine frame bid garage export notes report summary"
).split()


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """Configure a simulated engine."""

    slots: int = 8
    step_ms: float = 4.5
    cache_blocks: int = 1024
    prefill_blocks_per_step: int = 4
    load_lag_s: float = 0.2
    cache_event_lag_s: float = 0.5
    cache_event_gap: int = 10
    """Leave out every n-th cache event; 0 publishes all."""
    poison: str = ""
    """Text that crashes the engine if it occurs in a prompt; empty disables it."""
    checks_fence: bool = False
    expert_map: str = "initial"


@dataclass(frozen=True, slots=True)
class Completion:
    """Request the tokens `resume_from` to `max_tokens` - 1 of a prompt's answer."""

    prompt: str
    max_tokens: int
    resume_from: int = 0
    priority: int = 0
    """Completions with lower numbers run first."""

    def __post_init__(self) -> None:
        if not 0 <= self.resume_from < self.max_tokens:
            raise ValueError("resume_from must lie in 0 to max_tokens - 1")


@dataclass(frozen=True, slots=True)
class Token:
    """Represent one generated token of a run."""

    run: int
    index: int
    text: str
    last: bool


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report the load of an engine at one point in time."""

    running: int
    waiting: int
    tokens_in_flight: int
    cache_blocks_free: int
    step: int
    step_ms: float


@dataclass(slots=True)
class _Run:
    number: int
    completion: Completion
    caller: Caller
    next_index: int
    prefill_steps: int = field(default=0)

    @property
    def tokens_left(self) -> int:
        return self.completion.max_tokens - self.next_index


def make_token_text(prompt: str, index: int) -> str:
    """Return the token at an index of a prompt's answer; it is deterministic."""
    digest = xxhash.xxh64_intdigest(f"{index}:{prompt}".encode())
    return f"{WORDS[digest % len(WORDS)]}-{index} "


class Engine:
    """Run completions in a batch, generating one token of each per step."""

    def __init__(
        self, config: EngineConfig, *, now: float, journal: Journal | None = None
    ) -> None:
        self.config = config
        self.journal = journal or Journal()
        self.rank = ExpertRank(config.expert_map, checks_fence=config.checks_fence)
        self.crashed = False
        self._cache = PrefixCache(
            config.cache_blocks,
            event_lag_s=config.cache_event_lag_s,
            event_gap=config.cache_event_gap,
        )
        self._step_s = config.step_ms / 1000
        self._next_step_at = now + self._step_s
        self._next_run = 1
        self._running: dict[int, _Run] = {}
        self._waiting: dict[int, _Run] = {}
        self._queue: list[tuple[int, int]] = []
        self._reports: deque[tuple[float, LoadReport]] = deque()
        self._report_load(now)

    @property
    def has_work(self) -> bool:
        """Return whether any run is waiting or running."""
        return bool(self._running or self._waiting)

    @property
    def next_step_at(self) -> float:
        """Return the clock time of the next step."""
        return self._next_step_at

    def submit(self, completion: Completion, caller: Caller, now: float) -> int:
        """Queue a completion and return its run number."""
        self._skip_idle_steps(now)
        number = self._next_run
        self._next_run += 1
        self._waiting[number] = _Run(number, completion, caller, completion.resume_from)
        heapq.heappush(self._queue, (completion.priority, number))
        self._report_load(now)
        return number

    def cancel(self, number: int, now: float) -> bool:
        """Cancel a run and free its slot; return false if it has already ended."""
        run = self._running.pop(number, None) or self._waiting.pop(number, None)
        if run is None:
            return False
        self.journal.record(RunEvent.CANCELLED, number, run.caller)
        self._report_load(now)
        return True

    def advance(self, now: float) -> list[Token]:
        """Run the steps that are due and return the generated tokens."""
        self._skip_idle_steps(now)
        earliest = now - MAX_CATCH_UP_STEPS * self._step_s
        self._next_step_at = max(self._next_step_at, earliest)
        tokens: list[Token] = []
        while self.has_work and self._next_step_at <= now:
            self._next_step_at += self._step_s
            if self.rank.advance_step():
                tokens += self._run_step(now)
        self._report_load(now)
        return tokens

    def apply_order(self, order: Order, now: float) -> OrderRefusal | None:
        """Apply an order, or return the reason for its refusal."""
        self._skip_idle_steps(now)
        return self.rank.apply_order(order)

    def get_step(self, now: float) -> int:
        """Return the number of the last step that has begun."""
        self._skip_idle_steps(now)
        return self.rank.step

    def get_load(self, now: float) -> LoadReport:
        """Return the load as of `load_lag_s` ago."""
        self._skip_idle_steps(now)
        while len(self._reports) > 1 and self._is_published(self._reports[1][0], now):
            self._reports.popleft()
        return self._reports[0][1]

    def get_cache_events(self, since: int, now: float) -> list[CacheEvent]:
        """Return the published prefix cache events numbered above `since`."""
        return self._cache.get_events(since, now)

    def _skip_idle_steps(self, now: float) -> None:
        # Counts the steps of an idle engine in bulk, so that it needn't wake up for
        # each one.
        if self.has_work or self._next_step_at > now:
            return
        steps = int((now - self._next_step_at) / self._step_s) + 1
        self._next_step_at += steps * self._step_s
        self.rank.skip_steps(steps)
        self._report_load(now)

    def _run_step(self, now: float) -> list[Token]:
        self._fill_slots(now)
        tokens = []
        for run in list(self._running.values()):
            if run.prefill_steps > 0:
                run.prefill_steps -= 1
                continue
            tokens.append(self._make_token(run))
        return tokens

    def _fill_slots(self, now: float) -> None:
        while self._waiting and len(self._running) < self.config.slots:
            _, number = heapq.heappop(self._queue)
            run = self._waiting.pop(number, None)
            if run is None:
                continue
            self._running[number] = run
            self.journal.record(RunEvent.STARTED, number, run.caller)
            if self.config.poison and self.config.poison in run.completion.prompt:
                self._crash()
                return
            digests = hash_blocks(run.completion.prompt)
            missing = len(digests) - self._cache.use_blocks(digests, now)
            run.prefill_steps = -(-missing // self.config.prefill_blocks_per_step)

    def _make_token(self, run: _Run) -> Token:
        index = run.next_index
        run.next_index += 1
        last = run.tokens_left == 0
        if last:
            del self._running[run.number]
            self.journal.record(RunEvent.FINISHED, run.number, run.caller)
        return Token(
            run.number, index, make_token_text(run.completion.prompt, index), last
        )

    def _crash(self) -> None:
        self.crashed = True
        self._running.clear()
        self._waiting.clear()
        self._queue.clear()

    def _is_published(self, at: float, now: float) -> bool:
        return at <= now - self.config.load_lag_s

    def _report_load(self, now: float) -> None:
        runs = [*self._running.values(), *self._waiting.values()]
        report = LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            tokens_in_flight=sum(run.tokens_left for run in runs),
            cache_blocks_free=self._cache.blocks_free,
            step=self.rank.step,
            step_ms=self.config.step_ms,
        )
        self._reports.append((now, report))
        while len(self._reports) > 1 and self._is_published(self._reports[1][0], now):
            self._reports.popleft()

"""Compare placement with simple baselines, without admission control."""

from abc import ABC, abstractmethod
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from functools import partial
from random import Random

from bench.output import parse_options, print_table, write_json
from bench.replay import Arrival, FakeTarget, Replay, _Job
from hyssopvane._internal.policy.placement import Placer
from hyssopvane._internal.policy.retries import is_retry_safe
from hyssopvane._internal.state.table import ServiceRow, Table
from hyssopvane._internal.state.work import (
    AttemptReport,
    Decision,
    LoadReport,
    Placed,
    TargetInfo,
    Waiting,
    WorkRequest,
)

_ZONES = ("arima", "chaguanas", "stvincent-st")
_ENTRIES = len(_ZONES)
_TARGETS = 12
_SLOTS = 8
_CONCURRENCY = 16
_TOKENS_PER_S = 800.0
_MEAN_TOKENS = 400
_START_S = 0.05
_PREFILL_S = 0.4
"""Time to read a prompt without a cached prefix."""
_CACHED_GROUPS = 8
_PREFIXES_PER_PROMPT = 4
_DURATION_S = 120.0
_WARM_UP_S = 20.0
_SEEDS = 3
_CAPACITY = _TARGETS * _TOKENS_PER_S / _MEAN_TOKENS
"""Requests per second of all targets together."""


class Chooser(ABC):
    """Choose the targets for the requests of one entry."""

    def __init__(self, random: Random, zone: str) -> None:
        self.random = random
        self.zone = zone
        self.targets: dict[str, TargetInfo] = {}
        self.in_flight: Counter[str] = Counter()

    @abstractmethod
    def choose(self, names: list[str]) -> str:
        """Choose one of the targets with free slots."""

    def connect(self, info: TargetInfo, now: float) -> None:
        """Make a target available for placement."""
        self.targets[info.name] = info

    def disconnect(self, name: str) -> None:
        """Remove a target from placement."""
        self.targets.pop(name, None)

    def observe(self, name: str, report: LoadReport, now: float) -> None:
        """Ignore load reports."""
        return None

    def place(
        self, request: WorkRequest, tried: set[str], now: float
    ) -> TargetInfo | None:
        """Choose a target and count the request as in flight there."""
        names = [one for one in self.targets if self.in_flight[one] < _CONCURRENCY]
        if not names:
            return None
        name = self.choose(names)
        self.in_flight[name] += 1
        return self.targets[name]

    def release(
        self, request: WorkRequest, name: str, report: AttemptReport, now: float
    ) -> None:
        """Record the end of an attempt."""
        self.in_flight[name] -= 1


class RoundRobin(Chooser):
    """Choose the targets in turn."""

    position = 0

    def choose(self, names: list[str]) -> str:
        """Return the next target."""
        self.position += 1
        return names[self.position % len(names)]


class LeastConnections(Chooser):
    """Choose the target with the fewest requests of this entry."""

    def choose(self, names: list[str]) -> str:
        """Return the least loaded target, with ties broken at random."""
        return min(names, key=lambda name: (self.in_flight[name], self.random.random()))


class TwoChoices(Chooser):
    """Choose two targets at random and use the one with fewer requests."""

    def choose(self, names: list[str]) -> str:
        """Return the less loaded of two random targets."""
        one, other = self.random.choice(names), self.random.choice(names)
        return one if self.in_flight[one] <= self.in_flight[other] else other


class PlacerChooser(Chooser):
    """Choose targets with the product's `Placer`."""

    def __init__(self, random: Random, zone: str) -> None:
        super().__init__(random, zone)
        self._placer = Placer(random=random, availability_zone=zone)
        row = ServiceRow(
            "draft",
            target_concurrency=_CONCURRENCY,
            target_tokens=_CONCURRENCY * _MEAN_TOKENS * 2,
        )
        self._placer.update_table(Table(services={"draft": row}))

    def choose(self, names: list[str]) -> str:
        """Not used; `place` calls the `Placer`."""
        raise NotImplementedError

    def connect(self, info: TargetInfo, now: float) -> None:
        """Make a target available for placement."""
        self._placer.connect(info, now=now)

    def disconnect(self, name: str) -> None:
        """Remove a target from placement."""
        self._placer.disconnect(name)

    def observe(self, name: str, report: LoadReport, now: float) -> None:
        """Record a load report."""
        self._placer.observe_load(name, report, now=now)

    def place(
        self, request: WorkRequest, tried: set[str], now: float
    ) -> TargetInfo | None:
        """Choose a target and count the request as in flight there."""
        return self._placer.place(request, now=now, tried=tried)

    def release(
        self, request: WorkRequest, name: str, report: AttemptReport, now: float
    ) -> None:
        """Record the end of an attempt."""
        self._placer.release(request.request_id, report, now=now)


POLICIES: Mapping[str, Callable[[Random, str], Chooser]] = {
    "hyssopvane": PlacerChooser,
    "round robin": RoundRobin,
    "least connections": LeastConnections,
    "two choices": TwoChoices,
}


@dataclass(slots=True)
class _OpenRequest:
    request: WorkRequest
    target: str = ""
    attempts: int = 0
    tried: set[str] = field(default_factory=set)


class PlacementOnly:
    """Place requests at once if a target has room, else queue them in FIFO order."""

    def __init__(self, chooser: Chooser) -> None:
        self._chooser = chooser
        self._open: dict[str, _OpenRequest] = {}
        self._queue: OrderedDict[str, None] = OrderedDict()
        self._now = 0.0

    def connect_target(self, info: TargetInfo) -> None:
        """Make a target available for placement."""
        self._chooser.connect(info, self._now)

    def disconnect_target(self, name: str) -> None:
        """Remove a target from placement."""
        self._chooser.disconnect(name)

    def observe_load(self, name: str, report: LoadReport) -> None:
        """Forward a load report to the chooser."""
        self._chooser.observe(name, report, self._now)

    def submit(self, request: WorkRequest, *, now: float) -> Decision:
        """Place or queue a request."""
        self._now = now
        one = self._open[request.request_id] = _OpenRequest(request)
        return (None if self._queue else self._place(one)) or self._enqueue(one)

    def finish(
        self, request_id: str, report: AttemptReport, *, now: float
    ) -> Decision | None:
        """Free the slot; place or queue the request again if a retry is safe."""
        self._now = now
        one = self._open[request_id]
        self._chooser.release(one.request, one.target, report, now)
        if is_retry_safe(one.request, report):
            return self._place(one) or self._enqueue(one)
        del self._open[request_id]
        return None

    def withdraw(self, request_id: str) -> None:
        """Not used, as no caller disconnects in these scenarios."""
        raise NotImplementedError

    def collect(self, *, now: float) -> list[tuple[str, Decision]]:
        """Place queued requests in order of arrival."""
        self._now = now
        decided: list[tuple[str, Decision]] = []
        while self._queue:
            request_id = next(iter(self._queue))
            placed = self._place(self._open[request_id])
            if placed is None:
                break
            del self._queue[request_id]
            decided.append((request_id, placed))
        return decided

    def _enqueue(self, one: _OpenRequest) -> Waiting:
        self._queue[one.request.request_id] = None
        return Waiting()

    def _place(self, one: _OpenRequest) -> Placed | None:
        info = self._chooser.place(one.request, one.tried, self._now)
        if info is None:
            return None
        one.attempts += 1
        one.target = info.name
        one.tried.add(info.name)
        return Placed(info.name, info.incarnation, one.attempts)


@dataclass(slots=True)
class CachingTarget(FakeTarget):
    """Simulate a target that reads prompts with a recently cached prefix faster."""

    cached: OrderedDict[int, None] = field(default_factory=OrderedDict)
    hits: int = 0
    misses: int = 0
    tokens_done: int = 0
    prefill_s: dict[str, float] = field(default_factory=dict)

    def get_service_time(self, request: WorkRequest) -> float:
        """Return the seconds that a request uses a slot, and cache its prompt."""
        self.tokens_done += request.tokens
        self.prefill_s[request.request_id] = self._read_prompt(request) * self.slowness
        per_slot = self.tokens_per_s / self.slots
        decode_s = request.tokens / per_slot * self.slowness
        return self.prefill_s[request.request_id] + decode_s

    def _read_prompt(self, request: WorkRequest) -> float:
        if not request.affinity:
            return self.start_s
        key = request.affinity[-1]
        hit = key in self.cached
        self.hits += hit
        self.misses += not hit
        self.cached[key] = None
        self.cached.move_to_end(key)
        if len(self.cached) > _CACHED_GROUPS:
            self.cached.popitem(last=False)
        return self.start_s + (0.0 if hit else _PREFILL_S)


class PlacementReplay(Replay):
    """Record the time to the first token of each request."""

    reports_until = float("inf")

    def __init__(
        self, schedulers: Sequence[PlacementOnly], targets: Sequence[CachingTarget]
    ) -> None:
        self.first_token_s: dict[str, float] = {}
        self.caching = {target.info.name: target for target in targets}
        super().__init__(schedulers, targets)

    def _answer(self, target: FakeTarget, job: _Job) -> None:
        request_id = job.request.request_id
        if not job.ended and job.started_at is not None:
            first_at = (
                job.started_at + self.caching[target.info.name].prefill_s[request_id]
            )
            arrived_at = self.results[request_id].arrival.at
            if arrived_at >= _WARM_UP_S:
                self.first_token_s[request_id] = first_at - arrived_at
        super()._answer(target, job)

    def _observe(self, name: str, report: LoadReport) -> None:
        if self.now < self.reports_until:
            super()._observe(name, report)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe a load and the faults of the targets during it."""

    name: str
    load: float = 0.7
    """Offered load as a share of the capacity."""
    first_entry_share: float = 1 / _ENTRIES
    long_share: float = 0.0
    groups: int = 0
    slow_target: float = 1.0
    load_lag_s: float = 0.5
    reports_until: float = float("inf")
    half_lost_at: float = float("inf")


SCENARIOS = (
    Scenario("even"),
    Scenario("skewed demand", first_entry_share=0.8),
    Scenario("one slow target", slow_target=4.0),
    Scenario("mixed lengths", long_share=0.1),
    Scenario("prefix groups", groups=40),
    Scenario("lagged reports", load_lag_s=3.0, first_entry_share=0.6),
    Scenario("stale for minutes", reports_until=25.0, first_entry_share=0.6),
    Scenario("half gone", load=0.4, half_lost_at=60.0),
)


@dataclass(frozen=True, slots=True)
class PlacementRow:
    """Hold the results of one policy in one scenario."""

    scenario: str
    policy: str
    answered: float
    first_token_p50_s: float
    first_token_p95_s: float
    first_token_p99_s: float
    cache_hits: float
    imbalance: float
    """Maximum to mean of processed tokens by target, without the first target."""
    slow_share: float
    """Tokens processed by the first target, relative to the mean of the others."""


def make_arrivals(scenario: Scenario, random: Random) -> Iterator[Arrival]:
    """Yield the arrivals of a scenario, drawn from a seeded generator."""
    now, number = 0.0, 0
    short_tokens = _MEAN_TOKENS
    if scenario.long_share:
        short_tokens = _MEAN_TOKENS // 2
    long_tokens = round(
        (_MEAN_TOKENS - short_tokens * (1 - scenario.long_share))
        / (scenario.long_share or 1)
    )
    weights = [1 / (rank + 1) for rank in range(scenario.groups)]
    others = (1 - scenario.first_entry_share) / (_ENTRIES - 1)
    entry_weights = [scenario.first_entry_share, *[others] * (_ENTRIES - 1)]
    while now < _DURATION_S:
        now += random.expovariate(scenario.load * _CAPACITY)
        number += 1
        mean = long_tokens if random.random() < scenario.long_share else short_tokens
        group = random.choices(range(scenario.groups), weights)[0] if weights else None
        prefixes = range(_PREFIXES_PER_PROMPT)
        affinity = () if group is None else tuple(group * 10 + n for n in prefixes)
        request = WorkRequest(
            request_id=str(number),
            customer="registry",
            service="draft",
            tokens=max(20, round(random.gauss(mean, mean / 4))),
            priority=5,
            deadline=1e9,
            repeatable=True,
            affinity=affinity,
        )
        entry = random.choices(range(_ENTRIES), entry_weights)[0]
        yield Arrival(at=now, request=request, entry=entry)


def run(scenario: Scenario, policy: str, seed: int) -> PlacementReplay:
    """Run one policy in one scenario."""
    random = Random(seed)
    targets = [
        CachingTarget(
            TargetInfo(f"t{n}", "draft", _ZONES[n % len(_ZONES)], n + 1),
            slots=_SLOTS,
            tokens_per_s=_TOKENS_PER_S,
            start_s=_START_S,
            slowness=scenario.slow_target if n == 0 else 1.0,
        )
        for n in range(_TARGETS)
    ]
    entries = [
        PlacementOnly(POLICIES[policy](Random(f"{seed}-{zone}"), zone))
        for zone in _ZONES
    ]
    replay = PlacementReplay(entries, targets)
    replay._load_lag_s = scenario.load_lag_s
    replay.reports_until = scenario.reports_until
    if scenario.half_lost_at < _DURATION_S:
        for n in range(0, _TARGETS, 2):
            replay.schedule(scenario.half_lost_at, partial(replay.kill, f"t{n}"))
    replay.run(make_arrivals(scenario, random), until=_DURATION_S + 60)
    return replay


def measure(scenario: Scenario, policy: str, seed: int) -> PlacementRow:
    """Run several seeds and combine their results."""
    replays = [run(scenario, policy, seed * 100 + n) for n in range(_SEEDS)]
    waits = sorted(wait for one in replays for wait in one.first_token_s.values())
    results = [result for one in replays for result in one.results.values()]
    answered = sum(result.finished_at is not None for result in results)
    caching = [target for one in replays for target in one.caching.values()]
    hits = sum(target.hits for target in caching)
    lookups = hits + sum(target.misses for target in caching)
    tokens_by_target: Counter[str] = Counter()
    for target in caching:
        tokens_by_target[target.info.name] += target.tokens_done
    slow = tokens_by_target.pop("t0")
    live_loads = [
        n
        for name, n in tokens_by_target.items()
        if scenario.half_lost_at > _DURATION_S or int(name[1:]) % 2
    ]
    mean = sum(live_loads) / len(live_loads)
    return PlacementRow(
        scenario=scenario.name,
        policy=policy,
        answered=round(answered / len(results), 3),
        first_token_p50_s=round(waits[len(waits) // 2], 2),
        first_token_p95_s=round(waits[len(waits) * 95 // 100], 2),
        first_token_p99_s=round(waits[len(waits) * 99 // 100], 2),
        cache_hits=round(hits / lookups, 2) if lookups else 0.0,
        imbalance=round(max(live_loads) / mean, 2),
        slow_share=round(slow / mean, 2),
    )


def main(arguments: Sequence[str]) -> int:
    """Run all scenarios and policies and print a table."""
    options = parse_options("placement", arguments)
    rows = [
        measure(scenario, policy, options.seed)
        for scenario in SCENARIOS
        for policy in POLICIES
    ]
    print_table(rows)
    write_json(options.json, [asdict(row) for row in rows])
    return 0

"""Generate seeded workloads for one entry and twelve targets."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from random import Random

from bench.replay import Arrival, FakeTarget, Replay
from hyssopvane._internal.state.table import CustomerRow, ServiceRow, Table
from hyssopvane._internal.state.work import TargetInfo, WorkRequest

SERVICE = "draft"
TARGETS = 12
SLOTS = 32
TOKENS_PER_S = 3_200.0
CAPACITY = TARGETS * TOKENS_PER_S
"""Tokens per second of all targets together."""
CUSTOMERS = 10
DEADLINE_S = 20.0
DURATION_S = 60.0
_MIXED_DEADLINE_S = 50.0
_MEAN_TOKENS = 400
_SHORT_TOKENS = 100
_LONG_TOKENS = 2_500
_LONG_SHARE = 0.1

_PrepareReplay = Callable[[Replay], None]
_MakeArrivals = Callable[[Random, float], Iterator[Arrival]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe a load and the faults of the targets during it."""

    name: str
    summary: str
    make_arrivals: _MakeArrivals
    prepare: _PrepareReplay = lambda replay: None
    within_share: frozenset[str] = frozenset()
    """Customers that request less than their fair share, which must be served."""


@dataclass(slots=True)
class _Source:
    """Generate the requests of one customer at a rate in tokens per second."""

    customer: str
    tokens_per_s: float
    choose_tokens: Callable[[Random], int]
    mean_tokens: float
    modulate: Callable[[float], float] = field(default=lambda now: 1.0)

    def emit(self, random: Random, peak: float) -> Iterator[tuple[float, int]]:
        """Yield times and tokens, from a Poisson process at the peak rate, thinned."""
        now = 0.0
        rate = self.tokens_per_s / self.mean_tokens * peak
        while rate > 0:
            now += random.expovariate(rate)
            if now >= DURATION_S:
                return
            if random.random() * peak <= self.modulate(now):
                yield now, self.choose_tokens(random)


def make_targets() -> list[FakeTarget]:
    """Return twelve equal targets."""
    return [
        FakeTarget(
            TargetInfo(f"draft-{number}", SERVICE, "arima", incarnation=number + 1),
            slots=SLOTS,
            tokens_per_s=TOKENS_PER_S,
        )
        for number in range(TARGETS)
    ]


def make_table() -> Table:
    """Return a table with one service and equal customers."""
    names = [get_customer(number) for number in range(CUSTOMERS)]
    return Table(
        revision=1,
        customers={name: CustomerRow(name) for name in names},
        services={
            SERVICE: ServiceRow(
                SERVICE, target_concurrency=SLOTS, deadline_s=DEADLINE_S
            )
        },
    )


def get_customer(number: int) -> str:
    """Return the name of a customer."""
    return f"customer-{number}"


def _choose_even(random: Random) -> int:
    return random.randint(_MEAN_TOKENS // 2, _MEAN_TOKENS * 3 // 2)


def _choose_mixed(random: Random) -> int:
    return _LONG_TOKENS if random.random() < _LONG_SHARE else _SHORT_TOKENS


_MIXED_MEAN = _LONG_SHARE * _LONG_TOKENS + (1 - _LONG_SHARE) * _SHORT_TOKENS


def _merge(
    sources: list[_Source],
    random: Random,
    peak: float,
    deadline_s: float = DEADLINE_S,
) -> Iterator[Arrival]:
    found = sorted(
        (at, source.customer, tokens)
        for source in sources
        for at, tokens in source.emit(random, peak)
    )
    for number, (at, customer, tokens) in enumerate(found):
        yield Arrival(
            at,
            WorkRequest(
                request_id=f"r{number}",
                customer=customer,
                service=SERVICE,
                tokens=tokens,
                priority=5,
                deadline=at + deadline_s,
                repeatable=True,
            ),
        )


def _make_steady(random: Random, factor: float) -> Iterator[Arrival]:
    rate_per_customer = CAPACITY * factor / CUSTOMERS
    sources = [
        _Source(get_customer(number), rate_per_customer, _choose_even, _MEAN_TOKENS)
        for number in range(CUSTOMERS)
    ]
    return _merge(sources, random, 1.0)


def _make_bursts(random: Random, factor: float) -> Iterator[Arrival]:
    """Send all requests in the first 2 of every 10 seconds."""
    rate_per_customer = CAPACITY * factor / CUSTOMERS
    sources = [
        _Source(
            get_customer(number),
            rate_per_customer,
            _choose_even,
            _MEAN_TOKENS,
            lambda now: 5.0 if now % 10 < 2 else 0.0,
        )
        for number in range(CUSTOMERS)
    ]
    return _merge(sources, random, 5.0)


def _make_skewed(random: Random, factor: float) -> Iterator[Arrival]:
    """Nine customers send half of their fair share; the first sends the rest."""
    low_rate = CAPACITY / CUSTOMERS / 2
    first_rate = CAPACITY * factor - low_rate * (CUSTOMERS - 1)
    sources = [_Source(get_customer(0), first_rate, _choose_even, _MEAN_TOKENS)]
    sources += [
        _Source(get_customer(number), low_rate, _choose_even, _MEAN_TOKENS)
        for number in range(1, CUSTOMERS)
    ]
    return _merge(sources, random, 1.0)


def _make_mixed(random: Random, factor: float) -> Iterator[Arrival]:
    rate_per_customer = CAPACITY * factor / CUSTOMERS
    sources = [
        _Source(get_customer(number), rate_per_customer, _choose_mixed, _MIXED_MEAN)
        for number in range(CUSTOMERS)
    ]
    return _merge(sources, random, 1.0, _MIXED_DEADLINE_S)


def _slow_down_one_target(replay: Replay) -> None:
    replay.targets["draft-0"].slowness = 5.0


def _kill_half_at_midpoint(replay: Replay) -> None:
    def kill_half() -> None:
        for number in range(TARGETS // 2):
            replay.kill(f"draft-{number}")

    replay.schedule(DURATION_S / 2, kill_half)


SCENARIOS: Mapping[str, Scenario] = {
    one.name: one
    for one in (
        Scenario("steady", "ten equal customers; overloaded above 1x", _make_steady),
        Scenario("bursts", "all requests in two of every ten seconds", _make_bursts),
        Scenario(
            "skew",
            "nine customers at half of their fair share, one sends the rest",
            _make_skewed,
            within_share=frozenset(
                get_customer(number) for number in range(1, CUSTOMERS)
            ),
        ),
        Scenario("mix", "one request in ten is twenty-five times as long", _make_mixed),
        Scenario(
            "slow",
            "one target takes five times as long",
            _make_steady,
            _slow_down_one_target,
        ),
        Scenario(
            "half",
            "half of the targets lost half-way",
            _make_steady,
            _kill_half_at_midpoint,
        ),
    )
}

"""Compare failure detectors by detection time at equal false alarms."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass
from random import Random

from bench.output import parse_options, print_table, write_json
from hyssopvane._internal.policy.failure_detector import (
    AccrualExponential,
    AccrualNormal,
    FailureDetector,
    FixedTimeout,
)

_HEARTBEAT_S = 0.5
_CONNECTIONS = 40
_HOURS_EACH = 2.0
# False alarms in the hours of one kind of trace at which detectors are compared.
_ALLOWED_ALARMS = (40, 8)
_LONGEST_S = 600.0
_KEPT_LEVELS = 50_000
# Fixed timeouts whose false alarms are told by the hour.
_TIMEOUTS_S = (1.5, 3.0, 6.0, 10.0, 15.0)
# TCP sends a lost segment again after 0.2 s, then after twice as long each time. What
# was written behind it comes with it when it gets through.
_FIRST_RESEND_S = 0.2
_LONGEST_RESEND_S = 120.0
_JITTER_S = 0.005
_STALL_INTERVAL_S = 60.0
_STALL_S = (0.5, 3.0)
_LATE_STALL_S = (2.0, 8.0)

DETECTORS: Mapping[str, Callable[[], FailureDetector]] = {
    "fixed": FixedTimeout,
    "accrual normal": AccrualNormal,
    "accrual exponential": AccrualExponential,
}


@dataclass(frozen=True, slots=True)
class TraceKind:
    """Describe how heartbeats arrive while the peer lives."""

    name: str
    loss: float = 0.0
    datagrams: bool = False
    """Whether what is lost stays lost, instead of being sent again as by TCP."""
    hopeless: bool = False
    """Whether TCP itself stands still for minutes, so that no setting is right."""
    stall_s: tuple[float, float] | None = None
    """Bounds of the pauses of a group that waits for its slowest rank."""


TRACES = (
    TraceKind("steady"),
    TraceKind("stalls", stall_s=_STALL_S),
    TraceKind("long stalls", stall_s=_LATE_STALL_S),
    TraceKind("loss 20%", loss=0.2),
    TraceKind("loss 35%", loss=0.35, hopeless=True),
    TraceKind("loss 50%", loss=0.5, hopeless=True),
    TraceKind("datagrams 20%", loss=0.2, datagrams=True),
    TraceKind("datagrams 50%", loss=0.5, datagrams=True),
)


@dataclass(frozen=True, slots=True)
class DetectorRow:
    """Hold the detectors' times on one kind of trace, at equal false alarms."""

    setting: str
    alarms_allowed: int
    """In the hours of each kind of trace."""
    trace: str
    fixed_s: float
    """Mean time from a connection's going silent to its being suspected."""
    normal_s: float
    exponential_s: float
    fixed_max_s: float
    normal_max_s: float
    exponential_max_s: float
    thresholds: str


@dataclass(frozen=True, slots=True)
class AlarmRow:
    """Hold the false alarms of fixed timeouts, an hour and connection."""

    trace: str
    at_1_5_s: float
    at_3_s: float
    at_6_s: float
    at_10_s: float
    at_15_s: float


@dataclass(frozen=True, slots=True)
class _Observed:
    levels: tuple[float, ...]
    """Highest levels of the gaps between messages of a living peer, highest first."""
    silent: tuple[tuple[FailureDetector, float], ...]
    """Detectors when their connections go silent, and the silence by then."""


def make_arrivals(kind: TraceKind, random: Random, *, hours: float) -> Iterator[float]:
    """Yield the times at which the heartbeats of one connection arrive."""
    sent_at = last_at = 0.0
    stall_at = random.expovariate(1 / _STALL_INTERVAL_S)
    while sent_at < hours * 3600:
        sent_at += _HEARTBEAT_S
        if kind.stall_s is not None and sent_at > stall_at:
            sent_at += random.uniform(*kind.stall_s)
            stall_at = sent_at + random.expovariate(1 / _STALL_INTERVAL_S)
        if sent_at <= last_at:
            continue
        arrives_at = sent_at + abs(random.gauss(0, _JITTER_S))
        if kind.datagrams:
            if random.random() < kind.loss:
                continue
        else:
            arrives_at += _draw_resends(kind.loss, random)
        last_at = max(last_at, arrives_at)
        yield last_at


def _draw_resends(loss: float, random: Random) -> float:
    total_s, resend_s = 0.0, _FIRST_RESEND_S
    while random.random() < loss:
        total_s += resend_s
        resend_s = min(resend_s * 2, _LONGEST_RESEND_S)
    return total_s


def observe(
    kind: TraceKind, make: Callable[[], FailureDetector], seed: int
) -> _Observed:
    """Run one detector over all connections of a kind."""
    levels: list[float] = []
    silent: list[tuple[FailureDetector, float]] = []
    for connection in range(_CONNECTIONS):
        random = Random(f"{seed}-{kind.name}-{connection}")
        detector = make()
        last_at: float | None = None
        for now in make_arrivals(kind, random, hours=_HOURS_EACH):
            if last_at is not None:
                levels.append(detector.get_level(now))
            detector.observe(now)
            last_at = now
        # The connection goes silent at some moment between two heartbeats.
        silent.append((detector, random.uniform(0, _HEARTBEAT_S)))
    levels.sort(reverse=True)
    return _Observed(tuple(levels[:_KEPT_LEVELS]), tuple(silent))


def find_threshold(observed: _Observed, allowed: int) -> float:
    """Return the least threshold with at most this many false alarms."""
    return observed.levels[allowed]


def measure(observed: _Observed, *, threshold: float) -> tuple[int, float, float]:
    """Return false alarms and the mean and greatest detection time."""
    alarms = sum(level > threshold for level in observed.levels)
    times = [
        max(0.0, detector.find_silence(threshold, longest_s=_LONGEST_S) - passed)
        for detector, passed in observed.silent
    ]
    return alarms, sum(times) / len(times), max(times)


def main(arguments: Sequence[str]) -> int:
    """Print the table."""
    options = parse_options("detectors", arguments)
    seen = {
        (name, kind.name): observe(kind, make, options.seed)
        for name, make in DETECTORS.items()
        for kind in TRACES
    }
    rows = [
        _compare(seen, setting, allowed, kind.name)
        for setting in ("each its own", "one for all")
        for allowed in _ALLOWED_ALARMS
        for kind in TRACES
    ]
    print(f"{_CONNECTIONS * _HOURS_EACH:.0f} connection-hours of each kind of trace")
    print_table(rows)
    print("false alarms of a fixed timeout, an hour and connection")
    alarms = [_count_alarms(kind.name, seen["fixed", kind.name]) for kind in TRACES]
    print_table(alarms)
    document = {
        "rows": [asdict(row) for row in rows],
        "alarms": [asdict(row) for row in alarms],
    }
    write_json(options.json, document)
    return 0


def _count_alarms(trace: str, observed: _Observed) -> AlarmRow:
    hours = _CONNECTIONS * _HOURS_EACH
    return AlarmRow(
        trace,
        *(
            round(sum(level > timeout_s for level in observed.levels) / hours, 2)
            for timeout_s in _TIMEOUTS_S
        ),
    )


def _compare(
    seen: Mapping[tuple[str, str], _Observed], setting: str, allowed: int, trace: str
) -> DetectorRow:
    # A process knows its connections' intervals, not how its network will fail: one
    # setting must serve them all. Each trace's own best is shown beside it.
    traces = (
        [kind.name for kind in TRACES if not kind.hopeless]
        if setting == "one for all"
        else [trace]
    )
    thresholds = [
        max(find_threshold(seen[name, one], allowed) for one in traces)
        for name in DETECTORS
    ]
    measured = [
        measure(seen[name, trace], threshold=threshold)
        for name, threshold in zip(DETECTORS, thresholds, strict=True)
    ]
    means = [round(mean_s, 2) for _, mean_s, _ in measured]
    longest = [round(max_s, 2) for _, _, max_s in measured]
    written = " ".join(f"{threshold:.4g}" for threshold in thresholds)
    return DetectorRow(
        setting=setting,
        alarms_allowed=allowed,
        trace=trace,
        fixed_s=means[0],
        normal_s=means[1],
        exponential_s=means[2],
        fixed_max_s=longest[0],
        normal_max_s=longest[1],
        exponential_max_s=longest[2],
        thresholds=written,
    )

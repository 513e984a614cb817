"""Compare the detection times of failure detectors at equal false alarm rates."""

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
# Numbers of false alarms, in the total hours of one kind of trace, at which the
# detectors are compared.
_ALLOWED_ALARMS = (40, 8)
_MAX_SILENCE_S = 600.0
_MAX_LEVELS = 50_000
# Fixed timeouts whose false alarms per hour are reported.
_TIMEOUTS_S = (1.5, 3.0, 6.0, 10.0, 15.0)
# TCP retransmits a lost segment after 0.2 s and doubles the delay each time. Data
# written after it arrives together with it.
_MIN_RETRANSMIT_S = 0.2
_MAX_RETRANSMIT_S = 120.0
_JITTER_S = 0.005
_STALL_INTERVAL_S = 60.0
_STALL_S = (0.5, 3.0)
_LONG_STALL_S = (2.0, 8.0)

DETECTORS: Mapping[str, Callable[[], FailureDetector]] = {
    "fixed": FixedTimeout,
    "accrual normal": AccrualNormal,
    "accrual exponential": AccrualExponential,
}


@dataclass(frozen=True, slots=True)
class TraceKind:
    """Describe how the heartbeats of a live peer arrive."""

    name: str
    loss: float = 0.0
    datagrams: bool = False
    """Whether lost heartbeats stay lost, instead of being retransmitted as by TCP."""
    stalls_tcp: bool = False
    """Whether TCP itself stalls for minutes, so that no threshold is suitable."""
    stall_s: tuple[float, float] | None = None
    """Bounds in seconds of the pauses of a group that waits for its slowest rank."""


TRACES = (
    TraceKind("steady"),
    TraceKind("stalls", stall_s=_STALL_S),
    TraceKind("long stalls", stall_s=_LONG_STALL_S),
    TraceKind("loss 20%", loss=0.2),
    TraceKind("loss 35%", loss=0.35, stalls_tcp=True),
    TraceKind("loss 50%", loss=0.5, stalls_tcp=True),
    TraceKind("datagrams 20%", loss=0.2, datagrams=True),
    TraceKind("datagrams 50%", loss=0.5, datagrams=True),
)


@dataclass(frozen=True, slots=True)
class DetectorRow:
    """Hold the detection times on one kind of trace, at equal false alarms."""

    setting: str
    alarms_allowed: int
    """Allowed false alarms in the total hours of each kind of trace."""
    trace: str
    fixed_s: float
    """Mean time from the start of a connection's silence to its suspicion."""
    normal_s: float
    exponential_s: float
    fixed_max_s: float
    normal_max_s: float
    exponential_max_s: float
    thresholds: str


@dataclass(frozen=True, slots=True)
class AlarmRow:
    """Hold the false alarms of fixed timeouts per connection-hour."""

    trace: str
    at_1_5_s: float
    at_3_s: float
    at_6_s: float
    at_10_s: float
    at_15_s: float


@dataclass(frozen=True, slots=True)
class _TraceResult:
    levels: tuple[float, ...]
    """Highest suspicion levels at the arrivals from a live peer, in falling order."""
    silent_detectors: tuple[tuple[FailureDetector, float], ...]
    """Detectors as their connections go silent, and seconds since a heartbeat."""


def make_arrivals(kind: TraceKind, random: Random, *, hours: float) -> Iterator[float]:
    """Yield the arrival times of the heartbeats of one connection."""
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
            arrives_at += _draw_retransmit_delay(kind.loss, random)
        last_at = max(last_at, arrives_at)
        yield last_at


def _draw_retransmit_delay(loss: float, random: Random) -> float:
    total_s, retransmit_s = 0.0, _MIN_RETRANSMIT_S
    while random.random() < loss:
        total_s += retransmit_s
        retransmit_s = min(retransmit_s * 2, _MAX_RETRANSMIT_S)
    return total_s


def observe(
    kind: TraceKind, make_detector: Callable[[], FailureDetector], seed: int
) -> _TraceResult:
    """Run one kind of detector over all connections of one kind of trace."""
    levels: list[float] = []
    silent_detectors: list[tuple[FailureDetector, float]] = []
    for connection in range(_CONNECTIONS):
        random = Random(f"{seed}-{kind.name}-{connection}")
        detector = make_detector()
        last_at: float | None = None
        for now in make_arrivals(kind, random, hours=_HOURS_EACH):
            if last_at is not None:
                levels.append(detector.get_level(now))
            detector.observe(now)
            last_at = now
        # The connection goes silent at a random time between two heartbeats.
        silent_detectors.append((detector, random.uniform(0, _HEARTBEAT_S)))
    levels.sort(reverse=True)
    return _TraceResult(tuple(levels[:_MAX_LEVELS]), tuple(silent_detectors))


def find_threshold(observed: _TraceResult, allowed: int) -> float:
    """Return the lowest threshold with at most `allowed` false alarms."""
    return observed.levels[allowed]


def measure(observed: _TraceResult, *, threshold: float) -> tuple[int, float, float]:
    """Return the number of false alarms and the mean and maximum detection time."""
    alarms = sum(level > threshold for level in observed.levels)
    times = [
        max(0.0, detector.find_silence(threshold, longest_s=_MAX_SILENCE_S) - elapsed_s)
        for detector, elapsed_s in observed.silent_detectors
    ]
    return alarms, sum(times) / len(times), max(times)


def main(arguments: Sequence[str]) -> int:
    """Run all detectors on all traces and print tables."""
    options = parse_options("detectors", arguments)
    results = {
        (name, kind.name): observe(kind, make_detector, options.seed)
        for name, make_detector in DETECTORS.items()
        for kind in TRACES
    }
    rows = [
        _compare(results, setting, allowed, kind.name)
        for setting in ("each its own", "one for all")
        for allowed in _ALLOWED_ALARMS
        for kind in TRACES
    ]
    print(f"{_CONNECTIONS * _HOURS_EACH:.0f} connection-hours of each kind of trace")
    print_table(rows)
    print("false alarms of a fixed timeout per connection-hour")
    alarms = [_count_alarms(kind.name, results["fixed", kind.name]) for kind in TRACES]
    print_table(alarms)
    document = {
        "rows": [asdict(row) for row in rows],
        "alarms": [asdict(row) for row in alarms],
    }
    write_json(options.json, document)
    return 0


def _count_alarms(trace: str, observed: _TraceResult) -> AlarmRow:
    hours = _CONNECTIONS * _HOURS_EACH
    return AlarmRow(
        trace,
        *(
            round(sum(level > timeout_s for level in observed.levels) / hours, 2)
            for timeout_s in _TIMEOUTS_S
        ),
    )


def _compare(
    results: Mapping[tuple[str, str], _TraceResult],
    setting: str,
    allowed: int,
    trace: str,
) -> DetectorRow:
    # A process knows the heartbeat intervals of its connections but not how the network
    # will fail, so one threshold must suit all traces. The best threshold for each
    # trace alone is reported for comparison.
    traces = (
        [kind.name for kind in TRACES if not kind.stalls_tcp]
        if setting == "one for all"
        else [trace]
    )
    thresholds = [
        max(find_threshold(results[name, one], allowed) for one in traces)
        for name in DETECTORS
    ]
    measured = [
        measure(results[name, trace], threshold=threshold)
        for name, threshold in zip(DETECTORS, thresholds, strict=True)
    ]
    means = [round(mean_s, 2) for _, mean_s, _ in measured]
    maxima = [round(max_s, 2) for _, _, max_s in measured]
    threshold_text = " ".join(f"{threshold:.4g}" for threshold in thresholds)
    return DetectorRow(
        setting=setting,
        alarms_allowed=allowed,
        trace=trace,
        fixed_s=means[0],
        normal_s=means[1],
        exponential_s=means[2],
        fixed_max_s=maxima[0],
        normal_max_s=maxima[1],
        exponential_max_s=maxima[2],
        thresholds=threshold_text,
    )

"""Reduce the load of slow or failing targets, then eject them for a time."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

# Weight of one observation. At 10 requests a second per target and entry, two seconds
# of slowness have an effect; a single long answer has not.
_WEIGHT = 0.1
# Minimum number of observations: a cold cache or one long prompt looks like a slow
# target.
MIN_OBSERVATIONS = 8
# Up to this multiple of the service's median latency a target gets its full share.
SLOW_RATIO = 1.5
# Above this multiple of the median a target is ejected. A rank that stalls delays its
# whole lock-step group and every request sent there.
EJECT_RATIO = 3.0
# Fraction of failed attempts at which a target is ejected.
EJECT_FAILURES = 0.5
# Minimum share of a slow target in service: enough to detect its recovery.
MIN_SHARE = 0.1
# An ejected target is probed after this time, which doubles each time a probe fails.
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
# Successful probes after which a target is in service again.
PROBES_TO_RETURN = 3
# Minimum interval between two computations of the median, which sorts the service's
# targets.
_MEDIAN_INTERVAL_S = 0.25
# Latencies below this count as equal: three times one millisecond harms no caller.
LATENCY_FLOOR_S = 0.01
# Maximum number of histories of disconnected targets. Without a history, a slow target
# with a flapping connection would return as a new target each time.
_MAX_ABSENT = 256
# With fewer targets than this there is no majority to compare a target with.
MIN_TARGETS = 3


class HealthState(StrEnum):
    """Name the health of a target."""

    IN_SERVICE = "in-service"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(slots=True)
class _Health:
    state: HealthState = HealthState.IN_SERVICE
    log_latency: float = 0.0
    """Mean of the logarithm, which limits the effect of a single long answer."""
    failures: float = 0.0
    observations: int = 0
    ejected_until: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    probes_running: int = 0
    probes_passed: int = 0
    share: float = 1.0
    """Fraction of its usual work, as of the last observation."""

    def observe(self, log_latency: float, failed: bool) -> None:
        self.observations += 1
        weight = max(_WEIGHT, 1 / self.observations)
        self.failures += weight * (failed - self.failures)
        # The time until a failure says nothing about the latency of answers.
        if not failed:
            self.log_latency += weight * (log_latency - self.log_latency)


class Ejector:
    """Compare the targets of one service with one another.

    An entry can only distinguish a slow target from a slow service by comparison. If
    all targets are slow, the median is slow too and none is ejected. If more targets
    fail than may be ejected, the others stay in service: half of the targets under
    twice the load would fail as well.
    """

    def __init__(self, *, max_ejected_percent: int = 30) -> None:
        self._max_ejected_percent = max_ejected_percent
        self._targets: dict[str, _Health] = {}
        self._incarnations: dict[str, int] = {}
        self._absent: OrderedDict[tuple[str, int], _Health] = OrderedDict()
        self._ejected = 0
        self._median_latency: float | None = None
        self._median_failures = 0.0
        self._median_at = float("-inf")

    def connect(self, name: str, incarnation: int) -> None:
        """Start observing a target; only a new incarnation has no history."""
        self.disconnect(name)
        health = self._absent.pop((name, incarnation), None) or _Health()
        health.probes_running = 0
        if health.state is not HealthState.IN_SERVICE:
            if self._ejected < self.get_max_ejected():
                self._ejected += 1
            else:
                health.state = HealthState.IN_SERVICE
        self._targets[name] = health
        self._incarnations[name] = incarnation

    def disconnect(self, name: str) -> None:
        """Stop observing a target and keep its history."""
        health = self._targets.pop(name, None)
        if health is None:
            return
        if health.state is not HealthState.IN_SERVICE:
            self._ejected -= 1
        self._absent[name, self._incarnations.pop(name)] = health
        if len(self._absent) > _MAX_ABSENT:
            self._absent.popitem(last=False)
        self._reinstate_excess()

    def set_max_ejected(self, percent: int) -> None:
        """Set the maximum percentage of ejected targets."""
        self._max_ejected_percent = percent
        self._reinstate_excess()

    def count_ejected(self) -> int:
        """Return the number of targets that are ejected or probing."""
        return self._ejected

    def get_max_ejected(self) -> int:
        """Return the maximum number of targets that may be ejected at the same time."""
        count = len(self._targets)
        if self._max_ejected_percent == 0 or count < MIN_TARGETS:
            return 0
        # 30% of three targets would allow none. One slow target of three can be
        # detected, and the other two can carry its work.
        return max(1, count * self._max_ejected_percent // 100)

    def get_state(self, name: str) -> HealthState:
        """Return the health state of a target."""
        return self._targets[name].state

    def get_share(self, name: str) -> float:
        """Return the fraction of its usual work that a target gets, 0 to 1."""
        health = self._targets.get(name)
        if health is None:
            return 1.0
        if health.state is not HealthState.IN_SERVICE:
            return 0.0
        return health.share

    def is_probe_due(self, name: str, *, now: float) -> bool:
        """Return whether an ejected target should get one request as a probe.

        The probe is a caller's request, because only callers know what the answer
        should be. One probe at a time delays at most one caller.
        """
        health = self._targets.get(name)
        return (
            health is not None
            and health.state is not HealthState.IN_SERVICE
            and now >= health.ejected_until
            and not health.probes_running
        )

    def start(self, name: str) -> bool:
        """Record a request that is sent; return whether it is a probe."""
        health = self._targets.get(name)
        if health is None or health.state is HealthState.IN_SERVICE:
            return False
        if health.state is HealthState.EJECTED:
            health.state = HealthState.PROBING
            health.probes_passed = 0
        health.probes_running += 1
        return True

    def finish_probe(self, name: str) -> None:
        """Record that a probe has left a target, whatever its result."""
        health = self._targets.get(name)
        if health is not None and health.probes_running:
            health.probes_running -= 1

    def observe(
        self, name: str, *, latency_s: float, failed: bool, probe: bool, now: float
    ) -> None:
        """Record the time to the first byte of one answer, and update the health."""
        health = self._targets.get(name)
        if health is None:
            return
        self._update_medians(now)
        latency = math.log(max(latency_s, LATENCY_FLOOR_S))
        if health.state is HealthState.IN_SERVICE:
            health.observe(latency, failed)
            health.share = self._get_slow_share(health)
            if self._is_unhealthy(health) and self._ejected < self.get_max_ejected():
                self._eject(health, now)
        elif probe and health.state is HealthState.PROBING:
            self._evaluate_probe(health, latency, failed, now)

    def observe_wait(
        self, name: str, *, waited_s: float, probe: bool, now: float
    ) -> None:
        """Record a wait that ended at the deadline without an answer.

        The latency of the answer would have been longer than the wait. A short wait, of
        a request that had spent its time in the queue, shows nothing.
        """
        health = self._targets.get(name)
        if health is None:
            return
        latency = math.log(max(waited_s, LATENCY_FLOOR_S))
        known = health.log_latency if health.observations else latency
        if not probe and latency < known:
            return
        if not probe or self._get_ratio(latency) > EJECT_RATIO:
            self.observe(name, latency_s=waited_s, failed=False, probe=probe, now=now)

    def describe(self) -> Mapping[str, str]:
        """Return the state of each target that is not in service."""
        return {
            name: health.state.value
            for name, health in self._targets.items()
            if health.state is not HealthState.IN_SERVICE
        }

    def _evaluate_probe(
        self, health: _Health, latency: float, failed: bool, now: float
    ) -> None:
        if failed or self._get_ratio(latency) > EJECT_RATIO:
            health.state = HealthState.EJECTED
            health.ejection_s = min(health.ejection_s * 2, LONGEST_EJECTION_S)
            health.ejected_until = now + health.ejection_s
            return
        health.probes_passed += 1
        if health.probes_passed >= PROBES_TO_RETURN:
            self._ejected -= 1
            health.state = HealthState.IN_SERVICE
            health.log_latency = latency
            health.failures = 0.0
            health.observations = 0
            health.ejection_s = FIRST_EJECTION_S
            health.share = 1.0

    def _eject(self, health: _Health, now: float) -> None:
        self._ejected += 1
        health.state = HealthState.EJECTED
        health.ejected_until = now + health.ejection_s

    def _is_unhealthy(self, health: _Health) -> bool:
        if health.observations < MIN_OBSERVATIONS or self._median_latency is None:
            return False
        slow = self._get_ratio(health.log_latency) > EJECT_RATIO
        failing = (
            health.failures >= EJECT_FAILURES
            and self._median_failures < EJECT_FAILURES / 2
        )
        return slow or failing

    def _get_slow_share(self, health: _Health) -> float:
        if health.observations < MIN_OBSERVATIONS:
            return 1.0
        ratio = self._get_ratio(health.log_latency)
        slow_share = 1.0 if ratio <= SLOW_RATIO else SLOW_RATIO / ratio
        return max(MIN_SHARE, slow_share * (1.0 - health.failures))

    def _get_ratio(self, log_latency: float) -> float:
        if self._median_latency is None:
            return 1.0
        return math.exp(log_latency - self._median_latency)

    def _reinstate_excess(self) -> None:
        # When targets disconnect, fewer may be ejected, because the others must carry
        # the work.
        for health in self._targets.values():
            if self._ejected <= self.get_max_ejected():
                return
            if health.state is not HealthState.IN_SERVICE:
                health.state = HealthState.IN_SERVICE
                health.observations = 0
                health.share = 1.0
                self._ejected -= 1

    def _update_medians(self, now: float) -> None:
        if now - self._median_at < _MEDIAN_INTERVAL_S:
            return
        self._median_at = now
        known = [
            health
            for health in self._targets.values()
            if health.observations >= MIN_OBSERVATIONS
        ]
        if len(known) < MIN_TARGETS:
            self._median_latency = None
            self._median_failures = 0.0
            return
        middle = (len(known) - 1) // 2
        self._median_latency = sorted(one.log_latency for one in known)[middle]
        self._median_failures = sorted(one.failures for one in known)[middle]

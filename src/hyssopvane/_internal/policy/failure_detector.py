"""Detect silent peers from the arrival times of their messages."""

import math
from abc import ABC, abstractmethod
from collections import deque

# Number of intervals that the accrual detectors keep: a minute of heartbeats of 0.5 s.
WINDOW = 120
# With fewer intervals than this the estimate is not reliable.
_MIN_INTERVALS = 5
# A smaller deviation is treated as noise of the clock.
_MIN_DEVIATION_S = 0.02
_SQRT_2 = math.sqrt(2)
_LN_10 = math.log(10)
# From this distance on, the tail of the normal distribution is too small for erfc.
_FAR_TAIL = 30.0
_BISECTIONS = 50


class FailureDetector(ABC):
    """Convert the silence of a peer into a suspicion level."""

    def __init__(self) -> None:
        self._last_at: float | None = None

    def observe(self, now: float) -> None:
        """Record the arrival of a message."""
        if self._last_at is not None:
            self.add_interval(now - self._last_at)
        self._last_at = now

    def is_suspect(self, now: float, *, threshold: float) -> bool:
        """Return whether the peer is considered lost."""
        return self._last_at is not None and self.get_level(now) > threshold

    def get_level(self, now: float) -> float:
        """Return the suspicion level at a time."""
        return 0.0 if self._last_at is None else self.compute_level(now - self._last_at)

    @abstractmethod
    def add_interval(self, seconds: float) -> None:
        """Add the interval between two messages."""

    @abstractmethod
    def compute_level(self, silent_s: float) -> float:
        """Return the level after a silence; it never falls as the silence grows."""

    def find_silence(self, threshold: float, *, longest_s: float) -> float:
        """Return the silence in seconds at which the level reaches a threshold."""
        low, high = 0.0, longest_s
        if self.compute_level(high) <= threshold:
            return longest_s
        for _ in range(_BISECTIONS):
            middle = (low + high) / 2
            if self.compute_level(middle) > threshold:
                high = middle
            else:
                low = middle
        return high


class FixedTimeout(FailureDetector):
    """Suspect a peer by its silence alone; the level is in seconds."""

    def add_interval(self, seconds: float) -> None:
        """Ignore the interval."""

    def compute_level(self, silent_s: float) -> float:
        """Return the silence itself."""
        return silent_s


class AccrualDetector(FailureDetector):
    r"""Suspect a peer by the probability of its silence, as -log10.

    After "\varphi-Accrual Failure Detection", which keeps rolling sums of the intervals
    and does not prescribe the distribution.
    """

    def __init__(self, *, window: int = WINDOW) -> None:
        super().__init__()
        self._window = window
        self._intervals: deque[float] = deque()
        self._sum = 0.0
        self._squares = 0.0

    def add_interval(self, seconds: float) -> None:
        """Add an interval to the window."""
        self._intervals.append(seconds)
        self._sum += seconds
        self._squares += seconds * seconds
        if len(self._intervals) > self._window:
            oldest = self._intervals.popleft()
            self._sum -= oldest
            self._squares -= oldest * oldest

    def compute_level(self, silent_s: float) -> float:
        """Return -log10 of the probability that a message still arrives."""
        count = len(self._intervals)
        if count < _MIN_INTERVALS:
            return 0.0
        mean = max(self._sum / count, 1e-6)
        variance = max(0.0, self._squares / count - mean * mean)
        return self.compute_tail_level(silent_s, mean, math.sqrt(variance))

    @abstractmethod
    def compute_tail_level(
        self, silent_s: float, mean: float, deviation: float
    ) -> float:
        """Return the level for intervals with this mean and standard deviation."""


class AccrualNormal(AccrualDetector):
    """Assume normally distributed intervals."""

    def compute_tail_level(
        self, silent_s: float, mean: float, deviation: float
    ) -> float:
        """Return -log10 of the upper tail of the normal distribution."""
        distance = (silent_s - mean) / max(deviation, _MIN_DEVIATION_S)
        if distance < _FAR_TAIL:
            return -math.log10(0.5 * math.erfc(distance / _SQRT_2))
        tail = distance * distance / 2 + math.log(distance * math.sqrt(2 * math.pi))
        return tail / _LN_10


class AccrualExponential(AccrualDetector):
    """Assume exponentially distributed intervals."""

    def compute_tail_level(
        self, silent_s: float, mean: float, deviation: float
    ) -> float:
        """Return -log10 of the upper tail of the exponential distribution."""
        return silent_s / mean / _LN_10

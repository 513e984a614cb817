"""Space out attempts with random, growing delays."""

from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class Backoff:
    """Give the delay before each next attempt.

    Delays are drawn at random below a bound that doubles, so that many processes
    which lost the same service at one moment don't come back at one moment.
    """

    random: Random
    first_s: float = 0.1
    longest_s: float = 5.0
    _bound_s: float = field(init=False)

    def __post_init__(self) -> None:
        self._bound_s = self.first_s

    def get_next_delay(self) -> float:
        """Return the next delay in seconds."""
        delay = self.random.uniform(self.first_s / 2, self._bound_s)
        self._bound_s = min(self.longest_s, self._bound_s * 2)
        return delay

    def reset(self) -> None:
        """Start again with the first delay."""
        self._bound_s = self.first_s

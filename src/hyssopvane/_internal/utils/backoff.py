"""Compute random delays between attempts that grow exponentially."""

from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class Backoff:
    """Compute the delay before each attempt, with jitter.

    Each delay is random below a bound that doubles. So processes that lost the same
    service at the same time do not all retry at the same time.
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
        """Reset the bound to the first delay."""
        self._bound_s = self.first_s

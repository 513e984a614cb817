"""Limit the rate of an action."""


class TokenBucket:
    """Limit uses to a rate per second and a burst."""

    def __init__(self, *, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at: float | None = None

    def take(self, now: float) -> bool:
        """Take a token if there is one; `now` is in seconds of a monotonic clock."""
        if self._updated_at is not None:
            refill = (now - self._updated_at) * self._per_s
            self._tokens = min(self._burst, self._tokens + max(0.0, refill))
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

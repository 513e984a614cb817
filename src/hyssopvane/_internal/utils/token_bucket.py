"""Bound how often something is done."""


class TokenBucket:
    """Allow so many uses a second, and a few at once."""

    def __init__(self, *, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._at: float | None = None

    def take(self, now: float) -> bool:
        """Use one token if there is one; `now` is in seconds of a steady clock."""
        if self._at is not None:
            gained = (now - self._at) * self._per_s
            self._left = min(self._burst, self._left + max(0.0, gained))
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True

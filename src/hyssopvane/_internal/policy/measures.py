"""Measure how fast a service takes work, to predict how long a new request waits."""

import math

# Long enough to see past the mix of long and short, short enough that the loss of half
# of the targets shows in the predictions within seconds.
_RATE_WINDOW_S = 5.0
# Weight of the past at each end of an attempt: about the last fifty count.
_PAST_WEIGHT = 0.98


class RateMeter:
    """Measure tokens a second, with the past fading."""

    __slots__ = ("_at", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, *, now: float) -> None:
        """Count an amount."""
        self._sum = self._sum * self._fade(now) + amount
        self._at = now

    def get_rate(self, *, now: float) -> float:
        """Return the amount a second."""
        return self._sum * self._fade(now) / _RATE_WINDOW_S

    def _fade(self, now: float) -> float:
        return math.exp((self._at - now) / _RATE_WINDOW_S)


class ServiceMeter:
    """Measure one service from the attempts that this entry has sent.

    Tokens in flight ÷ mean time that a token is held is the rate at which places come
    free (Little's law). Unlike a count of completions it follows at once when targets
    go: what was in flight there is gone from the first factor. And it needs no word
    from the targets, whose reports lag.
    """

    def __init__(self) -> None:
        self.tokens_in_flight = 0
        self.requests_in_flight = 0
        self._tokens = 0.0
        self._held = 0.0
        self._token_seconds = 0.0
        self._requests = 0.0
        self._placed: dict[int, RateMeter] = {}

    def count_start(self, tokens: int, *, priority: int, now: float) -> None:
        """Count an attempt that is sent."""
        self.tokens_in_flight += tokens
        self.requests_in_flight += 1
        self._placed.setdefault(priority, RateMeter()).add(tokens, now=now)

    def count_end(self, tokens: int, *, held_s: float | None) -> None:
        """Count an attempt's end; None when its time tells nothing."""
        self.tokens_in_flight -= tokens
        self.requests_in_flight -= 1
        if held_s is None:
            return
        self._tokens = self._tokens * _PAST_WEIGHT + tokens
        self._held = self._held * _PAST_WEIGHT + held_s
        self._token_seconds = self._token_seconds * _PAST_WEIGHT + tokens * held_s
        self._requests = self._requests * _PAST_WEIGHT + 1

    def predict_run_s(self, tokens: int) -> float:
        """Return how long a request will hold its place; 0 while nothing is known."""
        return tokens * self._held / self._tokens if self._tokens else 0.0

    def predict_hold_s(self) -> float:
        """Return how long a request of average size holds its place."""
        return self._held / self._requests if self._requests else 0.0

    def measure_drain(self, priority: int, *, now: float, floor: float) -> float | None:
        """Return the tokens a second that a class can count on; None when unknown.

        What more urgent classes took of late is lost to it, but for the floor that
        it is promised.
        """
        if not self._token_seconds or not self.tokens_in_flight:
            return None
        total = self.tokens_in_flight * self._tokens / self._token_seconds
        taken = sum(
            meter.get_rate(now=now)
            for number, meter in self._placed.items()
            if number < priority
        )
        return max(total - taken, total * floor)

"""Measure how fast a service takes work, to predict how long a new request waits."""

import math

# Long enough to see past the mix of long and short, short enough that the loss of half
# of the targets shows in the predictions within seconds.
_RATE_WINDOW_S = 5.0
# Weight of the past at each end of an attempt: about the last fifty count.
_PAST_WEIGHT = 0.98

# A customer that takes less than this part of its class claims no share in predictions.
_ACTIVE_SHARE = 0.001
# Tokens a second below which a customer's meter is dropped, so that memory follows the
# customers of the last minute.
_MIN_RATE = 0.01


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


class _FlowMeter:
    __slots__ = ("active", "rate", "weight")

    def __init__(self, weight: float) -> None:
        self.rate = RateMeter()
        self.weight = weight
        self.active = False


class _ClassMeter:
    def __init__(self) -> None:
        self.rate = RateMeter()
        self.flows: dict[str, _FlowMeter] = {}
        self.active_weight = 0.0

    def get_flow(self, customer: str, weight: float) -> _FlowMeter:
        flow = self.flows.get(customer)
        if flow is None:
            flow = self.flows[customer] = _FlowMeter(weight)
        return flow

    def refresh_active(self, *, now: float) -> None:
        least = self.rate.get_rate(now=now) * _ACTIVE_SHARE
        self.active_weight = 0.0
        for customer, flow in list(self.flows.items()):
            rate = flow.rate.get_rate(now=now)
            flow.active = rate > least
            if flow.active:
                self.active_weight += flow.weight
            elif rate < _MIN_RATE:
                del self.flows[customer]


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
        self._classes: dict[int, _ClassMeter] = {}

    def count_start(
        self, tokens: int, *, priority: int, customer: str, weight: float, now: float
    ) -> None:
        """Count an attempt that is sent."""
        self.tokens_in_flight += tokens
        self.requests_in_flight += 1
        one = self._get_class(priority)
        one.rate.add(tokens, now=now)
        one.get_flow(customer, weight).rate.add(tokens, now=now)

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

    def measure_drain(self) -> float | None:
        """Return the tokens a second that get a place; None when unknown."""
        if not self._token_seconds or not self.tokens_in_flight:
            return None
        return self.tokens_in_flight * self._tokens / self._token_seconds

    def measure_flow_drain(
        self, priority: int, customer: str, *, weight: float, floor: float, now: float
    ) -> float | None:
        """Return the tokens a second that a customer can count on; None when unknown.

        It is what nobody else takes, but at least its share of its class. What more
        urgent classes took of late is lost to the class, but for the floor that it is
        promised. The share alone would be too little for a customer whose neighbours
        are modest, and the whole too much: they are served before it.
        """
        total = self.measure_drain()
        if total is None:
            return None
        above = sum(
            one.rate.get_rate(now=now)
            for number, one in self._classes.items()
            if number < priority
        )
        left = max(total - above, total * floor)
        one = self._get_class(priority)
        flow = one.get_flow(customer, weight)
        others = one.rate.get_rate(now=now) - flow.rate.get_rate(now=now)
        share = weight / (one.active_weight + (0.0 if flow.active else weight))
        return max(left - others, left * share)

    def refresh_active(self, *, now: float) -> None:
        """Find which customers took work of late; the others claim no share."""
        for one in self._classes.values():
            one.refresh_active(now=now)

    def _get_class(self, priority: int) -> _ClassMeter:
        one = self._classes.get(priority)
        if one is None:
            one = self._classes[priority] = _ClassMeter()
        return one

"""Measure the throughput of a service, to predict how long a new request waits."""

import math

# The window is long enough to average over a mix of long and short requests, and short
# enough that the loss of half of the targets shows in the predictions within seconds.
_RATE_WINDOW_S = 5.0
# Decay of the past at the end of each attempt: about the last fifty attempts count.
_PAST_WEIGHT = 0.98

# Fraction of its class's rate below which a customer claims no share in predictions.
_ACTIVE_SHARE = 0.001
# Tokens a second below which a customer's meter is dropped, so that memory grows only
# with the customers of the last minute.
_MIN_RATE = 0.01


class RateMeter:
    """Measure a rate in tokens a second, with exponential decay."""

    __slots__ = ("_at", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, *, now: float) -> None:
        """Add an amount."""
        self._sum = self._sum * self._get_decay(now) + amount
        self._at = now

    def get_rate(self, *, now: float) -> float:
        """Return the amount per second."""
        return self._sum * self._get_decay(now) / _RATE_WINDOW_S

    def _get_decay(self, now: float) -> float:
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

    By Little's law, tokens in flight divided by the mean time that a token is held is
    the rate at which places become free. Unlike a count of completions, it reacts at
    once when targets are lost: the tokens in flight there drop out of the first factor.
    It also needs no reports from the targets, which lag.
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
        """Count an attempt when it is sent."""
        self.tokens_in_flight += tokens
        self.requests_in_flight += 1
        one = self._get_class(priority)
        one.rate.add(tokens, now=now)
        one.get_flow(customer, weight).rate.add(tokens, now=now)

    def count_end(self, tokens: int, *, held_s: float | None) -> None:
        """Count the end of an attempt; `held_s` is None if its time is meaningless."""
        self.tokens_in_flight -= tokens
        self.requests_in_flight -= 1
        if held_s is None:
            return
        self._tokens = self._tokens * _PAST_WEIGHT + tokens
        self._held = self._held * _PAST_WEIGHT + held_s
        self._token_seconds = self._token_seconds * _PAST_WEIGHT + tokens * held_s
        self._requests = self._requests * _PAST_WEIGHT + 1

    def predict_run_s(self, tokens: int) -> float:
        """Return how many seconds a request will hold its place; 0 while unknown."""
        return tokens * self._held / self._tokens if self._tokens else 0.0

    def predict_hold_s(self) -> float:
        """Return how long a request of average size holds its place, in seconds."""
        return self._held / self._requests if self._requests else 0.0

    def measure_drain(self) -> float | None:
        """Return the tokens a second that get a place, or None if unknown."""
        if not self._token_seconds or not self.tokens_in_flight:
            return None
        return self.tokens_in_flight * self._tokens / self._token_seconds

    def measure_flow_drain(
        self, priority: int, customer: str, *, weight: float, floor: float, now: float
    ) -> float | None:
        """Return the tokens a second that a customer can rely on, or None if unknown.

        This is what other customers leave unused, but at least the customer's share of
        its class. The recent rate of more urgent classes is not available to the class,
        except for the class's guaranteed floor. The share alone would be too little for
        a customer whose neighbors use less than theirs, and the whole rate too much,
        since the neighbors are served before it.
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
        """Find the customers with recent work; the others claim no share."""
        for one in self._classes.values():
            one.refresh_active(now=now)

    def _get_class(self, priority: int) -> _ClassMeter:
        one = self._classes.get(priority)
        if one is None:
            one = self._classes[priority] = _ClassMeter()
        return one

"""Refuse waiting requests whose turn comes too late, and spread their retries.

Load: a service gets more than it can serve for some seconds. Whoever can't be served
learns it at once, with the time at which there will be room. Requests that would be
served late but before their `refuse_at` keep waiting: a late answer is worth something.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf
from random import Random

from hyssopvane._internal.policy.gate_decisions import QueuedRequest
from hyssopvane._internal.policy.outage_tracker import MAX_WAIT_SHARE
from hyssopvane._internal.policy.queueing import QueuedItem
from hyssopvane._internal.policy.turn_prediction import (
    Forecast,
    Turnover,
    TurnPredictor,
    WaitingKey,
    add_turnovers,
    make_key,
)
from hyssopvane._internal.state.waiting import WaitingRow

REVIEW_INTERVAL_S = 0.2
"""Time for which a forecast is used.

The gate decides every 10 ms while something waits, and sums come four times a second.
New requests are added to the last forecast, which knows the places that came free since
by their rate.
"""

MIN_RETRY_AFTER_S = 0.05
"""Least Retry-After, in seconds: a caller needs a round trip and a new connection."""


@dataclass(frozen=True, slots=True)
class RetryTime:
    """Hold when a refused caller should come back, and when there is room for it."""

    after_s: float
    room_s: float
    """Predicted time until there is room; above `after_s` if the caller would not wait
    that long.
    """


class EarlyRefusal:
    """Review the waiting requests of one service at one entry."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._predictor = TurnPredictor()
        self._forecast: Forecast | None = None
        self._new: dict[str, QueuedRequest] = {}
        """Requests that were added since the last review."""
        self._predicted_s: dict[str, float | None] = {}
        """Predicted waits of the waiting requests, since their arrival."""
        self._promised_until: dict[int, float] = {}
        """Time up to which places are meant for refused callers, by priority."""

    def add(self, waiting: QueuedRequest) -> None:
        """Count a request that begins to wait."""
        self._new[waiting.item.request_id] = waiting
        self._predicted_s[waiting.item.request_id] = None
        self._predictor.record_arrival(waiting.item.priority, waiting.item.arrived_at)

    def remove(self, request_id: str) -> None:
        """Forget a request that waits no longer."""
        self._predicted_s.pop(request_id, None)
        self._new.pop(request_id, None)

    def get_predicted_s(self, request_id: str) -> float | None:
        """Return the wait that was predicted for a request, None if none was."""
        return self._predicted_s.get(request_id)

    def is_due(self, now: float) -> bool:
        """Return whether a review may find something new."""
        return bool(self._new) or not self._is_fresh(now)

    def review(
        self,
        waiting: Mapping[str, QueuedRequest],
        turnovers: Iterable[Turnover],
        rows: Sequence[WaitingRow] | None,
        now: float,
    ) -> dict[str, RetryTime]:
        """Return the requests that can't be served in time, with the times to retry."""
        new = list(self._new.values())
        self._new.clear()
        if self._is_fresh(now):
            assert self._forecast is not None
            keys = [_make_key(one, now) for one in new]
            positions = list(map(self._forecast.add, keys))
            return self._review(new, keys, positions, self._forecast, now)
        reviewed = [one for one in waiting.values() if not one.moving]
        if not reviewed:
            return {}
        # The most urgent ones are reviewed first: those that are refused don't go
        # before others.
        reviewed.sort(key=lambda one: (now >= one.late_at, one.item.priority))
        keys = [_make_key(one, now) for one in reviewed]
        turnover = add_turnovers(list(turnovers))
        forecast = self._predictor.forecast(keys, rows, turnover, now)
        self._forecast = forecast
        return self._review(reviewed, keys, forecast.positions, forecast, now)

    def choose_retry(self, item: QueuedItem, now: float) -> RetryTime | None:
        """Return when a refused caller should come back, None if it is unknown."""
        forecast = self._forecast
        if forecast is None or not forecast.turnover.measured:
            return None
        room_at = forecast.at + forecast.measure_backlog_s(item.priority)
        for priority, until in self._promised_until.items():
            if priority <= item.priority:
                room_at = max(room_at, until)
        # Each refused caller gets a part of the backlog's time of its own, in which it
        # comes at random, since other entries refuse callers as well.
        slot_s = 1 / (forecast.measure_spare_rate(item.priority) * forecast.part)
        room_at = max(room_at, now) + self._random.uniform(0, 2) * slot_s
        latest_s = MAX_WAIT_SHARE * (item.deadline - now)
        after_s = max(MIN_RETRY_AFTER_S, min(room_at - now, latest_s))
        self._promised_until[item.priority] = now + after_s
        return RetryTime(after_s, room_at - now)

    def _review(
        self,
        reviewed: Sequence[QueuedRequest],
        keys: Sequence[WaitingKey],
        positions: Sequence[int],
        forecast: Forecast,
        now: float,
    ) -> dict[str, RetryTime]:
        refused: dict[str, RetryTime] = {}
        if not forecast.turnover.measured:
            return refused
        for one, key, position in zip(reviewed, keys, positions, strict=True):
            item = one.item
            if self._predicted_s.get(item.request_id) is None:
                turn = forecast.measure_turn(key, position, one.late_at, earliest=False)
                wait_s = max(now, min(turn, item.deadline)) - item.arrived_at
                self._predicted_s[item.request_id] = wait_s
            if one.started or now >= one.refuse_at:
                continue
            turn = forecast.measure_turn(key, position, one.late_at, earliest=True)
            if turn <= one.refuse_at:
                continue
            forecast.remove(key)
            self._predictor.withdraw_arrival(item.priority, now)
            retry = self.choose_retry(item, now)
            assert retry is not None
            refused[item.request_id] = retry
        return refused

    def _is_fresh(self, now: float) -> bool:
        at = -inf if self._forecast is None else self._forecast.at
        return now - at < REVIEW_INTERVAL_S


def _make_key(waiting: QueuedRequest, now: float) -> WaitingKey:
    item = waiting.item
    return make_key(item.priority, item.customer, now < waiting.late_at)

"""Decide which requests an entry that shuts down still sends to replicas."""

from collections import deque
from math import inf

SAMPLES = 20
"""Number of last answers of a route by which the time of its work is known."""


class EntryDeparture:
    """Tell until when a request can be sent, so that its answer ends before the entry.

    A request that was not sent can be refused, and its caller goes to another entry.
    One that is cut at a replica may have run.
    """

    def __init__(self) -> None:
        self._ends_at = inf
        self._work_s: dict[str, deque[float]] = {}

    def record_answer(self, route: str, seconds: float) -> None:
        """Record the time between a sent request and the end of its answer."""
        self._work_s.setdefault(route, deque(maxlen=SAMPLES)).append(seconds)

    def begin(self, ends_at: float) -> None:
        """Set the time at which requests in progress are cut."""
        self._ends_at = ends_at

    def measure_send_by(self, route: str) -> float:
        """Return the time until which a request of a route can be sent."""
        return self._ends_at - max(self._work_s.get(route, ()), default=0.0)

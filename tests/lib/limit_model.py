"""Simulate entries that send to one replica with a request limit, without sockets."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from hyssopvane._internal.policy.limit_shares import (
    EXCESS,
    EXCESS_REQUESTS,
    WINDOW_S,
    EntryCounter,
)
from hyssopvane._internal.policy.limited_replicas import LimitedReplicas
from hyssopvane._internal.state.routing import Replica

STEP_S = 0.01
"""Interval between two dispatch attempts of an entry."""
ANSWER_S = 0.06
NEWS_S = 0.5
COUNT_S = 0.125
COUNTED_SILENCE_S = 5.0
"""Silence after which an entry is no longer counted."""
FORWARD_DELAY_S = 0.5
"""Time after which an entry that has received the limit must keep to it."""
UNLIMITED_S = 0.05
"""Interval between two requests of an entry that knows of no limit."""

ZONES = ("zone-a", "zone-b", "zone-c")


@dataclass
class Entry:
    """Hold one entry and its simulated state."""

    name: str
    zone: str
    limits: LimitedReplicas
    entry_counter: EntryCounter
    asleep: tuple[float, float] = (-1.0, -1.0)
    """Start and end of the time in which it is stalled."""
    has_callers: bool = True
    sent_at: float = float("-inf")
    forwarded_at: float | None = None
    """Time at which it first forwarded an answer that sets a limit."""

    def is_awake(self, now: float) -> bool:
        return not self.asleep[0] <= now < self.asleep[1]


@dataclass
class LimitModel:
    """Run entries against a replica whose limit follows a schedule."""

    entries: int
    limit_at: Callable[[float], float | None]
    seed: int = 1
    loss: float = 0.0
    """Fraction of the messages between entries that is lost."""
    delay_s: float = 0.02
    """Maximum delay of a message in seconds."""
    sleeps: dict[int, tuple[float, float]] = field(default_factory=dict)
    idle: frozenset[int] = frozenset()
    """Entries without requests from callers."""
    arrivals: list[tuple[float, Entry]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.replica = Replica(
            id="i-1",
            service="checks",
            address="10.0.0.1:80",
            availability_zone=ZONES[0],
            slots=6,
            draining=False,
            started_ms=1,
        )
        self.fleet = [self._make_entry(number) for number in range(self.entries)]
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def _make_entry(self, number: int) -> Entry:
        zone = ZONES[number % len(ZONES)]
        entry_counter = EntryCounter(availability_zone=zone)
        limits = LimitedReplicas(
            random=Random(self.seed + number), entry_counter=entry_counter
        )
        return Entry(
            name=f"10.1.0.{number}:9",
            zone=zone,
            limits=limits,
            entry_counter=entry_counter,
            asleep=self.sleeps.get(number, (-1.0, -1.0)),
            has_callers=number not in self.idle,
        )

    def run(self, length_s: float) -> None:
        """Simulate a time span that starts at 0."""
        for step in range(round(length_s / STEP_S)):
            now = step * STEP_S
            while self._events and self._events[0][0] <= now:
                _, _, act = heappop(self._events)
                act(now)
            for entry in self.fleet:
                if entry.is_awake(now):
                    self._dispatch(entry, now)
            if step % round(COUNT_S / STEP_S) == 0:
                self._count(now)
            if step % round(NEWS_S / STEP_S) == 0:
                self._publish(now)

    def _dispatch(self, entry: Entry, now: float) -> None:
        if not entry.has_callers or not entry.limits.may_send(self.replica, now):
            return
        if entry.limits.get_share(self.replica) is None:
            if now - entry.sent_at < UNLIMITED_S:
                return
        entry.sent_at = now
        entry.limits.take(self.replica, now)
        self.arrivals.append((now + self.random.uniform(0.001, 0.005), entry))
        self._schedule(now + ANSWER_S, lambda at: self._answer(entry, at))

    def _answer(self, entry: Entry, now: float) -> None:
        if not entry.is_awake(now):
            self._schedule(entry.asleep[1], lambda at: self._answer(entry, at))
            return
        limit = self.limit_at(now)
        entry.limits.observe(self.replica, limit, received_at=now, now=now)
        if limit is not None and entry.forwarded_at is None:
            entry.forwarded_at = now

    def _count(self, now: float) -> None:
        live = sum(
            entry.is_awake(now) or now - entry.asleep[0] < COUNTED_SILENCE_S
            for entry in self.fleet
        )
        for entry in self.fleet:
            if entry.is_awake(now) and self.random.random() >= self.loss:
                entry.entry_counter.observe(live, now=now)
                near = [one.name for one in self.fleet if one.zone == entry.zone]
                entry.entry_counter.update(entry.name, near)

    def _publish(self, now: float) -> None:
        for entry in self.fleet:
            if not entry.is_awake(now):
                continue
            entry.limits.expire(now)
            near = [one for one in self.fleet if one.zone == entry.zone]
            far = [one for one in self.fleet if one.zone != entry.zone]
            for news in entry.limits.list_updates(now):
                for to in near + self.random.sample(far, min(1, len(far))):
                    if to is not entry and self.random.random() >= self.loss:
                        received_at = now - news.age_s
                        at = now + self.random.uniform(0, self.delay_s)
                        self._schedule(
                            at, self._make_delivery(to, news.per_s, received_at)
                        )

    def _make_delivery(
        self, to: Entry, per_s: float | None, received_at: float
    ) -> Callable[[float], None]:
        def deliver(now: float) -> None:
            to.limits.observe(self.replica, per_s, received_at=received_at, now=now)

        return deliver

    def _schedule(self, at: float, act: Callable[[float], None]) -> None:
        heappush(self._events, (at, next(self._numbers), act))

    def measure_excess(self, *, start_s: float, per_s: float) -> float:
        """Return the most requests in a window minus what a limit allows in it.

        Only requests of entries that forwarded a limit at least `FORWARD_DELAY_S`
        earlier count.
        """
        times = sorted(
            at
            for at, entry in self.arrivals
            if at >= start_s
            and entry.forwarded_at is not None
            and at >= entry.forwarded_at + FORWARD_DELAY_S
        )
        allowed = EXCESS * per_s * WINDOW_S + EXCESS_REQUESTS
        most, first = 0, 0
        for last, at in enumerate(times):
            while at - times[first] >= WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most - allowed

    def measure_rate(self, start_s: float, end_s: float) -> float:
        """Return the requests a second that the replica received in a time span."""
        got = sum(start_s <= at < end_s for at, _ in self.arrivals)
        return got / (end_s - start_s)

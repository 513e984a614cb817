"""Hold what one entry believes of one replica's load."""

from dataclasses import dataclass, field, replace

from hyssopvane._internal.state.loads import SLOW_PACE, RankLoad
from hyssopvane._internal.state.routing import Replica

FRESH_S = 0.5
"""Age up to which a load that a replica's agent told counts.

Leaders tell it eight times a second and more; an older one means that the agent is
away, and the replica's load is guessed from this entry's own requests.
"""

MIN_ASSUMED_ENTRIES = 4
REPLICAS_PER_ENTRY = 6
"""Entries that are assumed to send as much as this one while no agent tells better: so
many at least, and one to so many replicas.

After a restart of everything the entries are there before the agents are heard. Were
each to fill the group alone, the callers who come back at once would make each pass so
long that all of them are late, and most would be refused by full replicas.
"""

_REPORT_DELAY_S = 0.01
"""Time from sending a request until its replica's report counts it: two hops."""

_FAILURE_WEIGHT = 0.2
"""Weight of the last request in a replica's share of failures."""


def estimate_entries(replicas: int) -> int:
    """Return the entries that are assumed to send to so many replicas."""
    return max(MIN_ASSUMED_ENTRIES, replicas // REPLICAS_PER_ENTRY)


@dataclass(slots=True)
class ReplicaLoad:
    """Count the requests of one replica, from its agent's word and from own ones."""

    replica: Replica
    own: int = 0
    """Requests of this entry that run there."""
    sent_at: list[float] = field(default_factory=list)
    """Times of this entry's requests that a told load doesn't show yet."""
    load: RankLoad | None = None
    observed_at: float = float("-inf")
    failures: float = 0.0
    full_until: float = float("-inf")
    """Time until which it gets nothing, as it has just said that it is full."""
    ejected_until: float = float("-inf")
    """Time until which it gets nothing, as too many of its requests failed."""
    registered_ms: int = 0
    """Start that the registration named last; loads may know of a newer one."""

    def __post_init__(self) -> None:
        self.registered_ms = self.replica.started_ms

    @property
    def group(self) -> str:
        """Return the group that the replica was last heard to be in."""
        return "" if self.load is None else self.load.group

    def is_fresh(self, now: float) -> bool:
        """Tell whether its agent told its load lately."""
        return now - self.observed_at < FRESH_S

    def is_open(self, now: float) -> bool:
        """Tell whether it serves requests, as far as known."""
        return self.load is None or self.load.open or not self.is_fresh(now)

    def takes_requests(self, now: float) -> bool:
        """Tell whether it may get requests, as far as this entry's own ones show."""
        return now >= max(self.full_until, self.ejected_until) and self.is_open(now)

    def is_slow(self, now: float) -> bool:
        """Tell whether the replica works far below its usual pace."""
        if self.load is None or not self.is_fresh(now):
            return False
        return self.load.pace > SLOW_PACE

    def count(self, now: float, entries: int) -> int:
        """Return the requests that the replica is believed to have."""
        if self.load is None or not self.is_fresh(now):
            return self.own * entries
        return self.load.active + self.load.queued + len(self.sent_at)

    def count_unread_prompts(self) -> int:
        """Return the requests whose prompts the replica has yet to read."""
        queued = 0 if self.load is None else self.load.queued
        return queued + len(self.sent_at)

    def register(self, replica: Replica) -> bool:
        """Take a newer registration; tell whether it names another start."""
        previous_ms, self.registered_ms = self.registered_ms, replica.started_ms
        if replica.started_ms == previous_ms:
            # Loads are newer than registrations: what they know of the start stays.
            self.replica = replace(replica, started_ms=self.replica.started_ms)
            return False
        restarted = self._detect_restart(replica.started_ms)
        self.replica = replace(replica, started_ms=self.replica.started_ms)
        if restarted and self.load is not None:
            # It stays in its group until its agent tells another one.
            self.load = replace(self.load, active=0, queued=0)
            self.observed_at = float("-inf")
        return restarted

    def observe(self, load: RankLoad, *, now: float) -> bool:
        """Take what its agent tells, unless something newer was told before.

        Tell whether the load is of another start of the replica.
        """
        if now < self.observed_at:
            return False
        restarted = self._detect_restart(load.started_ms)
        self.load = load
        # What was sent before the report was taken is in it; a send takes a few
        # milliseconds to show.
        taken_at = now - _REPORT_DELAY_S
        self.sent_at = [at for at in self.sent_at if at > taken_at]
        self.observed_at = now
        return restarted

    def _detect_restart(self, started_ms: int) -> bool:
        """Forget what is believed of the start before, when this is another one.

        A replica that crashed may come back under its id and address within seconds,
        and holds nothing of what was sent to it. Its requests would be counted as
        running, and its failures against it, until they time out.
        """
        known = self.replica.started_ms
        if not started_ms or started_ms == known:
            return False
        self.replica = replace(self.replica, started_ms=started_ms)
        if not known:
            return False
        self.own = 0
        self.sent_at.clear()
        self.failures = 0.0
        self.full_until = self.ejected_until = float("-inf")
        return True

    def start(self, now: float) -> None:
        """Count a request of this entry."""
        self.own += 1
        self.sent_at.append(now)

    def finish(self, *, failed: bool) -> None:
        """Take note that a request of this entry has left."""
        self.own = max(0, self.own - 1)
        self.failures += _FAILURE_WEIGHT * (failed - self.failures)
        if self.load is not None and not self.sent_at and self.load.active:
            # The place is free before the next report says so.
            self.load = self.load.leave()
        elif self.sent_at:
            self.sent_at.pop(0)

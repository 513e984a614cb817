"""Track what one entry knows of one replica's load."""

from dataclasses import dataclass, field, replace
from math import ceil

from hyssopvane._internal.policy.poll_intervals import get_max_load_age_s
from hyssopvane._internal.state.loads import SLOW_PACE, RankLoad
from hyssopvane._internal.state.routing import Replica

FRESH_S = 0.5
"""Age up to which the load reported by a replica's agent is fresh.

Leaders publish it at least eight times a second. An older load means that the agent is
gone, and the replica's load is estimated from this entry's own requests.
"""

MAX_PROBE_S = 1.0
"""Longest time for which a replica on a VM that has resumed gets single requests.

It answers within some passes, unless it has much to catch up on or stops again.
"""

MIN_ASSUMED_ENTRIES = 4
REPLICAS_PER_ENTRY = 6
"""Least number of entries, and number of replicas per entry, for the assumed number of
entries that send as much as this one while no agent reports it.

After a restart of the whole system, the entries are up before they receive messages of
the agents. If each filled the group alone, the callers who return at once would make
each pass so long that all of them are late, and full replicas would refuse most of
them.
"""

UNREACHED_S = 0.1
"""Time for which the loads of a replica must lack requests that were sent to it.

A request takes less to a replica that reads, also over a new connection.
"""

_REPORT_DELAY_S = 0.01
"""Time from sending a request until the replica's report includes it: two hops."""

_NEVER = float("-inf")

_FAILURE_WEIGHT = 0.2
"""Weight of the last request in a replica's failure rate."""


def estimate_entries(replicas: int) -> int:
    """Return the assumed number of entries that send to `replicas` replicas."""
    return max(MIN_ASSUMED_ENTRIES, replicas // REPLICAS_PER_ENTRY)


@dataclass(slots=True)
class ReplicaLoad:
    """Count the requests of one replica, from its agent's reports and this entry's own
    requests.
    """

    replica: Replica
    own: int = 0
    """Requests of this entry that run on the replica."""
    sent_at: list[float] = field(default_factory=list)
    """Send times of this entry's requests that no reported load includes yet."""
    freed: int = 0
    """Requests of this entry that have ended since the last reported load."""
    load: RankLoad | None = None
    observed_at: float = float("-inf")
    answered_at: float = float("-inf")
    """Time of the last byte of an answer that this entry received from it."""
    failures: float = 0.0
    full_until: float = float("-inf")
    """Time until which it gets no requests because it has just reported that it is
    full.
    """
    ejected_until: float = float("-inf")
    """Time until which it gets no requests because too many of them failed."""
    stalled_at: float = float("-inf")
    """Time at which the replica's VM was last found to be stalled."""
    resumed_at: float = float("-inf")
    """Time of the first load after its VM was last found to be stalled."""
    probes: int = 0
    """Requests of this entry since then that have not ended, before it answers one."""
    paced_until: float = float("-inf")
    """Time until which it gets no requests because it is cold."""
    missing_since: float = float("inf")
    """Time of the first of the last loads that name fewer requests than this entry has
    there; infinite if the last load names them.
    """
    zone_share: float = 1.0
    """Share of the slots that may be used; 0 while the zone is evacuated."""
    registered_ms: int = 0
    """Start time in the last registration; loads may name a newer one."""

    def __post_init__(self) -> None:
        self.registered_ms = self.replica.started_ms

    @property
    def group(self) -> str:
        """Return the group that the replica last reported."""
        return "" if self.load is None else self.load.group

    @property
    def open_slots(self) -> int:
        """Return the number of slots that may be used."""
        slots = self.replica.slots
        return slots if self.zone_share == 1.0 else ceil(slots * self.zone_share)

    def is_fresh(self, now: float) -> bool:
        """Return whether the last reported load is recent."""
        return now - self.observed_at < FRESH_S

    def is_reported(self, now: float) -> bool:
        """Return whether the last reported load is as recent as on a working VM."""
        return now - self.observed_at < self._get_max_pause_s()

    def is_heard(self, now: float) -> bool:
        """Return whether its agent or its answers show that its VM works.

        A replica that was never reported may have no agent, and counts as heard.
        """
        return self.load is None or now - self.heard_at < self._get_max_pause_s()

    @property
    def heard_at(self) -> float:
        """Time of the last word of its agent or in its answers."""
        return max(self.observed_at, self.answered_at)

    def is_probed(self, now: float) -> bool:
        """Return whether its VM has resumed, and it is not known to answer again."""
        if self.answered_at >= self.resumed_at:
            return False
        return now - self.resumed_at < MAX_PROBE_S

    def _get_max_pause_s(self) -> float:
        ranks = 0 if self.load is None else self.load.ranks
        return min(FRESH_S, get_max_load_age_s(ranks))

    def is_open(self, now: float) -> bool:
        """Return whether the replica serves requests, as far as known."""
        return self.load is None or self.load.open or not self.is_fresh(now)

    def takes_requests(self, now: float) -> bool:
        """Return whether the replica may get requests, including this entry's own
        observations.
        """
        if self.is_stalled or now < max(self.full_until, self.ejected_until):
            return False
        return self.is_open(now)

    @property
    def is_stalled(self) -> bool:
        """Return whether nothing has been heard of it since its VM stalled."""
        return self.stalled_at > _NEVER and self.heard_at < self.stalled_at

    def is_slow(self, now: float) -> bool:
        """Return whether the replica works far below its usual pace."""
        if self.load is None or not self.is_fresh(now):
            return False
        return self.load.pace > SLOW_PACE

    def count(self, now: float, entries: float) -> int:
        """Return the estimated number of requests of the replica."""
        if self.is_stalled:
            # These take part in no pass, and are moved to other replicas.
            return 0
        if self.load is None or not self.is_fresh(now):
            return ceil(self.own * entries)
        return self.load.active + self.load.queued + len(self.sent_at)

    def is_unreached(self, now: float) -> bool:
        """Return whether requests that this entry has sent do not reach the replica.

        Its agent reports it as free meanwhile, if only the way to its VM is congested.
        """
        return now - self.missing_since >= UNREACHED_S

    def count_unread_prompts(self) -> int:
        """Return the number of requests whose prompts the replica has yet to read."""
        queued = 0 if self.load is None else self.load.queued
        return queued + len(self.sent_at)

    def register(self, replica: Replica) -> bool:
        """Apply a newer registration; return whether it names another start."""
        previous_ms, self.registered_ms = self.registered_ms, replica.started_ms
        if replica.started_ms == previous_ms:
            # Loads are newer than registrations, so the start that they name is kept.
            self.replica = replace(replica, started_ms=self.replica.started_ms)
            return False
        restarted = self._reset_if_restarted(replica.started_ms)
        self.replica = replace(replica, started_ms=self.replica.started_ms)
        if restarted and self.load is not None:
            # The replica stays in its group until its agent reports another one.
            self.load = replace(self.load, active=0, queued=0)
            self.observed_at = float("-inf")
        return restarted

    def observe(self, load: RankLoad, *, now: float) -> bool:
        """Apply a load from the replica's agent, unless a newer one was applied before.

        Return whether the load belongs to another start of the replica.
        """
        if now < self.observed_at:
            return False
        restarted = self._reset_if_restarted(load.started_ms)
        if self.is_stalled and now >= self.stalled_at:
            self.resumed_at, self.probes = now, 0
        self.load = load
        # The report includes the requests that were sent before it was taken; a request
        # takes a few milliseconds to show.
        taken_at = now - _REPORT_DELAY_S
        self.sent_at = [at for at in self.sent_at if at > taken_at]
        self.freed = 0
        self.observed_at = now
        if load.active + load.queued >= self.own - len(self.sent_at):
            self.missing_since = float("inf")
        else:
            self.missing_since = min(self.missing_since, now)
        return restarted

    def _reset_if_restarted(self, started_ms: int) -> bool:
        """Discard the state of the previous start if this is another one.

        A replica that crashed may return under its id and address within seconds, and
        has none of the requests that were sent to it. They would count as running, and
        their failures against the replica, until they time out.
        """
        known = self.replica.started_ms
        if not started_ms or started_ms == known:
            return False
        self.replica = replace(self.replica, started_ms=started_ms)
        if not known:
            return False
        self.own = self.freed = 0
        self.sent_at.clear()
        self.missing_since = float("inf")
        self.failures = 0.0
        self.full_until = self.ejected_until = self.stalled_at = float("-inf")
        self.answered_at = self.resumed_at = float("-inf")
        self.probes = 0
        return True

    def start(self, now: float) -> None:
        """Count a request of this entry."""
        self.own += 1
        self.sent_at.append(now)
        self.probes += self.is_probed(now)

    def finish(self, *, failed: bool) -> None:
        """Record that a request of this entry has ended."""
        self.own = max(0, self.own - 1)
        self.probes = max(0, self.probes - 1)
        self.failures += _FAILURE_WEIGHT * (failed - self.failures)
        if self.load is not None and not self.sent_at and self.load.active:
            # The place is free before the next report shows it.
            self.load = self.load.remove_request()
            self.freed += 1
        elif self.sent_at:
            self.sent_at.pop(0)

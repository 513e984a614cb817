"""Pace the requests to replicas that are cold.

A replica that starts during traffic, as after a crash or a power loss, is cold for some
seconds. It handles a low rate then, and crashes at a rate well above it: with the load
of a warm replica it would crash again at each start. All entries together therefore
send it at most `per_s * excess + requests` in any second. No entry knows what the
others send, so each keeps a pace of its own that is safe whatever the others know:

- An entry sends a cold replica at most `per_s / 16` requests a second, evenly paced and
  with nothing saved up. A window of a second holds at most `count_requests` of them (2
  at 28 a second), in any phase.
- The bound allows for that many of `most` entries (23 at 28 a second, factor 1.5 and 5
  requests). While at most `most` entries run, the bound holds whatever they count.
- If more are counted, only `most - UNCOUNTED_ENTRIES` entries of the replica's zone
  send, drawn by its address. The largest count and all names of ten minutes are used,
  so an entry that is cut off neither raises its pace nor becomes a sender. The
  remainder is for entries that are not counted yet.
- All this holds for entries whose count has settled. New entries may have heard of few
  others: whether one sends to a replica follows from the hash of its name, with such a
  chance that 60 of them stay within the bound, and less than one request a second each.
- A request takes its turn when it is sent, not when its replica is chosen: opening a
  connection takes up to a second, and requests that wait for it would go out together.

Given up for this: an entry that gets all connections uses only its own share, a
sixteenth of the rate; a fleet of fewer entries does not use the whole rate either; in
fleets of more than `most`, entries of other zones send nothing to a cold replica.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf
from random import Random

from hyssopvane._internal.policy.limit_shares import (
    EntryCounter,
    RateBound,
    RequestPace,
)
from hyssopvane._internal.policy.replica_load import ReplicaLoad
from hyssopvane._internal.state.cold import MAX_COLD_S, ColdChange, ColdSource
from hyssopvane._internal.state.routing import Replica, ServiceSpec

WINDOW_S = 1.0
"""Window of the bound on the requests to a cold replica, in seconds."""

RAMP_S = 1.0
"""Time after which a replica that has become warm gets requests at any rate.

Otherwise all entries would fill its free places in the same moment.
"""

RAMP_DOUBLING_S = 0.25
"""Time in which the pace doubles meanwhile: at the end it is 16 times as high, and the
share of one entry is the whole rate of the cold replica."""

REGISTRATION_LAG_S = 1.0
"""Time for which a registration may be older than a connection's failure that the entry
has seen. Within it, a registration without another start time does not end a cold time.
"""

REFUSED_TTL_S = 30.0
"""Time after which a refused connection is no longer considered. An entry that may not
send to the replica does not find out that it accepts connections again."""

ABSENT_TTL_S = 600.0
"""Time for which the start of a replica without a registration is remembered, so that
one whose registration has lapsed does not count as started."""

_SHARE_TTL_S = 0.1
"""Time for which a computed share is used; counts of entries arrive every 0.125 s."""

_ASSUMED = (ColdSource.START, ColdSource.CONNECTION)
"""Evidence by which the cold time is assumed from the configuration."""

_TOLERANCE_S = 1e-6
"""Rounding error of clock values."""


@dataclass(slots=True)
class _Record:
    replica: Replica
    started_ms: int
    revision: int
    until: float = -inf
    source: ColdSource = ColdSource.START
    evidence_at: float = -inf
    refused_at: float | None = None
    """Time of the last refused connection; None once the replica accepts one."""
    pace: RequestPace | None = None
    """Pace of the requests sent; None while it gets requests at any rate."""
    share: float = 0.0
    """Share of the cold replica's rate, as computed at `share_at`."""
    share_at: float = -inf
    next_at: float = -inf
    """Time from which the replica may be chosen for a request."""
    absent_at: float | None = None
    is_reported: bool = False


class ColdReplicas:
    """Track which replicas of one service are cold, and pace requests to them.

    A replica that this entry sees first is warm unless its registration says otherwise.
    Each entry finds out by itself; no message is exchanged.
    """

    def __init__(self, *, random: Random, entry_counter: EntryCounter) -> None:
        self._random = random
        self._entry_counter = entry_counter
        self._bound: RateBound | None = None
        self._cold_start_s = 0.0
        self._per_s = 0.0
        self._known: dict[str, _Record] = {}
        """By the id of the replica."""
        self._paced: dict[str, _Record] = {}
        """Those that are cold, ramp up, or refused a connection."""
        self.loads: Mapping[str, ReplicaLoad] = {}
        """Replicas of the gate by id; they hold the time until which they are paced."""
        self._lost: dict[str, float] = {}
        """Time of the last lost connection of replicas not connected to since then."""
        self._has_listed = False
        self._changes: list[ColdChange] = []
        self._held: set[str] = set()
        self._held_count = 0
        self._checked_at = -inf
        """Time of the last check whether a replica is not due, one for a decision."""
        self._has_blocked = False

    def configure(self, spec: ServiceSpec | None, bound: RateBound | None) -> None:
        """Set the service's cold time and rate; it is off without either or a bound."""
        self._cold_start_s = 0.0 if spec is None else min(spec.cold_start_s, MAX_COLD_S)
        self._per_s = 0.0 if spec is None else spec.cold_per_s
        self._bound = bound if self._cold_start_s and self._per_s else None
        if self._bound is None:
            for replica_id in list(self._known):
                self._discard(replica_id)
            self._has_listed = False

    @property
    def is_on(self) -> bool:
        """Return whether replicas of the service may be cold."""
        return self._bound is not None

    def observe_listed(
        self, listed: Iterable[tuple[Replica, int]], *, now: float
    ) -> None:
        """Apply the list of registrations with the current start of each replica."""
        if not self.is_on:
            return
        self._entry_counter.start(now)
        present = set()
        for replica, started_ms in listed:
            present.add(replica.id)
            self._observe_registration(replica, started_ms, now)
        self._has_listed |= bool(present)
        for replica_id, record in self._paced.items():
            # The gate forgets a replica that moves to another address.
            load = self.loads.get(replica_id)
            if load is not None:
                load.paced_until = record.next_at
        for replica_id in self._known.keys() - present:
            record = self._known[replica_id]
            if record.absent_at is None:
                record.absent_at = now
            elif now - record.absent_at > ABSENT_TTL_S:
                self._discard(replica_id)

    def observe_start(self, replica: Replica, *, now: float) -> None:
        """Record that a load names the current start of a replica."""
        record = self._known.get(replica.id)
        if record is not None:
            self._update_start(record, replica.started_ms, now)

    def record_answer(self, replica: Replica, left_s: float, *, now: float) -> None:
        """Apply the cold time in an answer of a replica."""
        record = self._known.get(replica.id)
        if record is None:
            return
        is_other = replica.started_ms not in (0, record.started_ms)
        if left_s:
            until = now + left_s
            until = max(until, record.until) if is_other else until
            self._set_cold(record, ColdSource.ANSWER, until, now)
        elif not is_other and now < record.until:
            record.evidence_at = now
            self._end_cold(record, now)

    def record_unreachable(self, replica: Replica, *, now: float) -> None:
        """Record that no connection to a replica could be opened."""
        record = self._known.get(replica.id)
        if record is None:
            return
        record.refused_at = record.evidence_at = now
        self._pace(record, now)

    def record_lost(self, replica: Replica, *, now: float) -> None:
        """Record that a replica has closed a connection that it should have kept.

        It may have restarted, also if it accepts the next connection.
        """
        record = self._known.get(replica.id)
        if record is not None and replica.started_ms in (0, record.started_ms):
            self._lost[replica.id] = now

    def discard(self, replica: Replica) -> None:
        """Remove a replica whose address now belongs to another one."""
        self._discard(replica.id)

    def filter_due(self, usable: list[ReplicaLoad], now: float) -> list[ReplicaLoad]:
        """Return the replicas that may be chosen for a request of this entry."""
        return [one for one in usable if one.paced_until <= now]

    def reserve(self, replica: Replica, now: float) -> None:
        """Record that a replica was chosen for a request."""
        record = self._paced.get(replica.id)
        if record is not None:
            self._postpone(record, now, self._measure_interval_s(record, now))

    def take_turn(
        self,
        replica: Replica,
        now: float,
        *,
        has_survived: Callable[[float], bool] = lambda since: False,
    ) -> bool:
        """Count a request whose connection is open; return whether it may be sent.

        `has_survived` tells whether an older connection to the replica has delivered
        anything since a time, which shows that the replica has not restarted.
        """
        lost_at = self._lost.pop(replica.id, None)
        if lost_at is not None and not has_survived(lost_at):
            lost = self._known[replica.id]
            until = max(lost.until, now + self._cold_start_s)
            self._set_cold(lost, ColdSource.CONNECTION, until, now)
        record = self._paced.get(replica.id)
        if record is None:
            return True
        if record.refused_at is not None:
            until = max(record.until, now + self._cold_start_s)
            record.refused_at = None
            self._set_cold(record, ColdSource.CONNECTION, until, now)
        if now >= record.until + RAMP_S:
            return True
        assert record.pace is not None
        record.pace.per_s = self._measure_share(record, now)
        is_due = record.pace.measure_due_s(now) <= _TOLERANCE_S
        if is_due:
            record.pace.take(now)
        else:
            self._held_count += 1
        self._postpone(record, now, self._measure_due_s(record.pace, now))
        return is_due

    def get_share(self, replica: Replica, now: float) -> float | None:
        """Return this entry's share of requests a second, None without a limit."""
        record = self._paced.get(replica.id)
        return None if record is None else self._measure_share(record, now)

    def measure_due_s(self, replica: Replica, now: float) -> float:
        """Return the seconds until a replica may be chosen for a request."""
        record = self._paced.get(replica.id)
        return 0.0 if record is None else max(0.0, record.next_at - now)

    def record_held(self, request_id: str, now: float) -> None:
        """Count a request that finds no place while a cold replica is not due."""
        if request_id in self._held:
            return
        if now > self._checked_at:
            self._checked_at = now
            paced = self._paced.values()
            self._has_blocked = any(record.next_at > now for record in paced)
        if self._has_blocked:
            self._held.add(request_id)
            self._held_count += 1

    def forget(self, request_id: str) -> None:
        """Forget a request that waits no more."""
        self._held.discard(request_id)

    def take_held_count(self) -> int:
        """Return the number of requests held back since the last call."""
        count, self._held_count = self._held_count, 0
        return count

    def count_cold(self, now: float) -> int:
        """Return the number of cold replicas."""
        return sum(now < record.until for record in self._paced.values())

    def expire(self, now: float) -> list[ColdChange]:
        """End the pace of warm replicas; return the changes since the last call."""
        for replica_id, lost_at in list(self._lost.items()):
            if now - lost_at > REFUSED_TTL_S:
                del self._lost[replica_id]
        for replica_id, record in list(self._paced.items()):
            if record.refused_at is not None:
                if now - record.refused_at > REFUSED_TTL_S:
                    record.refused_at = None
                    self._postpone(record, now, 0.0)
            is_limited = now < record.until or record.refused_at is not None
            if is_limited and record.pace is not None and not record.pace.per_s:
                # The entry may have become a sender since its share was computed.
                record.next_at = -inf
                self._pace(record, now)
            if now < record.until:
                continue
            if record.is_reported:
                record.is_reported = False
                self._changes.append(ColdChange(replica_id, record.source, 0.0))
            if record.refused_at is None and now >= record.until + RAMP_S:
                record.pace = None
                del self._paced[replica_id]
        changes, self._changes = self._changes, []
        return changes

    def __len__(self) -> int:
        """Return the number of replicas to which requests are paced."""
        return len(self._paced)

    def _observe_registration(
        self, replica: Replica, started_ms: int, now: float
    ) -> None:
        record = self._known.get(replica.id)
        if record is None:
            record = _Record(replica, started_ms, replica.revision)
            self._known[replica.id] = record
            if self._has_listed and replica.cold_left_s is None:
                # A replica that appears while this entry runs has just started.
                self._set_cold(record, ColdSource.START, now + self._cold_start_s, now)
            self._apply_cold_left(record, replica, now)
            return
        record.replica, record.absent_at = replica, None
        self._update_start(record, started_ms, now)
        if replica.revision != record.revision:
            record.revision = replica.revision
            self._apply_cold_left(record, replica, now)

    def _update_start(self, record: _Record, started_ms: int, now: float) -> None:
        known, record.started_ms = record.started_ms, started_ms or record.started_ms
        if known and known != record.started_ms:
            # What was known of the earlier start says nothing about this one.
            record.until, record.refused_at = -inf, None
            self._lost.pop(record.replica.id, None)
            self._set_cold(record, ColdSource.START, now + self._cold_start_s, now)

    def _apply_cold_left(self, record: _Record, replica: Replica, now: float) -> None:
        """Apply the cold time of a newer registration.

        It replaces a time that was assumed for the same start. It does not shorten one
        that the replica has stated: the registration may be older than the statement.
        """
        left_s = replica.cold_left_s
        if left_s is None or replica.started_ms not in (0, record.started_ms):
            return
        if now - self._lost.get(replica.id, now) >= REGISTRATION_LAG_S:
            del self._lost[replica.id]
        is_refused = record.refused_at is not None
        is_start = record.source is ColdSource.START and not is_refused
        is_newer = now - record.evidence_at >= REGISTRATION_LAG_S
        is_replaced = (is_start and replica.started_ms != 0) or (
            is_newer and (is_refused or record.source in _ASSUMED)
        )
        if left_s:
            until = now + left_s
            until = until if is_replaced else max(until, record.until)
            if until > record.until or is_replaced:
                self._set_cold(record, ColdSource.REGISTRATION, until, now)
        elif is_replaced:
            record.refused_at = None
            self._end_cold(record, now)

    def _set_cold(
        self, record: _Record, source: ColdSource, until: float, now: float
    ) -> None:
        is_new = now >= record.until or source is not record.source
        record.source, record.until, record.evidence_at = source, until, now
        self._pace(record, now)
        if is_new:
            record.is_reported = True
            change = ColdChange(record.replica.id, source, until - now)
            self._changes.append(change)

    def _end_cold(self, record: _Record, now: float) -> None:
        record.until = min(record.until, now)
        if record.replica.id in self._paced:
            self._postpone(record, now, 0.0)

    def _pace(self, record: _Record, now: float) -> None:
        share = self._measure_share(record, now)
        if record.pace is None or not record.pace.per_s:
            # The phase is random so that entries do not send at the same moment.
            record.pace = RequestPace(per_s=share, now=now, phase=self._random.random())
            record.next_at = -inf
        self._paced[record.replica.id] = record
        self._postpone(record, now, self._measure_due_s(record.pace, now))

    def _measure_due_s(self, pace: RequestPace, now: float) -> float:
        if pace.per_s:
            return pace.measure_due_s(now)
        # The entry may become a sender once it knows how many others there are.
        return self._entry_counter.measure_unsettled_s(now) or inf

    def _postpone(self, record: _Record, now: float, due_s: float) -> None:
        next_at = max(record.next_at, now + due_s)
        if record.refused_at is None:
            next_at = min(next_at, record.until + RAMP_S)
        record.next_at = next_at
        load = self.loads.get(record.replica.id)
        if load is not None:
            load.paced_until = next_at

    def _measure_interval_s(self, record: _Record, now: float) -> float:
        share = self._measure_share(record, now)
        return 1 / share if share else inf

    def _measure_share(self, record: _Record, now: float) -> float:
        assert self._bound is not None
        if now - record.share_at > _SHARE_TTL_S:
            replica = record.replica
            record.share_at = now
            record.share = self._entry_counter.measure_safe_share(
                replica.address,
                replica.availability_zone,
                self._per_s,
                bound=self._bound,
                now=now,
            )
        share = record.share
        if record.refused_at is None and now > record.until:
            ramp_s = min(now - record.until, RAMP_S)
            share *= 2 ** (ramp_s / RAMP_DOUBLING_S)
        return share

    def _discard(self, replica_id: str) -> None:
        self._known.pop(replica_id, None)
        self._paced.pop(replica_id, None)
        self._lost.pop(replica_id, None)
        load = self.loads.get(replica_id)
        if load is not None:
            load.paced_until = -inf

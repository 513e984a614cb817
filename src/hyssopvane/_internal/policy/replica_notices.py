"""Track what replicas report about themselves in their answers to this entry."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from hyssopvane._internal.state.routing import Replica

MAX_BACKOFF_S = 3_600.0
"""Maximum seconds for which an answer may keep requests away from a replica."""

START_PROPAGATION_S = 1.0
"""Seconds that the update about a replica's start may take. A back-off received at most
this long before the update may already be from the new start."""

LEAVING_TTL_S = 3_600.0
"""Seconds without a registration after which the record of a leaving replica is
removed."""


@dataclass(slots=True)
class _Notice:
    """Record what one replica has reported."""

    started_ms: int
    seen_at: float
    """Time at which the replica was last known to be registered."""
    backoff_until: float = -inf
    backoff_received_at: float = -inf
    leaving: bool = False


class ReplicaNotices:
    """Track which replicas want no requests of this entry, for a time or for good.

    A report stays in force regardless of the replica's registration, address or other
    records. A back-off ends with its time, and both kinds end when the replica
    restarts.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Notice] = {}
        """By the id of the replica."""

    def record_backoff(self, replica: Replica, backoff_s: float, *, now: float) -> bool:
        """Record a back-off that a replica asks for; return whether one begins.

        A shorter back-off does not replace a longer one.
        """
        until = now + min(backoff_s, MAX_BACKOFF_S)
        if until <= now:
            return False
        notice = self._get(replica, now)
        notice.backoff_received_at = now
        is_new = notice.backoff_until <= now
        notice.backoff_until = max(notice.backoff_until, until)
        return is_new

    def record_leaving(self, replica: Replica, *, now: float) -> bool:
        """Record that a replica is leaving; return whether that is new."""
        notice = self._get(replica, now)
        is_new = not notice.leaving
        notice.leaving = True
        return is_new

    def record_registered(self, replicas: Iterable[Replica], *, now: float) -> None:
        """Update the current starts of replicas from registrations or loads."""
        if not self._known:
            return
        for replica in replicas:
            notice = self._known.get(replica.id)
            if notice is None:
                continue
            notice.seen_at = now
            if replica.started_ms not in (0, notice.started_ms):
                _reset_for_new_start(notice, replica.started_ms, now)

    def takes_requests(self, replica: Replica, now: float) -> bool:
        """Return whether a replica accepts requests, according to its own reports."""
        notice = self._known.get(replica.id)
        return notice is None or not (notice.leaving or now < notice.backoff_until)

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether a replica has reported that it is leaving."""
        notice = self._known.get(replica.id)
        return notice is not None and notice.leaving

    def measure_backoff_s(self, replica: Replica, now: float) -> float:
        """Return the remaining seconds of a replica's back-off."""
        notice = self._known.get(replica.id)
        return 0.0 if notice is None else max(0.0, notice.backoff_until - now)

    def expire(self, now: float) -> list[str]:
        """Remove expired records; return the ids of replicas whose back-off ended."""
        ended = []
        for key, notice in list(self._known.items()):
            if -inf < notice.backoff_until <= now:
                notice.backoff_until = -inf
                ended.append(key)
            backing_off = now < notice.backoff_until
            leaving = notice.leaving and now - notice.seen_at < LEAVING_TTL_S
            if not backing_off and not leaving:
                del self._known[key]
        return ended

    def count_backing_off(self, now: float) -> int:
        """Return the number of replicas in back-off."""
        return sum(now < notice.backoff_until for notice in self._known.values())

    def __len__(self) -> int:
        """Return the number of replicas with a record."""
        return len(self._known)

    def _get(self, replica: Replica, now: float) -> _Notice:
        notice = self._known.get(replica.id)
        if notice is None:
            notice = _Notice(replica.started_ms, seen_at=now)
            self._known[replica.id] = notice
        return notice


def _reset_for_new_start(notice: _Notice, started_ms: int, now: float) -> None:
    """End what an earlier start of the replica reported."""
    if notice.started_ms:
        # A new start that leaves reports it again. If the last answer of the previous
        # start marked the new start as leaving, it would never get a request.
        notice.leaving = False
        if now - notice.backoff_received_at > START_PROPAGATION_S:
            notice.backoff_until = -inf
    notice.started_ms = started_ms

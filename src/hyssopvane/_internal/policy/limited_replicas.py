"""Enforce the request limits that the replicas of one service set."""

from dataclasses import dataclass
from random import Random

from hyssopvane._internal.policy.limit_shares import EntryCounter, RequestPace
from hyssopvane._internal.state.limits import LimitReport
from hyssopvane._internal.state.routing import Replica

LIMIT_TTL_S = 30.0
"""Seconds without an update after which a limit expires.

Without it, a limited replica in a zone without entries would never receive a request
again.
"""

ENDED_LIMIT_TTL_S = 5.0
"""Seconds for which the end of a limit is published to other entries."""

MAX_LIMITS_PER_MESSAGE = 24
"""Limits in one message: some 40 bytes each, less than a packet in total."""


@dataclass(slots=True)
class _LimitRecord:
    replica: Replica
    per_s: float | None
    received_at: float
    pace: RequestPace


class LimitedReplicas:
    """Track the replicas of one service that have a limit or had one recently.

    Overloaded replicas ask all entries together for fewer requests. A replica that gets
    more fails, and all its requests fail with it.
    """

    def __init__(self, *, random: Random, entry_counter: EntryCounter) -> None:
        self._random = random
        self._entry_counter = entry_counter
        self._known: dict[str, _LimitRecord] = {}
        """By the address of the replica."""
        self._next_index = 0

    def observe(
        self, replica: Replica, per_s: float | None, *, received_at: float, now: float
    ) -> bool:
        """Record a limit that a replica reported; return whether it is a change."""
        known = self._known.get(replica.address)
        if known is not None and not _is_same_start(known.replica, replica):
            known = None
        if known is None:
            if per_s is None:
                return False
            share = self._measure_share(replica, per_s)
            # The phase is random so that entries do not send at the same moment; see
            # `RequestPace`.
            phase = self._random.random()
            pace = RequestPace(per_s=share, now=now, phase=phase)
            self._known[replica.address] = _LimitRecord(
                replica, per_s, received_at, pace
            )
            return True
        if received_at < known.received_at:
            return False
        is_new = per_s != known.per_s
        known.per_s, known.received_at = per_s, received_at
        return is_new

    def remove(self, address: str) -> None:
        """Remove the limit of a replica that has left or restarted."""
        self._known.pop(address, None)

    def expire(self, now: float) -> list[str]:
        """Remove expired limits; return the addresses of those that were in force."""
        old = [
            address
            for address, known in self._known.items()
            if now - known.received_at
            > (ENDED_LIMIT_TTL_S if known.per_s is None else LIMIT_TTL_S)
        ]
        named = [one for one in old if self._known[one].per_s is not None]
        for address in old:
            del self._known[address]
        return named

    def may_send(self, replica: Replica, now: float) -> bool:
        """Return whether a replica accepts one more request of this entry now."""
        return not self.measure_due_s(replica, now)

    def measure_due_s(self, replica: Replica, now: float) -> float:
        """Return the seconds until a replica accepts the next request of this entry."""
        known = self._find(replica)
        if known is None or known.per_s is None:
            return 0.0
        known.pace.per_s = self._measure_share(replica, known.per_s)
        return known.pace.measure_due_s(now)

    def take(self, replica: Replica, now: float) -> None:
        """Count a request that is sent to a replica."""
        known = self._find(replica)
        if known is not None and known.per_s is not None:
            known.pace.take(now)

    def get_share(self, replica: Replica) -> float | None:
        """Return this entry's share of requests a second, None without a limit."""
        known = self._find(replica)
        if known is None or known.per_s is None:
            return None
        return self._measure_share(replica, known.per_s)

    def list_updates(self, now: float) -> list[LimitReport]:
        """Return a bounded number of limits for other entries, in rotation."""
        known = list(self._known.values())
        if len(known) > MAX_LIMITS_PER_MESSAGE:
            at = self._next_index % len(known)
            self._next_index += MAX_LIMITS_PER_MESSAGE
            known = (known[at:] + known[:at])[:MAX_LIMITS_PER_MESSAGE]
        return [
            LimitReport(
                replica=one.replica.address,
                started_ms=one.replica.started_ms,
                per_s=one.per_s,
                age_s=now - one.received_at,
            )
            for one in known
        ]

    def __len__(self) -> int:
        """Return the number of replicas that have a limit or had one recently."""
        return len(self._known)

    def _find(self, replica: Replica) -> _LimitRecord | None:
        known = self._known.get(replica.address)
        if known is None or not _is_same_start(known.replica, replica):
            return None
        return known

    def _measure_share(self, replica: Replica, per_s: float) -> float:
        return self._entry_counter.measure_share(
            replica.address, replica.availability_zone, per_s
        )


def _is_same_start(known: Replica, other: Replica) -> bool:
    """Return whether two records of a replica may be of the same start."""
    same_id = known.id == other.id
    return same_id and may_be_same_start(known.started_ms, other.started_ms)


def may_be_same_start(some_ms: int, other_ms: int) -> bool:
    """Return whether two start times are equal, or one of them is unknown (0)."""
    return 0 in (some_ms, other_ms) or some_ms == other_ms

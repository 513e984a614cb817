"""Keep to the request limits that the replicas of one service name."""

from dataclasses import dataclass
from random import Random

from hyssopvane._internal.policy.limit_shares import EntryCensus, RequestPace
from hyssopvane._internal.state.limits import LimitNews
from hyssopvane._internal.state.routing import Replica

LIMIT_TTL_S = 30.0
"""Time without news after which a limit no longer counts.

A replica that no entry of its zone is left to send to would get no request for ever.
"""

ENDED_LIMIT_TTL_S = 5.0
"""Time for which other entries are told that a limit has ended."""

MAX_LIMITS_PER_MESSAGE = 24
"""Limits in one message: some 40 bytes each, less than a packet in all."""


@dataclass(slots=True)
class _LimitRecord:
    replica: Replica
    per_s: float | None
    received_at: float
    pace: RequestPace


class LimitedReplicas:
    """Hold the replicas of one service that name a limit, or did so lately.

    Made for replicas in need, which ask all entries together for fewer requests: one
    that is not spared fails, and takes the requests that it has along.
    """

    def __init__(self, *, random: Random, census: EntryCensus) -> None:
        self._random = random
        self._census = census
        self._known: dict[str, _LimitRecord] = {}
        """By the address of the replica."""
        self._next_index = 0

    def observe(
        self, replica: Replica, per_s: float | None, *, received_at: float, now: float
    ) -> bool:
        """Take what a replica said; tell whether it changes what is believed."""
        known = self._known.get(replica.address)
        if known is not None and not _is_same_start(known.replica, replica):
            known = None
        if known is None:
            if per_s is None:
                return False
            share = self._measure_share(replica, per_s)
            # The place in the own pause is drawn: see `RequestPace`.
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

    def forget(self, address: str) -> None:
        """Drop what was said by a replica that has left or started anew."""
        self._known.pop(address, None)

    def refresh(self, now: float) -> list[str]:
        """Drop limits that nobody has heard of for long; return their addresses."""
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
        """Tell whether a replica takes one more request of this entry now."""
        return not self.measure_due_s(replica, now)

    def measure_due_s(self, replica: Replica, now: float) -> float:
        """Return the time until a replica takes the next request of this entry."""
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
        """Return the requests a second that this entry may send, None without limit."""
        known = self._find(replica)
        if known is None or known.per_s is None:
            return None
        return self._measure_share(replica, known.per_s)

    def list_updates(self, now: float) -> list[LimitNews]:
        """Return what other entries are told now, a bounded number in turn."""
        known = list(self._known.values())
        if len(known) > MAX_LIMITS_PER_MESSAGE:
            at = self._next_index % len(known)
            self._next_index += MAX_LIMITS_PER_MESSAGE
            known = (known[at:] + known[:at])[:MAX_LIMITS_PER_MESSAGE]
        return [
            LimitNews(
                replica=one.replica.address,
                started_ms=one.replica.started_ms,
                per_s=one.per_s,
                age_s=now - one.received_at,
            )
            for one in known
        ]

    def __len__(self) -> int:
        """Return the number of replicas that name a limit, or did so lately."""
        return len(self._known)

    def _find(self, replica: Replica) -> _LimitRecord | None:
        known = self._known.get(replica.address)
        if known is None or not _is_same_start(known.replica, replica):
            return None
        return known

    def _measure_share(self, replica: Replica, per_s: float) -> float:
        return self._census.measure_share(
            replica.address, replica.availability_zone, per_s
        )


def _is_same_start(known: Replica, other: Replica) -> bool:
    """Tell whether two beliefs of a replica are of one start, as far as known."""
    same_id = known.id == other.id
    return same_id and may_be_same_start(known.started_ms, other.started_ms)


def may_be_same_start(some_ms: int, other_ms: int) -> bool:
    """Tell whether two names of starts differ only where one is not known."""
    return 0 in (some_ms, other_ms) or some_ms == other_ms

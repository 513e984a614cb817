"""Keep the times for which replicas want no requests of this entry."""

from dataclasses import dataclass

from hyssopvane._internal.state.routing import Replica

LONGEST_REST_S = 3_600.0
"""Longest time for which an answer may keep requests away from a replica."""

START_NEWS_S = 1.0
"""Time that the news of a replica's start may take: an answer that came so shortly
before may be of that start already."""


@dataclass(slots=True)
class _Rest:
    started_ms: int
    until: float
    told_at: float


class ReplicaRests:
    """Hold which replicas asked this entry for a time without requests.

    What a replica said holds until that time, whatever becomes of its registration,
    its address or other beliefs. It ends early only when the replica starts anew.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Rest] = {}
        """By the id of the replica."""

    def add(self, replica: Replica, rest_s: float, *, now: float) -> bool:
        """Take what an answer asks for; tell whether no request was unwanted before.

        A shorter time takes nothing back from a longer one that was told before.
        """
        until = now + min(rest_s, LONGEST_REST_S)
        known = self._known.get(replica.id)
        if known is None or known.until <= now:
            if until <= now:
                return False
            self._known[replica.id] = _Rest(replica.started_ms, until, now)
            return True
        known.until = max(known.until, until)
        known.told_at = now
        return False

    def note_start(self, replica: Replica, *, now: float) -> None:
        """Learn which start of a replica is the present one."""
        known = self._known.get(replica.id)
        if known is None or replica.started_ms in (0, known.started_ms):
            return
        if known.started_ms and now - known.told_at > START_NEWS_S:
            del self._known[replica.id]
        else:
            known.started_ms = replica.started_ms

    def is_resting(self, replica: Replica, now: float) -> bool:
        """Tell whether a replica wants no requests now."""
        return self.measure_left_s(replica, now) > 0

    def measure_left_s(self, replica: Replica, now: float) -> float:
        """Return the time for which a replica still wants no requests."""
        known = self._known.get(replica.id)
        return 0.0 if known is None else max(0.0, known.until - now)

    def expire(self, now: float) -> list[str]:
        """Forget the rests that are over; return the ids of their replicas."""
        ended = [key for key, known in self._known.items() if known.until <= now]
        for key in ended:
            del self._known[key]
        return ended

    def __len__(self) -> int:
        """Return the number of replicas that asked for rest lately."""
        return len(self._known)

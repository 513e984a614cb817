"""Track replicas that have left, to override older registrations.

The store may be restored from a copy in which a replica is still ready although it has
reported that it is leaving, or its registration has ended. Until the registration is
written again, the earlier knowledge takes precedence.
"""

from dataclasses import dataclass, replace

from hyssopvane._internal.state.routing import Replica

RETENTION_S = 60.0
"""Seconds for which a departure is remembered; copies of the store are some seconds
old."""


@dataclass(frozen=True, slots=True)
class _Departure:
    """Record that one start of a replica is leaving or gone."""

    started_ms: int
    announced: bool
    """Whether the replica itself reported it; otherwise only its registration ended."""
    era: int
    """Era of the store in which the departure was recorded."""
    at: float


class Departures:
    """Track which replicas are leaving or gone, by the keys of their registrations."""

    def __init__(self) -> None:
        self._known: dict[str, _Departure] = {}
        self._unconfirmed: set[str] = set()
        """Keys whose registrations ended and are present again in what may be a
        copy."""

    def note(self, key: str, replica: Replica, *, era: int, now: float) -> None:
        """Record that a replica is leaving, or that its registration has ended."""
        self._known[key] = _Departure(
            started_ms=replica.started_ms, announced=replica.draining, era=era, at=now
        )

    def remove(self, key: str) -> None:
        """Remove the departure of a key whose registration is written again."""
        self._known.pop(key, None)
        self._unconfirmed.discard(key)

    def discard_unconfirmed(self, key: str) -> None:
        """Mark a key's registration as no longer used."""
        self._unconfirmed.discard(key)

    def correct(
        self, key: str, replica: Replica, *, era: int, is_first: bool, now: float
    ) -> Replica:
        """Return a replica as draining if its ready state may come from an old copy.

        `is_first` is true for the first registration of the key in the era.
        """
        departure = self._known.get(key)
        self._unconfirmed.discard(key)
        if replica.draining:
            self.note(key, replica, era=era, now=now)
            return replica
        if departure is None or departure.started_ms != replica.started_ms:
            return replica
        if not is_first or departure.era >= era:
            del self._known[key]
            return replica
        if not departure.announced:
            self._unconfirmed.add(key)
        return replace(replica, draining=True)

    def take_unconfirmed(self) -> list[str]:
        """Return keys with unconfirmed registrations, and remove their departures."""
        keys = sorted(self._unconfirmed)
        for key in keys:
            self.remove(key)
        return keys

    def expire(self, *, now: float) -> None:
        """Remove departures older than `RETENTION_S`, except unconfirmed ones."""
        for key, departure in list(self._known.items()):
            if now - departure.at >= RETENTION_S and key not in self._unconfirmed:
                del self._known[key]

"""Remember replicas that have left, against registrations that are older than that.

The store may come back from a copy in which a replica that has said that it leaves, or
whose registration has ended, is still ready. Until the registration is written again,
what was known before holds.
"""

from dataclasses import dataclass, replace

from hyssopvane._internal.state.routing import Replica

RETENTION_S = 60.0
"""Time for which it is known that a replica has left: copies are some seconds old."""


@dataclass(frozen=True, slots=True)
class _Departure:
    """Tell that one start of a replica is leaving or gone."""

    started_ms: int
    announced: bool
    """Whether the replica itself said so, and not only its registration ended."""
    era: int
    """Era of the store in which this was learnt."""
    at: float


class Departures:
    """Know which replicas are leaving or gone, by the keys of their registrations."""

    def __init__(self) -> None:
        self._known: dict[str, _Departure] = {}
        self._unconfirmed: set[str] = set()
        """Keys whose registrations ended, and are there again in what may be a copy."""

    def note(self, key: str, replica: Replica, *, era: int, now: float) -> None:
        """Take note that a replica is leaving, or that its registration has ended."""
        self._known[key] = _Departure(
            started_ms=replica.started_ms, announced=replica.draining, era=era, at=now
        )

    def remove(self, key: str) -> None:
        """Forget what was known of a key: its registration is written anew."""
        self._known.pop(key, None)
        self._unconfirmed.discard(key)

    def discard_unconfirmed(self, key: str) -> None:
        """Take note that a key's registration is no longer used."""
        self._unconfirmed.discard(key)

    def correct(
        self, key: str, replica: Replica, *, era: int, is_first: bool, now: float
    ) -> Replica:
        """Return a replica as draining where only a copy may say that it is ready.

        `is_first` tells that this is the first registration of the key in the era.
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
        """Return the keys whose registrations are doubted, and doubt them no more."""
        keys = sorted(self._unconfirmed)
        for key in keys:
            self.remove(key)
        return keys

    def expire(self, *, now: float) -> None:
        """Forget what was learnt long ago."""
        for key, departure in list(self._known.items()):
            if now - departure.at >= RETENTION_S and key not in self._unconfirmed:
                del self._known[key]

"""Find requests that no replica may serve because of its availability zone."""

from collections.abc import Callable, Iterable

from hyssopvane._internal.policy.replica_load import ReplicaLoad

ZONES_EVACUATED = "zones-evacuated"
REGION_NOT_ALLOWED = "region-not-allowed"


class ZoneAccess:
    """Hold the zones of one service's replicas, and which of them are evacuated.

    Load: all zones of a service are evacuated, or its replicas are in regions that a
    request may not reach. Harm prevented: such requests would wait until they are
    refused as late, and their callers would have no time left to come back.
    """

    def __init__(self) -> None:
        self._open: frozenset[str] = frozenset()
        self._zones: frozenset[str] = frozenset()
        self._obstacle: str | None = None
        """Obstacle of requests that may reach all regions."""

    def update(
        self, replicas: Iterable[ReplicaLoad], is_evacuated: Callable[[str], bool]
    ) -> None:
        """Set the replicas of the service.

        The share of a zone that returns may still be 0, but its requests can wait.
        """
        self._zones = frozenset(one.replica.availability_zone for one in replicas)
        self._open = frozenset(zone for zone in self._zones if not is_evacuated(zone))
        self._obstacle = None if self._open or not self._zones else ZONES_EVACUATED

    def find_obstacle(self, zones: frozenset[str] | None) -> str | None:
        """Return why no replica may serve a request, None if one may.

        `zones` are those that the request may reach, None if it may reach all. Without
        any replica nothing is known of their zones.
        """
        if zones is None or self._obstacle is not None or not self._zones:
            return self._obstacle
        if not zones.isdisjoint(self._open):
            return None
        return REGION_NOT_ALLOWED if zones.isdisjoint(self._zones) else ZONES_EVACUATED

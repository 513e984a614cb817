"""Decide which share of an availability zone's capacity one service uses."""

from collections.abc import Iterable, Mapping

from hyssopvane._internal.state.routing import RoutingTable

MAX_RAMP_S = 2.0
"""Longest ramp of a service whose replicas never are cold.

A change of the requests per rank changes the demand for experts, which their map
follows within about a second. Twice that is enough, and a longer ramp would only
withhold capacity.
"""

RAMP_OBJECTIVES = 2.0
"""Length of such a ramp in objectives of the service's routes.

Requests that began to wait when the zone returned are refused after 2.4 objectives. The
whole capacity is back before that.
"""

MAX_COLD_RAMP_S = 30.0
"""Longest ramp of a service whose replicas may be cold.

A wrong configuration must not keep a zone out of use for hours.
"""

RAMP_STEP_S = 0.05
"""Pause between two steps of a ramp: about a pass.

Each step goes over all replicas of the service, which is too much for each request.
"""

_NEVER = float("inf")


def choose_ramp_s(table: RoutingTable, service: str) -> float:
    """Return the time in which a zone of a service returns to its whole capacity.

    Replicas of an evacuated zone may be cold when it returns, so the ramp is as long as
    they can be. Others are warm, but idle: without a ramp, all that waits would be sent
    to them at once, and its prompts would be read in the same passes.
    """
    spec = table.services.get(service)
    if spec is not None and spec.cold_start_s > 0:
        return min(MAX_COLD_RAMP_S, spec.cold_start_s)
    objectives = [
        route.objective_s
        for route in table.routes
        if any(part.service == service and part.weight for part in route.split)
    ]
    return min([MAX_RAMP_S, *(RAMP_OBJECTIVES * one for one in objectives)])


class ZoneEvacuations:
    """Hold which zones are evacuated and which ones return, for one service.

    Load: an operator evacuates a zone for seconds to minutes, and its requests go to
    the other zones; then the zone returns, empty and perhaps cold, while requests wait.
    Harm prevented: requests in a zone that is about to lose power; other zones that get
    more than they can run because slots of the evacuated zone are counted; and a burst
    of all waiting requests at the returned replicas.
    """

    def __init__(self) -> None:
        self.ramp_s = MAX_RAMP_S
        self._evacuated: dict[str, float] = {}
        """Times at which zones were evacuated."""
        self._returned: dict[str, tuple[float, float]] = {}
        """Time and first share of the zones that return."""
        self._due_at = _NEVER
        """Time of the next step of a ramp."""

    def update(self, zones: Iterable[str], *, now: float) -> bool:
        """Set the evacuated zones; return whether they have changed."""
        evacuated = set(zones)
        if evacuated == self._evacuated.keys():
            return False
        for zone in self._evacuated.keys() - evacuated:
            self._returned[zone] = (now, self._choose_first_share(zone, now))
        for zone in evacuated - self._evacuated.keys():
            self._returned.pop(zone, None)
        self._evacuated = {zone: self._evacuated.get(zone, now) for zone in evacuated}
        self._due_at = now if self._returned else _NEVER
        return True

    @property
    def is_active(self) -> bool:
        """Return whether any zone is evacuated or returns."""
        return bool(self._evacuated or self._returned)

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated; one that returns is not."""
        return zone in self._evacuated

    def is_due(self, now: float) -> bool:
        """Return whether the shares of returning zones have to be measured again."""
        return now >= self._due_at

    def measure_share(self, zone: str, now: float) -> float:
        """Return the share of a zone's capacity that counts, from 0 to 1."""
        if zone in self._evacuated:
            return 0.0
        if zone not in self._returned:
            return 1.0
        at, first = self._returned[zone]
        passed = (now - at) / self.ramp_s if self.ramp_s > 0 else 1.0
        return min(1.0, first + max(0.0, passed))

    def measure_shares(self, now: float) -> Mapping[str, float]:
        """Return the shares of all zones that don't count whole, and end past ramps."""
        shares = {
            zone: self.measure_share(zone, now)
            for zone in (*self._evacuated, *self._returned)
        }
        for zone, share in shares.items():
            if share >= 1:
                self._returned.pop(zone, None)
        self._due_at = now + RAMP_STEP_S if self._returned else _NEVER
        return shares

    def _choose_first_share(self, zone: str, now: float) -> float:
        # Requests that ran in the zone have not all ended after a short evacuation, and
        # its replicas continue almost as if nothing had happened.
        evacuated_s = now - self._evacuated[zone]
        return 1 - min(1.0, evacuated_s / self.ramp_s) if self.ramp_s > 0 else 1.0

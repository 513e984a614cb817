"""Define the operators' configuration of routes, services and customers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType


class RequestKind(StrEnum):
    """Classify requests by whether they may run more than once."""

    IDEMPOTENT = "idempotent"
    NOT_IDEMPOTENT = "not-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class SplitPart:
    """Hold the share of a route's requests that a service receives."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Define the services and limits for requests with one host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    split: tuple[SplitPart, ...]
    timeout_s: float
    """Maximum time until a request has its complete answer."""
    objective_s: float
    """Objective for the time to the answer, or to the first event of a stream."""
    priority: int
    """Priority of the requests; 0 is served first."""
    max_attempts: int
    public: bool
    """Whether requests need no API key."""
    resumable: bool
    """Whether a broken stream may be resumed at another replica."""
    pause_s: float
    """Objective for the longest pause between events; 0 if there are no events."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions that requests may reach; empty if there is no limit."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ExpertLayout:
    """Hold the numbers and sizes of the experts on a group's ranks."""

    sets: int
    """Number of sets of layers; each set has its own experts."""
    experts: int
    """Number of experts in a set."""
    places: int
    """Number of experts of each set that fit on a rank."""
    new_copies: int
    """Maximum number of experts of a set that one map change may add to a rank."""
    work_share: float
    """Fraction of the work per token that the experts do."""
    expert_mb: float
    """Size of an expert in megabytes."""
    link_mbps: float
    """Bandwidth for copying experts to a rank, in megabits a second."""
    report_lag_s: float | None = None
    """Age of a rank's report when another machine reads it; None if unknown."""


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Hold the parameters that determine how long an engine takes for a pass."""

    slots: int
    """Number of requests that one replica processes concurrently."""
    kv_tokens: int
    """Number of tokens whose keys and values fit in a replica's memory."""
    steps_per_pass: int
    step_s: float
    per_request_s: float
    """Time that each generating request adds to a step."""
    context_s: float
    """Time that each context token of a generating request adds to a step."""
    read_tokens_per_s: float
    read_chunk: int = 0
    """Maximum number of prompt tokens that a step reads; 0 if unlimited."""
    layout: ExpertLayout | None = None
    form_s: float = 0.0
    """Time that a group of replicas takes to form; 0 if not given."""


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Hold the configuration of a service."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineModel | None = None
    """Model of the service's engines; None for a service without engines."""
    cold_start_s: float = 0.0
    """Time for which a replica is cold after its start; 0 if it never is."""
    cold_per_s: float = 0.0
    """Requests a second that a cold replica handles; 0 if it is never cold."""


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Limit the size of callers' requests and the time that sending may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Customer:
    """Hold a customer's name and priority."""

    name: str
    priority: int | None = None
    """Overrides the route's priority; None if the customer has no priority."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions that its requests may reach; empty if there is no limit."""


@dataclass(frozen=True)
class RoutingTable:
    """Hold one accepted version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    customers_by_key: Mapping[str, Customer] = field(
        default_factory=lambda: MappingProxyType({})
    )
    needs_keys: bool = False
    bounds: CallerBounds = CallerBounds()

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        object.__setattr__(self, "_by_host", by_host)

    def has_priorities(self, service: str) -> bool:
        """Return whether routes to a service with engines differ in priority."""
        spec = self.services.get(service)
        if spec is None or spec.engine is None:
            return False
        found = {
            route.priority
            for route in self.routes
            if any(part.service == service and part.weight for part in route.split)
        }
        return len(found) > 1

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None."""
        by_host: Mapping[str, list[Route]] = self._by_host  # type: ignore[attr-defined]
        for route in by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


Incarnation = tuple[str, int]
"""Id of a replica, and the start time that identifies one of its starts."""


@dataclass(frozen=True, slots=True)
class Replica:
    """Describe one incarnation of a replica as it registered itself."""

    id: str
    """Id of the replica; a later start may reuse it."""
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool
    started_ms: int = 0
    """Start by its own clock, in Unix milliseconds; 0 if not given."""
    # Replicas register again every few seconds. Two registrations that differ in these
    # fields alone describe the same replica.
    cold_left_s: float | None = field(default=None, compare=False)
    """Time for which it was still cold when it registered; None if not given."""
    revision: int = field(default=0, compare=False)
    """Revision of the store at which it registered; 0 if unknown."""
    ignored: str = field(default="", compare=False)
    """Reason why a field of its registration was ignored; empty if none was."""

    @property
    def incarnation(self) -> Incarnation:
        """Return the identifier of this start of the replica."""
        return self.id, self.started_ms

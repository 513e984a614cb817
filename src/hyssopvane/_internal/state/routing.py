"""Hold the operators' configuration of routes, services and customers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType


class RequestKind(StrEnum):
    """Tell whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NOT_IDEMPOTENT = "not-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class SplitPart:
    """Give a service its part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Say where requests of one host and path prefix go, and what they may cost."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    split: tuple[SplitPart, ...]
    timeout_s: float
    """Longest time that a request may stay without its whole answer."""
    objective_s: float
    """Time to the answer, or to the first event, that callers should get."""
    priority: int
    """Rank among the requests, 0 first."""
    max_attempts: int
    public: bool
    """Whether requests need no key."""
    resumable: bool
    """Whether a broken stream may go on at another replica."""
    pause_s: float
    """Longest pause between events that callers should get; 0 where there are none."""

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ExpertLayout:
    """Describe the experts of a group's ranks."""

    sets: int
    """Sets of layers, each with experts of its own."""
    experts: int
    """Experts in a set."""
    places: int
    """Experts that fit on a rank, by set."""
    new_copies: int
    """Experts of a set that one change may bring to a rank."""
    work_share: float
    """Share of the work for tokens that experts do."""
    expert_mb: float
    """Size of an expert."""
    link_mbps: float
    """Speed at which experts are copied to a rank."""
    report_lag_s: float | None = None
    """Age of what a rank's report says when another machine reads it, if known."""


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Describe how long the engines of a service take for a pass."""

    slots: int
    """Requests that one replica works on at once."""
    kv_tokens: int
    """Tokens that fit in a replica's memory."""
    steps_per_pass: int
    step_s: float
    per_request_s: float
    """Time that each writing request adds to a step."""
    context_s: float
    """Time that each token of a writing request's context adds to a step."""
    read_tokens_per_s: float
    read_chunk: int = 0
    """Prompt tokens that a step reads at most; 0 where there is no such bound."""
    layout: ExpertLayout | None = None


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Describe a service."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineModel | None = None
    """None for a plain service."""


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Customer:
    """Name a customer and its rank."""

    name: str
    priority: int | None = None
    """Goes before the route's priority; None where the customer has none."""


@dataclass(frozen=True)
class RoutingTable:
    """Hold one accepted configuration."""

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

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that begins a path."""
        by_host: Mapping[str, list[Route]] = self._by_host  # type: ignore[attr-defined]
        for route in by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


Incarnation = tuple[str, int]
"""Id of a replica, and what names one of its starts."""


@dataclass(frozen=True, slots=True)
class Replica:
    """Describe one start of a replica, as it registered itself."""

    id: str
    """May be that of an earlier start."""
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool
    started_ms: int = 0
    """Names its start, in Unix milliseconds of its own clock; 0 where not told."""

    @property
    def incarnation(self) -> Incarnation:
        """Return what names this start of the replica."""
        return self.id, self.started_ms

"""Decode the routes, services and tenants that operators configure."""

from types import MappingProxyType
from typing import Annotated, Literal

from hyssopvane._internal.exceptions import ConfigurationError
from hyssopvane._internal.models.lean_models import Field
from hyssopvane._internal.platform.documents import (
    Count,
    Document,
    Measure,
    Milliseconds,
    Name,
    read_document,
)
from hyssopvane._internal.state.routing import (
    CallerBounds,
    Customer,
    EngineModel,
    ExpertLayout,
    RequestKind,
    Route,
    RoutingTable,
    ServiceSpec,
    SplitPart,
)

CONFIGURATION_KEY = "op/config"

_HINT = "write a new version; the last readable one stays in force"
_MILLISECONDS = 1_000.0
_TOKENS_PER_K = 1_000.0
_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NOT_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}

Positive = Annotated[int, Field(ge=1, le=2**31)]


class _Part(Document):
    service: Name
    weight: Measure


class _Route(Document):
    name: Name
    host: Name
    prefix: Name
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeout: Milliseconds = Field(alias="timeout-ms")
    objective: Milliseconds = Field(alias="target-latency-ms")
    service: Name | None = None
    split: list[_Part] | None = Field(None, alias="traffic-split")
    priority: Count = 0
    max_attempts: Count = Field(1, alias="max-attempts")
    public: bool = False
    resumable: bool = False
    pause: Milliseconds = Field(0.0, alias="gap-aim-ms")


class _Engine(Document):
    slots: Positive
    kv_capacity: Count = Field(alias="kv-capacity")
    stride: Positive
    step: Milliseconds = Field(alias="step_ms")
    per_request: Milliseconds = Field(alias="per_seq_ms")
    context_per_k: Milliseconds
    read_per_s: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    report_lag: Milliseconds | None = Field(None, alias="report_lag_ms")
    chunk: Count = 0
    expert_sets: Count | None = Field(None, alias="expert-sets")
    experts: Positive = 1
    # Despite its name, the number of experts of a set that fit on a rank.
    placement: Positive = 1
    # Despite its name, the number of experts that one order may add.
    spare: Count = 0
    expert_share: Annotated[float, Field(ge=0, le=1)] = Field(0.0, alias="expert-share")
    expert_mb: Measure = Field(0.0, alias="expert-mb")
    link_mbps: Annotated[float, Field(gt=0, allow_inf_nan=False)] = Field(
        1.0, alias="link-mbps"
    )


class _Service(Document):
    name: Name
    health_check: str = Field("/", alias="health-check")
    max_connections: Count = Field(1, alias="max-connections")
    engine: _Engine | None = None


class _Limits(Document):
    max_header_bytes: Positive = Field(alias="max-header-bytes")
    max_body_bytes: Positive = Field(alias="max-body-bytes")
    header_timeout: Milliseconds = Field(alias="header-timeout-ms")
    idle_timeout: Milliseconds = Field(alias="idle-timeout-ms")


class _Tenant(Document):
    name: Name
    priority: Count | None = None
    api_keys: list[str] = Field([], alias="api-keys")


class Configuration(Document):
    """Represent the configuration document of all routes, services and tenants."""

    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


def decode_configuration(value: bytes) -> RoutingTable:
    """Return the routing table of a stored value; raise `ConfigurationError`."""
    document = read_document(
        Configuration,
        value,
        context=CONFIGURATION_KEY,
        hint=_HINT,
    )
    keys = {
        key: Customer(tenant.name, tenant.priority)
        for tenant in document.tenants or ()
        for key in tenant.api_keys
    }
    services = [_make_service(item) for item in document.services]
    return RoutingTable(
        version=document.version,
        routes=tuple(_make_route(item) for item in document.routes),
        services=MappingProxyType({service.name: service for service in services}),
        customers_by_key=MappingProxyType(keys),
        needs_keys=document.tenants is not None,
        bounds=_make_bounds(document.limits),
    )


def _make_route(item: _Route) -> Route:
    split = tuple(SplitPart(part.service, part.weight) for part in item.split or ())
    if not split and item.service is not None:
        split = (SplitPart(item.service, 1),)
    if not sum(part.weight for part in split):
        raise ConfigurationError(
            "a route has no service with a positive weight",
            context=item.name,
            hint=_HINT,
        )
    return Route(
        name=item.name,
        host=item.host.lower(),
        prefix=item.prefix,
        kind=_KINDS[item.kind],
        split=split,
        timeout_s=item.timeout / _MILLISECONDS,
        objective_s=item.objective / _MILLISECONDS,
        priority=item.priority,
        max_attempts=item.max_attempts,
        public=item.public,
        resumable=item.resumable,
        pause_s=item.pause / _MILLISECONDS,
    )


def _make_service(item: _Service) -> ServiceSpec:
    return ServiceSpec(
        name=item.name,
        health_path=item.health_check,
        max_connections=item.max_connections,
        engine=None if item.engine is None else _make_engine(item.engine),
    )


def _make_engine(item: _Engine) -> EngineModel:
    return EngineModel(
        slots=item.slots,
        kv_tokens=item.kv_capacity,
        steps_per_pass=item.stride,
        step_s=item.step / _MILLISECONDS,
        per_request_s=item.per_request / _MILLISECONDS,
        context_s=item.context_per_k / _MILLISECONDS / _TOKENS_PER_K,
        read_tokens_per_s=item.read_per_s,
        read_chunk=item.chunk,
        layout=_make_layout(item) if item.expert_sets else None,
    )


def _make_layout(item: _Engine) -> ExpertLayout:
    return ExpertLayout(
        sets=item.expert_sets or 0,
        experts=item.experts,
        places=item.placement,
        new_copies=item.spare,
        work_share=item.expert_share,
        expert_mb=item.expert_mb,
        link_mbps=item.link_mbps,
        report_lag_s=None
        if item.report_lag is None
        else item.report_lag / _MILLISECONDS,
    )


def _make_bounds(limits: _Limits | None) -> CallerBounds:
    if limits is None:
        return CallerBounds()
    return CallerBounds(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout / _MILLISECONDS,
        idle_timeout_s=limits.idle_timeout / _MILLISECONDS,
    )

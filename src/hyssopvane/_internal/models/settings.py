"""Define and validate the settings of a process."""

import json
from pathlib import Path
from typing import Annotated, Literal

from pydantic_core import SchemaValidator, ValidationError

from hyssopvane._internal.exceptions import SettingsError
from hyssopvane._internal.models.lean_models import Field, Model, build_tagged_schema

Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
"""An IP address and a port, as in 10.0.0.7:8080; port 0 is any free port."""

_KILL_MARGIN_S = 0.3
_BITS_PER_MEGABIT = 1e6
_BYTES_PER_MEGABYTE = 1e6
_PRESSURE_FEATURE = "pressure"

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Settings(Model, extra="forbid"):
    vm: Name
    """Name of the VM, as in the platform's list."""
    availability_zone: Name
    platform: Address
    """Address of the platform's key-value service."""
    vm_list: Address
    """Address of the platform's list of live and leaving VMs."""
    token: Annotated[str, Field(min_length=16)]
    """Shared secret of the system's processes and its operators."""
    operators: Address = "127.0.0.1:0"
    """Address of the operators' listener."""
    heartbeat_s: Annotated[float, Field(gt=0, le=10)] = 0.5
    silence_s: Annotated[float, Field(gt=0, le=60)] = 3.0
    """Time without data after which an internal connection is closed."""
    shutdown_delay_s: Annotated[float, Field(ge=0, le=300)] = 3.0
    """Time for the platform's balancer to detect that the process is leaving."""
    longest_request_s: Annotated[float, Field(gt=0, le=86_400)] = 600.0
    """Time limit of requests in progress at a graceful shutdown."""
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @property
    def drain_limit_s(self) -> float:
        """Return the time limit of a graceful shutdown."""
        return self.shutdown_delay_s + self.longest_request_s


class _DirectSettings(Model, extra="forbid"):
    """Hold the settings of a process on the direct path, where VMs store no data."""

    vm: Annotated[str, Field(min_length=1)]
    availability_zone: Annotated[str, Field(min_length=1)]
    store: Address
    """Address of the platform's key-value service."""
    messages: Address
    """Address for datagrams between the system's processes."""
    agent_port: Annotated[int, Field(ge=0, le=65_535)]
    """Port on which agents receive datagrams."""
    entry_port: Annotated[int, Field(ge=0, le=65_535)]
    """Port on which entries receive datagrams and serve their store snapshot."""
    metrics: Address
    """Address on which metrics are served."""
    grace_s: Annotated[float, Field(gt=0, le=86_400)] = 8.0
    """Time between SIGTERM and the end of the process."""
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @property
    def drain_limit_s(self) -> float:
        """Return the time limit of a graceful shutdown."""
        # Remaining requests are ended in an orderly way just before SIGKILL.
        return self.grace_s - _KILL_MARGIN_S


class PressureSettings(Model, extra="forbid"):
    """Hold the limits of an entry that bounds what it holds for slow readers."""

    memory_limit_mb: Annotated[float, Field(ge=64, le=1_000_000)] | None = None
    """Memory that the process may use; None for the limit of the process itself."""
    link_mbps: Annotated[float, Field(gt=0, le=1_000_000)] | None = None
    """Speed of the VM's network link; None if it is unknown."""

    def __eq__(self, other: object) -> bool:
        """Return whether all limits are equal, so that a reload finds no change."""
        return isinstance(other, PressureSettings) and vars(self) == vars(other)

    __hash__ = None  # type: ignore[assignment]

    @property
    def memory_bytes(self) -> int | None:
        """Return the memory that the process may use in bytes."""
        if self.memory_limit_mb is None:
            return None
        return int(self.memory_limit_mb * _BYTES_PER_MEGABYTE)

    @property
    def link_bits_per_s(self) -> float | None:
        """Return the speed of the link in bit/s."""
        return None if self.link_mbps is None else self.link_mbps * _BITS_PER_MEGABIT


class DirectEntrySettings(_DirectSettings):
    """Hold the settings of an entry that calls replicas directly."""

    role: Literal["direct-entry"]
    callers: Address
    readiness: Address
    """Address on which the balancer checks whether the entry accepts requests."""
    beliefs: Address
    """Address on which other entries read this entry's snapshot of the store."""
    seeds: tuple[Address, ...] = ()
    """Snapshot addresses of other entries; some may be out of date."""
    repeat_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    """Retries allowed for each new request of a service."""
    repeat_slack: Annotated[int, Field(ge=0)] = 10
    """Retries allowed in addition to the share, in each window."""
    fleet_repeat_slack: Annotated[int, Field(ge=0)] | None = None
    """Limit of the same for all entries together; None if there is none."""
    stall_s: Annotated[float, Field(ge=0, le=3_600)] | None = None
    """Time for which work that depends on a lost replica stalls; None if unknown.

    If it is set, requests wait for a group that is being formed.
    """
    evacuate_s: Annotated[float, Field(gt=0, le=86_400)] | None = None
    """Time after which nothing may reach an evacuated zone; None to follow none."""
    regions: dict[str, str] = Field({})
    """Region by availability zone; empty if regions limit nothing."""
    cold_over: Annotated[float, Field(gt=0, le=1_000)] | None = None
    """Factor by which requests to a cold replica may exceed its rate; None if there is
    no such limit."""
    cold_slack: Annotated[float, Field(ge=0, le=1_000_000)] = 0.0
    """Requests a second that a cold replica may get beyond that factor."""
    prefers_own_zone: bool = False
    """Whether groups of the own zone come first (`docs/design/zone-choice.md`)."""
    pressure: PressureSettings | None = None
    """Limits of what the entry holds for slow readers; None to bound only each one."""
    features: tuple[str, ...] | None = None
    """Optional features that the deployment asks for; None for all that are set."""

    def find_pressure(self) -> PressureSettings | None:
        """Return the limits to apply; None if the deployment doesn't ask for them."""
        asked = self.features is None or _PRESSURE_FEATURE in self.features
        return self.pressure if asked else None


class RankAgentSettings(_DirectSettings):
    """Hold the settings of the agent of a replica that entries call directly."""

    role: Literal["rank-agent"]
    replica: Address
    service: Annotated[str, Field(min_length=1)]
    link_mbps: Annotated[float, Field(gt=0)] = 1_000.0
    """Speed of the VM's network link: large messages are sent at this rate."""

    @property
    def link_bits_per_s(self) -> float:
        """Return the speed of the VM's network link in bit/s."""
        return self.link_mbps * _BITS_PER_MEGABIT


class EntrySettings(_Settings):
    """Hold the settings of an entry."""

    role: Literal["entry"]
    callers: Address
    """Address of the callers' listener."""
    peers: Address
    """Address of the listener for other entries."""
    max_body_bytes: Annotated[int, Field(ge=1)] = 16 * 1024 * 1024
    max_connections: Annotated[int, Field(ge=1)] = 10_000


class AgentSettings(_Settings):
    """Hold the settings of an agent."""

    role: Literal["agent"]
    target: Address
    """Address of the target on the agent's VM."""
    service: Name
    """Service of the target."""
    entries: Address
    """Address of the listener for entries."""
    group: Annotated[str, Field(pattern=r"^([a-z0-9][a-z0-9-]{0,62})?$")] = ""
    """Group whose expert map the target's rank uses; empty if it is in none."""


AnySettings = EntrySettings | AgentSettings | DirectEntrySettings | RankAgentSettings
_KINDS = (EntrySettings, AgentSettings, DirectEntrySettings, RankAgentSettings)


def load_settings(path: str | Path) -> AnySettings:
    """Read and validate a settings file; raise `SettingsError`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            f"the settings file can't be read: {error.strerror}",
            context=str(path),
            hint="give the path of a readable JSON file",
        ) from error
    return parse_settings(text, source=str(path))


def _load_json(text: str) -> object:
    try:
        document: object = json.loads(text)
        return document
    except RecursionError as error:
        raise json.JSONDecodeError("nested too deeply", text, 0) from error


def parse_settings(text: str, *, source: str) -> AnySettings:
    """Validate settings given as JSON text; raise `SettingsError`."""
    try:
        document = _load_json(text)
    except json.JSONDecodeError as error:
        raise SettingsError(
            f"the settings are not JSON: {error.msg}",
            context=f"{source}, line {error.lineno}, column {error.colno}",
            hint="correct the JSON at this position",
        ) from error
    try:
        settings: AnySettings = _make_validator().validate_python(document)
        return settings
    except ValidationError as error:
        raise SettingsError(
            "the settings have errors: " + "; ".join(_describe_errors(error)),
            context=source,
            hint="correct these fields and run `hyssopvane check` again",
        ) from error


def _make_validator() -> SchemaValidator:
    return SchemaValidator(build_tagged_schema("role", *_KINDS))


def _describe_errors(error: ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(part) for part in item['loc']) or 'document'}: "
        f"{item['msg']}, found {item['input']!r}"
        for item in error.errors()
    ]

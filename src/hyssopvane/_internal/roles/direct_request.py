"""Hold a request of the direct path, and what all requests of one entry share."""

from dataclasses import dataclass, field
from enum import StrEnum

from hyssopvane._internal.policy.entry_departure import EntryDeparture
from hyssopvane._internal.policy.repeat_budget import RepeatBudget
from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.protocol.replica_headers import ReplicaHeaders
from hyssopvane._internal.roles.crash_evidence import CrashAccount, describe_part
from hyssopvane._internal.roles.gate_keeper import GateKeeper
from hyssopvane._internal.state.routing import Customer, Incarnation, Route
from hyssopvane._internal.state.suspects import RequestIdentity
from hyssopvane._internal.transport.caller_presence import (
    ASSUMED_PRESENCE,
    CallerPresence,
)
from hyssopvane._internal.transport.replica_client import ReplicaClient
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics


class CallPhase(StrEnum):
    """Name how far a request has got."""

    WAITING = "waiting"
    """Waits for a replica, also before a retry."""
    CONNECTING = "connecting"
    SENT = "sent"
    """Sent to a replica, which may be working on it."""
    ANSWERING = "answering"


@dataclass(slots=True)
class DirectRequest:
    """Hold a request whose body is complete and whose route and customer are known."""

    request_id: str
    """Set by the caller; not unique."""
    number: int
    """Unique in this process."""
    method: str
    target: bytes
    headers: Headers
    body: bytes
    route: Route
    service: str
    customer: Customer | None
    arrived_at: float
    """Time at which the first bytes were received, as far as known."""
    read_at: float
    """Time at which the entry read them."""
    deadline: float
    """Time by which the answer must end."""
    caller_deadline: float
    """Time until which the caller waits."""
    tokens: int
    """Prompt tokens plus maximum output tokens."""
    prompt_tokens: int
    identity: RequestIdentity
    presence: CallerPresence = ASSUMED_PRESENCE
    zones: frozenset[str] | None = None
    """Availability zones that it may reach; None if it may reach all."""
    attempts: int = 0
    may_have_run: bool = False
    tried: set[Incarnation] = field(default_factory=set)

    def describe_parts(self) -> str:
        """Return the parts of the prompt for the log."""
        return ",".join(map(describe_part, self.identity.parts)) or "-"

    @property
    def priority(self) -> int:
        """Return the priority of the request; 0 is the highest."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


@dataclass(frozen=True, slots=True)
class CallDependencies:
    """Hold the objects that all calls of one entry share."""

    names: ReplicaHeaders
    gates: GateKeeper
    client: ReplicaClient
    metrics: DeferredMetrics
    crashes: CrashAccount
    budget: RepeatBudget
    departure: EntryDeparture = field(default_factory=EntryDeparture)

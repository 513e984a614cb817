"""Hold requests that wait at a gate, and the decisions about them."""

from dataclasses import dataclass

from hyssopvane._internal.policy.queueing import QueuedItem
from hyssopvane._internal.state.routing import Incarnation, Replica
from hyssopvane._internal.state.suspects import RequestIdentity


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Describe a request that waits for a slot."""

    item: QueuedItem
    late_at: float
    """Time from which on its answer would miss the objective."""
    refuse_at: float
    """Time at which it is refused instead of waiting longer."""
    prompt_tokens: int = 0
    """Tokens that a replica reads before the first token of its answer."""
    avoid: frozenset[Incarnation] = frozenset()
    """Incarnations of replicas that it was already sent to, or should not share."""
    identity: RequestIdentity | None = None
    """Identity of the request; None if nothing is held against requests like it."""
    moving: bool = False
    """Whether it runs at a replica that stands still, and waits for another one."""
    zones: frozenset[str] | None = None
    """Availability zones that it may reach; None if it may reach all."""
    started: bool = False
    """Whether it was sent to a replica before; no prediction refuses it."""
    is_return: bool = False
    """Whether its caller has most likely left an earlier attempt, and is late."""
    hold_until: float | None = None
    """Time until which its caller can still be served, None if it is unknown."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """Represent a decision to send a request to a replica."""

    request_id: str
    replica: Replica
    predicted_s: float | None = None
    """Predicted wait; None if it didn't wait or nothing could be predicted."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """Represent a decision to refuse a request, with the delay before a retry."""

    request_id: str
    reason: str
    retry_after_s: float
    predicted_s: float | None = None
    """Predicted wait for a place; None if nothing could be predicted."""
    room_s: float | None = None
    """Predicted time until there is room for a retry; None if it is unknown."""

"""Describe requests, targets and decisions for the scheduler."""

from dataclasses import dataclass
from enum import StrEnum

from hyssopvane._internal.models.refusals import Refusal


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """Describe one caller's request, as far as decisions depend on it."""

    request_id: str
    customer: str
    service: str
    tokens: int
    """Estimated prompt and answer tokens."""
    priority: int
    """0 is urgent, 9 can wait."""
    deadline: float
    """Clock value after which the answer is of no use."""
    repeatable: bool = False
    """Whether it may run again when it is unknown whether it ran."""
    affinity: tuple[int, ...] = ()
    """Hashes of ever longer prefixes of the prompt."""
    body_digest: bytes = b""


@dataclass(frozen=True, slots=True)
class TargetInfo:
    """Describe a target that can be reached through its agent."""

    name: str
    service: str
    availability_zone: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Tell what an agent last reported of its target."""

    running: int
    tokens_in_flight: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CacheReport:
    """Tell changes of a target's prefix cache; they come late and with gaps."""

    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    gap: bool = False
    """Whether changes before these were lost."""


@dataclass(frozen=True, slots=True)
class Placed:
    """Send the request to this target now."""

    target: str
    incarnation: int
    attempt: int
    """Number of the attempt, from 1."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """Keep the request until the scheduler places or refuses it."""


Decision = Placed | Waiting | Refusal


class AttemptResult(StrEnum):
    """Tell how an attempt ended."""

    ANSWERED = "answered"
    NOT_STARTED = "not-started"
    """The agent proved that the attempt did not run."""
    LOST = "lost"
    """The connection ended before the answer began."""
    BROKEN = "broken"
    """The target failed while it ran the attempt."""
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """Describe the end of an attempt."""

    result: AttemptResult
    reason: str = ""
    latency_s: float = 0.0
    """Time to the first byte of the answer; 0 when there was none."""
    retry_after_s: float = 0.0
    """Time until the request may be tried again, wherever."""
    backoff_s: float = 0.0
    """Time for which its target wants no requests; others may take them."""
    final: bool = False
    """Whether no other attempt can follow, as when the answer has begun."""

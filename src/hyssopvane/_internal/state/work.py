"""Define the requests, targets, reports and decisions of the scheduler."""

from dataclasses import dataclass
from enum import StrEnum

from hyssopvane._internal.models.refusals import Refusal


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """Hold the properties of a caller's request that decisions depend on."""

    request_id: str
    customer: str
    service: str
    tokens: int
    """Estimated number of tokens of the prompt and the answer."""
    priority: int
    """Priority from 0, the most urgent, to 9."""
    deadline: float
    """Clock time after which the caller no longer needs the answer."""
    repeatable: bool = False
    """Whether it may run again if it is unknown whether it ran."""
    affinity: tuple[int, ...] = ()
    """Hashes of prefixes of the prompt, in ascending order of length."""
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
    """Hold the latest load that an agent reported for its target."""

    running: int
    tokens_in_flight: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CacheReport:
    """Report changes of a target's prefix cache; reports can be late or missing."""

    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    gap: bool = False
    """Whether changes before this report were lost."""


@dataclass(frozen=True, slots=True)
class Placed:
    """Decide to dispatch the request to a target now."""

    target: str
    incarnation: int
    attempt: int
    """Number of the attempt, from 1."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """Decide to queue the request until the scheduler places or refuses it."""


Decision = Placed | Waiting | Refusal


class AttemptResult(StrEnum):
    """Enumerate the ways in which an attempt can end."""

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
    """Report the end of an attempt."""

    result: AttemptResult
    reason: str = ""
    latency_s: float = 0.0
    """Time to the first byte of the answer; 0 if there was no answer."""
    retry_after_s: float = 0.0
    """Time until the request may be retried at any target."""
    backoff_s: float = 0.0
    """Time for which the target asked for no requests; other targets may get them."""
    final: bool = False
    """Whether no further attempt can follow, for example because the answer began."""

"""Define the evidence that entries share about requests that crash replicas."""

from dataclasses import dataclass, field

CrashKey = tuple[str, int]
"""Target and incarnation that crashed."""


@dataclass(frozen=True, slots=True)
class SuspectId:
    """Identify what may crash replicas: the body of a request, or a part of prompts."""

    service: str
    digest: bytes
    """Digest of the body, or ID of the part."""
    customer: str = ""
    """Customer that sends the body.

    Empty for a part, and where bodies are tracked regardless of their customer.
    """
    is_part: bool = False


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Hold what may make a request crash the replicas that run it."""

    body: SuspectId
    parts: tuple[SuspectId, ...] = ()

    @property
    def suspects(self) -> tuple[SuspectId, ...]:
        """Return the body and the parts."""
        return (self.body, *self.parts)


@dataclass(frozen=True, slots=True)
class Crash:
    """Identify one crash of a target."""

    target: str
    incarnation: int
    at: float
    generation: int = 1
    """One more than the crashes, one after the other, that were known of the body when
    it was sent to this target; copies sent at the same time have the same one."""

    @property
    def key(self) -> CrashKey:
        """Return what crashed."""
        return (self.target, self.incarnation)


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """Hold the crashes that count against one body, and whether it is quarantined."""

    crashes: tuple[Crash, ...]
    quarantined: bool
    until: float
    """Clock value at which the record expires, or the quarantine ends."""
    voided: frozenset[CrashKey] = field(default_factory=frozenset)
    """Crashes that do not count: the body has finished since, or the target answers.

    Kept, so that a late report of such a crash does not count again.
    """
    has_finished: bool = False
    """Whether the body had lately finished when an entry recorded a crash of it."""

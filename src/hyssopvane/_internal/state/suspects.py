"""Define the evidence that entries share about requests that crash replicas."""

from dataclasses import dataclass, field

CrashKey = tuple[str, int]
"""Target and incarnation that crashed."""


@dataclass(frozen=True, slots=True)
class SuspectId:
    """Identify a body by its service, its digest and the customer that sends it."""

    service: str
    digest: bytes
    customer: str = ""
    """Empty where bodies are tracked regardless of their customer."""


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

"""Define the request limits that entries learn from replicas and exchange."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Hold the latest request limit reported by one incarnation of a replica."""

    replica: str
    """Address of the replica."""
    started_ms: int
    """Start time that identifies the incarnation; 0 if unknown."""
    per_s: float | None
    """Requests a second from all entries together; None if it reports no limit now."""
    age_s: float
    """Time since the replica's answer was received."""


@dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Publish the request limits of some replicas to other entries."""

    reports: tuple[LimitReport, ...]

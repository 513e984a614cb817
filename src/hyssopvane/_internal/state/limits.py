"""Describe what replicas say of the requests that they take."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Tell the request limit that one start of a replica named last."""

    replica: str
    """Address of the replica."""
    started_ms: int
    """Names the start; 0 where not known."""
    per_s: float | None
    """Requests a second from all entries together; None where it names none now."""
    age_s: float
    """Time since the replica's answer came."""


@dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Tell other entries the request limits of some replicas."""

    reports: tuple[LimitReport, ...]

"""Define how entries learn that a replica is cold."""

from dataclasses import dataclass
from enum import StrEnum

MAX_COLD_S = 60.0
"""Longest accepted cold time. Services state a few seconds; a longer time is an error
of its writer, and would keep the load away from a replica for no reason."""

MAX_COLD_MS = MAX_COLD_S * 1_000


class ColdSource(StrEnum):
    """Name the evidence that a replica is cold."""

    REGISTRATION = "registration"
    ANSWER = "answer"
    START = "start"
    CONNECTION = "connection"


@dataclass(frozen=True, slots=True)
class ColdChange:
    """Report that a replica has become cold, or is no longer."""

    replica: str
    """Id of the replica."""
    source: ColdSource
    left_s: float
    """Time for which it is still cold; 0 if it is no longer."""

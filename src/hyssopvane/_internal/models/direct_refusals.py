"""Define the refusals on the direct path, where entries call replicas directly."""

from dataclasses import dataclass
from enum import StrEnum


class DirectRefusal(StrEnum):
    """List the reasons why an entry answers instead of a replica."""

    NOT_READY = "not-ready"
    MALFORMED = "malformed"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_KEY = "unknown-key"
    BODY_TOO_LARGE = "body-too-large"
    BODY_SLOW = "body-slow"
    HEADERS_TOO_LARGE = "headers-too-large"
    OVERLOADED = "overloaded"
    NO_TURN_IN_TIME = "no-turn-in-time"
    REPLICAS_LIMITED = "replicas-limited"
    REPLICAS_RESTING = "replicas-resting"
    GROUP_BROKEN = "group-broken"
    NO_REPLICA = "no-replica"
    ZONES_EVACUATED = "zones-evacuated"
    REGION_NOT_ALLOWED = "region-not-allowed"
    REPLICA_REFUSED = "replica-refused"
    CRASHING = "crashing"
    TRIAL_PENDING = "trial-pending"
    LEAVING = "leaving"
    ENTRY_FULL = "entry-full"
    REPLICA_FAILED = "replica-failed"
    TIMED_OUT = "timed-out"
    TIMED_OUT_UNSENT = "timed-out-unsent"


_STATUSES = {
    DirectRefusal.NOT_READY: 503,
    DirectRefusal.MALFORMED: 400,
    DirectRefusal.UNKNOWN_ROUTE: 404,
    DirectRefusal.UNKNOWN_KEY: 401,
    DirectRefusal.BODY_TOO_LARGE: 413,
    DirectRefusal.BODY_SLOW: 408,
    DirectRefusal.HEADERS_TOO_LARGE: 431,
    DirectRefusal.OVERLOADED: 503,
    DirectRefusal.NO_TURN_IN_TIME: 503,
    DirectRefusal.REPLICAS_LIMITED: 503,
    DirectRefusal.REPLICAS_RESTING: 503,
    DirectRefusal.GROUP_BROKEN: 503,
    DirectRefusal.NO_REPLICA: 503,
    DirectRefusal.ZONES_EVACUATED: 503,
    DirectRefusal.REGION_NOT_ALLOWED: 503,
    DirectRefusal.REPLICA_REFUSED: 503,
    DirectRefusal.CRASHING: 503,
    DirectRefusal.TRIAL_PENDING: 503,
    DirectRefusal.LEAVING: 503,
    DirectRefusal.ENTRY_FULL: 503,
    DirectRefusal.REPLICA_FAILED: 502,
    DirectRefusal.TIMED_OUT: 504,
    DirectRefusal.TIMED_OUT_UNSENT: 503,
}

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers know that a request has not run and never will."""


@dataclass(frozen=True, slots=True)
class DirectAnswer:
    """Represent an answer of the entry itself.

    A status of 502 or 504 leaves open whether the request ran. All others guarantee
    that it has not run and never will.
    """

    reason: DirectRefusal
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return _STATUSES[self.reason]

"""Define the outcomes and refusals that callers receive."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """State whether a request ran at a target."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """List the reasons why a request got no answer from a target."""

    MALFORMED = "malformed"
    UNKNOWN_CALLER = "unknown-caller"
    UNKNOWN_SERVICE = "unknown-service"
    BODY_TOO_LARGE = "body-too-large"
    BODY_CUT = "body-cut"
    RATE_LIMIT = "rate-limit"
    CONCURRENCY_LIMIT = "concurrency-limit"
    TOKEN_LIMIT = "token-limit"
    QUEUE_FULL = "queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    NO_TARGET = "no-target"
    RETRIES_SPENT = "retries-spent"
    ENTRY_LEAVING = "entry-leaving"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    NOT_READY = "not-ready"
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_EXPIRED = "key-expired"
    KEY_FROM_FUTURE = "key-from-future"
    KEY_BODY_MISMATCH = "key-body-mismatch"
    KEY_VOID = "key-void"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    ANSWER_DROPPED = "answer-dropped"
    QUARANTINED = "quarantined"
    DEADLINE_PASSED = "deadline-passed"
    TARGET_LOST = "target-lost"
    TARGET_BROKEN = "target-broken"
    CALLER_GONE = "caller-gone"


class AgentRefusal(StrEnum):
    """List the reasons why an agent did not start an attempt."""

    LEAVING = "leaving"
    WRONG_INCARNATION = "wrong-incarnation"
    TOMBSTONE = "tombstone"
    DUPLICATE_ATTEMPT = "duplicate-attempt"
    TARGET_FULL = "target-full"
    TARGET_UNREACHABLE = "target-unreachable"
    KEY_UNKNOWN = "key-unknown"
    KEY_EXPIRED = "key-expired"
    KEY_HELD = "key-held"
    KEY_OTHER = "key-other"
    CANCELLED = "cancelled"
    NOT_CONNECTED = "not-connected"
    """Set by the entry itself, which never sent the attempt."""

    @property
    def proves_not_run(self) -> bool:
        """Return whether the attempt certainly never ran and never will."""
        return self not in _MAY_HAVE_RUN


# An earlier copy of the attempt or another attempt of the key has started, or the
# record of the key was removed.
_MAY_HAVE_RUN = frozenset(
    {
        AgentRefusal.DUPLICATE_ATTEMPT,
        AgentRefusal.KEY_HELD,
        AgentRefusal.KEY_OTHER,
        AgentRefusal.KEY_EXPIRED,
    }
)


@dataclass(frozen=True, slots=True)
class RefusalRule:
    """Define the HTTP status and the hint that a caller receives with a refusal."""

    status: int
    remedy: str


REFUSAL_RULES: dict[RefusalReason, RefusalRule] = {
    RefusalReason.MALFORMED: RefusalRule(400, "correct the request"),
    RefusalReason.UNKNOWN_CALLER: RefusalRule(
        401, "send a key of a customer of the table as Authorization: Bearer KEY"
    ),
    RefusalReason.UNKNOWN_SERVICE: RefusalRule(
        404, "use the path prefix of a service of the table"
    ),
    RefusalReason.BODY_TOO_LARGE: RefusalRule(413, "send a smaller body"),
    RefusalReason.BODY_CUT: RefusalRule(400, "send the whole body"),
    RefusalReason.RATE_LIMIT: RefusalRule(429, "come back after Retry-After"),
    RefusalReason.CONCURRENCY_LIMIT: RefusalRule(
        429, "wait for requests in progress, then come back after Retry-After"
    ),
    RefusalReason.TOKEN_LIMIT: RefusalRule(
        429, "wait for requests in progress, then come back after Retry-After"
    ),
    RefusalReason.QUEUE_FULL: RefusalRule(503, "come back after Retry-After"),
    RefusalReason.DEADLINE_UNREACHABLE: RefusalRule(
        503, "come back after Retry-After, or allow a longer deadline"
    ),
    RefusalReason.NO_TARGET: RefusalRule(503, "come back after Retry-After"),
    RefusalReason.RETRIES_SPENT: RefusalRule(503, "come back after Retry-After"),
    RefusalReason.ENTRY_LEAVING: RefusalRule(
        503, "send the request again on a new connection"
    ),
    RefusalReason.TOO_MANY_CONNECTIONS: RefusalRule(
        503, "come back after Retry-After, and keep fewer connections open"
    ),
    RefusalReason.NOT_READY: RefusalRule(503, "come back after Retry-After"),
    RefusalReason.KEY_MISSING: RefusalRule(
        400, "send an Idempotency-Key header with a fresh UUIDv7"
    ),
    RefusalReason.KEY_MALFORMED: RefusalRule(400, "make the Idempotency-Key a UUIDv7"),
    RefusalReason.KEY_EXPIRED: RefusalRule(
        409, "find out by other means whether the request ran; the key is too old"
    ),
    RefusalReason.KEY_FROM_FUTURE: RefusalRule(
        400, "set the caller's clock, then make a fresh key"
    ),
    RefusalReason.KEY_BODY_MISMATCH: RefusalRule(
        422, "use a fresh key for another request"
    ),
    RefusalReason.KEY_VOID: RefusalRule(
        409, "use a fresh key; a caller was told that this one never ran"
    ),
    RefusalReason.CLAIM_UNAVAILABLE: RefusalRule(
        503, "send the same key again after Retry-After"
    ),
    RefusalReason.ANSWER_DROPPED: RefusalRule(
        410, "the request ran; its answer is no longer kept"
    ),
    RefusalReason.QUARANTINED: RefusalRule(
        422, "don't send this body again; targets failed while running it"
    ),
    RefusalReason.DEADLINE_PASSED: RefusalRule(504, "allow a longer deadline"),
    RefusalReason.TARGET_LOST: RefusalRule(502, "send it again if it may be repeated"),
    RefusalReason.TARGET_BROKEN: RefusalRule(
        502, "send it again if it may be repeated"
    ),
    RefusalReason.CALLER_GONE: RefusalRule(499, "nobody waits for the answer"),
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Represent a refusal: its reason, the request's outcome and when to retry."""

    reason: RefusalReason
    outcome: Outcome
    retry_after_s: float | None = None
    detail: str = ""

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return REFUSAL_RULES[self.reason].status

    @property
    def remedy(self) -> str:
        """Return a hint on what the caller can do."""
        return REFUSAL_RULES[self.reason].remedy

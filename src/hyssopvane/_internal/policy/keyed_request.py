"""Decide the steps by which a request with an idempotency key runs at most once."""

from dataclasses import dataclass, replace

from hyssopvane._internal.models.refusals import (
    AgentRefusal,
    Outcome,
    Refusal,
    RefusalReason,
)
from hyssopvane._internal.state.claims import (
    NO_ATTEMPT,
    Claim,
    ClaimChange,
    ClaimKey,
)

MAX_JOINS = 4
"""Attempts of other entries that one request joins before it gives up.

Each of them has a tombstone at its agent before the next one is read. More of them only
occur when a caller sends one key repeatedly while targets refuse it.
"""

_RETRY_AFTER_S = 1.0
_REFUSAL_REASONS = {
    AgentRefusal.KEY_EXPIRED: RefusalReason.KEY_EXPIRED,
    AgentRefusal.KEY_OTHER: RefusalReason.KEY_BODY_MISMATCH,
}
_SAME_KEY = "this attempt did not start; the same key may be sent again"


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim of the key."""


@dataclass(frozen=True, slots=True)
class Place:
    """Request a target."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write a change to the claim and return the claim that is stored afterwards."""

    change: ClaimChange


@dataclass(frozen=True, slots=True)
class Send:
    """Send the attempt of this claim to its agent, once."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Join:
    """Request the answer of this claim's attempt from its agent; start nothing.

    An agent that does not know the attempt writes a tombstone for it.
    """

    claim: Claim


@dataclass(frozen=True, slots=True)
class Refuse:
    """Return a refusal to the caller."""

    refusal: Refusal


Step = ReadClaim | Place | Write | Send | Join | Refuse


class KeyedRequest:
    """Map each event of a request to its next step.

    A caller may send a request again through another entry while the first entry still
    works on it. The steps prevent a second run, and prevent the outcome "not run" for a
    request that did run or will run.
    """

    def __init__(self, key: ClaimKey, body_digest: int) -> None:
        self._key = key
        self._body_digest = body_digest
        self._expected = NO_ATTEMPT
        """Attempt in the claim that an agent proved will never run."""
        self._claim: Claim | None = None
        """Claim that this request currently sends or joins."""
        self._wanted: Claim | None = None
        """Claim of the write that is in flight."""
        self._refusal: Refusal | None = None
        """Refusal that is returned after its void claim is written."""
        self._joins = 0

    def begin(self, *, look: bool) -> Step:
        """Return the first step; `look` if the key has probably been used before."""
        return ReadClaim() if look else Place()

    def handle_claim(self, claim: Claim | None) -> Step:
        """Handle the claim that was read."""
        return Place() if claim is None else self._handle_existing_claim(claim)

    def handle_target(self, target: str, incarnation: int, attempt: int) -> Step:
        """Handle a placement: a target and the number of a new attempt."""
        return self._write(Claim(attempt, self._body_digest, target, incarnation))

    def handle_no_target(self, refusal: Refusal, *, attempt: int) -> Step:
        """Handle a refused placement; `attempt` is a new attempt number."""
        if refusal.retry_after_s is not None:
            # A retry with the same key may succeed, so the key must stay usable. The
            # claim is not written either: under a burst there are many of these
            # refusals.
            return Refuse(make_outcome_unknown(refusal))
        self._refusal = refusal
        number = attempt if self._expected == NO_ATTEMPT else self._expected
        return self._write(Claim(number, self._body_digest, void=True))

    def handle_written(self, claim: Claim | None) -> Step:
        """Handle the claim that is in the page after the write."""
        wanted, refusal = self._wanted, self._refusal
        self._wanted = self._refusal = None
        if wanted is None or claim is None:
            return self._refuse_unavailable("the claim was lost")
        if claim != wanted:
            return self._handle_existing_claim(claim)
        if refusal is not None:
            # The page now records that no attempt of this key may run, including
            # attempts that are still pending elsewhere. Before the write another entry
            # could have started one.
            return Refuse(replace(refusal, outcome=Outcome.NOT_RUN))
        self._claim = claim
        return Send(claim)

    def handle_write_failure(self, why: str) -> Step:
        """Handle a write after which it is unknown which claim is in the page."""
        refusal, self._refusal = self._refusal, None
        if refusal is not None:
            return Refuse(make_outcome_unknown(refusal))
        return self._refuse_unavailable(why)

    def handle_agent_refusal(self, reason: AgentRefusal, *, joined: bool) -> Step:
        """Handle the agent's report that it did not start the attempt."""
        assert self._claim is not None
        if joined and reason is AgentRefusal.NOT_CONNECTED:
            return self._join(self._claim)
        if joined and reason is AgentRefusal.WRONG_INCARNATION:
            # The agent lost its state; the attempt may have run before.
            detail = "the agent that held the key has been restarted"
            return _refuse_unknown(RefusalReason.TARGET_LOST, detail)
        if not reason.proves_not_run:
            refusal_reason = _REFUSAL_REASONS.get(
                reason, RefusalReason.CLAIM_UNAVAILABLE
            )
            return _refuse_unknown(refusal_reason, reason.value)
        self._expected = self._claim.attempt
        self._claim = None
        return Place()

    def handle_lost_connection(self) -> Step:
        """Handle a lost connection to the agent."""
        assert self._claim is not None
        return self._join(self._claim)

    def _write(self, claim: Claim) -> Step:
        self._wanted = claim
        return Write(ClaimChange(self._key, self._expected, claim))

    def _handle_existing_claim(self, claim: Claim) -> Step:
        if claim.void:
            return Refuse(Refusal(RefusalReason.KEY_VOID, Outcome.NOT_RUN))
        if claim.body_digest != self._body_digest:
            return Refuse(Refusal(RefusalReason.KEY_BODY_MISMATCH, Outcome.UNKNOWN))
        if claim.attempt == self._expected:
            return Place()
        return self._join(claim)

    def _join(self, claim: Claim) -> Step:
        self._joins += 1
        if self._joins > MAX_JOINS:
            return self._refuse_unavailable("other attempts of the key keep coming")
        self._claim = claim
        return Join(claim)

    def _refuse_unavailable(self, why: str) -> Refuse:
        return Refuse(
            Refusal(
                RefusalReason.CLAIM_UNAVAILABLE,
                Outcome.UNKNOWN,
                _RETRY_AFTER_S,
                detail=f"{why}; {_SAME_KEY}",
            )
        )


def _refuse_unknown(reason: RefusalReason, detail: str) -> Refuse:
    return Refuse(Refusal(reason, Outcome.UNKNOWN, detail=detail))


def make_outcome_unknown(refusal: Refusal) -> Refusal:
    """Return a refusal that proves nothing about the key's other attempts.

    The caller may have sent the key again through another entry while the first entry
    still claims it. That this entry did not run the request proves nothing about the
    first entry.
    """
    if refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    detail = f"{refusal.detail}; {_SAME_KEY}" if refusal.detail else _SAME_KEY
    return replace(refusal, outcome=Outcome.UNKNOWN, detail=detail)

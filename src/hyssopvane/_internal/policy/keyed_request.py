"""Decide step by step how a request with an idempotency key runs at most once."""

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
"""Attempts of other entries that one request follows before it gives up.

Each has its tombstone at its agent before the next is looked at; more of them come
only from callers who send one key over and over while targets refuse it.
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
    """Ask for a target."""


@dataclass(frozen=True, slots=True)
class Write:
    """Make a change to the claim and tell which claim is there afterwards."""

    change: ClaimChange


@dataclass(frozen=True, slots=True)
class Send:
    """Send the attempt of this claim to its agent, once."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Join:
    """Ask the agent of this claim for the answer of its attempt; start nothing.

    An agent that does not know the attempt buries it.
    """

    claim: Claim


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller why there is no answer."""

    refusal: Refusal


Step = ReadClaim | Place | Write | Send | Join | Refuse


class KeyedRequest:
    """Take what happened to a request and return what to do next.

    Made for callers who send a request again through another entry while the first
    still works on it. The harm prevented is a second run, and a caller who is told
    that nothing ran while something did or will.
    """

    def __init__(self, key: ClaimKey, body_digest: int) -> None:
        self._key = key
        self._body_digest = body_digest
        self._expected = NO_ATTEMPT
        """Attempt in the claim of which an agent proved that it never runs."""
        self._claim: Claim | None = None
        """Claim that this request sends or joins now."""
        self._wanted: Claim | None = None
        """Claim of the write that is under way."""
        self._refusal: Refusal | None = None
        """Refusal that waits for its void claim."""
        self._joins = 0

    def begin(self, *, look: bool) -> Step:
        """Begin; `look` where the key may well have been seen before."""
        return ReadClaim() if look else Place()

    def handle_claim(self, claim: Claim | None) -> Step:
        """Go on with the claim that was read."""
        return Place() if claim is None else self._handle_existing_claim(claim)

    def handle_target(self, target: str, incarnation: int, attempt: int) -> Step:
        """Go on with a target and the number of a new attempt."""
        return self._write(Claim(attempt, self._body_digest, target, incarnation))

    def handle_no_target(self, refusal: Refusal, *, attempt: int) -> Step:
        """Go on without a target; `attempt` is a new number."""
        if refusal.retry_after_s is not None:
            # Coming back with the same key helps, so the key must stay usable. No
            # write is spent on it either: under a burst these refusals are many.
            return Refuse(make_outcome_unknown(refusal))
        self._refusal = refusal
        number = attempt if self._expected == NO_ATTEMPT else self._expected
        return self._write(Claim(number, self._body_digest, void=True))

    def handle_written(self, claim: Claim | None) -> Step:
        """Go on with the claim that is in the page after the write."""
        wanted, refusal = self._wanted, self._refusal
        self._wanted = self._refusal = None
        if wanted is None or claim is None:
            return self._refuse_unavailable("the claim was lost")
        if claim != wanted:
            return self._handle_existing_claim(claim)
        if refusal is not None:
            # The page now says that no attempt of this key may run, whoever still
            # waits with one; before that, another entry could have started it.
            return Refuse(replace(refusal, outcome=Outcome.NOT_RUN))
        self._claim = claim
        return Send(claim)

    def handle_write_failure(self, why: str) -> Step:
        """Go on when it is not known which claim is in the page."""
        refusal, self._refusal = self._refusal, None
        if refusal is not None:
            return Refuse(make_outcome_unknown(refusal))
        return self._refuse_unavailable(why)

    def handle_agent_refusal(self, reason: AgentRefusal, *, joined: bool) -> Step:
        """Go on after the agent said that it did not start the attempt."""
        assert self._claim is not None
        if joined and reason is AgentRefusal.NOT_CONNECTED:
            return self._join(self._claim)
        if joined and reason is AgentRefusal.WRONG_INCARNATION:
            # What the agent knew is gone; the attempt may have run before.
            detail = "the agent that held the key has been restarted"
            return _refuse_unknown(RefusalReason.TARGET_LOST, detail)
        if not reason.proves_not_run:
            told = _REFUSAL_REASONS.get(reason, RefusalReason.CLAIM_UNAVAILABLE)
            return _refuse_unknown(told, reason.value)
        self._expected = self._claim.attempt
        self._claim = None
        return Place()

    def handle_lost_connection(self) -> Step:
        """Go on after the connection to the agent was lost."""
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
    """Return a refusal of this attempt that says nothing about the key's others.

    The caller may have come back through another entry while the first still claims
    the key; what this entry did not do proves nothing about that one.
    """
    if refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    detail = f"{refusal.detail}; {_SAME_KEY}" if refusal.detail else _SAME_KEY
    return replace(refusal, outcome=Outcome.UNKNOWN, detail=detail)

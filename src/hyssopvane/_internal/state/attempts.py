"""Remember which attempts an agent may start, and which it never will."""

from dataclasses import dataclass
from enum import StrEnum

from hyssopvane._internal.models.refusals import AgentRefusal

UNKEYED_RETENTION_S = 600.0
"""Time for which an attempt without a key is remembered after it was first seen."""

MAX_UNKEYED_ATTEMPTS = 50_000
"""Attempts without a key that are remembered, some 10 MB.

At 80 requests a second, more than one target takes, this is the whole memory time. A
late copy of an attempt without a key can only come from a fault of an entry, because
one connection keeps the order; so this bound gives way before the agent's memory does.
"""


@dataclass(frozen=True, slots=True)
class CustomerKey:
    """Name the caller's key that attempts belong to."""

    customer: str
    key: str
    created_at: float
    """Seconds since 1970 as the key tells them."""
    window_s: float
    """Age in seconds after which the key is no longer run."""

    @property
    def name(self) -> tuple[str, str]:
        """Return what stays the same when the window is changed."""
        return self.customer, self.key

    @property
    def expires_at(self) -> float:
        """Return when the key is no longer run."""
        return self.created_at + self.window_s


class AttemptPhase(StrEnum):
    """Tell how far an attempt came."""

    ACCEPTED = "accepted"
    """Its body still arrives; nothing has reached the target."""
    STARTED = "started"
    TOMBSTONE = "tombstone"
    """It never started and never will."""


@dataclass(slots=True)
class _Attempt:
    phase: AttemptPhase
    owner: CustomerKey | None
    expires_at: float


class AttemptRegister:
    """Decide for each attempt whether it may start, once and for all.

    The caller brings the clock, in seconds since 1970.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._attempts: dict[bytes, _Attempt] = {}
        self._unkeyed: dict[bytes, None] = {}
        self._held: dict[tuple[str, str], bytes] = {}
        # Keys made up to this time may have been forgotten. It holds the proof when an
        # operator widens the window, or when the VM's clock is set, after that.
        self._removed_until = float("-inf")

    def accept(
        self, attempt: bytes, *, incarnation: int, owner: CustomerKey | None, now: float
    ) -> AgentRefusal | None:
        """Accept an attempt that may start, or say why it does not."""
        if incarnation != self.incarnation:
            # A restart loses what is kept here, so a copy that was meant for an
            # earlier start could run a second time.
            return AgentRefusal.WRONG_INCARNATION
        known = self._attempts.get(attempt)
        if known is not None:
            if known.phase is AttemptPhase.TOMBSTONE:
                return AgentRefusal.TOMBSTONE
            return AgentRefusal.DUPLICATE_ATTEMPT
        if owner is not None and self._is_too_old(owner, now):
            # An entry that was paused wakes after the claim has gone and the caller
            # was told that the key is too old.
            return AgentRefusal.KEY_EXPIRED
        if owner is not None and owner.name in self._held:
            # The claim in the key-value service lets no second attempt come this far;
            # this holds even when a fault lets one through.
            self._record(attempt, AttemptPhase.TOMBSTONE, owner, now)
            return AgentRefusal.KEY_HELD
        self._record(attempt, AttemptPhase.ACCEPTED, owner, now)
        if owner is not None:
            self._held[owner.name] = attempt
        return None

    def start(self, attempt: bytes) -> bool:
        """Mark an accepted attempt as started; return False when it has a tombstone."""
        known = self._attempts.get(attempt)
        if known is None or known.phase is not AttemptPhase.ACCEPTED:
            return False
        known.phase = AttemptPhase.STARTED
        return True

    def add_tombstone(
        self, attempt: bytes, *, owner: CustomerKey | None, now: float
    ) -> AgentRefusal:
        """Make sure that an attempt never starts, or say that this is too late."""
        known = self._attempts.get(attempt)
        if known is None:
            if owner is not None and self._is_too_old(owner, now):
                return AgentRefusal.KEY_EXPIRED
            # Its copy may still be on its way, through a connection that was silent
            # or from an entry that was paused.
            self._record(attempt, AttemptPhase.TOMBSTONE, owner, now)
        elif known.phase is AttemptPhase.STARTED:
            return AgentRefusal.DUPLICATE_ATTEMPT
        else:
            self._mark_tombstone(attempt, known)
        return AgentRefusal.TOMBSTONE

    def revert_start(self, attempt: bytes) -> None:
        """Bury a started attempt of which provably nothing reached the target."""
        known = self._attempts.get(attempt)
        if known is not None:
            self._mark_tombstone(attempt, known)

    def expire(self, *, now: float) -> list[bytes]:
        """Forget attempts whose copies are refused by their age; return them."""
        old = [one for one, known in self._attempts.items() if known.expires_at < now]
        for attempt in old:
            self._remove(attempt)
        return old

    def _is_too_old(self, owner: CustomerKey, now: float) -> bool:
        return now > owner.expires_at or owner.created_at <= self._removed_until

    def _record(
        self, attempt: bytes, phase: AttemptPhase, owner: CustomerKey | None, now: float
    ) -> None:
        if owner is not None:
            self._attempts[attempt] = _Attempt(phase, owner, owner.expires_at)
            return
        self._attempts[attempt] = _Attempt(phase, None, now + UNKEYED_RETENTION_S)
        self._unkeyed[attempt] = None
        if len(self._unkeyed) > MAX_UNKEYED_ATTEMPTS:
            self._remove(next(iter(self._unkeyed)))

    def _mark_tombstone(self, attempt: bytes, known: _Attempt) -> None:
        known.phase = AttemptPhase.TOMBSTONE
        self._release(attempt, known)

    def _remove(self, attempt: bytes) -> None:
        known = self._attempts.pop(attempt)
        self._unkeyed.pop(attempt, None)
        self._release(attempt, known)
        if known.owner is not None:
            self._removed_until = max(self._removed_until, known.owner.created_at)

    def _release(self, attempt: bytes, known: _Attempt) -> None:
        if known.owner is not None and self._held.get(known.owner.name) == attempt:
            del self._held[known.owner.name]

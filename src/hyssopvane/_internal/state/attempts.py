"""Decide which attempts an agent may start, and reject duplicates."""

from dataclasses import dataclass
from enum import StrEnum

from hyssopvane._internal.models.refusals import AgentRefusal

UNKEYED_RETENTION_S = 600.0
"""Time for which an attempt without a key is kept after its first arrival."""

MAX_UNKEYED_ATTEMPTS = 50_000
"""Maximum number of attempts without a key that are kept, about 10 MB.

At 80 requests a second, more than one target serves, they cover the whole retention
time. Above that rate the oldest are removed early to bound the agent's memory. A late
copy of an attempt without a key can only come from a faulty entry, because one
connection preserves the order.
"""


@dataclass(frozen=True, slots=True)
class CustomerKey:
    """Identify the customer's idempotency key that attempts belong to."""

    customer: str
    key: str
    created_at: float
    """Creation time stated in the key, in seconds since 1970."""
    window_s: float
    """Age in seconds after which no attempt for the key may run."""

    @property
    def name(self) -> tuple[str, str]:
        """Return the customer and key, which do not change with the window."""
        return self.customer, self.key

    @property
    def expires_at(self) -> float:
        """Return the time after which no attempt for the key may run."""
        return self.created_at + self.window_s


class AttemptPhase(StrEnum):
    """Name the state of an attempt."""

    ACCEPTED = "accepted"
    """Its body is still being received; nothing has been sent to the target."""
    STARTED = "started"
    TOMBSTONE = "tombstone"
    """It did not start and must never start."""


@dataclass(slots=True)
class _Attempt:
    phase: AttemptPhase
    owner: CustomerKey | None
    expires_at: float


class AttemptRegister:
    """Decide once for each attempt whether it may start.

    Callers pass the current time as `now`, in seconds since 1970.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._attempts: dict[bytes, _Attempt] = {}
        self._unkeyed: dict[bytes, None] = {}
        self._held: dict[tuple[str, str], bytes] = {}
        # Attempts for keys created up to this time may have been removed, so these keys
        # stay refused even if an operator widens the window later or the VM's clock
        # is set.
        self._removed_until = float("-inf")

    def accept(
        self, attempt: bytes, *, incarnation: int, owner: CustomerKey | None, now: float
    ) -> AgentRefusal | None:
        """Accept an attempt that may start, or return why it is refused."""
        if incarnation != self.incarnation:
            # A restart clears the register, so a copy sent to an earlier incarnation
            # could run a second time.
            return AgentRefusal.WRONG_INCARNATION
        known = self._attempts.get(attempt)
        if known is not None:
            if known.phase is AttemptPhase.TOMBSTONE:
                return AgentRefusal.TOMBSTONE
            return AgentRefusal.DUPLICATE_ATTEMPT
        if owner is not None and self._is_too_old(owner, now):
            # A paused entry may resume after the claim has been removed and the caller
            # was answered that the key is too old.
            return AgentRefusal.KEY_EXPIRED
        if owner is not None and owner.name in self._held:
            # The claim in the key-value service normally stops a second attempt. This
            # check also stops one that gets through because of a fault.
            self._record(attempt, AttemptPhase.TOMBSTONE, owner, now)
            return AgentRefusal.KEY_HELD
        self._record(attempt, AttemptPhase.ACCEPTED, owner, now)
        if owner is not None:
            self._held[owner.name] = attempt
        return None

    def start(self, attempt: bytes) -> bool:
        """Mark an accepted attempt as started; return False if it may not start."""
        known = self._attempts.get(attempt)
        if known is None or known.phase is not AttemptPhase.ACCEPTED:
            return False
        known.phase = AttemptPhase.STARTED
        return True

    def add_tombstone(
        self, attempt: bytes, *, owner: CustomerKey | None, now: float
    ) -> AgentRefusal:
        """Ensure that an attempt never starts.

        Return `TOMBSTONE` on success, `DUPLICATE_ATTEMPT` if it has started, and
        `KEY_EXPIRED` if an unknown attempt's key is too old to run.
        """
        known = self._attempts.get(attempt)
        if known is None:
            if owner is not None and self._is_too_old(owner, now):
                return AgentRefusal.KEY_EXPIRED
            # The attempt may still arrive over a connection that was silent or from an
            # entry that was paused.
            self._record(attempt, AttemptPhase.TOMBSTONE, owner, now)
        elif known.phase is AttemptPhase.STARTED:
            return AgentRefusal.DUPLICATE_ATTEMPT
        else:
            self._mark_tombstone(attempt, known)
        return AgentRefusal.TOMBSTONE

    def revert_start(self, attempt: bytes) -> None:
        """Mark a started attempt as never run, as provably none of it was sent."""
        known = self._attempts.get(attempt)
        if known is not None:
            self._mark_tombstone(attempt, known)

    def expire(self, *, now: float) -> list[bytes]:
        """Remove and return expired attempts; late copies are refused by their age."""
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

"""Let one request at a time run with parts of prompts that may crash replicas."""

from collections.abc import Awaitable, Callable, Iterable
from functools import partial

import trio

from hyssopvane._internal.coordination.trial_claims import CLAIM_S, TrialClaims
from hyssopvane._internal.exceptions import KeyValueError
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.state.suspects import SuspectId
from hyssopvane._internal.utils.logs import log_event

STORE_RETRY_S = 2.0
"""Time for which the store is not asked again after it did not answer."""

POLL_INTERVAL_S = 0.1
CLAIM_RETRY_S = 0.4
"""Time for which this entry does not ask again for parts that another one has claimed.

All requests of the entry wait together, so this bounds its calls of the store.
"""


class Trial:
    """Allow one request to run with parts that may crash replicas."""

    def __init__(
        self, parts: Iterable[SuspectId], end: Callable[["Trial"], None]
    ) -> None:
        self._parts = frozenset(parts)
        self._end = end

    @property
    def parts(self) -> frozenset[SuspectId]:
        """Return the parts with which the request may run."""
        return self._parts

    def covers(self, parts: Iterable[SuspectId]) -> bool:
        """Return whether the trial allows to run with all of some parts."""
        return self._parts.issuperset(parts)

    def end(self) -> None:
        """Let another request run with these parts."""
        self._end(self)


class SuspectTrials:
    """Begin trials that exclude each other in the fleet.

    The store holds the claims of entries. While it does not answer, one entry of those
    that are heard begins trials for all.
    """

    poll_interval_s = POLL_INTERVAL_S

    def __init__(
        self,
        tracker: SuspectTracker,
        claims: TrialClaims,
        *,
        is_leading: Callable[[str], bool],
        start_task: Callable[[Callable[[], Awaitable[None]]], None],
    ) -> None:
        self._tracker = tracker
        self._claims = claims
        self._is_leading = is_leading
        """Returns whether this entry begins the trials of a service without a store."""
        self._start_task = start_task
        self._expires_at: dict[SuspectId, float] = {}
        """Times until which parts are claimed by this entry."""
        self._is_claiming = False
        self._claim_at = 0.0
        """Time from which on the store is asked for further claims."""
        self._store_failed_at = float("-inf")

    def is_store_away(self, now: float) -> bool:
        """Return whether the store has lately not answered."""
        return now - self._store_failed_at < STORE_RETRY_S

    async def begin(self, parts: tuple[SuspectId, ...]) -> Trial | None:
        """Return a trial of some parts, None while another one has one of them."""
        now = trio.current_time()
        self._expires_at = {
            part: at for part, at in self._expires_at.items() if at > now
        }
        if self._is_claiming or not self._expires_at.keys().isdisjoint(parts):
            return None
        if self._tracker.is_running(parts):
            return None
        self._is_claiming = True
        try:
            return await self._claim(parts)
        finally:
            self._is_claiming = False

    async def _claim(self, parts: tuple[SuspectId, ...]) -> Trial | None:
        if not self.is_store_away(trio.current_time()):
            if trio.current_time() < self._claim_at:
                return None
            try:
                token = await self._claims.acquire(parts)
            except KeyValueError as error:
                self._store_failed_at = trio.current_time()
                log_event("info", "trials-unshared", why=error)
            else:
                if token is None:
                    self._claim_at = trio.current_time() + CLAIM_RETRY_S
                    return None
                return self._keep(parts, token)
        if not self._is_leading(parts[0].service):
            return None
        return self._keep(parts, None)

    def _keep(self, parts: tuple[SuspectId, ...], token: str | None) -> Trial:
        log_event("info", "trial", parts=len(parts), claimed=token is not None)
        for part in parts:
            self._expires_at[part] = trio.current_time() + CLAIM_S
        return Trial(parts, partial(self._release, token))

    def _release(self, token: str | None, trial: Trial) -> None:
        for part in trial.parts:
            self._expires_at.pop(part, None)
        if token is not None:
            self._start_task(partial(self._claims.release, token))

"""Find the attempts that wait for a replica whose VM no longer answers."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from hyssopvane._internal.state.routing import Incarnation, Replica

MAX_SILENCE_S = 0.8
"""Time without a byte of a replica and without a report of the agent on its VM after
which the VM counts as stalled.

Reports are at most a quarter of a second old on a VM that works. Callers leave a stream
after two seconds without an event, and another replica needs some tenths of a second.
"""

MAX_PROGRESS_AGE_S = 0.3
"""Time without a byte of any other replica after which the service stands still.

Moving a request gains nothing then. An entry without other requests can't tell, and
moves the ones that wait.
"""

MIN_SERVE_S = 0.4
"""Time that another replica needs for the first event of a request that moves to it.

It includes the wait for a place and the reading of the prompt.
"""

MIN_NOTICE_S = 0.2
"""Time before a caller leaves at which it is told that a request which may not be
repeated has no answer: its VM may resume until then, and no other replica may help.

Attempts are checked ten times a second, so half of it may have passed by then.
"""


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """Track an attempt from the first byte that is sent to its replica."""

    replica: Replica
    sent_at: float
    move: Callable[[], None]
    """Starts to look for another replica for the request, if it may be sent to one."""
    heard_at: float = float("-inf")
    """Time from which the next byte is awaited; infinite while one is passed on."""
    give_up: Callable[[], None] = lambda: None
    """Ends the answer, so that the caller need not wait for it any longer."""
    get_leave_at: Callable[[], float] = lambda: inf
    """Returns the time at which the caller leaves if it receives nothing more."""
    repeatable: bool = True
    """Whether the request may be sent to another replica."""

    @property
    def notice_s(self) -> float:
        """Return the time before its caller leaves at which the answer ends."""
        return MIN_SERVE_S if self.repeatable else MIN_NOTICE_S


class RunningAttempts:
    """Hold the attempts of one service that run at replicas."""

    def __init__(self) -> None:
        self._attempts: set[RunningAttempt] = set()

    def add(self, attempt: RunningAttempt) -> None:
        """Add an attempt."""
        self._attempts.add(attempt)

    def discard(self, attempt: RunningAttempt) -> None:
        """Remove an attempt that has ended."""
        self._attempts.discard(attempt)

    def find_stalled(
        self, is_vm_silent: Callable[[Replica], bool], *, now: float
    ) -> list[RunningAttempt]:
        """Return the attempts at replicas that are silent like their VM.

        None are returned while the whole service stands still.
        """
        silent = self._find_silent(is_vm_silent, now)
        others = [
            one for one in self._attempts if one.replica.incarnation not in silent
        ]
        if _have_stopped(others, now):
            return []
        return [
            one
            for one in self._attempts
            if one.replica.incarnation in silent and one.heard_at < inf
        ]

    def find_hopeless(
        self,
        is_vm_unheard: Callable[[Replica], bool],
        is_heard: Callable[[Replica], bool] = lambda replica: True,
        *,
        now: float,
    ) -> list[RunningAttempt]:
        """Return the attempts at silent replicas that no other one can serve in time.

        Their callers leave before another replica would send the next event. The
        replica would notice that only when its VM resumes. Whether the other members
        of its group are heard makes no difference to them.

        `is_heard` tells whether a replica is heard as lately as on a working VM.
        Callers who leave at once are told even if the VM has only just fallen silent.
        """
        replicas = {one.replica.incarnation: one.replica for one in self._attempts}
        quiet = {key for key, replica in replicas.items() if not is_heard(replica)}
        silent = self._find_silent(is_vm_unheard, now)
        found = []
        for one in self._attempts if quiet or silent else ():
            if one.heard_at == inf:
                continue
            if one.replica.incarnation in silent:
                notice_s = one.notice_s
            elif one.replica.incarnation in quiet:
                notice_s = MIN_NOTICE_S
            else:
                continue
            if now >= one.get_leave_at() - notice_s:
                found.append(one)
        return found

    def was_heard(self, replica: Replica, *, since: float) -> bool:
        """Return whether a replica has sent anything since a time."""
        return any(
            one.replica.incarnation == replica.incarnation
            and since <= one.heard_at < inf
            for one in self._attempts
        )

    def has_survived(self, replica: Replica, lost_at: float) -> bool:
        """Return whether an attempt sent before a loss has been heard after it."""
        return any(
            one.replica.id == replica.id and one.sent_at < lost_at < one.heard_at < inf
            for one in self._attempts
        )

    def _find_silent(
        self, is_vm_silent: Callable[[Replica], bool], now: float
    ) -> set[Incarnation]:
        """Return the replicas that are silent like their VM.

        A silent agent alone is no sign: its replica may still send its answers.
        """
        silent_since = now - MAX_SILENCE_S
        waiting = {
            one.replica
            for one in self._attempts
            if max(one.sent_at, one.heard_at) < silent_since
        }
        if not waiting:
            return set()
        heard = {
            one.replica.incarnation
            for one in self._attempts
            # A caller that does not take what was received is no sign of the replica.
            if silent_since <= one.heard_at < inf
        }
        return {
            replica.incarnation
            for replica in waiting
            if replica.incarnation not in heard and is_vm_silent(replica)
        }


def _have_stopped(attempts: list[RunningAttempt], now: float) -> bool:
    """Return whether no replica sends anything to requests that wait for it."""
    progress_since = now - MAX_PROGRESS_AGE_S
    if any(one.heard_at >= progress_since for one in attempts):
        return False
    return any(one.sent_at < progress_since for one in attempts)

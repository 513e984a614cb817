"""Find the attempts that wait for a replica whose VM no longer answers."""

from collections.abc import Callable
from dataclasses import dataclass

from hyssopvane._internal.state.routing import Replica

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


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """Track an attempt from the first byte that is sent to its replica."""

    replica: Replica
    sent_at: float
    move: Callable[[], None]
    """Starts to look for another replica for the request, if it may be sent to one."""
    heard_at: float = float("-inf")
    """Time of the last byte from the replica; infinite while it is passed on."""


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

        A silent agent alone is no sign: its replica may still send its answers.
        """
        silent_since = now - MAX_SILENCE_S
        waiting = {
            one.replica
            for one in self._attempts
            if max(one.sent_at, one.heard_at) < silent_since
        }
        if not waiting:
            return []
        heard = {
            one.replica.incarnation
            for one in self._attempts
            if one.heard_at >= silent_since
        }
        silent = {
            replica.incarnation
            for replica in waiting
            if replica.incarnation not in heard and is_vm_silent(replica)
        }
        others = [
            one for one in self._attempts if one.replica.incarnation not in silent
        ]
        if _have_stopped(others, now):
            return []
        return [one for one in self._attempts if one.replica.incarnation in silent]


def _have_stopped(attempts: list[RunningAttempt], now: float) -> bool:
    """Return whether no replica sends anything to requests that wait for it."""
    progress_since = now - MAX_PROGRESS_AGE_S
    if any(one.heard_at >= progress_since for one in attempts):
        return False
    return any(one.sent_at < progress_since for one in attempts)

"""Remember runs of unknown outcome, until their replica is known to be lost.

A caller may leave, or a deadline pass, before the end of a replica shows. Then nobody
waits on its connection any more, and only its registration tells. An answer that ends
with its connection may be complete or cut; a later answer of the replica tells which.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass

from hyssopvane._internal.state.suspects import CrashKey, SuspectId

MAX_AGE_S = 10.0
"""Time between the end of a run and that of its replica's registration.

A registration ends after three heartbeats, and crashed replicas are replaced within
seconds.
"""

MAX_REPLICAS = 1_024
MAX_RUNS = 64
"""Number of runs that are kept for one replica."""


@dataclass(frozen=True, slots=True)
class UnansweredRun:
    """Identify a run of a body whose outcome is not known."""

    body: SuspectId
    generation: int
    """Generation that a crash under it has."""
    ended_at: float
    has_answer: bool = False
    """Whether it ended with an answer, which is complete if the replica lives."""
    parts: tuple[tuple[SuspectId, int], ...] = ()
    """Parts of its prompt, with the generation that a crash under each has."""

    @property
    def suspects(self) -> tuple[tuple[SuspectId, int], ...]:
        """Return the body and the parts, with their generations."""
        return ((self.body, self.generation), *self.parts)


class UnansweredRuns:
    """Match runs without an answer with replicas that are lost."""

    def __init__(self) -> None:
        self._runs: OrderedDict[CrashKey, list[UnansweredRun]] = OrderedDict()
        self._lost_at: OrderedDict[CrashKey, float] = OrderedDict()

    def add(self, replica: CrashKey, run: UnansweredRun) -> bool:
        """Keep a run; return whether its replica is known to be lost already."""
        if run.ended_at - self._lost_at.get(replica, -MAX_AGE_S) < MAX_AGE_S:
            return True
        runs = self._runs.setdefault(replica, [])
        self._runs.move_to_end(replica)
        while runs and runs[0].ended_at <= run.ended_at - MAX_AGE_S:
            del runs[0]
        runs.append(run)
        if len(runs) > MAX_RUNS:
            _drop_one(runs)
        if len(self._runs) > MAX_REPLICAS:
            self._runs.popitem(last=False)
        return False

    def take_answered(
        self, replica: CrashKey, *, sent_at: float
    ) -> list[UnansweredRun]:
        """Return the answers that are complete, as the replica has answered since.

        It has answered a request that was sent at a time.
        """
        runs = self._runs.get(replica, ())
        found = [run for run in runs if run.has_answer and run.ended_at < sent_at]
        if found:
            self._runs[replica] = [run for run in runs if run not in found]
        return found

    def take_lost(self, replica: CrashKey, *, now: float) -> list[UnansweredRun]:
        """Record that a replica is lost, and return the runs that ended before."""
        self._lost_at[replica] = now
        if len(self._lost_at) > MAX_REPLICAS:
            self._lost_at.popitem(last=False)
        runs = self._runs.pop(replica, [])
        return [run for run in runs if now - run.ended_at < MAX_AGE_S]


def _drop_one(runs: list[UnansweredRun]) -> None:
    """Remove the oldest run of the customer that has most."""
    ((customer, _),) = Counter(run.body.customer for run in runs).most_common(1)
    del runs[next(n for n, run in enumerate(runs) if run.body.customer == customer)]

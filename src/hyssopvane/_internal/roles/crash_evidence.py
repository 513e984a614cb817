"""Record what speaks for and against one request as the cause of lost replicas."""

import trio

from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.policy.unanswered_runs import UnansweredRun, UnansweredRuns
from hyssopvane._internal.roles.gate_keeper import GateKeeper
from hyssopvane._internal.state.routing import Incarnation, Replica
from hyssopvane._internal.state.suspects import Crash, SuspectId
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event

QUARANTINE_S = 60.0
"""Time for which a request that has crashed replicas is refused at first."""


class CrashAccount:
    """Record crashes of replicas under requests in the entry's account of suspects."""

    def __init__(self, tracker: SuspectTracker, metrics: DeferredMetrics) -> None:
        self.tracker = tracker
        self._metrics = metrics
        self._unanswered = UnansweredRuns()

    def record_crash(
        self,
        body: SuspectId,
        replica: Incarnation,
        *,
        generation: int,
        sent_at: float | None = None,
    ) -> None:
        """Record that a replica was lost under a request."""
        now = trio.current_time()
        counted = self.tracker.record_crash(
            body,
            Crash(*replica, now, generation),
            quarantine_s=QUARANTINE_S,
            now=now,
            sent_at=sent_at,
        )
        record = self.tracker.get_record(body)
        self._metrics.count_event("crash-suspect")
        log_event(
            "warning",
            "crash-suspect",
            body=body.digest.hex(),
            replica=replica[0],
            counted=counted,
            crashes=0 if record is None else len(record.crashes),
            refused=self.tracker.is_quarantined(body, now=now),
            source="own",
        )

    def record_unanswered(
        self, body: SuspectId, replica: Incarnation, *, generation: int
    ) -> None:
        """Record that nobody waits for a replica's answer to a request any more."""
        run = UnansweredRun(body, generation, trio.current_time())
        if self._unanswered.add(replica, run):
            self.record_crash(body, replica, generation=generation)

    def record_ended(self, replica: Replica) -> None:
        """Record that the registration of a replica has ended unannounced."""
        key = replica.incarnation
        for run in self._unanswered.take_lost(key, now=trio.current_time()):
            self.record_crash(run.body, key, generation=run.generation)


class CrashEvidence:
    """Report the attempts of one request to the entry's account of suspects."""

    def __init__(
        self, body: SuspectId, *, account: CrashAccount, gates: GateKeeper
    ) -> None:
        self.body = body
        self._account = account
        self._tracker = account.tracker
        self._gates = gates
        self._replica: Replica | None = None
        """Replica at which the request runs."""
        self._sent_at = 0.0
        self._generation = 1

    def is_refused(self) -> bool:
        """Return whether the request must not reach another replica."""
        return self._tracker.is_quarantined(self.body, now=trio.current_time())

    def measure_refusal_s(self) -> float:
        """Return the seconds for which the request is still refused."""
        return self._tracker.measure_quarantine_s(self.body, now=trio.current_time())

    def list_avoided(self) -> frozenset[Incarnation]:
        """Return the replicas that run other suspects of this entry.

        A suspect that runs without others shows by its end which one is the cause.
        """
        now = trio.current_time()
        if not self._tracker.is_suspect(self.body, now=now):
            return frozenset()
        names = self._tracker.list_targets_of_others(self.body, now=now)
        return self._gates.get_gate(self.body.service).list_incarnations(names)

    def begin(self, replica: Replica) -> None:
        """Record that the request is sent to a replica."""
        self._replica, self._sent_at = replica, trio.current_time()
        self._generation = 1 + self._tracker.count_generations(self.body)
        self._tracker.start(self.body, replica.id)

    def end(self) -> None:
        """Record that the attempt has ended."""
        if self._replica is not None:
            self._tracker.stop(self.body, self._replica.id)
            self._replica = None

    def record_answer(self, replica: Replica) -> None:
        """Record that a replica answers, so that it has not crashed before."""
        now = trio.current_time()
        self._tracker.record_answer(replica.incarnation, sent_at=self._sent_at, now=now)

    def record_finish(self) -> None:
        """Record that a replica has run the request to its end."""
        self._tracker.clear(self.body, now=trio.current_time())

    def record_loss(self, replica: Replica) -> None:
        """Record that a replica was lost while it ran the request."""
        if self._is_departing(replica):
            # It was going to end anyway.
            return
        self._account.record_crash(
            self.body,
            replica.incarnation,
            generation=self._generation,
            sent_at=self._sent_at,
        )

    def record_unanswered(self) -> None:
        """Record that the attempt ends before its replica has answered."""
        replica = self._replica
        if replica is None or self._is_departing(replica):
            return
        self._account.record_unanswered(
            self.body, replica.incarnation, generation=self._generation
        )

    def _is_departing(self, replica: Replica) -> bool:
        return self._gates.get_gate(self.body.service).is_departing(replica)

"""Record what speaks for and against one request as the cause of lost replicas."""

import trio

from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.roles.gate_keeper import GateKeeper
from hyssopvane._internal.state.routing import Incarnation, Replica
from hyssopvane._internal.state.suspects import BodyId, Crash
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event

QUARANTINE_S = 600.0
"""Time for which a request that has crashed replicas is refused; it doubles with each
further crash.
"""


class CrashEvidence:
    """Report the attempts of one request to the entry's account of suspects."""

    def __init__(
        self,
        body: BodyId,
        *,
        request_id: str,
        tracker: SuspectTracker,
        gates: GateKeeper,
        metrics: DeferredMetrics,
    ) -> None:
        self.body = body
        self._request_id = request_id
        self._tracker = tracker
        self._gates = gates
        self._metrics = metrics
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
        now = trio.current_time()
        gate = self._gates.get_gate(self.body.service)
        if gate.is_departing(replica):
            # It was going to end anyway.
            return
        crash = Crash(replica.id, replica.started_ms, now, self._generation)
        self._tracker.record_crash(self.body, crash, quarantine_s=QUARANTINE_S, now=now)
        record = self._tracker.get_record(self.body)
        self._metrics.count_event("crash-suspect")
        log_event(
            "warning",
            "crash-suspect",
            request=self._request_id,
            body=self.body.digest.hex(),
            replica=replica.id,
            crashes=0 if record is None else len(record.crashes),
            refused=self._tracker.is_quarantined(self.body, now=now),
            source="own",
        )

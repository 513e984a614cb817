"""Record what speaks for and against one request as the cause of lost replicas."""

from collections.abc import Iterable

import trio

from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.policy.unanswered_runs import UnansweredRun, UnansweredRuns
from hyssopvane._internal.roles.gate_keeper import GateKeeper
from hyssopvane._internal.roles.suspect_trials import SuspectTrials, Trial
from hyssopvane._internal.state.routing import Incarnation, Replica
from hyssopvane._internal.state.suspects import Crash, RequestIdentity, SuspectId
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event

QUARANTINE_S = 60.0
"""Time for which a request that has crashed replicas is refused at first."""

GROUP_LOSS_S = 3.0
"""Time after the loss of a replica in which others of its group drop their requests.

A group stalls for one to two seconds before it gives up on a lost replica.
"""


class CrashAccount:
    """Record crashes of replicas under requests in the entry's account of suspects."""

    def __init__(
        self,
        tracker: SuspectTracker,
        metrics: DeferredMetrics,
        *,
        gates: GateKeeper,
        trials: SuspectTrials,
    ) -> None:
        self.tracker = tracker
        self.trials = trials
        self._metrics = metrics
        self._gates = gates
        self._unanswered = UnansweredRuns()

    def record_crash(
        self,
        suspects: Iterable[tuple[SuspectId, int]],
        replica: Incarnation,
        *,
        sent_at: float | None = None,
    ) -> bool:
        """Record that a replica was lost under a request; return whether it may count.

        Each suspect comes with the generation of the crash.
        """
        now = trio.current_time()
        is_first = True
        for suspect, generation in suspects:
            is_first = self._is_first_loss(suspect.service, replica, now)
            counted = is_first and self.tracker.record_crash(
                suspect,
                Crash(*replica, now, generation),
                quarantine_s=QUARANTINE_S,
                now=now,
                sent_at=sent_at,
            )
            record = self.tracker.get_record(suspect)
            self._metrics.count_event("crash-suspect")
            log_event(
                "warning",
                "crash-suspect",
                body=suspect.digest.hex(),
                part=describe_part(suspect),
                replica=replica[0],
                first=is_first,
                counted=counted,
                crashes=0 if record is None else len(record.crashes),
                refused=self.tracker.is_quarantined(suspect, now=now),
                source="own",
            )
        return is_first

    def record_unanswered(
        self,
        suspects: tuple[tuple[SuspectId, int], ...],
        replica: Incarnation,
        *,
        has_answer: bool = False,
    ) -> None:
        """Record that it is not known whether a replica has run a request to its end.

        Nobody waits for its answer any more, or the answer has ended with its
        connection.
        """
        (body, generation), *parts = suspects
        run = UnansweredRun(
            body, generation, trio.current_time(), has_answer, tuple(parts)
        )
        if self._unanswered.add(replica, run):
            self.record_crash(suspects, replica)

    def record_answer(self, replica: Incarnation, *, sent_at: float) -> None:
        """Record that a replica answers a request, so that it has not crashed."""
        now = trio.current_time()
        self.tracker.record_answer(replica, sent_at=sent_at, now=now)
        for run in self._unanswered.take_answered(replica, sent_at=sent_at):
            self.record_finish(one for one, _ in run.suspects)

    def record_finish(self, suspects: Iterable[SuspectId]) -> None:
        """Record that a replica has run a request to its end."""
        now, customer = trio.current_time(), ""
        for one in suspects:
            # The body comes first, and names the customer of the parts.
            customer = customer or one.customer
            self.tracker.clear(one, now=now, customer=customer)

    def record_ended(self, replica: Replica) -> None:
        """Record that the registration of a replica has ended unannounced."""
        key = replica.incarnation
        for run in self._unanswered.take_lost(key, now=trio.current_time()):
            self.record_crash(run.suspects, key)

    def _is_first_loss(self, service: str, replica: Incarnation, now: float) -> bool:
        """Return whether no other replica of the group was lost shortly before.

        When one replica of a group ends, all others drop what they run, and their
        requests have nothing to do with it.
        """
        group = self._gates.get_gate(service).find_group(replica[0])
        if group is None:
            return True
        since = max(now - GROUP_LOSS_S, group.formed_at)
        others = group.list_incarnations() - {replica}
        return not self.tracker.was_lost_since(others, since)


class CrashEvidence:
    """Report the attempts of one request to the entry's account of suspects."""

    def __init__(
        self, identity: RequestIdentity, *, account: CrashAccount, gates: GateKeeper
    ) -> None:
        self.identity = identity
        self._service = identity.body.service
        self._account = account
        self._tracker = account.tracker
        self._gates = gates
        self._replica: Replica | None = None
        """Replica at which the request runs."""
        self._sent_at = 0.0
        self._suspects: tuple[tuple[SuspectId, int], ...] = ()
        """Body and parts, with the generation that a crash now would have."""
        self._trial: Trial | None = None
        """Trial that allows the request to run with parts that may crash replicas."""
        self._has_lost = False
        """Whether the request may have crashed a replica."""

    def is_refused(self) -> bool:
        """Return whether the request must not reach another replica."""
        return self._tracker.is_refused(self.identity, now=trio.current_time())

    def measure_refusal_s(self) -> float:
        """Return the seconds for which the request is still refused."""
        return self._tracker.measure_refusal_s(self.identity, now=trio.current_time())

    def may_run(self) -> bool:
        """Return whether a replica may get the request now."""
        if self.is_refused():
            return False
        unproven = self._list_unproven()
        return not unproven or (
            self._trial is not None and self._trial.covers(unproven)
        )

    async def begin_trial(self, *, until: float) -> bool:
        """Wait until the request may run; return False if it may not in time.

        While parts of its prompt may crash replicas, one such request runs at a time in
        the whole fleet. One under which a replica was lost tells nothing new.
        """
        while not (self.is_refused() or self.may_run()):
            if trio.current_time() >= until:
                return False
            if not self._has_lost:
                self.end_trial()
                unproven = self._list_unproven()
                self._trial = await self._account.trials.begin(unproven)
                if self._trial is not None:
                    continue
            await trio.sleep(self._account.trials.poll_interval_s)
        return True

    def end_trial(self) -> None:
        """Let another request run with the same parts."""
        if self._trial is not None:
            self._trial.end()
            self._trial = None

    def list_avoided(self) -> frozenset[Incarnation]:
        """Return the replicas that run other suspects of this entry.

        A suspect that runs without others shows by its end which one is the cause.
        """
        now = trio.current_time()
        suspects = self.identity.suspects
        if not any(self._tracker.is_suspect(one, now=now) for one in suspects):
            return frozenset()
        names = self._tracker.list_targets_of_others(*suspects, now=now)
        return self._gates.get_gate(self._service).list_incarnations(names)

    def begin(self, replica: Replica) -> None:
        """Record that the request is sent to a replica."""
        self._replica, self._sent_at = replica, trio.current_time()
        suspects = self.identity.suspects
        self._suspects = tuple(
            (one, 1 + self._tracker.count_generations(one)) for one in suspects
        )
        for one in suspects:
            self._tracker.start(one, replica.id)

    def end(self) -> None:
        """Record that the attempt has ended."""
        if self._replica is not None:
            for one in self.identity.suspects:
                self._tracker.stop(one, self._replica.id)
            self._replica = None

    def record_answer(self, replica: Replica) -> None:
        """Record that a replica answers, so that it has not crashed before."""
        self._account.record_answer(replica.incarnation, sent_at=self._sent_at)

    def record_finish(self, *, successful: bool, is_confirmed: bool) -> None:
        """Record that a replica has run the request to its end.

        A replica that answers with a failure may not have begun with the prompt. An
        answer that is not confirmed is complete only if its replica has not ended.
        """
        suspects = self._suspects if successful else self._suspects[:1]
        if is_confirmed:
            self._account.record_finish(one for one, _ in suspects)
        elif self._replica is not None:
            self._account.record_unanswered(
                suspects, self._replica.incarnation, has_answer=True
            )

    def record_loss(self, replica: Replica) -> None:
        """Record that a replica was lost while it ran the request."""
        if self._is_departing(replica):
            # It was going to end anyway.
            return
        may_count = self._account.record_crash(
            self._suspects, replica.incarnation, sent_at=self._sent_at
        )
        if may_count:
            self._keep_trial()

    def record_unanswered(self) -> None:
        """Record that the attempt ends before its replica has answered."""
        replica = self._replica
        if replica is None or self._is_departing(replica):
            return
        self._keep_trial()
        self._account.record_unanswered(self._suspects, replica.incarnation)

    def _list_unproven(self) -> tuple[SuspectId, ...]:
        return self._tracker.list_unproven(self.identity, now=trio.current_time())

    def _keep_trial(self) -> None:
        """Let the trial expire, so that entries learn how it ended before the next."""
        self._has_lost = True
        self._trial = None

    def _is_departing(self, replica: Replica) -> bool:
        return self._gates.get_gate(self._service).is_departing(replica)


def describe_part(suspect: SuspectId) -> str:
    """Return a part's ID for the log, a dash for a body."""
    if not suspect.is_part:
        return "-"
    return suspect.digest.decode("ascii", "backslashreplace")

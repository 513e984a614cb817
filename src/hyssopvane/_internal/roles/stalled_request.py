"""Move a request whose replica stands still with its VM to another replica."""

from collections.abc import Awaitable, Callable
from functools import partial
from math import inf

import trio

from hyssopvane._internal.policy.gate_decisions import Assignment, Rejection
from hyssopvane._internal.policy.replica_load import ReplicaLoad
from hyssopvane._internal.policy.running_attempts import RunningAttempt
from hyssopvane._internal.roles.direct_request import CallDependencies, DirectRequest
from hyssopvane._internal.state.routing import Replica


class StalledRequestMover:
    """Find another replica for a running attempt before the attempt is ended."""

    def __init__(
        self,
        request: DirectRequest,
        dependencies: CallDependencies,
        *,
        wait_for_place: Callable[[], Awaitable[Assignment | Rejection]],
        take_repeat: Callable[[], bool],
        get_leave_at: Callable[[], float],
    ) -> None:
        self._request = request
        self._dependencies = dependencies
        self._wait_for_place = wait_for_place
        self._take_repeat = take_repeat
        """Returns whether one more attempt is allowed, and counts it if so."""
        self._get_leave_at = get_leave_at
        self.has_given_up = False
        """Whether the answer ends, as no other replica can go on with it in time."""
        self._running: RunningAttempt | None = None
        self._search = trio.CancelScope()
        """Scope of the search for a replica to which a stalled request can move."""
        self._is_searching = False
        self._load: ReplicaLoad | None = None
        """What is known of the load of the replica that runs the request."""
        self._next_place: Assignment | None = None
        """Place at the replica to which the request moves."""

    @property
    def is_moving(self) -> bool:
        """Return whether a place at another replica is held for the request."""
        return self._next_place is not None

    def track(self, replica: Replica, abort: Callable[[], None]) -> None:
        """Let the gate move the request when the replica's VM no longer answers."""
        gate = self._dependencies.gates.get_gate(self._request.service)
        self._running = RunningAttempt(
            replica,
            trio.current_time(),
            move=partial(self._move, abort),
            give_up=partial(self._give_up, abort),
            get_leave_at=self._get_leave_at,
            repeatable=self._request.route.repeatable,
        )
        gate.attempts.add(self._running)
        self._load = gate.find_load(replica)

    def describe(self) -> str:
        """Return what was done about a silent replica, for the log."""
        if self.has_given_up:
            return "ended"
        if self.is_moving:
            return "moving"
        if self._is_searching:
            return "searching"
        if self._is_exhausted():
            return "no-attempt-left"
        return "none"

    def forget(self) -> None:
        """End the tracking of an attempt and the search that it has begun."""
        self._search.cancel()
        if self._running is not None:
            gate = self._dependencies.gates.get_gate(self._request.service)
            gate.attempts.discard(self._running)
            self._running = None

    def record_received(self) -> None:
        """Record that a part of the answer has come and is being passed on."""
        if self._running is not None:
            self._running.heard_at = inf
            if self._load is not None:
                self._load.answered_at = trio.current_time()

    def record_waiting(self) -> None:
        """Record that the next part of the answer is awaited."""
        if self._running is not None:
            self._running.heard_at = trio.current_time()

    def take_next_place(self) -> Assignment | None:
        """Return the place that was found, if any, and hold it no longer."""
        place, self._next_place = self._next_place, None
        return place

    def release_next_place(self) -> None:
        """Give back a place that is not used."""
        place = self.take_next_place()
        if place is not None:
            self._dependencies.gates.finish(
                self._request.service,
                place.replica,
                failed=False,
                failed_since=trio.current_time(),
            )

    def _give_up(self, abort: Callable[[], None]) -> None:
        if self._running is None or self.is_moving or self.has_given_up:
            return
        self._search.cancel()
        self.has_given_up = True
        abort()

    def _move(self, abort: Callable[[], None]) -> None:
        # A request that may not be repeated keeps waiting: the VM may resume in time.
        request, running = self._request, self._running
        if running is None or self._is_searching or self.has_given_up:
            return
        if not self._is_exhausted():
            self._is_searching = True
            self._search = trio.CancelScope()
            request.tried.add(running.replica.incarnation)
            search = partial(self._find_next_place, running, abort)
            self._dependencies.gates.start_task(search)

    def _is_exhausted(self) -> bool:
        """Return whether the request may be sent to no other replica."""
        route = self._request.route
        return not route.repeatable or self._request.attempts >= route.max_attempts

    async def _find_next_place(
        self, running: RunningAttempt, abort: Callable[[], None]
    ) -> None:
        # The attempt goes on until there is a place elsewhere. Ended before, a stream
        # that no other replica takes would be cut although its replica may resume.
        heard_at = running.heard_at
        with self._search:
            decision = await self._wait_for_place()
            if isinstance(decision, Assignment):
                self._next_place = decision
                stalled = self._running is running and running.heard_at == heard_at
                if stalled and self._take_repeat():
                    abort()
                else:
                    self.release_next_place()
        self._is_searching = False

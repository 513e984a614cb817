"""Hold the requests that wait at one gate, by what can still be done for them."""

from collections.abc import Collection

from hyssopvane._internal.policy.gate_decisions import QueuedRequest
from hyssopvane._internal.policy.queueing import FairQueue, QueuedItem


class WaitingRequests:
    """Queue requests that move, those that can be on time, and the late ones."""

    def __init__(self) -> None:
        self.moving_queue = FairQueue()
        """Requests that move; their callers have waited longest without an event."""
        self.queue = FairQueue()
        self.late_queue = FairQueue()
        """Requests that can't meet their objective any more.

        A load can exceed what a group can take for about a second, until its map has
        adapted to the demand. In order of arrival, the first requests would be served
        late and delay all later ones until these are late as well. So requests that can
        still be served in time go first, and the others get the remaining capacity.
        """
        self._weights: dict[str, float] = {}
        self.by_id: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def set_keeps_turns(self, keeps_turns: bool) -> None:
        """Set whether customers may use one turn that they missed at this entry."""
        for queue in (self.queue, self.late_queue):
            queue.keeps_turns = keeps_turns

    def values(self) -> Collection[QueuedRequest]:
        """Return all waiting requests."""
        return self.by_id.values()

    def add(self, waiting: QueuedRequest, *, weight: float) -> None:
        """Append a request to its queue."""
        request_id = waiting.item.request_id
        self.by_id[request_id] = waiting
        self._weights[request_id] = weight
        queue = self.moving_queue if waiting.moving else self.queue
        queue.add(waiting.item, weight=weight)

    def remove(self, request_id: str) -> None:
        """Remove a request that waits no longer, if it is known."""
        self.by_id.pop(request_id, None)
        self._weights.pop(request_id, None)
        for queue in (self.moving_queue, self.queue, self.late_queue):
            queue.remove(request_id)

    def demote_late(self, now: float, *, after_outage: bool) -> None:
        """Queue those that can't be on time any more behind those that can.

        After an outage, callers that have waited for seconds would otherwise take the
        places of those that can still be answered in time.
        """
        for request_id, waiting in self.by_id.items():
            is_late = now >= waiting.late_at or (after_outage and waiting.is_return)
            if is_late and request_id in self.queue:
                self.queue.remove(request_id)
                self.late_queue.add(waiting.item, weight=self._weights[request_id])

    def restore(self, skipped: list[QueuedItem], queue: FairQueue) -> None:
        """Put back requests that were taken out of a queue, in their order."""
        for item in reversed(skipped):
            queue.restore(item, weight=self._weights[item.request_id])

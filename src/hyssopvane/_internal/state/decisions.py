"""Remember what a process decided about recent requests, within bounds."""

from collections import OrderedDict
from dataclasses import dataclass

# At 90 requests a second of one entry this covers about two minutes in a few megabytes.
MAX_REQUESTS = 10_000
# A request that is retried for its whole deadline must not push out the others.
MAX_DECISIONS_PER_REQUEST = 32


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """Tell one decision about a request."""

    at: float
    """Wall-clock time in seconds."""
    decision: str
    why: str


@dataclass(frozen=True, slots=True)
class VmDecisions:
    """Hold what one VM decided about a request."""

    vm: str
    decisions: tuple[DecisionRecord, ...]


class DecisionLog:
    """Keep the decisions about the latest requests."""

    def __init__(self, *, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._records: OrderedDict[str, list[DecisionRecord]] = OrderedDict()

    def record(self, request_id: str, record: DecisionRecord) -> None:
        """Add a decision; the oldest request is forgotten when there are too many."""
        records = self._records.setdefault(request_id, [])
        if len(records) < MAX_DECISIONS_PER_REQUEST:
            records.append(record)
        if len(self._records) > self._max_requests:
            self._records.popitem(last=False)

    def find(self, request_id: str) -> tuple[DecisionRecord, ...]:
        """Return the decisions about a request, oldest first."""
        return tuple(self._records.get(request_id, ()))

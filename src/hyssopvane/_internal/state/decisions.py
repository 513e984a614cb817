"""Keep a bounded log of the decisions that a process made on recent requests."""

from collections import OrderedDict
from dataclasses import dataclass

# At 90 requests a second per entry, this covers about two minutes in a few megabytes.
MAX_REQUESTS = 10_000
# Keeps a request that is retried until its deadline from displacing the others.
MAX_DECISIONS_PER_REQUEST = 32


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """Record one decision about a request."""

    at: float
    """Wall-clock time in seconds."""
    decision: str
    why: str


@dataclass(frozen=True, slots=True)
class VmDecisions:
    """Hold the decisions of one VM about a request."""

    vm: str
    decisions: tuple[DecisionRecord, ...]


class DecisionLog:
    """Keep the decisions about the most recent requests."""

    def __init__(self, *, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._records: OrderedDict[str, list[DecisionRecord]] = OrderedDict()

    def record(self, request_id: str, record: DecisionRecord) -> None:
        """Add a decision; drop the oldest request when the limit is exceeded."""
        records = self._records.setdefault(request_id, [])
        if len(records) < MAX_DECISIONS_PER_REQUEST:
            records.append(record)
        if len(self._records) > self._max_requests:
            self._records.popitem(last=False)

    def find(self, request_id: str) -> tuple[DecisionRecord, ...]:
        """Return the decisions about a request, oldest first."""
        return tuple(self._records.get(request_id, ()))

"""Record which runs a target started and how each ended."""

from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from enum import StrEnum


class RunEvent(StrEnum):
    """List the events in the life of a run."""

    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Caller:
    """Hold the identifiers from the request headers that a caller sent."""

    request_id: str = ""
    idempotency_key: str = ""

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> "Caller":
        """Read both identifiers from headers with lower-case names."""
        return cls(
            request_id=headers.get("x-request-id", ""),
            idempotency_key=headers.get("idempotency-key", ""),
        )


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Represent one event of one run."""

    event: RunEvent
    run: int
    request_id: str
    idempotency_key: str


class Journal:
    """Record the events of all runs in order of occurrence."""

    def __init__(self, observe: Callable[[JournalEntry], None] | None = None) -> None:
        self.entries: list[JournalEntry] = []
        self._observe = observe

    def record(self, event: RunEvent, run: int, caller: Caller) -> None:
        """Append an event and pass it to the observer, if there is one."""
        entry = JournalEntry(event, run, caller.request_id, caller.idempotency_key)
        self.entries.append(entry)
        if self._observe is not None:
            self._observe(entry)

    def count_starts(self, idempotency_key: str) -> int:
        """Return the number of runs started with an idempotency key."""
        return sum(
            entry.event is RunEvent.STARTED and entry.idempotency_key == idempotency_key
            for entry in self.entries
        )

    def describe(self) -> list[dict[str, object]]:
        """Return the entries as JSON-serializable dictionaries."""
        return [asdict(entry) for entry in self.entries]

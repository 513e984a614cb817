"""Record which runs a target started and how they ended."""

from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from enum import StrEnum


class RunEvent(StrEnum):
    """Name what happened to a run."""

    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Caller:
    """Identify a run as the caller's headers do."""

    request_id: str = ""
    idempotency_key: str = ""

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> "Caller":
        """Read both identifiers from headers by lower-case name."""
        return cls(
            request_id=headers.get("x-request-id", ""),
            idempotency_key=headers.get("idempotency-key", ""),
        )


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Tell one event of one run."""

    event: RunEvent
    run: int
    request_id: str
    idempotency_key: str


class Journal:
    """Keep the events of all runs in their order."""

    def __init__(self, observe: Callable[[JournalEntry], None] | None = None) -> None:
        self.entries: list[JournalEntry] = []
        self._observe = observe

    def record(self, event: RunEvent, run: int, caller: Caller) -> None:
        """Append an event of a run."""
        entry = JournalEntry(event, run, caller.request_id, caller.idempotency_key)
        self.entries.append(entry)
        if self._observe is not None:
            self._observe(entry)

    def count_starts(self, idempotency_key: str) -> int:
        """Return how many runs of a key have started."""
        return sum(
            entry.event is RunEvent.STARTED and entry.idempotency_key == idempotency_key
            for entry in self.entries
        )

    def describe(self) -> list[dict[str, object]]:
        """Return the entries as JSON values."""
        return [asdict(entry) for entry in self.entries]

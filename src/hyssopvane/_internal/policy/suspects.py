"""Find requests that crash their targets, and keep them from other targets."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

# Crashes after which a body is refused. After the first crash, every request that ran
# at the target may be the cause; a second crash with the same suspect is unlikely to be
# a coincidence.
CRASHES_TO_QUARANTINE = 2
# Seconds for which a body that was running in a crash is a suspect. Callers that repeat
# a request do so within minutes; an unrelated crash after this time must not count
# against the body.
SUSPECT_S = 600.0
# Backoff of a suspect after a crash. Reports of crashes at other entries arrive within
# a tenth of a second; three entries that retried at once would crash three more targets
# to learn what the first three crashes had shown.
SUSPECT_BACKOFF_S = 0.25
# Two entries detect one crash within milliseconds of each other, and a target that
# crashed is not back within this time. So reports within it are of the same crash.
SAME_CRASH_S = 2.0
# Maximum number of crashes attributed to a known suspect. They are kept while reports
# about other requests that ran at the same target still arrive.
_MAX_ATTRIBUTED = 256
# 32 suspects a crash and 140 crashes on an ordinary day stay far below this. A caller
# that varies its body on each attempt can fill it; then the oldest suspects are removed
# first.
MAX_RECORDS = 2_048


@dataclass(frozen=True, slots=True)
class BodyId:
    """Identify a body by its service and digest."""

    service: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class Crash:
    """Identify one crash of a target."""

    target: str
    incarnation: int
    at: float

    def is_same(self, other: "Crash") -> bool:
        """Return whether two reports are of the same crash."""
        return (
            self.target == other.target
            and self.incarnation == other.incarnation
            and abs(self.at - other.at) < SAME_CRASH_S
        )


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """Hold the crashes that count against one body, and whether it is quarantined."""

    crashes: tuple[Crash, ...]
    quarantined: bool
    until: float
    """Clock value at which the record expires."""


class SuspectTracker:
    """Track suspect and quarantined bodies, as known to one entry.

    A body can crash these targets, in the whole fleet, while its caller keeps sending
    it: the copies that run when the report of the first crash arrives, and at most one
    more for each entry that gets the body before the report of the second crash
    arrives. A copy through one entry crashes two targets, copies through three entries
    at once crash three, and six at most when the key-value service is unavailable.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: OrderedDict[BodyId, SuspectRecord] = OrderedDict()
        self._running: dict[str, Counter[BodyId]] = {}
        self._changed: set[BodyId] = set()
        self._attributed: OrderedDict[Crash, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def is_quarantined(self, body: BodyId, *, now: float) -> bool:
        """Return whether a body must be refused."""
        record = self._find(body, now)
        return record is not None and record.quarantined

    def is_suspect(self, body: BodyId, *, now: float) -> bool:
        """Return whether a body was running in a crash and has not finished since."""
        record = self._find(body, now)
        return record is not None and not record.quarantined

    def find_excluded(self, body: BodyId, *, now: float) -> frozenset[str] | None:
        """Return the targets that must not run a body now, None for all targets.

        A target runs at most one suspect at a time, so that the next crash identifies
        the cause. A suspect runs at one target at a time: two copies would crash two
        targets to learn what one crash shows.
        """
        if not self.is_suspect(body, now=now):
            return frozenset()
        retry_at = (
            max(crash.at for crash in self._records[body].crashes) + SUSPECT_BACKOFF_S
        )
        if now < retry_at or any(body in one for one in self._running.values()):
            return None
        return frozenset(
            target
            for target, bodies in self._running.items()
            if any(self.is_suspect(other, now=now) for other in bodies)
        )

    def start(self, body: BodyId, target: str) -> None:
        """Record that a body starts to run at a target."""
        self._running.setdefault(target, Counter())[body] += 1

    def stop(self, body: BodyId, target: str) -> None:
        """Record that a body no longer runs at a target."""
        bodies = self._running.get(target)
        if bodies is None:
            return
        bodies[body] -= 1
        if bodies[body] <= 0:
            del bodies[body]
        if not bodies:
            del self._running[target]

    def clear(self, body: BodyId) -> None:
        """Remove the record of a suspect body that finished."""
        record = self._records.get(body)
        if record is not None and not record.quarantined:
            del self._records[body]
            self._changed.add(body)

    def record_crash(
        self, body: BodyId, crash: Crash, *, quarantine_s: float, now: float
    ) -> None:
        """Record a crash of a target at which a body was running."""
        known = self._find(body, now)
        if known is not None:
            self._mark_attributed(crash)
        elif self._is_attributed(crash, now):
            # The suspect that ran at the same target is the likelier cause. Otherwise
            # the requests next to it would become suspects at each crash that it
            # causes.
            return
        crashes = _add_crash(known.crashes if known else (), crash)
        if known is not None and crashes == known.crashes:
            return
        self._keep(body, _make_record(crashes, quarantine_s, now))
        self._changed.add(body)

    def merge(
        self, body: BodyId, record: SuspectRecord, *, quarantine_s: float, now: float
    ) -> None:
        """Merge what other entries recorded about a body."""
        known = self._find(body, now)
        merged = combine(record, known) if known is not None else record
        if merged.quarantined and not (
            record.quarantined or (known and known.quarantined)
        ):
            merged = replace(merged, until=now + quarantine_s)
        if merged != known:
            self._keep(body, merged)
        if merged != record:
            self._changed.add(body)

    def drop(self, body: BodyId) -> None:
        """Remove a record that another entry has cleared."""
        if body not in self._changed:
            self._records.pop(body, None)

    def get_record(self, body: BodyId) -> SuspectRecord | None:
        """Return the record of a body."""
        return self._records.get(body)

    def take_changes(self) -> frozenset[BodyId]:
        """Return the bodies whose records changed here since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def return_changes(self, bodies: Iterable[BodyId]) -> None:
        """Put back changes that could not be shared, for the next attempt."""
        self._changed.update(bodies)

    def _mark_attributed(self, crash: Crash) -> None:
        self._attributed[crash] = None
        if len(self._attributed) > _MAX_ATTRIBUTED:
            self._attributed.popitem(last=False)

    def _is_attributed(self, crash: Crash, now: float) -> bool:
        if any(crash.is_same(other) for other in self._attributed):
            return True
        running = self._running.get(crash.target, ())
        return any(self._find(other, now) is not None for other in running)

    def _keep(self, body: BodyId, record: SuspectRecord) -> None:
        self._records[body] = record
        self._records.move_to_end(body)
        while len(self._records) > self._max_records:
            self._records.popitem(last=False)

    def _find(self, body: BodyId, now: float) -> SuspectRecord | None:
        record = self._records.get(body)
        if record is not None and record.until <= now:
            del self._records[body]
            return None
        return record


def combine(first: SuspectRecord, second: SuspectRecord) -> SuspectRecord:
    """Combine two records of a body; the first one's expiry applies if both agree."""
    crashes = first.crashes
    for crash in second.crashes:
        crashes = _add_crash(crashes, crash)
    if first.quarantined:
        return replace(first, crashes=crashes)
    if second.quarantined:
        return replace(second, crashes=crashes)
    quarantined = len(crashes) >= CRASHES_TO_QUARANTINE
    return SuspectRecord(crashes, quarantined, first.until)


def _add_crash(crashes: tuple[Crash, ...], crash: Crash) -> tuple[Crash, ...]:
    if any(crash.is_same(other) for other in crashes):
        return crashes
    return (*crashes, crash)[:CRASHES_TO_QUARANTINE]


def _make_record(
    crashes: tuple[Crash, ...], quarantine_s: float, now: float
) -> SuspectRecord:
    if len(crashes) >= CRASHES_TO_QUARANTINE:
        return SuspectRecord(crashes, True, now + quarantine_s)
    return SuspectRecord(crashes, False, now + SUSPECT_S)

"""Find the request that crashes its targets, and keep it from the others."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

# Crashes after which a body is refused. At the first crash every request that ran at
# the target may be the cause; a second one with the same suspect is hardly chance.
CRASHES_TO_QUARANTINE = 2
# Time for which a body that was running in a crash is a suspect. Callers that repeat
# do so within minutes; an unrelated second crash that late must not be held against it.
SUSPECT_S = 600.0
# A suspect rests for this long after a crash. Word of crashes at other entries comes
# within a tenth of a second; three entries that tried again at once would crash three
# more targets to learn what the first three had told.
SUSPECT_BACKOFF_S = 0.25
# Two entries see one crash within milliseconds of each other, and a target that crashed
# is not back within this time; closer reports are of the same crash.
SAME_CRASH_S = 2.0
# Crashes that a suspect stood in, kept while reports of its neighbours still come.
_MAX_ATTRIBUTED = 256
# 32 suspects a crash and 140 crashes on an ordinary day come nowhere near; a caller
# that varies its body at each try fills it, and the oldest suspects go first.
MAX_RECORDS = 2_048


@dataclass(frozen=True, slots=True)
class BodyId:
    """Name a body by its service and digest."""

    service: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class Crash:
    """Name one crash of a target."""

    target: str
    incarnation: int
    at: float

    def is_same(self, other: "Crash") -> bool:
        """Tell whether two reports are of one crash."""
        return (
            self.target == other.target
            and self.incarnation == other.incarnation
            and abs(self.at - other.at) < SAME_CRASH_S
        )


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """Hold what is known against one body."""

    crashes: tuple[Crash, ...]
    quarantined: bool
    until: float
    """Clock value at which the case is forgotten."""


class SuspectTracker:
    """Hold the cases against bodies, as one entry knows them.

    Targets that a body can crash, fleet-wide, while its caller keeps sending it: the
    copies that run when word of the first crash arrives, and at most one more for
    each entry that gets the body before word of the second crash arrives. A copy
    through one entry crashes two, copies through three entries at once crash three,
    and six at most when the key-value service is out.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self._max_cases = max_records
        self._records: OrderedDict[BodyId, SuspectRecord] = OrderedDict()
        self._running: dict[str, Counter[BodyId]] = {}
        self._changed: set[BodyId] = set()
        self._attributed: OrderedDict[Crash, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def is_quarantined(self, body: BodyId, *, now: float) -> bool:
        """Tell whether a body is to be refused."""
        record = self._find(body, now)
        return record is not None and record.quarantined

    def is_suspect(self, body: BodyId, *, now: float) -> bool:
        """Tell whether a body was running in a crash and has not finished since."""
        record = self._find(body, now)
        return record is not None and not record.quarantined

    def find_excluded(self, body: BodyId, *, now: float) -> frozenset[str] | None:
        """Return the targets that must not run a body now, None when all must not.

        A target runs at most one suspect at a time, so that the next crash tells
        which one it was. A suspect runs at one target at a time: two copies would
        crash two targets to learn what one tells.
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
        """Take note that a body begins to run at a target."""
        self._running.setdefault(target, Counter())[body] += 1

    def stop(self, body: BodyId, target: str) -> None:
        """Take note that a body no longer runs at a target."""
        bodies = self._running.get(target)
        if bodies is None:
            return
        bodies[body] -= 1
        if bodies[body] <= 0:
            del bodies[body]
        if not bodies:
            del self._running[target]

    def clear(self, body: BodyId) -> None:
        """Drop the case against a body that finished."""
        record = self._records.get(body)
        if record is not None and not record.quarantined:
            del self._records[body]
            self._changed.add(body)

    def note_crash(
        self, body: BodyId, crash: Crash, *, quarantine_s: float, now: float
    ) -> None:
        """Hold a crash against a body that was running in it."""
        known = self._find(body, now)
        if known is not None:
            self._mark_attributed(crash)
        elif self._is_attributed(crash, now):
            # The suspect that ran beside it is the likelier cause. Its neighbours
            # would else stand accused for each crash that it brings about.
            return
        crashes = _add_crash(known.crashes if known else (), crash)
        if known is not None and crashes == known.crashes:
            return
        self._keep(body, _make_record(crashes, quarantine_s, now))
        self._changed.add(body)

    def merge(
        self, body: BodyId, record: SuspectRecord, *, quarantine_s: float, now: float
    ) -> None:
        """Add what other entries know against a body."""
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
        """Forget a case that another entry has cleared."""
        if body not in self._changed:
            self._records.pop(body, None)

    def get_record(self, body: BodyId) -> SuspectRecord | None:
        """Return the case against a body."""
        return self._records.get(body)

    def take_changes(self) -> frozenset[BodyId]:
        """Return the bodies whose cases changed here since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def return_changes(self, bodies: Iterable[BodyId]) -> None:
        """Give back changes that could not be shared, for the next try."""
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
        while len(self._records) > self._max_cases:
            self._records.popitem(last=False)

    def _find(self, body: BodyId, now: float) -> SuspectRecord | None:
        record = self._records.get(body)
        if record is not None and record.until <= now:
            del self._records[body]
            return None
        return record


def combine(first: SuspectRecord, second: SuspectRecord) -> SuspectRecord:
    """Join what two entries know; the first's time counts where both agree."""
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

"""Number the eras of a key-value service, which end when it comes back from a copy.

The service names its cluster in each answer, and a cluster that is restored from a
copy has a new name. Names have no order, so a record in the service gives them numbers.
"""

import json
from dataclasses import dataclass

import trio

from hyssopvane._internal.utils.logs import log_event

ERA_KEY = "service/era"

NO_CLUSTER = 0
"""Name of the cluster where the service tells none; it then has no eras."""

FIRST_ERA = 1

NUMBERS_PER_ERA = 1_000
"""Numbers between those that two eras begin with, which are a millisecond apart."""

_MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class EraRecord:
    """Say which cluster an era belongs to."""

    era: int
    cluster: int


def format_record(record: EraRecord) -> bytes:
    """Write a record as JSON."""
    return json.dumps({"era": record.era, "cluster": record.cluster}).encode()


def parse_record(value: bytes) -> EraRecord:
    """Read a record; raise `ValueError` when it is not one."""
    try:
        document = json.loads(value)
        return EraRecord(int(document["era"]), int(document["cluster"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"no record of an era: {error!r}") from error


def plan_record(
    found: EraRecord | None, cluster: int, known: EraRecord | None, *, now: float
) -> EraRecord:
    """Return the record that is due for a cluster; any other than found is written.

    `known` is what this process held before it heard of the cluster, `now` the time in
    seconds since 1970. A copy may lack the records of several eras, of which a process
    that has just started knows nothing; so a later era is numbered by its time.
    """
    if found is None and known is None:
        return EraRecord(FIRST_ERA, cluster)
    if found is not None and found.cluster == cluster:
        if known is None or known == found or known.era < found.era:
            return found
    highest = max(one.era for one in (found, known) if one is not None)
    return EraRecord(make_era(highest, now), cluster)


def make_era(highest: int, now: float) -> int:
    """Return the number of an era that begins now: milliseconds since 1970."""
    return max(highest + 1, int(now * _MILLISECONDS))


def get_first_number(era: int) -> int:
    """Return the number above which an era counts what must not be given out twice.

    Whatever is numbered in an era is then higher than all that an earlier one has lost.
    """
    return max(0, era - FIRST_ERA) * NUMBERS_PER_ERA


class ServiceEra:
    """Hold the era that a process knows its service to be in."""

    def __init__(self) -> None:
        self.record: EraRecord | None = None
        self._past: set[int] = set()
        self._changed = trio.Event()
        self._outdated = False

    @property
    def era(self) -> int:
        """Return the number of the era; 0 where none is known."""
        return 0 if self.record is None else self.record.era

    @property
    def cluster(self) -> int:
        """Return the name of the cluster of the era."""
        return NO_CLUSTER if self.record is None else self.record.cluster

    def is_current(self, cluster: int) -> bool:
        """Tell whether an answer of a cluster belongs to the era."""
        return (
            self.record is not None
            and cluster == self.record.cluster
            and not self._outdated
        )

    def is_past(self, cluster: int) -> bool:
        """Tell whether an answer of a cluster was given before a return."""
        return cluster in self._past

    def note_era(self, era: int) -> None:
        """Learn that a later era has begun; its record is read with the next answer."""
        if self.record is not None and era > self.record.era:
            self._outdated = True

    def adopt(self, record: EraRecord) -> None:
        """Go on in the era of a record."""
        before, self.record = self.record, record
        self._outdated = False
        if before == record:
            return
        if before is not None:
            log_event("warning", "store-era", era=record.era, before=before.era)
            if before.cluster != record.cluster:
                self._past.add(before.cluster)
        self._changed.set()
        self._changed = trio.Event()

    async def wait_past(self, era: int) -> None:
        """Wait until an era is over."""
        while self.era <= era:
            await self._changed.wait()

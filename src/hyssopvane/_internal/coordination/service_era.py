"""Number the eras of a key-value service; an era ends when it is restored from a copy.

Each answer of the service contains the id of its cluster, and a cluster that is
restored from a copy has a new id. The ids have no order, so a record in the service
maps them to ordered numbers.
"""

import json
from dataclasses import dataclass
from typing import Any

import trio

from hyssopvane._internal.utils.json_documents import (
    parse_document,
    read_number,
)
from hyssopvane._internal.utils.logs import log_event

ERA_KEY = "service/era"

NO_CLUSTER = 0
"""Cluster id if the service sends none; the service then has no eras."""

FIRST_ERA = 1

NUMBERS_PER_ERA = 1_000
"""Sequence numbers between the starts of two eras that begin a millisecond apart."""

_MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class EraRecord:
    """Map the number of an era to the id of its cluster."""

    era: int
    cluster: int


def format_record(record: EraRecord) -> bytes:
    """Format a record as JSON."""
    return json.dumps({"era": record.era, "cluster": record.cluster}).encode()


def parse_record(value: bytes) -> EraRecord:
    """Parse a record; raise `ValueError` when it is malformed."""
    return parse_document(value, _build_record)


def _build_record(document: Any) -> EraRecord:
    # A cluster's id has 64 bits without a sign.
    return EraRecord(read_number(document["era"]), int(document["cluster"]))


def plan_record(
    found: EraRecord | None, cluster: int, known: EraRecord | None, *, now: float
) -> EraRecord:
    """Return the record for a cluster; the caller writes it if it is not the found one.

    `known` is the record that this process held before it saw the cluster, and `now` is
    the time in seconds since 1970. A copy may lack the records of several eras, which
    are unknown to a process that has just started. A later era is therefore numbered by
    its time.
    """
    if found is None and known is None:
        return EraRecord(FIRST_ERA, cluster)
    if found is not None and found.cluster == cluster:
        if known is None or known == found or known.era < found.era:
            return found
    highest = max(one.era for one in (found, known) if one is not None)
    return EraRecord(make_era(highest, now), cluster)


def make_era(highest: int, now: float) -> int:
    """Return the number of an era that begins now, in milliseconds since 1970.

    It is always higher than the highest number so far.
    """
    return max(highest + 1, int(now * _MILLISECONDS))


def get_first_number(era: int) -> int:
    """Return the number above which an era assigns its sequence numbers.

    Each number of an era is then higher than all lost numbers of earlier eras, so no
    number is assigned twice.
    """
    return max(0, era - FIRST_ERA) * NUMBERS_PER_ERA


class ServiceEra:
    """Track the current era of the service as this process knows it."""

    def __init__(self) -> None:
        self.record: EraRecord | None = None
        self._past: set[int] = set()
        self._changed = trio.Event()
        self._outdated = False

    @property
    def era(self) -> int:
        """Return the number of the era; 0 if none is known."""
        return 0 if self.record is None else self.record.era

    @property
    def cluster(self) -> int:
        """Return the id of the cluster of the era."""
        return NO_CLUSTER if self.record is None else self.record.cluster

    def is_current(self, cluster: int) -> bool:
        """Return whether an answer of a cluster belongs to the era."""
        return (
            self.record is not None
            and cluster == self.record.cluster
            and not self._outdated
        )

    def is_past(self, cluster: int) -> bool:
        """Return whether an answer of a cluster dates from before a restore."""
        return cluster in self._past

    def record_era(self, era: int) -> None:
        """Record that a later era has begun; its record is read at the next answer."""
        if self.record is not None and era > self.record.era:
            self._outdated = True

    def adopt(self, record: EraRecord) -> None:
        """Make the era of a record the current one."""
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
        """Wait until an era has ended."""
        while self.era <= era:
            await self._changed.wait()

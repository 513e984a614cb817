"""Track what waits for one service at all entries."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.waiting import (
    LATE_PRIORITY,
    WaitingRow,
    merge_rows,
)

DEMAND_FRESH_S = 0.5
"""Age up to which the sums of all entries are used.

Older ones would let an entry wait for others that have nothing left to send.
"""

REPORT_FRESH_S = 1.0
"""Age up to which an entry's report is part of the sums.

While something waits at an entry, it reports four times a second.
"""

REPORTING_FRESH_S = 2.5
"""Age up to which an entry's last report shows that it reports at all.

While nothing waits at an entry, it reports once a second, and one report may be lost.
"""

PUBLISH_INTERVAL_S = 0.2
"""Least pause between two publications of sums, slightly below the entries' interval.

Loads are published eight times a second. With sums in each, the relay of a zone would
send twice the bytes for numbers that have hardly changed.
"""

MANY_ROWS = 32
MANY_ROWS_INTERVAL_S = 0.35
"""Number of rows above which sums are published less often, and the pause then.

So all messages about what waits stay within 6 KB/s at 16 entries and 24 customers. The
sums of one leader still come before those before are too old.
"""

MAX_REPORTS = 1_024
"""Most entries whose reports are kept."""


@dataclass(frozen=True, slots=True)
class DemandAtEntries:
    """Hold sums that a leader has published."""

    rows: tuple[WaitingRow, ...]
    own: tuple[WaitingRow, ...]
    """Rows of this entry in them, according to its last report before."""
    reporting: int
    """Number of entries that the leader receives reports from."""
    observed_at: float


class FleetDemand:
    """Hold the sums that the leaders of a service's groups publish."""

    def __init__(self) -> None:
        self._reported: tuple[WaitingRow, ...] = ()
        self._sums: dict[str, DemandAtEntries] = {}
        """By the group whose leader has published them."""
        self.changes = 0
        """Number of sums that were applied."""

    def observe(
        self,
        rows: Sequence[WaitingRow],
        *,
        now: float,
        group: str = "",
        reporting: int = 0,
    ) -> None:
        """Apply the sums of all entries, this one included.

        `reporting` is the number of entries that the leader received reports from.
        """
        self.changes += 1
        self._sums = {
            name: sums
            for name, sums in self._sums.items()
            if now - sums.observed_at <= DEMAND_FRESH_S
        }
        self._sums[group] = DemandAtEntries(
            tuple(rows), self._reported, reporting, observed_at=now
        )

    def record_reported(self, rows: tuple[WaitingRow, ...]) -> None:
        """Record what this entry has just reported to the leaders."""
        self._reported = rows

    def list_waiting(self, now: float) -> tuple[WaitingRow, ...] | None:
        """Return what waits at all entries, None if it is not known.

        Requests that can't be on time any more are counted with the others of their
        priority and customer.
        """
        chosen = self.choose_sums(now)
        if chosen is None:
            return None
        counts: Counter[tuple[int, int]] = Counter()
        for row in chosen.rows:
            counts[row.priority % LATE_PRIORITY, row.customer] += row.requests
        return merge_rows(counts)

    def choose_sums(self, now: float) -> DemandAtEntries | None:
        """Return the fresh sums of most entries, the newest of equal ones.

        The leader of one group may be cut off from some entries.
        """
        return max(
            (
                one
                for one in self._sums.values()
                if now - one.observed_at <= DEMAND_FRESH_S
            ),
            key=lambda one: (one.reporting, one.observed_at),
            default=None,
        )


class DemandSums:
    """Add up at a leader what entries report as waiting.

    Nothing is computed while nothing waits. A report that is lost is replaced by the
    next one, and one that is duplicated replaces itself.
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[WaitingRow, ...]] = {}
        """Rows of the entries at which something waits, by address."""
        self._reported_at: dict[str, float] = {}
        """Time of the last report of each entry that reports what waits."""
        self._published_at = float("-inf")
        self._published_rows = 0
        """Number of rows in the sums that were last published."""

    def observe(self, state: EntryState, now: float) -> None:
        """Apply an entry's state; entries of earlier releases report nothing."""
        address = state.address
        if state.waiting is None:
            return
        if address not in self._reported_at and len(self._reported_at) >= MAX_REPORTS:
            self._expire(now)
            if len(self._reported_at) >= MAX_REPORTS:
                return
        self._reported_at[address] = now
        if state.waiting:
            self._reports[address] = state.waiting
        else:
            self._reports.pop(address, None)

    def list_rows(self, now: float) -> tuple[WaitingRow, ...]:
        """Return the sums of the recent reports."""
        self._expire(now)
        counts: dict[tuple[int, int], int] = {}
        for rows in self._reports.values():
            for row in rows:
                key = (row.priority, row.customer)
                counts[key] = counts.get(key, 0) + row.requests
        return merge_rows(counts)

    def take_rows(self, now: float) -> tuple[WaitingRow, ...] | None:
        """Return the sums if they are to be published now.

        When nothing waits any more, this is published once.
        """
        if not self._reports and not self._published_rows:
            return None
        has_many = self._published_rows > MANY_ROWS
        pause_s = MANY_ROWS_INTERVAL_S if has_many else PUBLISH_INTERVAL_S
        if now - self._published_at < pause_s:
            return None
        self._published_at = now
        rows = self.list_rows(now)
        self._published_rows = len(rows)
        return rows

    def count_reporting(self, now: float) -> int:
        """Return the number of entries that report what waits.

        An entry with a waiting request counts while its report is part of the sums.
        """
        self._expire(now)
        return len(self._reported_at)

    def _expire(self, now: float) -> None:
        for address, at in list(self._reported_at.items()):
            limit_s = REPORT_FRESH_S if address in self._reports else REPORTING_FRESH_S
            if now - at > limit_s:
                del self._reported_at[address]
                self._reports.pop(address, None)

"""Estimate this entry's part of the requests to services that report no load."""

DEMAND_TTL_S = 10.0
"""Time for which a report of another entry counts.

Entries of other zones are heard every few seconds.
"""

GROWTH = 1.25
"""Factor by which the share may grow from one estimate to the next.

Requests may come to all entries at once, before any report tells of them.
"""

MAX_REPORTS = 1_024


class EntryDemand:
    """Compare the own requests with those that other entries report."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[int, float]] = {}
        """Requests that other entries have, and times of the reports, by address."""
        self._share = 0.0

    def observe(self, address: str, requests: int, *, now: float) -> None:
        """Record the requests that another entry has, waiting ones included."""
        if address in self._reports or len(self._reports) < MAX_REPORTS:
            self._reports[address] = (requests, now)

    def estimate_share(self, own: int, *, entries: int, now: float) -> float | None:
        """Return the own part of all requests, None if no other entry was heard.

        It is asked for in each interval in which the entry reports its own requests.

        Entries that were not heard are taken to have as many as the others.
        """
        self._reports = {
            address: report
            for address, report in self._reports.items()
            if now - report[1] < DEMAND_TTL_S
        }
        if not self._reports:
            return None
        others = max(entries - 1, len(self._reports))
        heard = sum(count for count, _ in self._reports.values())
        total = own + others * heard / len(self._reports)
        if not total:
            return None
        most = max(self._share, 1 / (1 + others)) * GROWTH
        self._share = min(own / total, most)
        return self._share

"""Decide which agents are told now what waits at this entry."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from hyssopvane._internal.state.waiting import WaitingRow

NEXT_LEADER_EVERY = 2
"""Number of reports between two to the agents that lead next.

They need them only when the leader has failed; its silence is noticed after longer.
"""


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Hold what waits for one service, and the replicas whose agents are told."""

    waiting: tuple[WaitingRow, ...] | None
    """None for services of which nothing is told."""
    replicas: tuple[str, ...]


class DemandReports:
    """Report what waits often while something waits, and once when nothing does."""

    def __init__(self) -> None:
        self._waited: frozenset[str] = frozenset()
        """Services for which something waited at the last report."""

    def choose(
        self,
        contacts: Iterable[Sequence[str]],
        waiting: Mapping[str, tuple[WaitingRow, ...]],
        *,
        number: int,
        is_regular: bool,
        find_service: Callable[[str], str | None],
    ) -> list[DemandReport]:
        """Return the reports that are due in one interval.

        `contacts` are the lowest ranks of each group; in a regular interval, all of
        them are told.
        """
        waits = frozenset(name for name, rows in waiting.items() if rows)
        due, self._waited = waits | self._waited, waits
        has_ended = due - waits
        told: dict[str | None, list[str]] = {}
        for members in contacts:
            if not members:
                continue
            service = find_service(members[0])
            if is_regular or service in has_ended:
                receivers = members
            elif service not in due:
                continue
            else:
                receivers = members if number % NEXT_LEADER_EVERY == 0 else members[:1]
            named = service if service in waiting else None
            told.setdefault(named, []).extend(receivers)
        return [
            DemandReport(None if name is None else waiting[name], tuple(replicas))
            for name, replicas in told.items()
        ]

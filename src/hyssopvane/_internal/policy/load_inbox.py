"""Receive published loads, and choose agents to query for missing ones."""

from dataclasses import dataclass, field
from random import Random

from hyssopvane._internal.state.loads import EntryContact, GroupLoad, Member, Roster

LOAD_TIMEOUT_S = 0.35
"""Silence after which an entry queries for a missing load: loads come eight times a
second, and one may be lost.
"""

MIN_QUERY_PAUSE_S = 0.25
MAX_QUERY_PAUSE_S = 2.0
"""Limits of the pause between two queries during one silence; the pause doubles.

The first queries replace a relay that has failed. Later ones meet a group without a
leader or a congested network, where more messages would cause the loss of those that
still arrive.
"""

CONTACTS_PER_GROUP = 3
"""Ranks of a group that an entry sends messages to, from the lowest: its leader and
those that lead next.
"""

ROSTER_EXPIRY_S = 10.0
"""Time after the last receipt or use of a roster at which it expires; rosters come
every 2 s.
"""

MAX_SOURCES = 4
"""Number of leaders of a group whose last sequence number is kept."""

MAX_QUERIES = 8
"""Number of agents that are queried at once for replicas that no group's roster names.

Any agent forwards the query to its leader, so one answer covers a whole group.
"""


@dataclass(slots=True)
class _Group:
    roster: Roster
    received_at: float
    sequences: dict[int, int] = field(default_factory=dict)
    """Last sequence number by the process that sent it."""
    next_query_at: float = 0.0
    pause_s: float = MIN_QUERY_PAUSE_S


class LoadInbox:
    """Resolve loads by their rosters; accept each load once and in order."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._rosters: dict[int, Roster] = {}
        self._used_at: dict[int, float] = {}
        self._groups: dict[str, _Group] = {}
        """By the name of the group, or by the address of a replica without a group."""
        self._next_query_at = float("-inf")
        self._query_pause_s = MIN_QUERY_PAUSE_S

    def add_roster(self, roster: Roster, *, now: float) -> None:
        """Store the members of a group."""
        if not roster.members:
            return
        self._rosters[roster.number] = roster
        self._used_at[roster.number] = now
        self._find_group(roster, now).roster = roster
        self._remove_expired(now)

    def accept(self, load: GroupLoad, *, now: float) -> Roster | None:
        """Return the roster of a load, or None if the load is outdated or can't be
        resolved.

        Relays and two simultaneous leaders deliver loads twice, and networks deliver
        them late and out of order. An outdated load would revert the state of each
        member, and a start that has ended would count as running again.
        """
        roster = self._rosters.get(load.roster)
        if roster is None or len(roster.members) != len(load.members):
            return None
        group = self._find_group(roster, now)
        if load.sequence <= group.sequences.get(load.source, -1):
            return None
        group.sequences.pop(load.source, None)
        group.sequences[load.source] = load.sequence
        while len(group.sequences) > MAX_SOURCES:
            del group.sequences[next(iter(group.sequences))]
        group.received_at = now
        group.pause_s = MIN_QUERY_PAUSE_S
        group.next_query_at = 0.0
        group.roster = roster
        self._used_at[load.roster] = now
        return roster

    def list_contacts(self) -> list[str]:
        """Return the replicas to whose agents this entry sends its state."""
        return [one for members in self.list_group_contacts() for one in members]

    def list_group_contacts(self) -> list[list[str]]:
        """Return these replicas by group, each in ascending order of rank."""
        return [
            [one.address for one in group.roster.members[:CONTACTS_PER_GROUP]]
            for group in self._groups.values()
        ]

    def list_entries(self) -> frozenset[EntryContact]:
        """Return the other entries that rosters name."""
        return frozenset(
            one for group in self._groups.values() for one in group.roster.entries
        )

    def list_silent(self, now: float) -> frozenset[str]:
        """Return the names of the groups whose load is overdue."""
        return frozenset(
            name
            for name, group in self._groups.items()
            if now - group.received_at >= LOAD_TIMEOUT_S
        )

    def choose_load_queries(self, now: float) -> list[str]:
        """Return the replicas whose agents are queried now for a missing load."""
        chosen: list[str] = []
        for group in self._groups.values():
            if now - group.received_at < LOAD_TIMEOUT_S or now < group.next_query_at:
                continue
            group.next_query_at = now + group.pause_s
            group.pause_s = min(MAX_QUERY_PAUSE_S, 2 * group.pause_s)
            members = group.roster.members
            # Also query one of the other ranks, which knows the current leader.
            others: tuple[Member, ...] = members[CONTACTS_PER_GROUP:]
            receivers = [*members[:CONTACTS_PER_GROUP]]
            if others:
                receivers.append(self._random.choice(others))
            chosen += [member.address for member in receivers]
        return chosen

    def choose_replica_queries(self, replicas: list[str], now: float) -> list[str]:
        """Return replicas that no roster names and whose agents are queried now."""
        named = {
            member.address
            for group in self._groups.values()
            for member in group.roster.members
        }
        unknown = [address for address in replicas if address not in named]
        if not unknown:
            self._query_pause_s = MIN_QUERY_PAUSE_S
            return []
        if now < self._next_query_at:
            return []
        self._next_query_at = now + self._query_pause_s
        self._query_pause_s = min(MAX_QUERY_PAUSE_S, 2 * self._query_pause_s)
        return self._random.sample(unknown, min(MAX_QUERIES, len(unknown)))

    def _find_group(self, roster: Roster, now: float) -> _Group:
        name = _name_group(roster)
        if name not in self._groups:
            self._groups[name] = _Group(roster, now)
        return self._groups[name]

    def _remove_expired(self, now: float) -> None:
        for number, used_at in list(self._used_at.items()):
            if now - used_at > ROSTER_EXPIRY_S:
                del self._used_at[number]
                del self._rosters[number]
        for name, group in list(self._groups.items()):
            if group.roster.number not in self._rosters:
                del self._groups[name]


def _name_group(roster: Roster) -> str:
    return roster.group or roster.members[0].address

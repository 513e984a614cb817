"""Follow the loads that groups tell one entry, and whom to ask when they stop."""

from dataclasses import dataclass, field
from random import Random

from hyssopvane._internal.state.loads import EntryContact, GroupLoad, Member, Roster

LOAD_TIMEOUT_S = 0.35
"""Silence after which an entry complains: loads come eight times a second, and now and
then one is lost."""

MIN_QUERY_PAUSE_S = 0.25
MAX_QUERY_PAUSE_S = 2.0
"""Pause between two complaints of one silence, which doubles.

The first ones replace a relay that has failed. Later ones find a group that nobody
leads, or a network that is full, where more messages would lose what still arrives.
"""

CONTACTS_PER_GROUP = 3
"""Ranks of a group that an entry speaks to, from the lowest: its leader and those that
lead after it."""

ROSTER_EXPIRY_S = 10.0
"""Time that a roster is kept after it was last told or used: it is told each 2 s."""

MAX_SOURCES = 4
"""Leaders of a group whose last number is kept."""

MAX_QUERIES = 8
"""Agents that are asked in one look for replicas that no group's roster names.

Any agent passes the question on to its leader, so one answer brings a whole group.
"""


@dataclass(slots=True)
class _Group:
    roster: Roster
    received_at: float
    sequences: dict[int, int] = field(default_factory=dict)
    """Last number by the process that told it."""
    next_query_at: float = 0.0
    pause_s: float = MIN_QUERY_PAUSE_S


class LoadInbox:
    """Resolve loads by their rosters, each once and in order."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._rosters: dict[int, Roster] = {}
        self._used_at: dict[int, float] = {}
        self._groups: dict[str, _Group] = {}
        """By the group's name, or the address of a replica in none."""
        self._next_query_at = float("-inf")
        self._query_pause_s = MIN_QUERY_PAUSE_S

    def add_roster(self, roster: Roster, *, now: float) -> None:
        """Learn the members of a group."""
        if not roster.members:
            return
        self._rosters[roster.number] = roster
        self._used_at[roster.number] = now
        self._find_group(roster, now).roster = roster
        self._remove_expired(now)

    def take(self, load: GroupLoad, *, now: float) -> Roster | None:
        """Return the roster that a load is to be read by, if it is new and readable.

        Relays and two leaders at a time bring loads twice, and networks bring them late
        and out of order. An older one would set back what is believed of each member,
        and a start that has ended would be counted as running again.
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
        """Return the replicas whose agents are told that this entry lives."""
        return [
            member.address
            for group in self._groups.values()
            for member in group.roster.members[:CONTACTS_PER_GROUP]
        ]

    def list_entries(self) -> frozenset[EntryContact]:
        """Return the other entries that rosters name."""
        return frozenset(
            one for group in self._groups.values() for one in group.roster.entries
        )

    def list_silent(self, now: float) -> frozenset[str]:
        """Return the groups whose load has not come lately, by their names."""
        return frozenset(
            name
            for name, group in self._groups.items()
            if now - group.received_at >= LOAD_TIMEOUT_S
        )

    def choose_load_queries(self, now: float) -> list[str]:
        """Return the replicas whose agents are told now that a load is missing."""
        chosen: list[str] = []
        for group in self._groups.values():
            if now - group.received_at < LOAD_TIMEOUT_S or now < group.next_query_at:
                continue
            group.next_query_at = now + group.pause_s
            group.pause_s = min(MAX_QUERY_PAUSE_S, 2 * group.pause_s)
            members = group.roster.members
            # Beside those that should lead, one of the others: it knows who does.
            others: tuple[Member, ...] = members[CONTACTS_PER_GROUP:]
            receivers = [*members[:CONTACTS_PER_GROUP]]
            if others:
                receivers.append(self._random.choice(others))
            chosen += [member.address for member in receivers]
        return chosen

    def choose_replica_queries(self, replicas: list[str], now: float) -> list[str]:
        """Return some of the replicas that no roster names, to be asked now."""
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

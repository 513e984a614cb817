"""Decide which agents of a group tell that they live, and to whom.

Only the agents of the three lowest ranks that live speak to others than their leader.
Were all of them to, 192 agents that have to find each other would send 18,000 messages
a second, more than a third of what their links bear.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from hyssopvane._internal.policy.map_coordinator import DEPUTIES
from hyssopvane._internal.state.group import RankState

ANNOUNCERS = DEPUTIES + 1
"""Agents that tell others that they live: the leader and those that lead after it."""

PRESENCE_S = 0.25
"""Pause between two words among these: the next one leads after 0.8 s of silence."""

LEADER_EVERY = 2
DEPUTY_EVERY = 4
"""Such pauses between two words to all agents of the group, by what the agent is."""

LOST_S = 1.3
"""Silence after which an agent is no longer taken for the leader: the words of the
next one come each second."""

MISSING_S = 3.0
"""Silence after which a member is looked for among the agents that are not known: its
replica may have been replaced by one on another machine."""

CLAIM_S = 0.6
"""Silence of the lower ranks after which an agent that says that it leads is believed.

It has not heard of them for 0.8 s, and a leader tells all that it lives each 0.5 s.
Were the ranks to wait for the whole time above, a pass that the leader held when it
failed would stand still for half a second more.
"""

GONE_S = 6.0
"""Silence after which an agent is told nothing more: full states come each 2 s."""

OTHERS_S = 4.0
STAGGER_S = 0.05
"""Time from its group's forming until an agent that has heard nobody speaks to all, for
ranks that don't lead and aren't next, and what each rank adds. The others don't wait.

All agents may start in the same moment. The lowest ranks read the store and speak to
two hundred agents within two seconds; the others would follow the store for nothing.
"""

STRANGERS_PER_S = 400
"""Agents outside the group that is known which are told, while members are missing.

They are told in turn, so the cost does not grow with the fleet: 19 KB a second. After a
loss of power no map follows the demand until the group is complete.
"""

FULL_S = 2.0
"""Pause between two full states to those that lead or may lead next."""

FULL_REPEATS = 2
"""Full states at first: until one has arrived, the short ones say nothing."""


@dataclass(slots=True)
class _Peer:
    rank: int
    at: float
    full: RankState | None = None
    """Last full state of the rank, without experts and counts."""


class GroupPresence:
    """Know the agents of the own group that were heard."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._since: float | None = None
        self._round = 0
        self._led = False
        self._turn = 0
        self._told: tuple[object, ...] = ()
        """What the last full states were about."""
        self._told_times = 0
        self._told_at = float("-inf")

    def forget(self, address: str) -> None:
        """Drop an agent that belongs to another group."""
        self._peers.pop(address, None)

    def clear(self) -> None:
        """Drop all agents: the rank belongs to another group now."""
        self._peers.clear()

    def observe(
        self, address: str, rank: int, *, now: float, leads: bool = False
    ) -> None:
        """Take note that an agent lives, and whether it says that it leads."""
        if leads:
            for lower in self._peers.values():
                if lower.rank < rank and now - lower.at > CLAIM_S:
                    lower.at = min(lower.at, now - LOST_S)
        peer = self._peers.get(address)
        if peer is not None and peer.rank == rank:
            peer.at = now
            return
        # Another machine has the rank now: whoever had it is no member any more.
        for other, known in list(self._peers.items()):
            if known.rank == rank:
                del self._peers[other]
        self._peers[address] = _Peer(rank, now)

    def complete(
        self, state: RankState, sender: str, *, now: float
    ) -> RankState | None:
        """Return a state with what short ones leave out; None where it is not known.

        A short state of another start or epoch than the last full one is not completed:
        the address of its replica might be another's by now.
        """
        if state.replica:
            self.observe(state.messages, state.rank, now=now)
            self._peers[state.messages].full = replace(state, experts=(), counts=())
            return state
        peer = self._peers.get(sender)
        full = None if peer is None else peer.full
        if full is None or peer is None or _name(full) != _name(state):
            return None
        peer.at = now
        return replace(
            state, messages=full.messages, replica=full.replica, group=full.group
        )

    def find_leader(self, rank: int, now: float) -> str | None:
        """Return the agent of the lowest rank that lives, unless it is this one."""
        lower = self._list_lower(rank, now)
        return lower[0] if lower else None

    def announces(self, rank: int, now: float) -> bool:
        """Tell whether this agent speaks to all others of its group."""
        if self._since is None:
            self._since = now
        waits_s = 0.0 if rank < ANNOUNCERS else OTHERS_S + rank * STAGGER_S
        if now - self._since < waits_s:
            return False
        return len(self._list_lower(rank, now)) < ANNOUNCERS

    def choose_told(
        self, rank: int, ranks: int, agents: Sequence[str], now: float, *, leads: bool
    ) -> list[str]:
        """Return the agents that are told now that this one lives."""
        self._forget_gone(now)
        self._round += 1
        lowest = sorted(self._peers, key=lambda one: self._peers[one].rank)
        told = lowest[:ANNOUNCERS]
        begins_to_lead = leads and not self._led
        self._led = leads
        every = LEADER_EVERY if leads else DEPUTY_EVERY
        if begins_to_lead or self._round % every == 0:
            told = lowest
        present = sum(now - peer.at < MISSING_S for peer in self._peers.values())
        if present + 1 < ranks:
            told = [*told, *self._choose_strangers(agents)]
        return told

    def choose_full(
        self, state: RankState, rank: int, now: float
    ) -> tuple[list[str], bool]:
        """Return the agents that are told a state now, and whether it is a full one.

        The leader's state goes to those that lead after it: without it they can't tell
        whether a group that it holds may go on.
        """
        lower = self._list_lower(rank, now)
        leaders = self._list_live(now)[:ANNOUNCERS]
        subject = (leaders, _name(state), state.group, state.replica)
        if subject != self._told:
            self._told, self._told_times = subject, 0
        elif self._told_times >= FULL_REPEATS and now - self._told_at < FULL_S:
            return lower[:1], False
        self._told_times += 1
        self._told_at = now
        return leaders, True

    def _list_lower(self, rank: int, now: float) -> list[str]:
        live = self._list_live(now)
        return [address for address in live if self._peers[address].rank < rank]

    def _list_live(self, now: float) -> list[str]:
        live = [a for a, peer in self._peers.items() if now - peer.at < LOST_S]
        return sorted(live, key=lambda address: self._peers[address].rank)

    def _choose_strangers(self, agents: Sequence[str]) -> list[str]:
        strangers = [one for one in agents if one not in self._peers]
        count = min(len(strangers), int(STRANGERS_PER_S * PRESENCE_S))
        if not count:
            return []
        at = self._turn % len(strangers)
        self._turn += count
        return (strangers[at:] + strangers[:at])[:count]

    def _forget_gone(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            if now - peer.at > GONE_S:
                del self._peers[address]


def _name(state: RankState) -> tuple[int, int, int, int]:
    return (state.epoch, state.rank, state.ranks, state.started_ms)

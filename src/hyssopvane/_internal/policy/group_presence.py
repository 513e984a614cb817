"""Decide which agents of a group tell that they live, and to whom.

Only the agents of the three lowest ranks that live speak to others than their leader.
Were all of them to, 192 agents that have to find each other would send 18,000 messages
a second, more than a third of what their links bear.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from hyssopvane._internal.policy.map_coordinator import DEPUTIES
from hyssopvane._internal.state.group import RankState

PRESENCE_SENDERS = DEPUTIES + 1
"""Agents that tell others that they live: the leader and those that lead after it."""

PRESENCE_INTERVAL_S = 0.25
"""Pause between two words among these: the next one leads after 0.8 s of silence."""

LEADER_BROADCAST_ROUNDS = 2
DEPUTY_BROADCAST_ROUNDS = 4
"""Such pauses between two words to all agents of the group, by what the agent is."""

LEADER_SILENCE_S = 1.3
"""Silence after which an agent is no longer taken for the leader: the words of the
next one come each second."""

MEMBER_SILENCE_S = 3.0
"""Silence after which a member is looked for among the agents that are not known: its
replica may have been replaced by one on another machine."""

LEADER_CLAIM_S = 0.6
"""Silence of the lower ranks after which an agent that says that it leads is believed.

It has not heard of them for 0.8 s, and a leader tells all that it lives each 0.5 s.
Were the ranks to wait for the whole time above, a pass that the leader held when it
failed would stand still for half a second more.
"""

PEER_EXPIRY_S = 6.0
"""Silence after which an agent is told nothing more: full states come each 2 s."""

BACKUP_DELAY_S = 4.0
BACKUP_STAGGER_S = 0.05
"""Time from its group's forming until an agent that has heard nobody speaks to all, for
ranks that don't lead and aren't next, and what each rank adds. The others don't wait.

All agents may start in the same moment. The lowest ranks read the store and speak to
two hundred agents within two seconds; the others would follow the store for nothing.
"""

UNKNOWN_AGENTS_PER_S = 400
"""Agents outside the group that is known which are told, while members are missing.

They are told in turn, so the cost does not grow with the fleet: 19 KB a second. After a
loss of power no map follows the demand until the group is complete.
"""

FULL_STATE_INTERVAL_S = 2.0
"""Pause between two full states to those that lead or may lead next."""

FULL_STATE_REPEATS = 2
"""Full states at first: until one has arrived, the short ones say nothing."""


@dataclass(slots=True)
class _Peer:
    rank: int
    seen_at: float
    full_state: RankState | None = None
    """Last full state of the rank, without experts and counts."""


class GroupPresence:
    """Know the agents of the own group that were heard."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._first_asked_at: float | None = None
        self._round = 0
        self._was_leading = False
        self._next_unknown = 0
        self._full_state_subject: tuple[object, ...] = ()
        """What the last full states were about."""
        self._full_state_count = 0
        self._full_state_sent_at = float("-inf")

    def remove(self, address: str) -> None:
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
                if lower.rank < rank and now - lower.seen_at > LEADER_CLAIM_S:
                    lower.seen_at = min(lower.seen_at, now - LEADER_SILENCE_S)
        peer = self._peers.get(address)
        if peer is not None and peer.rank == rank:
            peer.seen_at = now
            return
        # Another machine has the rank now: whoever had it is no member any more.
        for other, known in list(self._peers.items()):
            if known.rank == rank:
                del self._peers[other]
        self._peers[address] = _Peer(rank, now)

    def complete_state(
        self, state: RankState, sender: str, *, now: float
    ) -> RankState | None:
        """Return a state with what short ones leave out; None where it is not known.

        A short state of another start or epoch than the last full one is not completed:
        the address of its replica might be another's by now.
        """
        if state.replica:
            self.observe(state.messages, state.rank, now=now)
            self._peers[state.messages].full_state = replace(
                state, experts=(), counts=()
            )
            return state
        peer = self._peers.get(sender)
        full_state = None if peer is None else peer.full_state
        if (
            full_state is None
            or peer is None
            or _get_identity(full_state) != _get_identity(state)
        ):
            return None
        peer.seen_at = now
        return replace(
            state,
            messages=full_state.messages,
            replica=full_state.replica,
            group=full_state.group,
        )

    def find_leader(self, rank: int, now: float) -> str | None:
        """Return the agent of the lowest rank that lives, unless it is this one."""
        lower = self._list_lower(rank, now)
        return lower[0] if lower else None

    def sends_presence(self, rank: int, now: float) -> bool:
        """Tell whether this agent speaks to all others of its group."""
        if self._first_asked_at is None:
            self._first_asked_at = now
        waits_s = (
            0.0 if rank < PRESENCE_SENDERS else BACKUP_DELAY_S + rank * BACKUP_STAGGER_S
        )
        if now - self._first_asked_at < waits_s:
            return False
        return len(self._list_lower(rank, now)) < PRESENCE_SENDERS

    def choose_presence_receivers(
        self, rank: int, ranks: int, agents: Sequence[str], now: float, *, leads: bool
    ) -> list[str]:
        """Return the agents that are told now that this one lives."""
        self._remove_expired(now)
        self._round += 1
        lowest = sorted(self._peers, key=lambda one: self._peers[one].rank)
        receivers = lowest[:PRESENCE_SENDERS]
        starts_to_lead = leads and not self._was_leading
        self._was_leading = leads
        every = LEADER_BROADCAST_ROUNDS if leads else DEPUTY_BROADCAST_ROUNDS
        if starts_to_lead or self._round % every == 0:
            receivers = lowest
        present = sum(
            now - peer.seen_at < MEMBER_SILENCE_S for peer in self._peers.values()
        )
        if present + 1 < ranks:
            receivers = [*receivers, *self._choose_unknown(agents)]
        return receivers

    def choose_state_receivers(
        self, state: RankState, rank: int, now: float
    ) -> tuple[list[str], bool]:
        """Return the agents that are told a state now, and whether it is a full one.

        The leader's state goes to those that lead after it: without it they can't tell
        whether a group that it holds may go on.
        """
        lower = self._list_lower(rank, now)
        leaders = self._list_live(now)[:PRESENCE_SENDERS]
        subject = (leaders, _get_identity(state), state.group, state.replica)
        if subject != self._full_state_subject:
            self._full_state_subject, self._full_state_count = subject, 0
        elif (
            self._full_state_count >= FULL_STATE_REPEATS
            and now - self._full_state_sent_at < FULL_STATE_INTERVAL_S
        ):
            return lower[:1], False
        self._full_state_count += 1
        self._full_state_sent_at = now
        return leaders, True

    def _list_lower(self, rank: int, now: float) -> list[str]:
        live = self._list_live(now)
        return [address for address in live if self._peers[address].rank < rank]

    def _list_live(self, now: float) -> list[str]:
        live = [
            a
            for a, peer in self._peers.items()
            if now - peer.seen_at < LEADER_SILENCE_S
        ]
        return sorted(live, key=lambda address: self._peers[address].rank)

    def _choose_unknown(self, agents: Sequence[str]) -> list[str]:
        unknown = [one for one in agents if one not in self._peers]
        count = min(len(unknown), int(UNKNOWN_AGENTS_PER_S * PRESENCE_INTERVAL_S))
        if not count:
            return []
        at = self._next_unknown % len(unknown)
        self._next_unknown += count
        return (unknown[at:] + unknown[:at])[:count]

    def _remove_expired(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            if now - peer.seen_at > PEER_EXPIRY_S:
                del self._peers[address]


def _get_identity(state: RankState) -> tuple[int, int, int, int]:
    return (state.epoch, state.rank, state.ranks, state.started_ms)

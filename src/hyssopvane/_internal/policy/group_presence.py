"""Decide which agents of a group send presence messages, and to which agents.

Only the agents of the three lowest live ranks send messages to agents other than their
leader. If all of them did, 192 agents that discover each other would send 18,000
messages a second, more than a third of what their links carry.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from hyssopvane._internal.policy.map_coordinator import DEPUTIES
from hyssopvane._internal.state.group import RankState

PRESENCE_SENDERS = DEPUTIES + 1
"""Number of agents that send presence messages: the leader and its deputies."""

PRESENCE_INTERVAL_S = 0.25
"""Interval of presence messages among these agents: the next one leads after 0.8 s of
silence.
"""

LEADER_BROADCAST_ROUNDS = 2
DEPUTY_BROADCAST_ROUNDS = 4
"""Number of such intervals between two presence messages to all agents of the group,
for the leader and for a deputy.
"""

LEADER_SILENCE_S = 1.3
"""Silence after which an agent is no longer considered the leader: its deputies send
presence messages to all agents once a second.
"""

MEMBER_SILENCE_S = 3.0
"""Silence after which a member is searched for among the unknown agents: its replica
may have been replaced by one on another machine.
"""

LEADER_CLAIM_S = 0.6
"""Silence of the lower ranks after which an agent's claim to lead is accepted.

The claiming agent has received nothing from them for 0.8 s, and a leader sends its
presence to all agents every 0.5 s. If the ranks waited for `LEADER_SILENCE_S`, a pass
that the failed leader held would stay blocked for half a second longer.
"""

PEER_EXPIRY_S = 6.0
"""Silence after which an agent is sent nothing more; full states come every 2 s."""

BACKUP_DELAY_S = 4.0
BACKUP_STAGGER_S = 0.05
"""Delay before a rank other than the three lowest sends presence messages to all agents
when it has received none, and the additional delay for each rank. The three lowest
ranks don't wait.

All agents may start at the same moment. The lowest ranks read the store and reach two
hundred agents within two seconds; following the store would be wasted work for the
others.
"""

UNKNOWN_AGENTS_PER_S = 400
"""Rate of messages to agents outside the known group while members are missing.

Each round goes to the next of them in turn, so the cost does not grow with the fleet:
19 KB a second. After a power loss, no map follows the demand until the group is
complete.
"""

FULL_STATE_INTERVAL_S = 2.0
"""Interval of full states to the agents that lead or may lead next."""

FULL_STATE_REPEATS = 2
"""Number of full states that are sent first: short states are unusable until a full one
has arrived.
"""


@dataclass(slots=True)
class _Peer:
    rank: int
    seen_at: float
    full_state: RankState | None = None
    """Last full state of the rank, without experts and counts."""


class GroupPresence:
    """Track the agents of this agent's group by the messages received from them."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._started_at: float | None = None
        self._round = 0
        self._was_leading = False
        self._next_unknown = 0
        self._full_state_subject: tuple[object, ...] = ()
        """Receivers and identity that the last full states were sent for."""
        self._full_state_count = 0
        self._full_state_sent_at = float("-inf")

    def remove(self, address: str) -> None:
        """Remove an agent that belongs to another group."""
        self._peers.pop(address, None)

    def clear(self) -> None:
        """Remove all agents because the rank now belongs to another group."""
        self._peers.clear()

    def observe(
        self, address: str, rank: int, *, now: float, leads: bool = False
    ) -> None:
        """Record that an agent is alive, and whether it claims to lead."""
        if leads:
            for lower in self._peers.values():
                if lower.rank < rank and now - lower.seen_at > LEADER_CLAIM_S:
                    lower.seen_at = min(lower.seen_at, now - LEADER_SILENCE_S)
        peer = self._peers.get(address)
        if peer is not None and peer.rank == rank:
            peer.seen_at = now
            return
        # Another machine has the rank now, so its previous holder is no longer a
        # member.
        for other, known in list(self._peers.items()):
            if known.rank == rank:
                del self._peers[other]
        self._peers[address] = _Peer(rank, now)

    def complete_state(
        self, state: RankState, sender: str, *, now: float
    ) -> RankState | None:
        """Fill in the fields that a short state omits; return None if they are unknown.

        A short state of another start or epoch than the last full one is rejected: the
        address of its replica may belong to another one by now.
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
        """Return the agent of the lowest live rank, or None if that is this agent."""
        lower = self._list_lower(rank, now)
        return lower[0] if lower else None

    def sends_presence(self, rank: int, now: float) -> bool:
        """Return whether this agent sends presence messages to the whole group."""
        if self._started_at is None:
            self._started_at = now
        waits_s = (
            0.0 if rank < PRESENCE_SENDERS else BACKUP_DELAY_S + rank * BACKUP_STAGGER_S
        )
        if now - self._started_at < waits_s:
            return False
        return len(self._list_lower(rank, now)) < PRESENCE_SENDERS

    def choose_presence_receivers(
        self, rank: int, ranks: int, agents: Sequence[str], now: float, *, leads: bool
    ) -> list[str]:
        """Return the agents to send this agent's presence to in this round."""
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
        """Return the agents to send a state to, and whether it is a full state.

        The full state goes to the leader and to the agents that lead next: without the
        leader's own state, its successors can't decide whether a group that it holds
        may continue.
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

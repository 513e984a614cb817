"""Model a leader, the entries of some zones, and the links between them."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from hyssopvane._internal.policy.load_inbox import LoadInbox
from hyssopvane._internal.policy.load_publisher import LoadPublisher
from hyssopvane._internal.protocol.group_messages import GroupMessage, encode_message
from hyssopvane._internal.state.group import EntryState, RankState
from hyssopvane._internal.state.loads import GroupLoad, Roster, split_load
from hyssopvane._internal.state.ranks import RankReport

TICK_S = 0.025
POLL_INTERVAL_S = 0.125
ENTRY_POLL_INTERVAL_S = 0.25
HOP_S = 0.003
FIRST_MS = 1_700_000_000_000

Drops = Callable[[str, str], float]
"""Returns the fraction of the messages between two processes that is lost."""


def drop_nothing(sender: str, receiver: str) -> float:
    """Lose nothing."""
    return 0.0


@dataclass
class ModelLeader:
    """Publish the load of a group, as a leading agent does."""

    address: str
    publisher: LoadPublisher
    down_until: float = float("-inf")
    sent_bytes: int = 0


@dataclass
class ModelEntry:
    """Receive loads, as an entry does."""

    address: str
    zone: str
    inbox: LoadInbox
    down_until: float = float("-inf")
    taken_at: dict[str, float] = field(default_factory=dict)
    """Time at which the newest load of each replica was taken."""
    starts: dict[str, int] = field(default_factory=dict)
    epoch: int = 0
    sent_bytes: int = 0


@dataclass
class PublishingModel:
    """Simulate the messages between one group's leaders and the entries.

    The agents of the three lowest ranks may lead; `leading` holds those that do.
    """

    random: Random
    zones: int = 5
    entries_by_zone: int = 7
    ranks: int = 64
    drops: Drops = drop_nothing
    late_share: float = 0.0
    doubled_share: float = 0.0
    now: float = 100.0
    leading: tuple[int, ...] = (0,)
    epoch: int = 1
    starts: list[int] = field(default_factory=list)
    leaders: list[ModelLeader] = field(default_factory=list)
    entries: list[ModelEntry] = field(default_factory=list)
    _in_flight: list[tuple[float, str, GroupMessage]] = field(default_factory=list)
    messages: int = 0

    def __post_init__(self) -> None:
        self.starts = [FIRST_MS] * self.ranks
        self.leaders = [
            ModelLeader(self.agent(rank), LoadPublisher(source=rank, key=f"k{rank}"))
            for rank in range(min(3, self.ranks))
        ]
        for zone in range(self.zones):
            for number in range(self.entries_by_zone):
                address = f"10.{zone}.1.{number + 1}:7000"
                inbox = LoadInbox(random=self.random)
                self.entries.append(ModelEntry(address, f"zone-{zone}", inbox))

    @staticmethod
    def agent(rank: int) -> str:
        """Return the address of a rank's agent."""
        return f"10.9.{rank // 200}.{rank % 200 + 1}:7001"

    @staticmethod
    def replica(rank: int) -> str:
        """Return the address of a rank's replica."""
        return f"10.9.{rank // 200}.{rank % 200 + 1}:80"

    def play(self, seconds: float) -> None:
        """Simulate `seconds` seconds."""
        end = self.now + seconds
        while self.now < end:
            before, self.now = self.now, self.now + TICK_S
            self._deliver()
            if _passes(before, self.now, POLL_INTERVAL_S):
                for number in self.leading:
                    self._publish(self.leaders[number])
            for number, entry in enumerate(self.entries):
                shift = ENTRY_POLL_INTERVAL_S * number / len(self.entries)
                if _passes(before + shift, self.now + shift, ENTRY_POLL_INTERVAL_S):
                    self._poll(entry)

    def list_ages(self) -> list[float]:
        """Return the age of the load that each entry has of each rank, in seconds."""
        return [
            self.now - entry.taken_at.get(self.replica(rank), float("-inf"))
            for entry in self.entries
            if self.now >= entry.down_until
            for rank in range(self.ranks)
        ]

    def _publish(self, leader: ModelLeader) -> None:
        if self.now < leader.down_until:
            return
        states = [(self._describe(rank), 0.0) for rank in range(self.ranks)]
        report = RankReport(
            "g", self.epoch, 0, self.ranks, True, 3, 0, 1.0, 7, 0, 0, 0, 0, 0, False, 0
        )
        for outgoing in leader.publisher.build_messages(
            report, states, pass_s=0.1, now=self.now
        ):
            for to in outgoing.to:
                leader.sent_bytes += self._send(leader.address, to, outgoing.message)

    def _describe(self, rank: int) -> RankState:
        return RankState(
            self.agent(rank),
            self.replica(rank),
            "g",
            self.epoch,
            rank,
            self.ranks,
            True,
            3,
            0,
            7,
            0,
            0,
            0,
            0,
            0,
            started_ms=self.starts[rank],
        )

    def _poll(self, entry: ModelEntry) -> None:
        if self.now < entry.down_until:
            return
        state = EntryState(entry.address, "", 0, 0, entry.zone)
        agents = [self.agent(rank) for rank in range(self.ranks)]
        replicas = [self.replica(rank) for rank in range(self.ranks)]
        by_replica = dict(zip(replicas, agents, strict=True))
        if round(self.now / ENTRY_POLL_INTERVAL_S) % 4 == 0:
            for replica in entry.inbox.list_contacts():
                to = by_replica[replica]
                entry.sent_bytes += self._send(entry.address, to, state)
        query = replace(state, lacks_load=True)
        replica_queries = entry.inbox.choose_load_queries(self.now)
        replica_queries += entry.inbox.choose_replica_queries(replicas, self.now)
        for replica in replica_queries:
            to = by_replica[replica]
            entry.sent_bytes += self._send(entry.address, to, query)

    def _send(self, sender: str, to: str, message: GroupMessage) -> int:
        self.messages += 1
        size = len(encode_message(message))
        if self.random.random() < self.drops(sender, to):
            return size
        delay_s = HOP_S
        if self.random.random() < self.late_share:
            delay_s = self.random.uniform(0.05, 1.0)
        self._in_flight.append((self.now + delay_s, to, message))
        if self.random.random() < self.doubled_share:
            self._in_flight.append((self.now + 2 * delay_s, to, message))
        return size

    def _deliver(self) -> None:
        due = sorted(
            (one for one in self._in_flight if one[0] <= self.now),
            key=lambda one: one[0],
        )
        self._in_flight = [one for one in self._in_flight if one[0] > self.now]
        for _, to, message in due:
            self._receive(to, message)

    def _receive(self, to: str, message: GroupMessage) -> None:
        for entry in self.entries:
            if entry.address == to and self.now >= entry.down_until:
                self._receive_at_entry(entry, message)
                return
        for leader in self.leaders:
            if leader.address == to and self.now >= leader.down_until:
                self._receive_at_leader(leader, message)
                return
        self._pass_on(to, message)

    def _receive_at_leader(self, leader: ModelLeader, message: GroupMessage) -> None:
        match message:
            case EntryState():
                leader.publisher.observe(message, now=self.now)
                if leader is not self.leaders[self.leading[0]]:
                    self._pass_on(leader.address, message)
            case _:
                self._pass_on(leader.address, message)

    def _pass_on(self, agent: str, message: GroupMessage) -> None:
        """Forward queries to the leader, and its loads to the entry that sent the
        query.
        """
        match message:
            case EntryState() if message.lacks_load and not message.via:
                leader = self.leaders[self.leading[0]].address
                self._send(agent, leader, replace(message, via=agent))
            case GroupLoad() | Roster() if message.forward:
                self._send(agent, message.forward, replace(message, forward=""))

    def _receive_at_entry(self, entry: ModelEntry, message: GroupMessage) -> None:
        match message:
            case Roster():
                entry.inbox.add_roster(message, now=self.now)
                roster: Roster | None = message
            case GroupLoad():
                roster = entry.inbox.accept(message, now=self.now)
                if roster is None:
                    return
                entry.epoch = message.epoch
                for load, age_s in split_load(message, roster):
                    entry.taken_at[load.address] = self.now - age_s
                    entry.starts[load.address] = load.started_ms
            case _:
                return
        if not message.relay or roster is None:
            return
        for one in roster.entries:
            if one.availability_zone == entry.zone and one.address != entry.address:
                passed_on = replace(message, relay=False)
                entry.sent_bytes += self._send(entry.address, one.address, passed_on)


def _passes(before: float, now: float, every: float) -> bool:
    return int(before / every) != int(now / every)

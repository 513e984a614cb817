"""Model entries that place requests by loads which lack what was just sent."""

from collections import Counter, deque
from dataclasses import dataclass, field, replace

from hyssopvane._internal.policy.gate_decisions import Assignment
from hyssopvane._internal.policy.service_gate import ServiceGate
from hyssopvane._internal.state.routing import Replica
from tests.lib.fleet_model import ENTRIES, SLOTS, TICK_S, FleetModel

ZONES = ("zone-a", "zone-b", "zone-c")
LOAD_AGE_TICKS = 3
"""Age of a load when it arrives, in ticks: an agent's poll."""


@dataclass
class SlotModel(FleetModel):
    """Play requests that wait at their replica if it has no free slot.

    What is sent to a replica in `held_up` waits on its way, and its loads name only
    the requests that it had before.
    """

    held_up: frozenset[str] = frozenset()
    sent: int = 0
    sent_to_full: int = 0
    arrived_late: Counter[str] = field(default_factory=Counter)
    """Requests on their way by replica."""

    def __post_init__(self) -> None:
        self.queues: dict[str, deque[tuple[int, Replica]]] = {}
        self.counts: deque[Counter[str]] = deque(maxlen=LOAD_AGE_TICKS + 1)
        super().__post_init__()
        self.replicas = [
            replace(one, availability_zone=ZONES[number % len(ZONES)])
            for number, one in enumerate(self.replicas)
        ]
        self.queues = {one.id: deque() for one in self.replicas}
        self.gates = [self._make_gate(number) for number in range(ENTRIES)]

    def _make_gate(self, number: int) -> ServiceGate:
        gate = super()._make_gate(number)
        zone = number % len(ZONES)
        names = [f"e-{n}" for n in range(zone, ENTRIES, len(ZONES))]
        gate._chooser._zone = ZONES[zone]
        gate._homes.update(f"e-{number}", names)
        return gate

    def count_at(self, replica: str) -> int:
        """Return the requests that run, wait or are on their way to a replica."""
        running = sum(one.id == replica for _, _, one in self.running)
        return running + len(self.queues[replica]) + self.arrived_late[replica]

    def _publish(self) -> None:
        counts = Counter(one.id for _, _, one in self.running)
        for replica, queue in self.queues.items():
            counts[replica] += len(queue)
        self.counts.append(counts)
        running, now = self.running, self.now
        old = self.counts[0]
        self.running = [
            (0.0, 0, one) for one in self.replicas for _ in range(old[one.id])
        ]
        self.now -= LOAD_AGE_TICKS * TICK_S
        super()._publish()
        self.running, self.now = running, now

    def _end_requests(self) -> None:
        ended = [one for one in self.running if one[0] <= self.now]
        super()._end_requests()
        for _, _, replica in ended:
            if self.queues[replica.id]:
                self._run(*self.queues[replica.id].popleft())

    def _run(self, entry: int, replica: Replica) -> None:
        ends_at = self.now + self.random.uniform(2.0, 3.0)
        self.running.append((ends_at, entry, replica))

    def _dispatch(self, entry: int, gate: ServiceGate) -> None:
        for decision in gate.dispatch(self.now):
            self.known.pop(decision.request_id)
            if isinstance(decision, Assignment):
                self._send(entry, decision.replica)

    def _send(self, entry: int, replica: Replica) -> None:
        self.sent += 1
        if replica.id in self.held_up:
            self.arrived_late[replica.id] += 1
        elif self.count_at(replica.id) >= SLOTS:
            self.sent_to_full += 1
            self.queues[replica.id].append((entry, replica))
        else:
            self._run(entry, replica)

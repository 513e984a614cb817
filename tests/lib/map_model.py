"""Model a group with its agents, coordinators, service and network in memory."""

from dataclasses import dataclass, field, replace

from hyssopvane._internal.standins import expert_rank
from hyssopvane._internal.standins.expert_rank import ExpertRank
from hyssopvane._internal.state.map_switch import (
    INITIAL_MAP,
    EngineOrder,
    GroupRecord,
    Move,
    Phase,
    RankAnswer,
    RankSwitchPlanner,
    RankView,
    SwitchProgress,
    VersionedRecord,
    abort,
    confirm_for_restart,
    decide,
    fix_step,
    get_name_fence,
    make_answer,
    propose,
)

RANKS = ("rank-0", "rank-1", "rank-2")
MARGIN_STEPS = 2


class ServiceDown(Exception):
    """Signal a call to the service during an outage."""


class Service:
    """Model the key-value service; keep the history of the group's record."""

    compares = True

    def __init__(self) -> None:
        self.is_up = True
        self.history = [GroupRecord()]
        self.ended: dict[int, Phase] = {}

    def read(self, age: int = 0) -> VersionedRecord:
        """Return the record as it was `age` writes ago."""
        if not self.is_up:
            raise ServiceDown
        revision = max(0, len(self.history) - 1 - age)
        return VersionedRecord(self.history[revision], revision)

    def swap(self, record: GroupRecord, expected: int) -> VersionedRecord | None:
        """Write the record if the revision is the expected one, else return None."""
        if not self.is_up:
            raise ServiceDown
        if self.compares and expected != len(self.history) - 1:
            return None
        self.history.append(record)
        self._check_ended_once(record)
        return VersionedRecord(record, len(self.history) - 1)

    def _check_ended_once(self, record: GroupRecord) -> None:
        proposal = record.proposal
        if proposal is None:
            return
        ended = self.ended.get(proposal.fence)
        assert ended in {None, proposal.phase}, "a proposal ended twice"
        if not proposal.is_open:
            self.ended[proposal.fence] = proposal.phase


class EnginePort:
    """Deliver orders to an engine, possibly late, reordered or twice."""

    def __init__(self, rank: ExpertRank) -> None:
        self.rank = rank
        self.in_flight: list[EngineOrder] = []
        self.staged = {rank.map}
        """Maps whose weights the engine has fetched since its start."""

    def get_view(self) -> RankView:
        """Return the state that the engine reports."""
        rank, armed = self.rank, self.rank.armed
        return RankView(
            step=rank.step,
            map=rank.map,
            staged=frozenset(rank.staged),
            armed=armed.map if armed else "",
            armed_step=armed.step if armed else 0,
            armed_decided=armed.decided if armed else False,
        )

    def send(self, order: EngineOrder) -> None:
        """Add an order to those in flight."""
        self.in_flight.append(order)

    def deliver(self, index: int, *, keep: bool = False) -> str | None:
        """Deliver an order in flight and return the engine's refusal, if any."""
        order = self.in_flight[index] if keep else self.in_flight.pop(index)
        return self.carry_out(order)

    def carry_out(self, order: EngineOrder) -> str | None:
        """Execute an order at the engine and return its refusal, if any."""
        kind = expert_rank.OrderKind(order.kind.value)
        refusal = self.rank.apply_order(
            expert_rank.Order(kind, order.fence, order.name, step=order.step)
        )
        if refusal is None and kind is expert_rank.OrderKind.STAGE:
            self.staged.add(order.name)
        return refusal


class BareNamePort(EnginePort):
    """Send map names without fences to the engine."""

    def __init__(self, rank: ExpertRank) -> None:
        super().__init__(rank)
        self._fences: dict[str, int] = {}

    def get_view(self) -> RankView:
        view = super().get_view()
        return RankView(
            view.step,
            self._name(view.map),
            frozenset(map(self._name, view.staged)),
            self._name(view.armed),
            view.armed_step,
            view.armed_decided,
        )

    def send(self, order: EngineOrder) -> None:
        bare = order.name.partition(".")[0]
        fence = get_name_fence(order.name)
        self._fences[bare] = max(self._fences.get(bare, 0), fence)
        super().send(replace(order, name=bare))

    def _name(self, bare: str) -> str:
        fence = self._fences.get(bare, 0)
        return f"{bare}.{fence}" if fence else bare


class UnconfirmedPlanner(RankSwitchPlanner):
    """Start a restarted rank without confirming the record."""

    def needs_confirmation(self, rank: RankView) -> bool:
        return False


class UncheckedArmingRank(ExpertRank):
    """Accept an arm order for a step that the rank has passed."""

    def _arm(self, order: expert_rank.Order) -> expert_rank.OrderRefusal | None:
        step, self.step = self.step, 0
        refusal = super()._arm(order)
        self.step = step
        return refusal


class NonWaitingRank(ExpertRank):
    """Start the armed step without waiting for the decision."""

    def _must_wait(self, step: int) -> bool:
        return not self.map


@dataclass
class Coordinator:
    """Hold the state of one coordinator, which may be stale."""

    progress: SwitchProgress = field(
        default_factory=lambda: SwitchProgress(frozenset(RANKS), MARGIN_STEPS)
    )
    seen: VersionedRecord = field(default_factory=VersionedRecord)

    def learn(self, read: VersionedRecord) -> None:
        """Keep a record that was read or written, unless it is older."""
        if read.revision >= self.seen.revision:
            self.seen = read
            self.progress.learn(read.record)


@dataclass(frozen=True)
class Weakening:
    """Select the classes of a model; each default is the full protocol."""

    service: type[Service] = Service
    rank: type[ExpertRank] = ExpertRank
    port: type[EnginePort] = EnginePort
    agent: type[RankSwitchPlanner] = RankSwitchPlanner


class Group:
    """Run the ranks of a group and check every step that one of them takes."""

    def __init__(self, weakening: Weakening, *, checks_fence: bool) -> None:
        self._weakening = weakening
        self._checks_fence = checks_fence
        self.service = weakening.service()
        self.ports = {name: self._make_port(INITIAL_MAP) for name in RANKS}
        self.agents = {name: weakening.agent() for name in RANKS}
        self.coordinators = [Coordinator(), Coordinator()]
        self.orders: list[tuple[str, int, int]] = []
        """Coordinators' orders in flight, each as rank, fence and coordinator index."""
        self.answers: list[tuple[int, RankAnswer]] = []
        self.maps_by_step: dict[int, str] = {}

    def take_step(self, name: str) -> bool:
        """Let a rank start its next step and compare its map with the other ranks."""
        port = self.ports[name]
        rank = port.rank
        if not rank.advance_step():
            return False
        assert rank.map in port.staged, f"{name} uses {rank.map} without its weights"
        used = self.maps_by_step.setdefault(rank.step, rank.map)
        assert used == rank.map, f"step {rank.step} used {used} and {rank.map}"
        return True

    def restart_rank(self, name: str) -> None:
        """Replace an engine; orders in flight are lost with its connections."""
        step = self.ports[name].rank.step
        self.ports[name] = self._make_port("")
        self.ports[name].rank.step = step

    def restart_agent(self, name: str) -> None:
        """Replace an agent; orders that it sent may still be delivered."""
        self.agents[name] = self._weakening.agent()

    def run_agent(self, name: str, *, age: int = 0) -> bool:
        """Let an agent read the record and send an order; return whether it did."""
        agent, port = self.agents[name], self.ports[name]
        is_fresh = self._read(agent, age)
        view = port.get_view()
        order = agent.plan(view, is_fresh=is_fresh)
        if order is None:
            return False
        agent.record_order(order, view)
        port.send(order)
        return True

    def confirm_restart(self, name: str, *, lost: bool = False) -> None:
        """Let the agent of a held rank confirm the record."""
        agent = self.agents[name]
        if not self.service.is_up or not self.ports[name].get_view().is_held:
            return
        if not agent.needs_confirmation(self.ports[name].get_view()):
            return
        known = agent.known
        confirmed = confirm_for_restart(known.record)
        written = self.service.swap(confirmed, known.revision)
        if written is not None and not lost:
            agent.confirm(written)

    def abort_by_agent(self, name: str, *, lost: bool = False) -> None:
        """Let an agent abort the proposal that it knows."""
        agent = self.agents[name]
        known = agent.known
        aborted = abort(known.record, known.record.fence, "waited too long")
        if aborted is None or not self.service.is_up:
            return
        written = self.service.swap(aborted, known.revision)
        if written is not None and not lost:
            agent.learn(written)

    def propose(self, index: int, expert_map: str, *, lost: bool = False) -> None:
        """Let a coordinator open a proposal based on the record that it knows."""
        coordinator = self.coordinators[index]
        proposed = propose(coordinator.seen.record, expert_map)
        if proposed is not None:
            self._write(coordinator, proposed, lost)

    def write_move(self, index: int, *, lost: bool = False) -> None:
        """Let a coordinator write its next action, based on its latest record."""
        coordinator = self.coordinators[index]
        record = coordinator.seen.record
        move = coordinator.progress.plan()
        written = {
            Move.FIX_STEP: lambda: fix_step(record, record.fence, move.step),
            Move.DECIDE: lambda: decide(record, record.fence),
            Move.ABORT: lambda: abort(record, record.fence, move.why),
        }.get(move.move, lambda: None)()
        if written is not None:
            self._write(coordinator, written, lost)

    def ask(self, index: int) -> None:
        """Let a coordinator send orders to the ranks that are behind."""
        progress = self.coordinators[index].progress
        move = progress.plan()
        for name in sorted(move.ranks):
            self.orders.append((name, progress.record.fence, index))

    def read_by_coordinator(self, index: int, *, age: int = 0) -> None:
        """Let a coordinator read the record."""
        if self.service.is_up:
            self.coordinators[index].learn(self.service.read(age))

    def deliver_order(self, index: int, *, keep: bool = False) -> None:
        """Deliver a coordinator's order to an agent, which answers."""
        order = self.orders[index] if keep else self.orders.pop(index)
        name, fence, coordinator = order
        agent = self.agents[name]
        self._read(agent, 0)
        refusal = agent.find_refusal(fence)
        if refusal is not None:
            answer = RankAnswer(name, fence, refusal=refusal)
        else:
            view = self.ports[name].get_view()
            answer = make_answer(agent.known.record, name, view)
        self.answers.append((coordinator, answer))

    def deliver_answer(self, index: int, *, keep: bool = False) -> None:
        """Deliver an answer to its coordinator."""
        answer = self.answers[index] if keep else self.answers.pop(index)
        self.coordinators[answer[0]].progress.receive(answer[1])

    def deliver_engine_order(
        self, name: str, index: int, *, keep: bool = False
    ) -> None:
        """Deliver an order to an engine; report a refused arm order to coordinators."""
        port = self.ports[name]
        order = port.in_flight[index]
        refusal = port.deliver(index, keep=keep)
        if refusal is not None and order.kind.value == "arm":
            for number in range(len(self.coordinators)):
                answer = RankAnswer(name, order.fence, engine_refusal=refusal)
                self.answers.append((number, answer))

    def run_round(self, index: int) -> None:
        """Run a coordinator and all agents once, without lost or delayed messages."""
        self.read_by_coordinator(index)
        self.write_move(index)
        for name in RANKS:
            self.read_agent(name)
            self.confirm_restart(name)
            while self.run_agent(name):
                self.deliver_engine_order(name, len(self.ports[name].in_flight) - 1)
                if self.answers and self.answers[-1][1].engine_refusal:
                    break
        self.ask(index)
        while self.orders:
            self.deliver_order(len(self.orders) - 1)
        while self.answers:
            self.deliver_answer(len(self.answers) - 1)

    def read_agent(self, name: str, *, age: int = 0) -> None:
        """Let an agent read the record."""
        self._read(self.agents[name], age)

    def is_settled(self) -> bool:
        """Return whether no proposal is open and all ranks use the decided map."""
        record = self.service.history[-1]
        if record.open_proposal is not None:
            return False
        return all(
            port.get_view().map == record.current.name and not port.get_view().armed
            for port in self.ports.values()
        )

    def _read(self, agent: RankSwitchPlanner, age: int) -> bool:
        if not self.service.is_up:
            return False
        agent.learn(self.service.read(age))
        return True

    def _write(self, coordinator: Coordinator, record: GroupRecord, lost: bool) -> None:
        if not self.service.is_up:
            return
        written = self.service.swap(record, coordinator.seen.revision)
        if written is not None and not lost:
            coordinator.learn(written)

    def _make_port(self, expert_map: str) -> EnginePort:
        rank = self._weakening.rank(expert_map, checks_fence=self._checks_fence)
        return self._weakening.port(rank)

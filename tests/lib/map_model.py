"""Model a group, its agents, coordinators, service and network in one process."""

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
    """Report a call during an outage."""


class Service:
    """Hold every state that the group's record has had."""

    compares = True

    def __init__(self) -> None:
        self.is_up = True
        self.history = [GroupRecord()]
        self.ended: dict[int, Phase] = {}

    def read(self, age: int = 0) -> VersionedRecord:
        """Return the record as it was some writes ago."""
        if not self.is_up:
            raise ServiceDown
        revision = max(0, len(self.history) - 1 - age)
        return VersionedRecord(self.history[revision], revision)

    def swap(self, record: GroupRecord, expected: int) -> VersionedRecord | None:
        """Write if nobody else wrote since; return what was written."""
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
    """Deliver orders to an engine, late and twice if need be."""

    def __init__(self, rank: ExpertRank) -> None:
        self.rank = rank
        self.in_flight: list[EngineOrder] = []
        self.staged = {rank.map}
        """Maps whose weights the engine has fetched since it started."""

    def get_view(self) -> RankView:
        """Return what the engine says."""
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
        """Put an order on its way."""
        self.in_flight.append(order)

    def deliver(self, index: int, *, keep: bool = False) -> str | None:
        """Let an order arrive and return its refusal."""
        order = self.in_flight[index] if keep else self.in_flight.pop(index)
        return self.carry_out(order)

    def carry_out(self, order: EngineOrder) -> str | None:
        """Give an order to the engine."""
        kind = expert_rank.OrderKind(order.kind.value)
        refusal = self.rank.take_order(
            expert_rank.Order(kind, order.fence, order.name, step=order.step)
        )
        if refusal is None and kind is expert_rank.OrderKind.STAGE:
            self.staged.add(order.name)
        return refusal


class BareNamePort(EnginePort):
    """Tell the engine names without fences, as if none were needed."""

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
    """Start a rank without confirming the record."""

    def needs_confirmation(self, rank: RankView) -> bool:
        return False


class UncheckedArmingRank(ExpertRank):
    """Take an arming for a step that the rank has passed."""

    def _arm(self, order: expert_rank.Order) -> expert_rank.OrderRefusal | None:
        step, self.step = self.step, 0
        refusal = super()._arm(order)
        self.step = step
        return refusal


class NonWaitingRank(ExpertRank):
    """Take the armed step without knowing the decision."""

    def _must_wait(self, step: int) -> bool:
        return not self.map


@dataclass
class Coordinator:
    """Hold what one coordinator believes."""

    progress: SwitchProgress = field(
        default_factory=lambda: SwitchProgress(frozenset(RANKS), MARGIN_STEPS)
    )
    seen: VersionedRecord = field(default_factory=VersionedRecord)

    def learn(self, read: VersionedRecord) -> None:
        """Take over what was read or written."""
        if read.revision >= self.seen.revision:
            self.seen = read
            self.progress.learn(read.record)


@dataclass(frozen=True)
class Weakening:
    """Name the parts that stand in for the real ones."""

    service: type[Service] = Service
    rank: type[ExpertRank] = ExpertRank
    port: type[EnginePort] = EnginePort
    agent: type[RankSwitchPlanner] = RankSwitchPlanner


class Group:
    """Run the ranks and check every step that one of them takes."""

    def __init__(self, weakening: Weakening, *, checks_fence: bool) -> None:
        self._weakening = weakening
        self._checks_fence = checks_fence
        self.service = weakening.service()
        self.ports = {name: self._make_port(INITIAL_MAP) for name in RANKS}
        self.agents = {name: weakening.agent() for name in RANKS}
        self.coordinators = [Coordinator(), Coordinator()]
        self.orders: list[tuple[str, int, int]] = []
        """Orders on their way: rank, fence, coordinator."""
        self.answers: list[tuple[int, RankAnswer]] = []
        self.maps_by_step: dict[int, str] = {}

    def take_step(self, name: str) -> bool:
        """Let one rank begin its next step and check the map it uses."""
        port = self.ports[name]
        rank = port.rank
        if not rank.advance_step():
            return False
        assert rank.map in port.staged, f"{name} uses {rank.map} without its weights"
        used = self.maps_by_step.setdefault(rank.step, rank.map)
        assert used == rank.map, f"step {rank.step} used {used} and {rank.map}"
        return True

    def restart_rank(self, name: str) -> None:
        """Replace an engine; its connections end, and so do the orders on them."""
        step = self.ports[name].rank.step
        self.ports[name] = self._make_port("")
        self.ports[name].rank.step = step

    def restart_agent(self, name: str) -> None:
        """Replace an agent; orders that it has sent may still arrive."""
        self.agents[name] = self._weakening.agent()

    def run_agent(self, name: str, *, age: int = 0) -> bool:
        """Let an agent read the record and send the next order to its engine."""
        agent, port = self.agents[name], self.ports[name]
        is_fresh = self._read(agent, age)
        view = port.get_view()
        order = agent.plan(view, is_fresh=is_fresh)
        if order is None:
            return False
        agent.note_order(order, view)
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
        """Let an agent write the abort of the proposal that it knows."""
        agent = self.agents[name]
        known = agent.known
        aborted = abort(known.record, known.record.fence, "waited too long")
        if aborted is None or not self.service.is_up:
            return
        written = self.service.swap(aborted, known.revision)
        if written is not None and not lost:
            agent.learn(written)

    def propose(self, index: int, expert_map: str, *, lost: bool = False) -> None:
        """Let a coordinator open a proposal on the record that it knows."""
        coordinator = self.coordinators[index]
        proposed = propose(coordinator.seen.record, expert_map)
        if proposed is not None:
            self._write(coordinator, proposed, lost)

    def write_move(self, index: int, *, lost: bool = False) -> None:
        """Let a coordinator write the next move, by what it believes."""
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
        """Let a coordinator send its orders."""
        progress = self.coordinators[index].progress
        move = progress.plan()
        for name in sorted(move.ranks):
            self.orders.append((name, progress.record.fence, index))

    def read_by_coordinator(self, index: int, *, age: int = 0) -> None:
        """Let a coordinator read the record."""
        if self.service.is_up:
            self.coordinators[index].learn(self.service.read(age))

    def deliver_order(self, index: int, *, keep: bool = False) -> None:
        """Let a coordinator's order arrive at an agent, which answers."""
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
        """Let an answer arrive at its coordinator."""
        answer = self.answers[index] if keep else self.answers.pop(index)
        self.coordinators[answer[0]].progress.receive(answer[1])

    def deliver_engine_order(
        self, name: str, index: int, *, keep: bool = False
    ) -> None:
        """Let an order arrive at an engine; a refused arming is answered."""
        port = self.ports[name]
        order = port.in_flight[index]
        refusal = port.deliver(index, keep=keep)
        if refusal is not None and order.kind.value == "arm":
            for number in range(len(self.coordinators)):
                answer = RankAnswer(name, order.fence, engine_refusal=refusal)
                self.answers.append((number, answer))

    def run_round(self, index: int) -> None:
        """Run a coordinator and all agents once, with nothing lost or late."""
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
        """Tell whether no proposal is open and all ranks use the decided map."""
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

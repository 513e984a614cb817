"""Test the expert map switch under random interleavings of faults."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.lib.map_model import (
    RANKS,
    BareNamePort,
    EnginePort,
    Group,
    NonWaitingRank,
    Service,
    UncheckedArmingRank,
    UnconfirmedPlanner,
    Weakening,
)

SETTLE_ROUNDS = 60
RUN_AHEAD_STEPS = 4
MODEL_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=400,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)
# A weakened protocol only has to fail, so the failing example is not shrunk.
WEAKENED_SETTINGS = settings(
    MODEL_SETTINGS, max_examples=4000, phases=(Phase.generate,), print_blob=False
)

some_rank = st.sampled_from(RANKS)
some_coordinator = st.integers(0, 1)
some_index = st.integers(0, 30)
some_age = st.sampled_from((0, 0, 0, 1, 2, 5))


class NonComparingService(Service):
    """Write without comparing revisions."""

    compares = False


class PlainModel(RuleBasedStateMachine):
    """Propose switches and run rounds; the only fault is a lost answer of the service.

    `run_round` runs a complete round without faults. Without it, random rules would
    rarely reach a decision.
    """

    weakening = Weakening()
    choices = st.booleans()

    @initialize(data=st.data())
    def start(self, data):
        self.group = Group(self.weakening, checks_fence=data.draw(self.choices))

    @rule(index=some_coordinator, expert_map=st.sampled_from("ab"), lost=st.booleans())
    def propose(self, index, expert_map, lost):
        self.group.read_by_coordinator(index)
        self.group.propose(index, expert_map, lost=lost)

    @rule(index=some_coordinator)
    def run_round(self, index):
        self.group.run_round(index)

    @rule(name=some_rank, steps=st.integers(1, 4))
    def take_steps(self, name, steps):
        for _ in range(steps):
            self.group.take_step(name)

    def teardown(self):
        if not hasattr(self, "group"):
            return
        self.group.service.is_up = True
        settle(self.group)


class SwitchModel(PlainModel):
    """Interleave actions and faults of coordinators, agents, engines and service."""

    @rule(index=some_coordinator, expert_map=st.sampled_from("ab"))
    def propose_after_a_pause(self, index, expert_map):
        self.group.propose(index, expert_map)

    @rule(index=some_coordinator, age=some_age)
    def read_by_coordinator(self, index, age):
        self.group.read_by_coordinator(index, age=age)

    @rule(index=some_coordinator, lost=st.booleans())
    def write_move(self, index, lost):
        self.group.write_move(index, lost=lost)

    @rule(index=some_coordinator)
    def ask(self, index):
        self.group.ask(index)

    @precondition(lambda self: self.group.orders)
    @rule(index=some_index, keep=st.booleans())
    def deliver_order(self, index, keep):
        self.group.deliver_order(index % len(self.group.orders), keep=keep)

    @precondition(lambda self: self.group.answers)
    @rule(index=some_index, keep=st.booleans())
    def deliver_answer(self, index, keep):
        self.group.deliver_answer(index % len(self.group.answers), keep=keep)

    @rule(name=some_rank, index=some_index, keep=st.booleans())
    def deliver_engine_order(self, name, index, keep):
        in_flight = self.group.ports[name].in_flight
        if in_flight:
            self.group.deliver_engine_order(name, index % len(in_flight), keep=keep)

    @rule(name=some_rank, age=some_age)
    def run_agent(self, name, age):
        self.group.run_agent(name, age=age)

    @rule(name=some_rank, lost=st.booleans())
    def confirm_restart(self, name, lost):
        self.group.confirm_restart(name, lost=lost)

    @rule(name=some_rank, lost=st.booleans())
    def abort_by_agent(self, name, lost):
        self.group.abort_by_agent(name, lost=lost)

    @rule(name=some_rank, age=some_age)
    def restart_and_run_ahead(self, name, age):
        group = self.group
        group.restart_rank(name)
        group.restart_agent(name)
        group.read_agent(name, age=age)
        group.confirm_restart(name)
        while group.run_agent(name, age=age):
            group.deliver_engine_order(name, len(group.ports[name].in_flight) - 1)
            if group.answers and group.answers[-1][1].engine_refusal:
                break
        for _ in range(RUN_AHEAD_STEPS):
            group.take_step(name)

    @rule(name=some_rank)
    def abort_with_a_late_order(self, name):
        self.group.read_agent(name)
        self.group.abort_by_agent(name)
        self.group.run_agent(name)

    @rule(name=some_rank, keep=st.booleans())
    def run_ahead_after_a_late_order(self, name, keep):
        if self.group.ports[name].in_flight:
            self.group.deliver_engine_order(name, 0, keep=keep)
        for _ in range(RUN_AHEAD_STEPS):
            self.group.take_step(name)

    @rule(name=some_rank)
    def restart_rank(self, name):
        self.group.restart_rank(name)

    @rule(name=some_rank)
    def restart_agent(self, name):
        self.group.restart_agent(name)

    @rule()
    def toggle_service(self):
        self.group.service.is_up = not self.group.service.is_up


def settle(group):
    """Run rounds without faults until the group is settled."""
    for _ in range(SETTLE_ROUNDS):
        if group.is_settled():
            return
        group.run_round(0)
        for name in RANKS:
            group.take_step(name)
    raise AssertionError("the switch was neither completed nor aborted")


def make_model(weakening, *, checks_fence, faults=None):
    """Return a model with some classes replaced, and with the given faults only.

    With all faults enabled, random sequences rarely reach the relevant one.
    """
    changes = {"weakening": weakening, "choices": st.just(checks_fence)}
    if faults is None:
        return type("WeakenedModel", (SwitchModel,), changes)
    changes |= {name: getattr(SwitchModel, name) for name in faults}
    return type("WeakenedModel", (PlainModel,), changes)


def test_every_rank_uses_the_same_map_in_each_step():
    """Guard against two ranks that use different maps in one step.

    Tokens would then be sent to experts that are not there, and callers would get
    garbled answers. The model interleaves these faults: a coordinator resumes from a
    pause with stale state, two coordinators act concurrently, ranks and agents restart,
    answers of the service are lost after the write, the service is down between any two
    actions or returns stale records, and orders arrive late, twice or out of order.
    """
    run_state_machine_as_test(SwitchModel, settings=MODEL_SETTINGS)


@pytest.mark.parametrize(
    ("weakening", "faults", "seen"),
    [
        pytest.param(
            Weakening(rank=UncheckedArmingRank),
            None,
            "used",
            id="no-armed-step-refusal",
        ),
        pytest.param(Weakening(rank=NonWaitingRank), None, "used", id="no-waiting"),
        pytest.param(
            Weakening(service=NonComparingService), None, "used|twice", id="no-compare"
        ),
        pytest.param(
            Weakening(agent=UnconfirmedPlanner),
            {"restart_and_run_ahead"},
            "used",
            id="no-read-on-restart",
        ),
    ],
)
def test_model_detects_weakened_protocol(weakening, faults, seen):
    """Remove one protection and expect the model to find two maps in one step.

    A model that never fails would prove nothing about the real protocol.
    """
    model = make_model(weakening, checks_fence=False, faults=faults)
    with pytest.raises(AssertionError, match=seen):
        run_state_machine_as_test(model, settings=WEAKENED_SETTINGS)


@pytest.mark.parametrize(
    ("port", "checks_fence", "is_safe"),
    [
        pytest.param(EnginePort, False, True, id="fence in names"),
        pytest.param(BareNamePort, True, True, id="engine checks fences"),
        pytest.param(BareNamePort, False, False, id="no fence"),
    ],
)
def test_late_abort_of_an_earlier_proposal(port, checks_fence, is_safe):
    """Deliver an abort order after the same map was proposed and armed again.

    An engine that ignores fencing numbers and gets names without fences would disarm
    and keep the old map, while the others switch.
    """
    group = Group(Weakening(port=port), checks_fence=checks_fence)
    group.propose(0, "a")
    group.run_round(0)
    group.abort_by_agent("rank-0")
    group.run_agent("rank-0")
    group.read_by_coordinator(0)
    group.propose(0, "a")
    group.run_round(0)
    group.run_round(0)
    group.deliver_engine_order("rank-0", 0)
    for _ in range(RUN_AHEAD_STEPS):
        group.take_step("rank-0")
    group.run_round(0)
    if is_safe:
        settle(group)
        assert group.service.history[-1].current.name == "a.2"
        return
    with pytest.raises(AssertionError, match="step 2 used initial and a"):
        group.take_step("rank-1")
        group.take_step("rank-1")


def test_engine_that_checks_fences_needs_no_fence_in_names():
    """Use names without fences with engines that refuse old fencing numbers."""
    model = make_model(Weakening(port=BareNamePort), checks_fence=True)
    run_state_machine_as_test(model, settings=MODEL_SETTINGS)

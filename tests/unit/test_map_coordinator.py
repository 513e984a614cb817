"""Test that no pass begins with two expert maps, whatever happens to orders."""

from dataclasses import replace
from random import Random

import pytest

from hyssopvane._internal.policy import map_coordinator
from hyssopvane._internal.policy.map_actions import (
    DelegateOrder,
    PingAgent,
    QueryAgent,
    QueryRank,
    SendMapChange,
    SendOrder,
)
from hyssopvane._internal.policy.map_coordinator import (
    MapCoordinator,
    Phase,
)
from hyssopvane._internal.policy.poll_intervals import get_poll_interval_s
from hyssopvane._internal.state.group import RankState
from hyssopvane._internal.state.ranks import Arm, Disarm, Hold, Release
from hyssopvane._internal.state.routing import ExpertLayout
from tests.lib.rank_model import (
    EXPERTS,
    LAYOUT,
    LONGEST_DELAY_S,
    RANKS,
    TICK_S,
    Faults,
    GroupModel,
    MapsDiffer,
)

SEEDS = range(6)

FAULT_CASES = {
    "calm": Faults(),
    "lost": Faults(lost=0.3),
    "late": Faults(late=0.35),
    "doubled": Faults(doubled=0.5),
    "frozen leaders": Faults(stalls=0.8),
    "restarted agents": Faults(restarts=0.8),
    "broken groups": Faults(broken=0.3),
    "silent agents": Faults(lost=0.1, late=0.15, silences=0.8),
    "all": Faults(0.1, 0.15, 0.1, 0.3, 0.3, 0.1),
    "all and silent agents": Faults(0.1, 0.15, 0.1, 0.3, 0.3, 0.1, 0.5),
}

IDLE_CASES = {
    "idle": Faults(late=0.35, idle=0.5),
    "kills": Faults(late=0.35, kills=0.5),
    "kills of leaders": Faults(late=0.35, restarts=0.8, idle=0.5),
    "stalls": Faults(late=0.35, stalls=0.8, idle=0.5),
    "all": Faults(0.1, 0.15, 0.1, 0.3, 0.3, 0.0, 0.3, 0.3, 0.5),
}

IDLE_SEEDS = [
    *((trouble, seed) for trouble in IDLE_CASES for seed in range(4)),
    ("idle", 48),
    *(("kills", seed) for seed in (16, 17, 20, 43, 46, 59)),
    *(("all", seed) for seed in (24, 42, 54)),
]


@pytest.mark.parametrize("trouble", FAULT_CASES)
@pytest.mark.parametrize("seed", SEEDS)
def test_ranks_never_begin_a_pass_with_different_maps(trouble, seed):
    """Orders get no answer and take effect seconds later; agents stall and resume.

    Two ranks with different maps would send tokens to experts that are not there, and
    every caller of the group would get garbage without any error.
    """
    model = GroupModel(Random(f"{trouble}/{seed}"), FAULT_CASES[trouble])
    model.play(12.0)
    assert model.passes > 50


@pytest.mark.parametrize(("trouble", "seed"), IDLE_SEEDS)
def test_ranks_of_an_idle_group_never_begin_a_pass_with_different_maps(trouble, seed):
    """Guard against late orders that fit, since an idle group makes no passes.

    The group makes passes again when the faults are over.
    """
    model = GroupModel(Random(f"idle {trouble}/{seed}"), IDLE_CASES[trouble])
    model.play(16.0)
    model.faults = Faults()
    model.idle_until = model.now
    model.play(LONGEST_DELAY_S + 3.0)
    passes = model.passes
    model.play(4.0)
    assert model.passes > passes + 50
    assert len({rank.map_version for rank in model.ranks}) == 1


@pytest.mark.parametrize("trouble", ["calm", "lost", "late", "doubled"])
def test_maps_change_despite_faults(trouble):
    model = GroupModel(Random(7), FAULT_CASES[trouble])
    model.play(30.0)
    assert model.changes >= 3


@pytest.mark.parametrize("seed", SEEDS)
def test_group_continues_after_its_leader_stalled(seed):
    """The leader's machine stalls for seconds while the leader holds the group.

    No rank begins a pass until the hold is released, and every stream of the group
    would pause as long. The agent of the next rank takes over.
    """
    model = GroupModel(Random(seed), Faults(stalls=0.3, restarts=0.3))
    model.play(30.0)
    # The machine of a rank that is already armed, or that holds the pass, may stall as
    # well: the group then waits until it resumes, after four seconds at most in this
    # model, and the next agent waits until the leader's timeout has passed.
    assert model.longest_hold_s < 4.0 + map_coordinator.LEADER_TIMEOUT_S + 1.0


def find_split(faults):
    for seed in range(20):
        model = GroupModel(Random(seed), faults)
        try:
            model.play(10.0)
        except MapsDiffer:
            return True
    return False


def test_without_the_hold_late_orders_split_the_maps(monkeypatch):
    """Without the hold, a rank that is armed late still uses the old map."""
    decide = MapCoordinator.decide

    def decide_without_hold(self, now):
        actions = decide(self, now)
        if self.phase is Phase.HOLDING:
            self.phase = Phase.ARMING
        return [
            action
            for action in actions
            if not (isinstance(action, SendOrder) and isinstance(action.order, Hold))
        ]

    monkeypatch.setattr(MapCoordinator, "decide", decide_without_hold)
    assert find_split(Faults(lost=0.3, late=0.3))


def test_without_waiting_for_all_ranks_the_maps_split(monkeypatch):
    """Test a leader that releases the pass before every rank has reported that it is
    armed.
    """

    def arm_once(self, now):
        change = self._get_change()
        self.phase = Phase.RELEASING
        return self._send_change(now, step=change.step)

    monkeypatch.setattr(MapCoordinator, "_arm", arm_once)
    assert find_split(Faults(lost=0.3, late=0.3))


def test_leader_that_stalls_after_its_hold_stops_the_group_for_a_second():
    """The leader's machine stalls right after the order that holds the group.

    Its rank can't be reached either. No other rank is armed yet, so the next agent lets
    the group continue without the change.
    """
    model = GroupModel(Random(3), Faults())
    while model.agents[0].coordinator.phase is not Phase.HOLDING:
        model.play(0.02)
    model.agents[0].stalled_until = model.now + 20.0
    model.agents[0].was_stalled = True
    model.play(10.0)
    assert (
        model.longest_hold_s
        < map_coordinator.LEADER_TIMEOUT_S + map_coordinator.ORPHAN_S + 0.5
    )
    assert model.passes > 100


def test_no_rank_is_armed_when_the_hold_is_confirmed():
    """The leader's machine stalls as soon as its hold is confirmed.

    If the ranks were ordered to arm at that moment, all would be armed except the
    leader's own, which can't be reached, and every stream of the group would pause
    until it resumes. The leader queries the rank that holds the pass first; it stalls
    before the answer, and no rank is armed.
    """
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.HOLDING:
        model.play(TICK_S)
    change = leader._get_change()
    # Only the confirmation has arrived; the agent of that rank has reported nothing
    # yet.
    holder = leader._known_ranks[int(change.holder)]
    holder.state = replace(holder.state, held_step=0)
    leader.record_confirmed(change.holder, Hold(model.epoch, change.step))
    queries = [QueryAgent(change.holder), QueryRank(change.holder)]
    assert leader.decide(model.now) == queries
    model.agents[0].stalled_until = model.now + 20.0
    model.agents[0].was_stalled = True
    model.play(5.0)
    assert model.longest_hold_s < map_coordinator.LEADER_TIMEOUT_S + 0.3


def make_model_before_hold():
    """Return a model in which the leader holds a pass at its next tick."""
    model = GroupModel(Random(3), Faults(), message_loss=0.0)
    while model.agents[0].coordinator.phase is not Phase.HOLDING:
        model.play(TICK_S)
    ticks = round((model.now - GroupModel.now) / TICK_S)
    model = GroupModel(Random(3), Faults(), message_loss=0.0)
    while round((model.now - GroupModel.now) / TICK_S) < ticks - 1:
        model.play(TICK_S)
    return model


@pytest.mark.parametrize("stalled", [(2,), (3,), (2, 3)])
def test_vms_that_stall_before_the_hold_do_not_stop_the_group(stalled):
    """Guard against ranks that are armed on the word of VMs that stalled before it.

    No order to arm has been sent, so the pass can be released without the change.
    """
    model = make_model_before_hold()
    for number in stalled:
        model.agents[number].stalled_until = model.now + 4.0
        model.agents[number].was_stalled = True
    model.play(1.0)
    assert model.longest_hold_s < 0.2
    model.play(7.0)
    assert model.longest_hold_s < 0.2
    assert model.agents[0].coordinator.changes


def test_rank_that_is_not_heard_after_the_hold_is_queried_again():
    """Guard against a change that is abandoned because one message was lost."""
    model = make_model_before_hold()
    model.play(TICK_S)
    leader = model.agents[0].coordinator
    assert leader.phase is Phase.HOLDING
    for rank in (2, 3):
        leader._known_ranks[rank].received_at = model.now - 0.05
        leader._agent_seen_at[rank] = model.now - 0.05
    pinged = []
    for delay_s in (0.001, 0.01, 0.03):
        actions = leader.decide(model.now + delay_s)
        pinged.append([one.agent for one in actions if isinstance(one, PingAgent)])
    assert pinged == [["2", "3"], [], ["2", "3"]]
    assert leader.phase is Phase.HOLDING
    # Each word that is waited for wakes the leader.
    assert leader.observe(model._describe(2), now=model.now + 0.04)
    assert leader.record_agent(3, now=model.now + 0.04)
    assert not leader.record_agent(3, now=model.now + 0.04)
    leader.decide(model.now + 0.04)
    assert leader.phase is Phase.ARMING


@pytest.mark.parametrize("seed", SEEDS)
def test_change_of_maps_hardly_delays_a_pass_without_faults(seed):
    """Demand shifts every few seconds, and each change of maps holds a pass.

    A leader that delays arming or releasing, because it has just sent another order,
    stalls the group at every change, and all streams pause.
    """
    model = GroupModel(Random(seed), Faults(), message_loss=0.0)
    model.play(40.0)
    assert model.changes >= 5
    assert model.longest_hold_s < 2.5 * TICK_S
    assert model.agents[0].coordinator.arming_s < 4.5 * TICK_S


def observe_all(coordinator, *, ranks, layout, now, round_number):
    """Pass a state of each rank of a group to the coordinator, spread over one poll."""
    interval_s = get_poll_interval_s(ranks)
    for rank in range(ranks):
        at = now + interval_s * rank / ranks
        counts = tuple(
            (rank + 1) * (40 if expert == 3 else 1)
            for expert in range(layout.sets * layout.experts)
        )
        state = RankState(
            messages=str(rank),
            replica=str(rank),
            group="g",
            epoch=1,
            rank=rank,
            ranks=ranks,
            open=True,
            active=3,
            queued=0,
            step=round_number,
            map_version=0,
            prepared=0,
            armed_version=0,
            armed_step=0,
            held_step=0,
            experts=(tuple(range(rank, layout.experts, ranks)),),
            counts=counts,
        )
        coordinator.observe(state, now=at, own=rank == 0)
    return now + interval_s


@pytest.mark.parametrize("ranks", [4, 12, 24, 40, 41, 63, 64, 128])
def test_group_of_any_size_gets_a_new_map(ranks):
    """Demand concentrates on one expert of a large group.

    Agents of large groups poll less often. A leader that requires states as fresh as in
    a small group never sees all of them together, and the group keeps its first map all
    day: passes take twice as long as necessary.
    """
    layout = ExpertLayout(1, 2 * ranks, 4, 2, 0.85, 110.0, 180_000.0)
    coordinator = MapCoordinator(nonce=1, layout=layout)
    now, phases = 0.0, set()
    for round_number in range(1, 6):
        now = observe_all(
            coordinator, ranks=ranks, layout=layout, now=now, round_number=round_number
        )
        coordinator.decide(now)
        phases.add(coordinator.phase)
    assert Phase.PREPARING in phases


@pytest.mark.parametrize(
    ("stale", "expected"),
    [
        ((), True),
        ((0,), True),
        ((2,), False),
        ((0, 3), False),
    ],
)
def test_hold_is_released_only_when_each_rank_has_reported_not_armed(stale, expected):
    """The leader has ordered all ranks to arm, and falls silent.

    The next agent's last states of some ranks are from before they were armed. If it
    relied on them, the pass would begin with two maps, and all its answers would be
    garbage.
    """
    layout = ExpertLayout(1, 8, 4, 2, 0.85, 110.0, 180_000.0)
    deputy = MapCoordinator(nonce=1, layout=layout)
    model = GroupModel(Random(1), Faults())
    model.ranks[1].held = model.step + 2
    for rank in (1, 0, 2, 3):
        deputy.observe(model._describe(rank), now=0.0, own=rank == 1)
    now = map_coordinator.LEADER_TIMEOUT_S + map_coordinator.ORPHAN_S
    for rank in {1, 2, 3, 0} - set(stale):
        deputy.observe(
            model._describe(rank), now=now, own=rank == 1, queried=rank in {0, 2, 3}
        )
    deputy.decide(now)
    assert (deputy.phase is Phase.RELEASING) == expected


def test_hold_is_not_released_as_soon_as_it_is_seen():
    """Guard against a deputy that releases a hold which a living leader has ordered.

    Messages of the leader are lost, and it arms the ranks next: the pass would begin
    with two maps.
    """
    layout = ExpertLayout(1, 8, 4, 2, 0.85, 110.0, 180_000.0)
    deputy = MapCoordinator(nonce=1, layout=layout)
    model = GroupModel(Random(1), Faults())
    for rank in (1, 0, 2, 3):
        deputy.observe(model._describe(rank), now=0.0, own=rank == 1)
    seen_at = map_coordinator.LEADER_TIMEOUT_S + map_coordinator.ORPHAN_S
    model.ranks[1].held = model.step + 2
    phases = []
    for now in (seen_at, seen_at + map_coordinator.ORPHAN_S):
        for rank in (1, 2, 3):
            deputy.observe(model._describe(rank), now=now, own=rank == 1)
        deputy.decide(now)
        phases.append(deputy.phase)
    assert phases == [Phase.IDLE, Phase.RELEASING]
    assert map_coordinator.MAX_HOLD_S < map_coordinator.ORPHAN_S


def test_leader_that_was_slow_to_hear_the_ranks_does_not_arm_them():
    """Guard against ranks that are armed when the next leader may release the pass."""
    model = make_model_before_hold()
    model.play(TICK_S)
    leader = model.agents[0].coordinator
    later = model.now + map_coordinator.MAX_HOLD_S + TICK_S
    for rank in (1, 2, 3):
        leader.observe(model._describe(rank), now=later)
    leader.decide(later)
    assert leader.phase is Phase.RELEASING


@pytest.mark.parametrize(
    "delay_s", [map_coordinator.HEARING_TIMEOUT_S, map_coordinator.MAX_HOLD_S]
)
def test_hold_is_not_released_while_another_leader_arms_ranks(delay_s):
    """Guard against two leaders that hold the same pass, of which one gives up.

    Its release would begin the pass with two maps.
    """
    model = make_model_before_hold()
    model.play(TICK_S)
    leader = model.agents[0].coordinator
    step = leader._get_change().step
    armed = replace(model._describe(2), armed_version=99, armed_step=step)
    later = model.now + TICK_S
    leader.observe(armed, now=later)
    for rank in (2, 3):
        leader._known_ranks[rank].received_at = leader._agent_seen_at[rank] = 0.0
    leader.decide(later)
    later += delay_s + TICK_S
    leader.observe(model._describe(0), now=later, own=True)
    actions = leader.decide(later) + leader.decide(later + TICK_S)
    assert leader.phase is not Phase.RELEASING
    orders = [one.order for one in actions if isinstance(one, SendOrder)]
    assert not any(isinstance(one, Release) for one in orders)


def test_leader_that_abandons_a_change_waits_for_ranks_being_armed():
    """The leader has ordered all ranks to arm, and abandons the change at once.

    The orders are on their way to the ranks. An immediate release would begin the pass
    when some of them have arrived and others have not.
    """
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.ARMING:
        model.play(TICK_S)
    for one in leader._known_ranks.values():
        one.state = replace(one.state, armed_version=0, armed_step=0)
    leader._reset()
    assert leader._known_ranks[1].state.held_step
    leader.decide(model.now)
    assert leader.phase is Phase.IDLE


def test_unanswered_order_is_repeated_through_the_agent_of_the_rank():
    """Orders from another machine are lost, seven in a row.

    All streams of the group pause until the pass is released. The agent on the rank's
    own machine needs 2 ms for an order. It does not give the first order: a machine
    that fails right after its order would be the one that holds the group.
    """
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.HOLDING:
        model.play(TICK_S)
    order = Hold(model.epoch, leader._get_change().step + 1)
    first = leader._order(model.now + 1.0, order)
    again = leader._order(model.now + 2.0, order)
    assert [type(one) for one in first] == [SendOrder]
    assert [type(one) for one in again] == [SendOrder, DelegateOrder]


def test_order_to_arm_is_sent_again_only_to_unconfirmed_ranks():
    """One message to a rank is lost while the group is held.

    Sending the order to arm to all ranks repeatedly would fill the link that their
    answers use. Sending it late stops all streams of the group for a quarter of a
    second.
    """
    model = GroupModel(Random(3), Faults(), message_loss=0.0)
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.ARMING:
        model.play(TICK_S)
    change = leader._get_change()
    for rank in (1, 3):
        known = leader._known_ranks[rank]
        known.state = replace(
            known.state, armed_version=change.version, armed_step=change.step
        )
    later = model.now + map_coordinator._ARM_RETRY_S
    sent = [one for one in leader.decide(later) if isinstance(one, SendMapChange)]
    assert [one.to for one in sent] == [("2",)]


def test_older_report_does_not_override_newer_state_from_the_agent():
    """The rank that holds the pass is read by its agent and remotely at the same time.

    The remote report is some tenths of a second old, and arrives a moment later. If it
    counted, the leader would wait for what it already knows, and all streams of the
    group would pause for a quarter of a second.
    """
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.HOLDING:
        model.play(TICK_S)
    change = leader._get_change()
    before = leader._known_ranks[int(change.holder)].state
    holding = replace(before, held_step=change.step)
    leader.observe(holding, now=model.now)
    older = replace(before, held_step=0, messages="")
    leader.observe(older, now=model.now + 0.001, queried=True)
    leader.decide(model.now + 0.002)
    assert leader.phase is Phase.ARMING


def test_remote_report_counts_when_the_agent_is_silent():
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.HOLDING:
        model.play(TICK_S)
    change = leader._get_change()
    before = leader._known_ranks[int(change.holder)]
    holding = replace(before.state, held_step=change.step)
    later = before.received_at + leader.report_lag_s + 0.01
    leader.observe(holding, now=later, queried=True)
    assert leader._known_ranks[int(change.holder)].state.held_step == change.step


def test_release_is_sent_directly_and_through_the_agent_at_once():
    """Orders from another machine are lost while a pass is held.

    All streams pause until the release is sent again. Unlike a hold, it does no harm,
    whichever machine sends it.
    """
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.HOLDING:
        model.play(TICK_S)
    order = Release(model.epoch, leader._get_change().step)
    given = leader._order(model.now + 1.0, order)
    assert {type(one) for one in given} == {SendOrder, DelegateOrder}


@pytest.mark.parametrize("silent", [0, 2])
@pytest.mark.parametrize("seed", SEEDS)
def test_maps_follow_demand_while_an_agent_is_stalled(silent, seed):
    """An agent's process is stalled for seconds while its rank continues to work.

    A leader that waits for its message changes no map meanwhile. Demand shifts, passes
    take twice as long, and a third of the callers are refused until the agent resumes.
    """
    model = GroupModel(Random(seed), Faults())
    model.play(6.0)
    model.agents[silent].down_until = model.now + 12.0
    model.agents[silent].was_stalled = True
    model.play(map_coordinator.LEADER_TIMEOUT_S + map_coordinator.ORPHAN_S + 0.5)
    before = model.changes
    for _ in range(4):
        model.hot = (model.hot + 3) % EXPERTS
        model.play(2.5)
    assert model.changes >= before + 2
    assert (
        model.longest_hold_s
        < map_coordinator.LEADER_TIMEOUT_S + map_coordinator.ORPHAN_S
    )


def test_map_stays_when_too_many_agents_are_silent(monkeypatch):
    """If more agents are silent than the leader can query ranks for, the map stays."""
    monkeypatch.setattr(map_coordinator, "MOST_SILENT", 1)
    model = GroupModel(Random(3), Faults())
    model.play(6.0)
    for silent in (2, 3):
        model.agents[silent].down_until = model.now + 12.0
    model.play(1.0)
    before = model.changes
    model.play(4.0)
    assert model.changes == before


def test_all_silent_ranks_of_a_stalled_group_are_queried():
    """Most agents of a group die while one of their ranks holds it.

    Only their ranks know which of them holds the pass. A leader that always limits the
    number of queries would leave all streams paused until the agents return.
    """
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.IDLE or leader.changes < 1:
        model.play(TICK_S)
    for silent in (1, 2, 3):
        model.agents[silent].down_until = model.now + 60.0
    model.ranks[2].held = model.step + 1
    model.play(map_coordinator.ORPHAN_S + 2 * map_coordinator.STALLED_S + 0.5)
    assert not model.ranks[2].held


def test_group_continues_when_another_leader_supersedes_the_change():
    """Two agents lead for a moment, and one sends its copies after the other's hold.

    No rank can be armed for the first change any more. A leader that waits for them
    holds the group forever, and all its streams end at their deadlines.
    """
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.ARMING:
        model.play(TICK_S)
    for rank in model.ranks:
        rank.armed = None
        rank.prepared += 1
    for agent in model.agents:
        agent.change = None
    for number in range(4):
        leader.observe(model._describe(number), now=model.now, own=number == 0)
    before = model.step
    model.play(0.5)
    assert model.step > before + 3


def observe_group(model, coordinator, *, own=0, now=None):
    """Pass the state of each rank of the model to the coordinator."""
    now = model.now if now is None else now
    for number in range(RANKS):
        coordinator.observe(model._describe(number), now=now, own=number == own)


def find_orders(actions, kind):
    return [
        one
        for one in actions
        if isinstance(one, SendOrder) and isinstance(one.order, kind)
    ]


@pytest.mark.parametrize(
    ("prepared", "map_version", "armed", "expected"),
    [
        ((0, 0, 0, 0), 0, (), Phase.RELEASING),
        ((5, 5, 5, 5), 5, (), Phase.RELEASING),
        ((5, 5, 5, 5), 0, (), Phase.WITHDRAWING),
        ((5, 5, 9, 5), 0, (), Phase.WITHDRAWING),
        ((9, 5, 5, 5), 5, (), Phase.WITHDRAWING),
        ((5, 5, 5, 5), 0, (1,), Phase.ARMING),
        ((5, 5, 9, 5), 0, (1,), Phase.WITHDRAWING),
        ((5, 5, 5, 5), 0, (0, 1, 2, 3), Phase.RELEASING),
    ],
)
def test_hold_of_a_killed_leader_is_released_only_when_no_rank_can_be_armed(
    prepared, map_version, armed, expected
):
    """Guard against an order to arm that is carried out after the release."""
    model = GroupModel(Random(1), Faults())
    step = model.step + 3
    for number, rank in enumerate(model.ranks):
        rank.prepared, rank.map_version = prepared[number], map_version
        rank.armed = (5, step) if number in armed else None
    model.ranks[1].held = step
    leader = MapCoordinator(nonce=1, layout=LAYOUT)
    later = model.now + map_coordinator.ORPHAN_S
    for now in (model.now, later):
        observe_group(model, leader, now=now)
        leader.decide(now)
    assert leader.phase is expected


def test_late_order_to_arm_is_refused_after_a_withdrawal():
    """Guard against a rank that is armed alone after the release, in an idle group."""
    model = make_model_before_hold()
    model.play(TICK_S)
    change = model.agents[0].coordinator._get_change()
    late = Arm(model.epoch, change.version, change.step)
    model.kill_agents()
    model.idle_until = model.now + 30.0
    model.play(5.0)
    assert not any(rank.held for rank in model.ranks)
    for rank in model.ranks:
        assert not rank.carry_out(
            late, step=model.step, epoch=model.epoch, now=model.now
        )
    model.idle_until = model.now
    model.play(3.0)


def test_ranks_are_disarmed_when_another_one_can_not_be_armed():
    """Guard against a group that stays held, as a late order gave a rank newer copies.

    The order to prepare comes from a killed leader and has a higher version than that
    of the next one.
    """
    model = GroupModel(Random(3), Faults(), message_loss=0.0)
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.ARMING:
        model.play(TICK_S)
    change = leader._get_change()
    for rank in model.ranks[:3]:
        rank.armed = (change.version, change.step)
    model.ranks[3].armed = None
    model.ranks[3].prepared = model.ranks[3].highest = change.version + 7
    step = model.step
    model.play(1.5)
    assert model.step > step + 8
    assert {rank.map_version for rank in model.ranks} != {change.version}


def test_pass_is_released_without_a_silent_leader_that_was_armed_before():
    """Guard against a wait for a VM whose last state is from an earlier pass."""
    model = make_model_before_hold()
    while not any(rank.held for rank in model.ranks):
        model.play(TICK_S)
    model.agents[0].stalled_until = model.now + 20.0
    model.agents[0].was_stalled = True
    deputy = model.agents[1].coordinator
    known = deputy._known_ranks[0]
    known.state = replace(known.state, armed_version=1, armed_step=model.step)
    model.play(3.0)
    assert model.longest_hold_s < map_coordinator.LEADER_TIMEOUT_S + 0.3


def test_no_rank_is_disarmed_while_the_change_can_be_completed():
    """Guard against ranks that are disarmed as another leader releases their pass."""
    model = GroupModel(Random(1), Faults())
    step = model.step + 3
    for rank in model.ranks:
        rank.prepared = 5
    model.ranks[2].armed = (5, step)
    model.ranks[1].held = step + 1
    leader = MapCoordinator(nonce=1, layout=LAYOUT)
    later = model.now + map_coordinator.ORPHAN_S
    observe_group(model, leader)
    leader.decide(model.now)
    observe_group(model, leader, now=later)
    assert not find_orders(leader.decide(later), Disarm)
    model.ranks[3].prepared = 9
    observe_group(model, leader, now=later + TICK_S)
    disarmed = find_orders(leader.decide(later + TICK_S), Disarm)
    assert [(one.replica, one.order.version) for one in disarmed] == [("2", 5)]


def test_version_of_an_abandoned_change_is_not_chosen_again():
    """Guard against two maps with one version, as an order to prepare was late.

    No rank reports the version, since each of its orders was lost or is on its way.
    """
    model = GroupModel(Random(3), Faults())
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.PREPARING:
        model.play(TICK_S)
    states = [model._describe(number) for number in range(RANKS)]
    assert leader._make_version(states) > leader._get_change().version


def test_late_hold_of_another_pass_is_released():
    """Guard against a group that is held by an earlier order, and by no change."""
    model = make_model_before_hold()
    model.ranks[1].held = model.step + 1
    model.ranks[2].held = model.step + 1
    model.play(map_coordinator.ORPHAN_S + 0.5)
    step = model.step
    model.play(2.0)
    assert model.step > step + 25


def test_pass_that_was_held_before_is_not_held_again():
    """Guard against a late order to release the pass that was held last."""
    model = GroupModel(Random(3), Faults(), message_loss=0.0)
    leader = model.agents[0].coordinator
    while leader.phase is not Phase.HOLDING:
        model.play(TICK_S)
    change = leader._get_change()
    assert leader._choose_step(model.now) > change.step


@pytest.mark.parametrize("idle_s", [0.0, 4.0])
def test_rank_that_is_armed_without_a_hold_does_not_switch_alone(idle_s):
    """Guard against a late order to arm that fits, whatever let it fit."""
    model = GroupModel(Random(3), Faults(), message_loss=0.0)
    while model.agents[0].coordinator.changes < 1 or any(r.armed for r in model.ranks):
        model.play(TICK_S)
    model.idle_until = model.now + idle_s
    experts = tuple(rank.experts for rank in model.ranks)
    version = model.ranks[0].highest + 1
    for rank in model.ranks:
        rank.prepared = rank.highest = version
        rank.prepared_experts = experts[rank.number]
    model.ranks[2].armed = (version, model.step + 60)
    for agent in model.agents:
        agent.coordinator._reset()
    model.play(8.0)
    assert model.passes > 20
    assert not any(rank.held for rank in model.ranks)


def test_ranks_with_different_maps_are_brought_together(monkeypatch):
    """Guard against a group that computes with two maps until it is formed again."""
    model = GroupModel(Random(3), Faults(), message_loss=0.0)
    while model.agents[0].coordinator.changes < 1 or any(r.armed for r in model.ranks):
        model.play(TICK_S)
    monkeypatch.setattr(model, "_check", lambda: None)
    for agent in model.agents:
        agent.coordinator._reset()
    for rank in model.ranks[2:]:
        rank.map_version = rank.prepared = rank.highest = rank.highest + 5
    model.ranks[2].experts = model.ranks[3].experts
    model.play(map_coordinator.APART_S + 1.0)
    assert len({rank.map_version for rank in model.ranks}) == 1
    held = {expert for rank in model.ranks for expert in rank.experts}
    assert held == set(range(EXPERTS))


def test_large_group_follows_a_shift_of_demand_before_its_next_search_is_due():
    """Demand shifts to other experts right after a search for a better map.

    In a group of 64 ranks, the next search is half a second away. Until then, all
    passes would take twice as long, and every running stream would pause for too long.
    """
    ranks = 64
    layout = ExpertLayout(12, 128, 4, 2, 0.85, 1.0, 180_000.0)
    coordinator = MapCoordinator(nonce=1, layout=layout)
    now, searched = 0.0, []
    interval_s = get_poll_interval_s(ranks)
    for poll in range(8):
        hottest = 2_000 if poll >= 5 else 10
        for rank in range(ranks):
            counts = tuple(
                hottest if expert == 0 else 10
                for _ in range(12)
                for expert in range(128)
            )
            state = make_state(rank, ranks, layout, counts=counts, step=poll)
            at = now + interval_s * rank / ranks
            coordinator.observe(state, now=at, own=rank == 0)
        now += interval_s
        coordinator._reset()
        coordinator.decide(now)
        if coordinator._search.searched_at == now:
            searched.append(poll)
    assert searched[0] <= 1
    assert {5, 6} & set(searched)


def test_experts_received_before_the_layout_is_known_are_used_later():
    """All processes restart, and the ranks name their experts at once.

    The leader reads the configuration half a second later. Ranks name their experts
    again after two seconds. If the leader had dropped them, no map would follow the
    demand until then: passes are long, and returning callers are refused.
    """
    layout = ExpertLayout(1, 24, 4, 2, 0.85, 1.0, 180_000.0)
    coordinator = MapCoordinator(nonce=1)
    for rank in range(12):
        state = make_state(rank, 12, layout)
        coordinator.observe(state, now=0.0, own=rank == 0)
    coordinator.set_layout(layout)
    counts = tuple(100 if expert == 3 else 1 for expert in range(24))
    for rank in range(12):
        state = make_state(rank, 12, layout, experts=(), counts=counts, step=2)
        coordinator.observe(state, now=0.1, own=rank == 0)
    coordinator.decide(0.1)
    assert coordinator.phase is Phase.PREPARING


@pytest.mark.parametrize("experts", [((24,),), ((-1,),), ((0,), (1,))])
def test_experts_outside_the_layout_are_dropped_when_it_becomes_known(experts):
    layout = ExpertLayout(1, 24, 4, 2, 0.85, 1.0, 180_000.0)
    coordinator = MapCoordinator(nonce=1)
    for rank in range(12):
        state = make_state(rank, 12, layout, experts=experts)
        coordinator.observe(state, now=0.0, own=rank == 0)
    coordinator.set_layout(layout)
    counts = (1,) * 24
    for rank in range(12):
        state = make_state(rank, 12, layout, experts=(), counts=counts, step=2)
        coordinator.observe(state, now=0.1, own=rank == 0)
    assert coordinator.decide(0.1) == []


def make_state(rank, ranks, layout, **changes):
    values = {
        "messages": str(rank),
        "replica": str(rank),
        "group": "g",
        "epoch": 1,
        "rank": rank,
        "ranks": ranks,
        "open": True,
        "active": 3,
        "queued": 0,
        "step": 1,
        "map_version": 0,
        "prepared": 0,
        "armed_version": 0,
        "armed_step": 0,
        "held_step": 0,
        "experts": tuple(
            tuple(range(rank, layout.experts, ranks)) for _ in range(layout.sets)
        ),
    }
    return RankState(**values | changes)

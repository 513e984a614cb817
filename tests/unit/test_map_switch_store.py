"""Test the record of a group in the key-value service with injected faults."""

from random import Random

import pytest
import trio
import trio.testing

from hyssopvane._internal.coordination.map_switch import MapSwitchStore
from hyssopvane._internal.exceptions import KeyValueUnavailable
from hyssopvane._internal.policy.expert_maps import spread_evenly
from hyssopvane._internal.policy.rebalancing import (
    GroupCosts,
    MoveRules,
    Rebalancer,
)
from hyssopvane._internal.roles.map_agent import ABORT_AFTER_S, EngineRank, MapAgent
from hyssopvane._internal.roles.map_switcher import MapMover, MapSwitcher, RankClient
from hyssopvane._internal.standins.expert_rank import ExpertRank
from hyssopvane._internal.standins.key_value_state import KeyValueState
from hyssopvane._internal.state.map_switch import Phase
from hyssopvane._internal.utils.metrics import Metrics
from tests.lib.fake_key_value import FakeKeyValueStore, Fault
from tests.lib.map_model import RANKS, EnginePort

MAP = spread_evenly(ranks=3, experts=12)
COSTS = GroupCosts(
    slots=6,
    bytes_per_expert=300_000_000,
    store_bytes_per_s=1e9,
    base_step_s=0.0045,
    s_per_token=0.00001,
)
HOT = (900.0, *([50.0] * 11))
EVEN = (100.0,) * 12
RULES = MoveRules(skew_worth=10.0, move_cost=1.0)
COORDINATOR_KEY = b"maps/draft/group-1/duty"


class World:
    """Run a key-value service, engines with their agents, and coordinators."""

    def __init__(self, nursery, names=RANKS):
        self.nursery = nursery
        self.names = names
        self.fakes = {}
        self.state = KeyValueState(trio.current_time)
        self.faults = {}
        self.metrics = Metrics(role="test", vm="test")
        self.caller = AgentCaller(self)
        self.ranks = {name: ModelRank() for name in names}
        self.agents = {
            name: MapAgent(
                rank=name,
                group="group-1",
                engine=self.ranks[name],
                store=self.open_store(name),
                metrics=self.metrics,
                random=Random(name),
            )
            for name in names
        }

    def open_store(self, user):
        """Return a store that takes its next faults from the user's list."""
        faults = self.faults.setdefault(user, [])
        fake = self.fakes[user] = FakeKeyValueStore(
            self.state,
            self.nursery,
            choose_fault=lambda: faults.pop(0) if faults else Fault.NONE,
        )
        return MapSwitchStore(fake, service="draft", group="group-1")

    def make_switcher(self, user, store=None):
        return MapSwitcher(
            group="group-1",
            ranks=frozenset(self.names),
            store=store or self.open_store(user),
            caller=self.caller,
            metrics=self.metrics,
        )

    async def make_lease(self, holder):
        """Acquire the coordinator lock and return its lease."""
        store = self.open_store(holder)
        lease = await self.fakes[holder].grant_lease(30)
        assert await store.acquire_coordinator_lock(holder, lease)
        return lease

    def make_mover(self, holder):
        store = self.open_store(holder)
        return MapMover(
            holder=holder,
            store=self.fakes[holder],
            switch_store=store,
            switcher=self.make_switcher(holder, store),
            rebalancer=Rebalancer(COSTS, MAP),
        )

    def start_engines(self):
        for rank in self.ranks.values():
            self.nursery.start_soon(rank.run)

    def start_agents(self):
        for agent in self.agents.values():
            self.nursery.start_soon(agent.run)

    async def wait_for_map(self, name):
        with trio.fail_after(600):
            while {rank.get_map() for rank in self.ranks.values()} != {name}:
                await trio.sleep(0.1)


class ModelRank(EngineRank):
    """Pass orders to an engine in the same process."""

    def __init__(self):
        self.port = EnginePort(ExpertRank("initial", checks_fence=False))

    async def run(self):
        while True:
            await trio.sleep(0.0045)
            self.port.rank.advance_step()

    def get_map(self):
        return "" if self.port.rank.armed else self.port.rank.map

    async def get_view(self):
        await trio.lowlevel.checkpoint()
        return self.port.get_view()

    async def send(self, order):
        await trio.lowlevel.checkpoint()
        return self.port.carry_out(order) or ""


class AgentCaller(RankClient):
    """Call agents in the same process and count messages and bytes."""

    def __init__(self, world):
        self._world = world
        self.messages = 0
        self.bytes = 0

    async def ask(self, vm, topic, body):
        answer = await self._world.agents[vm].answer_order(None, body)
        self.messages += 2
        self.bytes += len(body) + len(answer)
        return answer


def run_world(run):
    """Run a scenario on a mock clock that skips waiting times."""

    async def main():
        async with trio.open_nursery() as nursery:
            await run(World(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    "fault", [Fault.NONE, Fault.LOST_REPLY, Fault.LOST_WRITE, Fault.LATE_WRITE]
)
@pytest.mark.parametrize("write", range(3))
def test_lost_answer_is_read_back(fault, write):
    """Guard against treating a lost answer as a failed write.

    The answer to one write of a switch is lost, whether or not the write was applied. A
    coordinator that gave up would leave the group armed with all its ranks waiting.
    """

    async def run(world):
        store = world.open_store("coordinator")
        faults = world.faults["coordinator"]
        for index, change in enumerate(
            (
                lambda: store.propose("a", MAP),
                lambda: store.fix_step(1, 50),
                lambda: store.decide(1),
            )
        ):
            if index == write:
                # A proposal reads the maps first.
                faults += [Fault.NONE, fault] if index == 0 else [fault]
            assert await change() is not None
        read = (await world.open_store("other").read()).record
        assert [one.name for one in read.switches] == ["initial", "a.1"]

    run_world(run)


@pytest.mark.parametrize("first", ["decide", "abort"])
def test_first_of_two_writers_wins(first):
    """Guard against a proposal that is both decided and aborted.

    A paused coordinator decides a proposal that another has aborted, or the reverse. If
    both writes succeeded, only some ranks would switch.
    """

    async def run(world):
        one, two = world.open_store("one"), world.open_store("two")
        await one.propose("a", MAP)
        await one.fix_step(1, 50)
        await two.read()
        if first == "decide":
            assert await one.decide(1) is not None
            assert await two.abort(1, "late") is None
        else:
            assert await one.abort(1, "first") is not None
            assert await two.decide(1) is None
        phase = Phase.DECIDED if first == "decide" else Phase.ABORTED
        assert (await one.read()).record.proposal.phase is phase
        assert two.known.record.proposal.phase is phase

    run_world(run)


def test_restarted_rank_detects_an_outdated_record():
    """Guard against a restarted rank that has read a record without the open proposal.

    It would start on the old map and run past the armed step while the others switch.
    """

    async def run(world):
        one, restarted = world.open_store("one"), world.open_store("restarted")
        await restarted.read()
        await one.propose("a", MAP)
        await one.fix_step(1, 50)
        confirmed = await restarted.confirm_for_restart()
        assert confirmed.record.proposal.phase is Phase.ABORTED
        assert await one.decide(1) is None

    run_world(run)


def test_unused_maps_are_deleted():
    async def run(world):
        store = world.open_store("one")
        for fence in range(1, 6):
            await store.propose(f"map-{fence}", MAP)
            await store.fix_step(fence, fence * 10)
            await store.decide(fence)
        assert await store.read_map("map-5.5") == MAP
        assert await store.read_map("map-4.4") == MAP
        assert await store.read_map("map-1.1") is None

    run_world(run)


@pytest.mark.parametrize(
    ("loads", "used"), [(HOT, "map-1.1"), (EVEN, "initial")], ids=["hot", "even"]
)
def test_mover_moves_experts_when_the_benefit_exceeds_the_cost(loads, used):
    async def run(world):
        world.start_engines()
        mover = world.make_mover("entry-1")
        ended = await mover.move_if_worth(loads, RULES, now=0.0, hour=0)
        assert ended is (None if used == "initial" else Phase.DECIDED)
        await world.wait_for_map(used)
        # The lease and its key are released when the move ends.
        assert world.state.get_range(COORDINATOR_KEY) == []

    run_world(run)


def test_second_mover_leaves_the_move_to_the_first():
    async def run(world):
        world.start_engines()
        lease = await world.make_lease("entry-1")
        mover = world.make_mover("entry-2")
        assert await mover.move_if_worth(HOT, RULES, now=0.0, hour=0) is None
        assert world.state.get_range(COORDINATOR_KEY)[0].lease == lease
        record = (await world.open_store("other").read()).record
        assert record.proposal is None

    run_world(run)


def test_mover_finishes_the_proposal_of_a_failed_coordinator():
    """Guard against a proposal that stays open after its coordinator has died.

    After the coordinator's lease expires, the proposal would keep memory of the ranks
    in use and block every later move.
    """

    async def run(world):
        world.start_engines()
        await world.make_lease("entry-1")
        await world.open_store("entry-1").propose("a", MAP)
        mover = world.make_mover("entry-2")
        await trio.sleep(31)
        assert await mover.move_if_worth(HOT, RULES, now=0.0, hour=0) is None
        await world.wait_for_map("a.1")

    run_world(run)


def test_switch_of_a_large_group_needs_few_messages():
    """Guard against a number of calls that grows with the square of the ranks.

    It would use up the service's rate when several groups switch at the same time. The
    test switches 64 ranks without faults.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery, tuple(f"rank-{index:02d}" for index in range(64)))
            world.start_engines()
            ended = await world.make_switcher("coordinator").move("a", MAP)
            assert ended is Phase.DECIDED
            await world.wait_for_map("a.1")
            calls = sum(fake.calls for fake in world.fakes.values())
            record = world.state.get_range(b"maps/draft/group-1/switch")[0]
            print(calls, world.caller.messages, world.caller.bytes, len(record.value))
            # Staging, arming and the decision each need one query to each rank, and
            # each queried agent reads the service once.
            assert world.caller.messages <= 3 * 2 * 64
            assert calls <= 3 * 64 + 10
            assert world.caller.bytes <= 64 * 1024
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_group_switches_and_counts_it():
    async def run(world):
        world.start_engines()
        ended = await world.make_switcher("coordinator").move("a", MAP)
        assert ended is Phase.DECIDED
        await world.wait_for_map("a.1")
        rendered = world.metrics.render().decode()
        assert 'event="map-move-started"' in rendered
        assert 'event="map-move-decided"' in rendered

    run_world(run)


def test_waiting_ranks_abort_without_a_coordinator():
    """Guard against ranks that wait forever for a coordinator that has died.

    It dies after it has armed all ranks. The group is stalled at the armed step until
    one agent writes the abort.
    """

    async def run(world):
        world.start_engines()
        with trio.move_on_after(5):
            switcher = world.make_switcher("coordinator")
            store = switcher._store

            async def decide(fence):
                await trio.sleep_forever()

            store.decide = decide
            await switcher.move("a", MAP)
        assert all(one.port.rank.armed for one in world.ranks.values())
        world.start_agents()
        await trio.sleep(ABORT_AFTER_S + 5)
        record = (await world.open_store("other").read()).record
        assert record.proposal.phase is Phase.ABORTED
        assert "waited too long" in record.proposal.why
        await world.wait_for_map("initial")
        assert 'event="map-waiting"' in world.metrics.render().decode()

    run_world(run)


def test_no_rank_is_armed_during_an_outage_of_the_service():
    """Guard against armed ranks that wait for a decision during an outage.

    Agents lose the service after the step was fixed, so no decision can be written or
    read.
    """

    async def run(world):
        store = world.open_store("coordinator")
        switcher = world.make_switcher("coordinator")
        await store.propose("a", MAP)
        await store.fix_step(1, 50)
        for name in RANKS:
            world.faults[name] += [Fault.DOWN] * 1000
        with trio.move_on_after(2):
            await switcher.finish()
        assert not any(one.port.rank.armed for one in world.ranks.values())
        refused = 'event="map-order-refused-no-service"'
        assert refused in world.metrics.render().decode()

    run_world(run)


def test_outage_of_the_service_raises_an_error_at_the_coordinator():
    async def run(world):
        store = world.open_store("coordinator")
        world.faults["coordinator"] += [Fault.DOWN] * 10
        with pytest.raises(KeyValueUnavailable):
            await store.propose("a", MAP)

    run_world(run)


async def lose_decision(world):
    """Decide a map, then restore the service from a copy made before the decision."""
    store = world.open_store("knows")
    await store.propose("first", MAP)
    copy = world.state.copy_items()
    fence = store.known.record.fence
    await store.fix_step(fence, 100)
    await store.decide(fence)
    world.state = copy
    for fake in world.fakes.values():
        fake.state = copy
    return store


def test_decision_that_the_service_lost_is_written_again():
    """Guard against ranks or coordinators that revert to an older record."""

    async def run(world):
        knows = await lose_decision(world)
        decided = (await knows.read()).record
        assert decided.current.map == "first"
        assert (await world.open_store("fresh").read()).record == decided

    run_world(run)


def test_coordinator_that_knows_a_lost_record_proposes_with_a_new_fence():
    """Guard against a group that can't be moved again and against a reused fence."""

    async def run(world):
        knows = await lose_decision(world)
        lost_fence = knows.known.record.fence
        proposed = await knows.propose("second", MAP)
        assert proposed is not None
        assert proposed.record.current.map == "first"
        assert proposed.record.fence > lost_fence
        fresh = world.open_store("fresh")
        await fresh.read()
        assert await fresh.abort(proposed.record.fence, "test") is not None
        again = await fresh.propose("third", MAP)
        assert again is not None
        assert again.record.fence > proposed.record.fence

    run_world(run)


def test_coordinator_started_after_a_restore_reuses_no_lost_fence():
    """Guard against one fence for two proposals of a group."""

    async def run(world):
        first = world.open_store("first")
        await first.propose("first", MAP)
        await first.abort(first.known.record.fence, "test")
        copy = world.state.copy_items()
        await first.propose("lost", MAP)
        lost_fence = first.known.record.fence
        world.state = copy
        for fake in world.fakes.values():
            fake.state = copy
        proposed = await world.open_store("fresh").propose("fresh", MAP)
        assert proposed is not None
        assert proposed.record.fence > lost_fence

    run_world(run)

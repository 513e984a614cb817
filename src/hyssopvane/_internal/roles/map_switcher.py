"""Switch the expert map of a group: propose, stage, arm and decide."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import trio

from hyssopvane._internal.coordination.key_value import NO_LEASE, KeyValueStore
from hyssopvane._internal.coordination.map_records import format_order, parse_answer
from hyssopvane._internal.coordination.map_switch import MapSwitchStore
from hyssopvane._internal.exceptions import (
    HyssopvaneError,
    KeyValueError,
    MapSwitchError,
    PeerLost,
)
from hyssopvane._internal.policy.expert_maps import ExpertMap
from hyssopvane._internal.policy.rebalancing import MoveRules, Rebalancer
from hyssopvane._internal.roles.map_agent import MAP_ORDER_TOPIC
from hyssopvane._internal.state.map_switch import (
    GroupRecord,
    Move,
    NextMove,
    Phase,
    SwitchProgress,
)
from hyssopvane._internal.utils.logs import log_event
from hyssopvane._internal.utils.metrics import Metrics


@dataclass(frozen=True, slots=True)
class SwitchTimes:
    """Hold the timeouts, intervals and limits of a switch."""

    margin_steps: int = 400
    """Steps from the furthest rank to the switch: 1.8 s at 4.5 ms a step.

    Arming takes a read of the key-value service and two calls on each rank. With too
    few steps a rank passes the step before it is armed, and the proposal is aborted.
    With more steps the switch takes effect later.
    """
    query_retry_s: float = 0.1
    staging_poll_s: float = 1.0
    """Interval between queries while weights are fetched, for seconds to minutes."""
    arm_timeout_s: float = 10.0
    """Time for arming, and for one query then; the proposal is aborted after it."""
    stage_timeout_s: float = 1800.0
    """Time for staging, and for one query then; the proposal is aborted after it."""
    max_staging: int = 8
    """Maximum number of ranks that fetch weights at the same time.

    More ranks would share the same limited rate of the weight store, and each rank that
    fetches slows down the steps of the whole group.
    """
    lease_s: int = 30


class RankClient(ABC):
    """Query the agents of a group's ranks."""

    @abstractmethod
    async def ask(self, vm: str, topic: str, body: bytes) -> bytes:
        """Return an agent's answer; raise `PeerLost` when there is none."""


class MapSwitcher:
    """Drive the proposals of one group to a decision or an abort.

    Any number of switchers may run for one group, even one that was paused for a long
    time: each write is a compare-and-swap on the group's record that checks fence and
    phase.
    """

    def __init__(
        self,
        *,
        group: str,
        ranks: frozenset[str],
        store: MapSwitchStore,
        caller: RankClient,
        metrics: Metrics,
        times: SwitchTimes | None = None,
    ) -> None:
        self._group = group
        self._ranks = ranks
        self._store = store
        self._caller = caller
        self._metrics = metrics
        self._times = times or SwitchTimes()

    async def move(
        self, name: str, expert_map: ExpertMap, *, weights_bytes: int = 0
    ) -> Phase | None:
        """Propose a map and return how it ended; `None` when another one is open.

        Raise `KeyValueError` when the key-value service is unavailable. The proposal
        may then be open, and the next coordinator drives it to its end.
        """
        proposed = await self._store.propose(
            name, expert_map, weights_bytes=weights_bytes
        )
        if proposed is None:
            return None
        self._count("started", proposed.record)
        return await self.finish()

    async def finish(self) -> Phase | None:
        """Drive the open proposal to its end, even one of another coordinator."""
        progress = SwitchProgress(self._ranks, self._times.margin_steps)
        progress.learn((await self._store.read()).record)
        fence = progress.record.fence
        phase_started_at, phase = trio.current_time(), None
        while (move := progress.plan()).move is not Move.END:
            proposal = progress.record.open_proposal
            assert proposal is not None
            if proposal.phase is not phase:
                phase, phase_started_at = proposal.phase, trio.current_time()
            move = self._apply_timeout(move, proposal.phase, phase_started_at)
            await self._carry_out(move, progress)
            progress.learn(self._store.known.record)
            if progress.record.fence != fence:
                # The proposal ended and another coordinator opened a new one.
                return self._get_outcome(progress.record, fence)
        await self._query_ranks(progress, self._ranks)
        return self._get_outcome(progress.record, fence)

    def _apply_timeout(
        self, move: NextMove, phase: Phase, phase_started_at: float
    ) -> NextMove:
        staging = phase is Phase.STAGING
        timeout_s = (
            self._times.stage_timeout_s if staging else self._times.arm_timeout_s
        )
        if (
            move.move is not Move.ASK
            or trio.current_time() - phase_started_at < timeout_s
        ):
            return move
        missing = ",".join(sorted(move.ranks)[:3])
        return NextMove(Move.ABORT, why=f"{phase} took too long, missing {missing}")

    async def _carry_out(self, move: NextMove, progress: SwitchProgress) -> None:
        fence = progress.record.fence
        match move.move:
            case Move.ASK:
                if await self._query_ranks(progress, move.ranks):
                    return
                await trio.sleep(self._get_retry_s(progress.record))
                # Another coordinator may have ended the proposal in the meantime.
                await self._store.read()
            case Move.FIX_STEP:
                await self._store.fix_step(fence, move.step)
            case Move.DECIDE:
                if await self._store.decide(fence) is not None:
                    self._count("decided", self._store.known.record)
            case Move.ABORT:
                if await self._store.abort(fence, move.why) is not None:
                    self._count("aborted", self._store.known.record)
            case Move.END:
                pass

    async def _query_ranks(
        self, progress: SwitchProgress, ranks: frozenset[str]
    ) -> bool:
        """Query ranks and return whether their answers changed the next move."""
        before = progress.plan()
        limiter = trio.CapacityLimiter(self._get_max_queries(progress.record))
        async with trio.open_nursery() as nursery:
            for rank in sorted(ranks):
                nursery.start_soon(self._query_rank, rank, progress, limiter)
        return progress.plan() != before

    def _get_retry_s(self, record: GroupRecord) -> float:
        proposal = record.open_proposal
        staging = proposal is not None and proposal.phase is Phase.STAGING
        return self._times.staging_poll_s if staging else self._times.query_retry_s

    def _get_max_queries(self, record: GroupRecord) -> int:
        proposal = record.open_proposal
        if proposal is not None and proposal.phase is Phase.STAGING:
            return self._times.max_staging
        return max(1, len(self._ranks))

    async def _query_rank(
        self, rank: str, progress: SwitchProgress, limiter: trio.CapacityLimiter
    ) -> None:
        fence = progress.record.fence
        body = format_order(self._group, fence)
        proposal = progress.record.open_proposal
        staging = proposal is not None and proposal.phase is Phase.STAGING
        timeout_s = (
            self._times.stage_timeout_s if staging else self._times.arm_timeout_s
        )
        async with limiter:
            try:
                # An agent on a silent connection must not delay the others.
                with trio.move_on_after(timeout_s):
                    answer = await self._caller.ask(rank, MAP_ORDER_TOPIC, body)
                    progress.receive(parse_answer(answer, rank=rank))
            except (PeerLost, MapSwitchError) as error:
                log_event("debug", "map-rank-silent", rank=rank, why=error)

    def _get_outcome(self, record: GroupRecord, fence: int) -> Phase | None:
        if any(one.fence == fence for one in record.switches):
            return Phase.DECIDED
        return Phase.ABORTED if fence else None

    def _count(self, event: str, record: GroupRecord) -> None:
        proposal = record.proposal
        assert proposal is not None
        self._metrics.count_event(f"map-move-{event}")
        log_event(
            "info",
            f"map-move-{event}",
            group=self._group,
            map=proposal.name,
            step=proposal.step,
            why=proposal.why or "-",
        )


class MapMover:
    """Evaluate and carry out the expert moves of one group.

    The lease avoids duplicate moves by other entries. It is taken only for a move, so
    that an unchanged group causes no load on the key-value service. Safety doesn't
    depend on it.
    """

    def __init__(
        self,
        *,
        holder: str,
        store: KeyValueStore,
        switch_store: MapSwitchStore,
        switcher: MapSwitcher,
        rebalancer: Rebalancer,
        times: SwitchTimes | None = None,
    ) -> None:
        self._holder = holder
        self._store = store
        self._switch_store = switch_store
        self._switcher = switcher
        self._rebalancer = rebalancer
        self._times = times or SwitchTimes()

    async def move_if_worth(
        self, loads: tuple[float, ...], rules: MoveRules, *, now: float, hour: int
    ) -> Phase | None:
        """Move the experts if the gain exceeds the cost; return how the move ended."""
        evaluated = self._rebalancer.choose_move(loads, rules, now=now, hour=hour)
        if evaluated is None:
            return None
        self._rebalancer.begin()
        used = self._rebalancer.current
        try:
            ended = await self._move_under_lease(evaluated.map, evaluated.bytes_moved)
            used = evaluated.map if ended is Phase.DECIDED else used
        except KeyValueError as error:
            log_event("warning", "map-move-put-off", why=error)
            ended = None
        finally:
            self._rebalancer.end(used, now=now)
        return ended

    async def _move_under_lease(
        self, expert_map: ExpertMap, weights_bytes: int
    ) -> Phase | None:
        lease = NO_LEASE
        try:
            lease = await self._store.grant_lease(self._times.lease_s)
            if not await self._switch_store.acquire_coordinator_lock(
                self._holder, lease
            ):
                return None
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._keep_lease, lease)
                ended = await self._move(expert_map, weights_bytes)
                nursery.cancel_scope.cancel()
            return ended
        finally:
            await self._release(lease)

    async def _move(self, expert_map: ExpertMap, weights_bytes: int) -> Phase | None:
        record = (await self._switch_store.read()).record
        if record.open_proposal is not None:
            # Left open by a dead coordinator; the ranks may be waiting for its end.
            await self._switcher.finish()
            return None
        name = f"map-{record.fence + 1}"
        return await self._switcher.move(name, expert_map, weights_bytes=weights_bytes)

    async def _keep_lease(self, lease: int) -> None:
        while True:
            await trio.sleep(self._times.lease_s / 3)
            try:
                await self._store.keep_lease(lease)
            except KeyValueError as error:
                log_event("debug", "map-lease-not-kept", why=error)

    async def _release(self, lease: int) -> None:
        try:
            await self._switch_store.release_coordinator_lock(lease)
        except HyssopvaneError as error:
            # The lease expires by itself.
            log_event("debug", "map-lease-not-released", why=error)

"""Decide when the ranks of a group use which expert map.

A group has one record in the key-value service. It is changed only by compare-and-swap,
so that whoever writes first decides, and everyone else finds out. What a rank does
follows from the record and from what its engine says; an order from a coordinator only
tells the rank's agent to look.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from hyssopvane._internal.state.store_position import StorePosition

INITIAL_MAP = "initial"
"""Map of a group that has never switched."""

KEPT_SWITCHES = 8
"""Decided switches that a record keeps.

A step is fixed only after every rank has reported the map in force, so no rank can be
more than one switch behind; the others are kept for operators to read.
"""


class Phase(StrEnum):
    """Name how far a proposed switch has come."""

    STAGING = "staging"
    ARMING = "arming"
    DECIDED = "decided"
    ABORTED = "aborted"


OPEN_PHASES = frozenset({Phase.STAGING, Phase.ARMING})


@dataclass(frozen=True, slots=True)
class Proposal:
    """Hold the switch that was proposed last."""

    fence: int
    map: str
    phase: Phase = Phase.STAGING
    step: int = 0
    """First step with the new map; 0 until it is fixed."""
    weights_bytes: int = 0
    """Weights that the rank with the most new experts has to fetch."""
    why: str = ""
    """Why it was aborted."""

    @property
    def name(self) -> str:
        """Return the name by which engines know this map."""
        return get_engine_name(self.map, self.fence)

    @property
    def is_open(self) -> bool:
        """Tell whether it can still be decided or aborted."""
        return self.phase in OPEN_PHASES


@dataclass(frozen=True, slots=True)
class Switch:
    """Tell from which step on a map is used."""

    map: str
    step: int
    fence: int

    @property
    def name(self) -> str:
        """Return the name by which engines know this map."""
        return get_engine_name(self.map, self.fence)


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """Hold what is decided and proposed for one group."""

    fence: int = 0
    """Highest fencing number that was given out."""
    switches: tuple[Switch, ...] = (Switch(INITIAL_MAP, 0, 0),)
    """Decided switches, oldest first."""
    proposal: Proposal | None = None

    @property
    def current(self) -> Switch:
        """Return the switch that was decided last."""
        return self.switches[-1]

    @property
    def open_proposal(self) -> Proposal | None:
        """Return the proposal that is neither decided nor aborted."""
        proposal = self.proposal
        return proposal if proposal is not None and proposal.is_open else None

    def get_switch(self, step: int) -> Switch:
        """Return the switch whose map is used in a step."""
        used = [switch for switch in self.switches if switch.step <= step]
        return used[-1] if used else self.switches[0]

    def is_ahead_of(self, other: "GroupRecord") -> bool:
        """Tell whether the group had come further by this record."""
        return self._get_progress() > other._get_progress()

    def _get_progress(self) -> tuple[int, int, int]:
        proposal = self.proposal
        phase = -1 if proposal is None else list(Phase).index(proposal.phase)
        return self.fence, self.current.fence, phase

    def find_switch(self, name: str) -> Switch | None:
        """Return the decided switch to the map that engines know by a name."""
        return next((one for one in self.switches if one.name == name), None)


def get_engine_name(expert_map: str, fence: int) -> str:
    """Return the name under which an engine is told of a map.

    An order can reach an engine long after its proposal ended, and an engine that
    ignores fencing numbers would carry it out: the abort of an earlier proposal of the
    same map would disarm one rank of the current one, which would then go on with the
    old map while the others switch. As the fence is part of the name, an old order
    names something that the engine does not hold.
    """
    return expert_map if fence == 0 else f"{expert_map}.{fence}"


def get_name_fence(name: str) -> int:
    """Return the fence in an engine's name for a map."""
    _, _, fence = name.rpartition(".")
    return int(fence) if fence.isdecimal() else 0


def propose(
    record: GroupRecord,
    expert_map: str,
    *,
    weights_bytes: int = 0,
    least_fence: int = 0,
) -> GroupRecord | None:
    """Open a proposal with a new fence, or return None while one is open.

    The map in use is not proposed again either.
    """
    if record.open_proposal is not None or record.current.map == expert_map:
        return None
    fence = max(record.fence + 1, least_fence)
    proposal = Proposal(fence, expert_map, weights_bytes=weights_bytes)
    return replace(record, fence=fence, proposal=proposal)


def fix_step(record: GroupRecord, fence: int, step: int) -> GroupRecord | None:
    """Fix the step of a staged proposal once, or return None when it can't be."""
    proposal = record.open_proposal
    if proposal is None or proposal.fence != fence or proposal.phase is Phase.ARMING:
        return None
    arming = replace(proposal, phase=Phase.ARMING, step=step)
    return replace(record, proposal=arming)


def decide(record: GroupRecord, fence: int) -> GroupRecord | None:
    """Decide an armed proposal, or return None when it has ended."""
    proposal = record.open_proposal
    if proposal is None or proposal.fence != fence or proposal.phase is Phase.STAGING:
        return None
    switch = Switch(proposal.map, proposal.step, fence)
    switches = (*record.switches, switch)[-KEPT_SWITCHES:]
    decided = replace(proposal, phase=Phase.DECIDED)
    return replace(record, switches=switches, proposal=decided)


def abort(record: GroupRecord, fence: int, why: str) -> GroupRecord | None:
    """Abort an open proposal, or return None when it has ended."""
    proposal = record.open_proposal
    if proposal is None or proposal.fence != fence:
        return None
    aborted = replace(proposal, phase=Phase.ABORTED, why=why)
    return replace(record, proposal=aborted)


def confirm_for_restart(record: GroupRecord) -> GroupRecord:
    """Return the record that a restarted rank writes before it takes a step.

    The rank may have been armed before and has forgotten it. Were the proposal decided
    after that, the others would switch and this rank would not. So the rank aborts an
    open proposal, or finds that the decision was first. With none open it writes the
    record unchanged, because a plain read may be answered with an old state of the
    record that hides an open proposal; a compare-and-swap can't be.
    """
    proposal = record.open_proposal
    if proposal is None:
        return record
    return abort(record, proposal.fence, "a rank restarted") or record


class OrderKind(StrEnum):
    """Name what an engine is asked to do with a map."""

    STAGE = "stage"
    ARM = "arm"
    DECIDE = "decide"
    ABORT = "abort"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Ask an engine to do something with a map."""

    kind: OrderKind
    name: str
    """Name by which the engine knows the map."""
    step: int = 0
    weights_bytes: int = 0
    fence: int = 0
    """Highest fencing number that the service has shown."""


@dataclass(frozen=True, slots=True)
class RankView:
    """Hold what an engine says of its rank."""

    step: int
    """Last step that was begun."""
    map: str
    """Map in use; empty after a restart, when the rank takes no step."""
    staged: frozenset[str] = frozenset()
    armed: str = ""
    armed_step: int = 0
    armed_decided: bool = False

    @property
    def is_held(self) -> bool:
        """Tell whether the rank waits for its first map since it started."""
        return not self.map

    @property
    def waits(self) -> bool:
        """Tell whether the rank has come to a step whose map it does not know."""
        undecided = bool(self.armed) and not self.armed_decided
        return undecided and self.step + 1 >= self.armed_step


class OrderRefusal(StrEnum):
    """Name why an agent does not follow a coordinator's order."""

    OLD_FENCE = "old-fence"
    UNKNOWN_FENCE = "unknown-fence"
    NO_SERVICE = "no-service"
    NO_ENGINE = "no-engine"


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """Hold a record with the revision at which it was written; 0 when it is absent."""

    record: GroupRecord = GroupRecord()
    revision: int = 0
    era: int = 0
    """Era of the service in which it was read or written."""
    prefix: bytes = b""
    """First bytes of its value in the service."""

    @property
    def position(self) -> StorePosition:
        """Return the point of the service's history that orders records."""
        return StorePosition(self.era, self.revision)


class RankSwitchPlanner:
    """Keep what the agent of one rank knows, and choose its orders to the engine."""

    def __init__(self) -> None:
        self.known = VersionedRecord()
        self._confirmed = False

    @property
    def highest_fence(self) -> int:
        """Return the highest fence that the service has shown."""
        return self.known.record.fence

    def learn(self, read: VersionedRecord) -> None:
        """Take over a record that was read from the service, unless it is older.

        A read may show an old state of the record. To go back to it would stage and
        arm a proposal that has ended.
        """
        if read.position > self.known.position:
            self.known = read

    def confirm(self, written: VersionedRecord) -> None:
        """Take over the record that was written by compare-and-swap for a held rank."""
        self.learn(written)
        self._confirmed = True

    def needs_confirmation(self, rank: RankView) -> bool:
        """Tell whether the record must be confirmed before the rank may start."""
        return rank.is_held and not self._confirmed

    def find_refusal(self, fence: int) -> OrderRefusal | None:
        """Return why a coordinator's order is not followed.

        A coordinator that was paused past its lease sends orders of a proposal that
        has long ended, and engines that ignore fencing numbers would take them.
        """
        if fence < self.highest_fence:
            return OrderRefusal.OLD_FENCE
        # The service gives fences out, so one it has not shown yet is from a record
        # newer than the one that was read; the coordinator asks again.
        return OrderRefusal.UNKNOWN_FENCE if fence > self.highest_fence else None

    def plan(self, rank: RankView, *, is_fresh: bool) -> EngineOrder | None:
        """Return the next order; `is_fresh` tells that the service has just answered.

        While the service is out nothing is armed: the rank would wait at the step for
        a decision that nobody can write or read, and hold the whole group back.
        """
        if self.needs_confirmation(rank):
            return None
        order = plan_order(self.known.record, rank)
        if order is None or (order.kind is OrderKind.ARM and not is_fresh):
            return None
        return order

    def note_order(self, order: EngineOrder, rank: RankView) -> None:
        """Take note of an order that is sent to the engine."""
        starts = rank.is_held and order.kind is OrderKind.DECIDE
        if starts and order.name != rank.armed:
            # From now on the rank may take steps and be armed, so a restart that
            # follows has to be confirmed anew.
            self._confirmed = False


def plan_order(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    """Return the next order that brings a rank in line with the record.

    A held rank is only to be given a record that was confirmed after its restart.
    """
    if rank.is_held:
        order: EngineOrder | None = _plan_start(record, rank)
    else:
        order = (
            _plan_arming_result(record, rank)
            or _plan_cleanup(record, rank)
            or _plan_pending(record, rank)
            or _plan_proposal(record, rank)
        )
    # Every order carries the newest fence that is known, also one about an older map:
    # an engine that checks fences would refuse it otherwise.
    return order and replace(order, fence=record.fence)


def _plan_arming_result(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    if not rank.armed or rank.armed_decided:
        return None
    if record.find_switch(rank.armed) is not None:
        return EngineOrder(OrderKind.DECIDE, rank.armed)
    return _plan_abort(record, rank.armed)


def _plan_cleanup(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    # A stage order that arrives after its proposal ended would hold memory for ever.
    for name in sorted(rank.staged - {rank.armed}):
        switch = record.find_switch(name)
        if switch is None or switch.step <= rank.step:
            order = _plan_abort(record, name)
            if order is not None:
                return order
    return None


def _plan_abort(record: GroupRecord, name: str) -> EngineOrder | None:
    fence = get_name_fence(name)
    proposal = record.open_proposal
    is_open = proposal is not None and proposal.fence == fence
    # A name with a later fence comes of a newer record than the one that was read.
    if is_open or fence > record.fence:
        return None
    return EngineOrder(OrderKind.ABORT, name)


def _plan_pending(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    """Return the next order for a decided switch whose step is still to come."""
    switch = record.current
    if switch.step <= rank.step or rank.armed_decided:
        return None
    return _plan_stage_or_arm(rank, switch.name, switch.step)


def _plan_proposal(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    proposal = record.open_proposal
    if proposal is None or rank.armed:
        return None
    order = _plan_stage_or_arm(rank, proposal.name, proposal.step)
    if order is None or order.kind is OrderKind.STAGE:
        return order and replace(order, weights_bytes=proposal.weights_bytes)
    return order if proposal.phase is Phase.ARMING else None


def _plan_stage_or_arm(rank: RankView, name: str, step: int) -> EngineOrder | None:
    if name not in rank.staged:
        return EngineOrder(OrderKind.STAGE, name)
    if rank.armed != name:
        return EngineOrder(OrderKind.ARM, name, step=step)
    return None


def _plan_start(record: GroupRecord, rank: RankView) -> EngineOrder:
    """Return the next order for a rank that has no map since its restart."""
    used = record.get_switch(rank.step + 1)
    if used.name not in rank.staged:
        return EngineOrder(OrderKind.STAGE, used.name)
    later = record.current
    if later != used and not rank.armed_decided:
        # The rank is armed before it gets the map that lets it take steps, so that it
        # can't run past a switch that is decided but still to come.
        order = _plan_stage_or_arm(rank, later.name, later.step)
        return order or EngineOrder(OrderKind.DECIDE, later.name)
    return EngineOrder(OrderKind.DECIDE, used.name)


@dataclass(frozen=True, slots=True)
class RankAnswer:
    """Tell a coordinator how far one rank is with a proposal."""

    rank: str
    fence: int
    step: int = 0
    map: str = ""
    staged: bool = False
    armed_step: int = 0
    """Step for which the rank is armed; 0 when it is not."""
    refusal: str = ""
    """Why the agent did not follow the order; the coordinator asks again."""
    engine_refusal: str = ""
    """Why the engine refused an order of this proposal, which is then aborted."""


def make_answer(record: GroupRecord, rank: str, view: RankView) -> RankAnswer:
    """Describe a rank for the proposal in the record."""
    proposal = record.proposal
    if proposal is None:
        return RankAnswer(rank, record.fence, view.step, view.map)
    return RankAnswer(
        rank,
        proposal.fence,
        view.step,
        view.map,
        staged=proposal.name in view.staged,
        armed_step=view.armed_step if view.armed == proposal.name else 0,
    )


class Move(StrEnum):
    """Name what a coordinator does next."""

    ASK = "ask"
    """Tell the ranks that are behind to look at the record."""
    FIX_STEP = "fix-step"
    DECIDE = "decide"
    ABORT = "abort"
    END = "end"


@dataclass(frozen=True, slots=True)
class NextMove:
    """Tell what a coordinator does next, and for which ranks or step."""

    move: Move
    ranks: frozenset[str] = frozenset()
    step: int = 0
    why: str = ""


@dataclass(slots=True)
class SwitchProgress:
    """Collect the answers of the ranks to one proposal."""

    ranks: frozenset[str]
    margin_steps: int
    """Steps left for arming, between the furthest rank and the switch."""
    record: GroupRecord = field(default_factory=GroupRecord)
    _answers: dict[str, RankAnswer] = field(default_factory=dict)

    def learn(self, record: GroupRecord) -> None:
        """Take over a record of the service."""
        if record.fence != self.record.fence:
            self._answers.clear()
        self.record = record

    def receive(self, answer: RankAnswer) -> None:
        """Take note of an answer; one to another proposal is ignored."""
        if answer.fence == self.record.fence and answer.rank in self.ranks:
            self._answers[answer.rank] = answer

    @property
    def answers(self) -> Mapping[str, RankAnswer]:
        """Return the last answer of each rank."""
        return self._answers

    def plan(self) -> NextMove:
        """Return what to do next."""
        proposal = self.record.open_proposal
        if proposal is None:
            return NextMove(Move.END)
        for answer in self._answers.values():
            if answer.engine_refusal:
                why = f"{answer.rank} refused: {answer.engine_refusal}"
                return NextMove(Move.ABORT, why=why)
        if proposal.phase is Phase.STAGING:
            return self._plan_staging()
        return self._plan_arming(proposal)

    def _plan_staging(self) -> NextMove:
        current = self.record.current.name
        ready = {
            rank
            for rank, answer in self._answers.items()
            if answer.staged and answer.map == current
        }
        if ready != self.ranks:
            return NextMove(Move.ASK, ranks=self.ranks - ready)
        furthest = max(answer.step for answer in self._answers.values())
        return NextMove(Move.FIX_STEP, step=furthest + self.margin_steps)

    def _plan_arming(self, proposal: Proposal) -> NextMove:
        armed = {
            rank
            for rank, answer in self._answers.items()
            if answer.armed_step == proposal.step
        }
        if armed != self.ranks:
            return NextMove(Move.ASK, ranks=self.ranks - armed)
        return NextMove(Move.DECIDE)

"""Define the protocol that switches all ranks of a group to a new expert map.

A group has one record in the key-value service. It is changed only by compare-and-swap,
so the first writer decides and the others read the outcome. What a rank does follows
from the record and from the state that its engine reports. An order from a coordinator
only tells the rank's agent to read the record.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from hyssopvane._internal.state.store_position import StorePosition

INITIAL_MAP = "initial"
"""Name of the map of a group that has not switched yet."""

KEPT_SWITCHES = 8
"""Number of decided switches that a record keeps.

A step is fixed only after every rank has reported the map in force, so no rank is more
than one switch behind. Older switches are kept for operators to read.
"""


class Phase(StrEnum):
    """Enumerate the phases of a proposed switch, from first to last."""

    STAGING = "staging"
    ARMING = "arming"
    DECIDED = "decided"
    ABORTED = "aborted"


OPEN_PHASES = frozenset({Phase.STAGING, Phase.ARMING})


@dataclass(frozen=True, slots=True)
class Proposal:
    """Hold the most recently proposed switch."""

    fence: int
    map: str
    phase: Phase = Phase.STAGING
    step: int = 0
    """First step that uses the new map; 0 until it is fixed."""
    weights_bytes: int = 0
    """Bytes that the rank with the most new experts has to fetch."""
    why: str = ""
    """Reason of the abort; empty if it was not aborted."""

    @property
    def name(self) -> str:
        """Return the name of this map in orders to engines."""
        return get_engine_name(self.map, self.fence)

    @property
    def is_open(self) -> bool:
        """Return whether it can still be decided or aborted."""
        return self.phase in OPEN_PHASES


@dataclass(frozen=True, slots=True)
class Switch:
    """Hold a decided map and the first step that uses it."""

    map: str
    step: int
    fence: int

    @property
    def name(self) -> str:
        """Return the name of this map in orders to engines."""
        return get_engine_name(self.map, self.fence)


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """Hold the decided switches and the latest proposal of one group."""

    fence: int = 0
    """Highest fencing number issued so far."""
    switches: tuple[Switch, ...] = (Switch(INITIAL_MAP, 0, 0),)
    """Decided switches, oldest first."""
    proposal: Proposal | None = None

    @property
    def current(self) -> Switch:
        """Return the most recently decided switch."""
        return self.switches[-1]

    @property
    def open_proposal(self) -> Proposal | None:
        """Return the proposal that is neither decided nor aborted."""
        proposal = self.proposal
        return proposal if proposal is not None and proposal.is_open else None

    def get_switch(self, step: int) -> Switch:
        """Return the switch whose map is in use at a step."""
        used = [switch for switch in self.switches if switch.step <= step]
        return used[-1] if used else self.switches[0]

    def is_ahead_of(self, other: "GroupRecord") -> bool:
        """Return whether this record is a later state of the group than another."""
        return self._get_progress() > other._get_progress()

    def _get_progress(self) -> tuple[int, int, int]:
        proposal = self.proposal
        phase = -1 if proposal is None else list(Phase).index(proposal.phase)
        return self.fence, self.current.fence, phase

    def find_switch(self, name: str) -> Switch | None:
        """Return the decided switch whose map has this engine name, or None."""
        return next((one for one in self.switches if one.name == name), None)


def get_engine_name(expert_map: str, fence: int) -> str:
    """Return the name that orders to an engine use for a map.

    An order can reach an engine long after its proposal ended, and an engine that
    ignores fencing numbers would execute it. The abort of an earlier proposal of the
    same map would then disarm one rank in the current proposal, and this rank would
    keep the old map while the others switch. The fence is part of the name, so a stale
    order refers to a name that the engine does not have.
    """
    return expert_map if fence == 0 else f"{expert_map}.{fence}"


def get_name_fence(name: str) -> int:
    """Return the fence contained in an engine name; 0 if there is none."""
    _, _, fence = name.rpartition(".")
    return int(fence) if fence.isdecimal() else 0


def propose(
    record: GroupRecord,
    expert_map: str,
    *,
    weights_bytes: int = 0,
    least_fence: int = 0,
) -> GroupRecord | None:
    """Open a proposal with a new fence of at least `least_fence`.

    Return None if a proposal is open or the map is already in use.
    """
    if record.open_proposal is not None or record.current.map == expert_map:
        return None
    fence = max(record.fence + 1, least_fence)
    proposal = Proposal(fence, expert_map, weights_bytes=weights_bytes)
    return replace(record, fence=fence, proposal=proposal)


def fix_step(record: GroupRecord, fence: int, step: int) -> GroupRecord | None:
    """Fix the step of a staging proposal; return None if it is fixed or has ended."""
    proposal = record.open_proposal
    if proposal is None or proposal.fence != fence or proposal.phase is Phase.ARMING:
        return None
    arming = replace(proposal, phase=Phase.ARMING, step=step)
    return replace(record, proposal=arming)


def decide(record: GroupRecord, fence: int) -> GroupRecord | None:
    """Decide the proposal with a fence, or return None if it is not arming."""
    proposal = record.open_proposal
    if proposal is None or proposal.fence != fence or proposal.phase is Phase.STAGING:
        return None
    switch = Switch(proposal.map, proposal.step, fence)
    switches = (*record.switches, switch)[-KEPT_SWITCHES:]
    decided = replace(proposal, phase=Phase.DECIDED)
    return replace(record, switches=switches, proposal=decided)


def abort(record: GroupRecord, fence: int, why: str) -> GroupRecord | None:
    """Abort an open proposal, or return None if it has ended."""
    proposal = record.open_proposal
    if proposal is None or proposal.fence != fence:
        return None
    aborted = replace(proposal, phase=Phase.ABORTED, why=why)
    return replace(record, proposal=aborted)


def confirm_for_restart(record: GroupRecord) -> GroupRecord:
    """Return the record that a restarted rank writes before it takes a step.

    The restart cleared any arming of the rank. If the proposal were decided afterwards,
    the other ranks would switch and this one would not. The rank therefore aborts an
    open proposal, unless the decision was written first. If no proposal is open, it
    writes the record unchanged: a plain read may return a stale record that hides an
    open proposal, whereas a compare-and-swap on a stale record fails.
    """
    proposal = record.open_proposal
    if proposal is None:
        return record
    return abort(record, proposal.fence, "a rank restarted") or record


class OrderKind(StrEnum):
    """Enumerate the orders that an engine receives for a map."""

    STAGE = "stage"
    ARM = "arm"
    DECIDE = "decide"
    ABORT = "abort"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Order an engine to stage, arm, decide or abort a map."""

    kind: OrderKind
    name: str
    """Engine name of the map, as `get_engine_name` returns it."""
    step: int = 0
    weights_bytes: int = 0
    fence: int = 0
    """Highest fencing number read from the service."""


@dataclass(frozen=True, slots=True)
class RankView:
    """Hold the state of a rank as its engine reports it."""

    step: int
    """Last step that was started."""
    map: str
    """Engine name of the map in use; empty after a restart, when no step is taken."""
    staged: frozenset[str] = frozenset()
    armed: str = ""
    armed_step: int = 0
    armed_decided: bool = False

    @property
    def is_held(self) -> bool:
        """Return whether the rank waits for its first map since its restart."""
        return not self.map

    @property
    def waits(self) -> bool:
        """Return whether the rank has reached a step whose map is not decided yet."""
        undecided = bool(self.armed) and not self.armed_decided
        return undecided and self.step + 1 >= self.armed_step


class OrderRefusal(StrEnum):
    """Enumerate the reasons why an agent refuses a coordinator's order."""

    OLD_FENCE = "old-fence"
    UNKNOWN_FENCE = "unknown-fence"
    NO_SERVICE = "no-service"
    NO_ENGINE = "no-engine"


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """Hold a record and the revision at which it was written; 0 if it is absent."""

    record: GroupRecord = GroupRecord()
    revision: int = 0
    era: int = 0
    """Era of the service in which the record was read or written."""
    prefix: bytes = b""
    """First bytes of the record's value in the service."""

    @property
    def position(self) -> StorePosition:
        """Return the position in the service's history that orders records."""
        return StorePosition(self.era, self.revision)


class RankSwitchPlanner:
    """Plan the orders to one rank's engine from the record and the rank's state."""

    def __init__(self) -> None:
        self.known = VersionedRecord()
        self._confirmed = False

    @property
    def highest_fence(self) -> int:
        """Return the highest fence read from the service."""
        return self.known.record.fence

    def learn(self, read: VersionedRecord) -> None:
        """Keep a record read from the service, unless it is older than the known one.

        A read may return a stale record. Falling back to it would stage and arm a
        proposal that has ended.
        """
        if read.position > self.known.position:
            self.known = read

    def confirm(self, written: VersionedRecord) -> None:
        """Keep the record that was written by compare-and-swap to confirm a restart."""
        self.learn(written)
        self._confirmed = True

    def needs_confirmation(self, rank: RankView) -> bool:
        """Return whether the record must be confirmed before the rank may start."""
        return rank.is_held and not self._confirmed

    def find_refusal(self, fence: int) -> OrderRefusal | None:
        """Return why a coordinator's order is refused, or None if it is accepted.

        A coordinator that was paused past its lease sends orders for a proposal that
        has ended, and engines that ignore fencing numbers would execute them.
        """
        if fence < self.highest_fence:
            return OrderRefusal.OLD_FENCE
        # The service issues fences, so an unknown one comes from a record newer than
        # the one that was read; the coordinator retries.
        return OrderRefusal.UNKNOWN_FENCE if fence > self.highest_fence else None

    def plan(self, rank: RankView, *, is_fresh: bool) -> EngineOrder | None:
        """Return the next order to the engine, or None.

        `is_fresh` is true if the service has just answered. The rank is not armed while
        the service is unavailable: it would wait at the step for a decision that cannot
        be written or read, and block the whole group.
        """
        if self.needs_confirmation(rank):
            return None
        order = plan_order(self.known.record, rank)
        if order is None or (order.kind is OrderKind.ARM and not is_fresh):
            return None
        return order

    def record_order(self, order: EngineOrder, rank: RankView) -> None:
        """Update the state for an order that is sent to the engine."""
        starts = rank.is_held and order.kind is OrderKind.DECIDE
        if starts and order.name != rank.armed:
            # The rank may take steps and be armed from here on, so the next restart
            # has to be confirmed again.
            self._confirmed = False


def plan_order(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    """Return the next order that aligns a rank with the record, or None.

    For a held rank, the record must have been confirmed after the rank's restart.
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
    # Every order carries the newest known fence, also if it concerns an older map:
    # otherwise an engine that checks fences would refuse it.
    return order and replace(order, fence=record.fence)


def _plan_arming_result(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    if not rank.armed or rank.armed_decided:
        return None
    if record.find_switch(rank.armed) is not None:
        return EngineOrder(OrderKind.DECIDE, rank.armed)
    return _plan_abort(record, rank.armed)


def _plan_cleanup(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    # Weights staged by an order that arrives after its proposal ended would occupy
    # memory forever.
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
    # A name with a higher fence comes from a newer record than the one that was read.
    if is_open or fence > record.fence:
        return None
    return EngineOrder(OrderKind.ABORT, name)


def _plan_pending(record: GroupRecord, rank: RankView) -> EngineOrder | None:
    """Return the next order for a decided switch whose step is in the future."""
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
    """Return the next order for a rank without a map after its restart."""
    used = record.get_switch(rank.step + 1)
    if used.name not in rank.staged:
        return EngineOrder(OrderKind.STAGE, used.name)
    later = record.current
    if later != used and not rank.armed_decided:
        # The rank is armed before it receives the map that lets it take steps, so that
        # it cannot run past a switch that is decided for a future step.
        order = _plan_stage_or_arm(rank, later.name, later.step)
        return order or EngineOrder(OrderKind.DECIDE, later.name)
    return EngineOrder(OrderKind.DECIDE, used.name)


@dataclass(frozen=True, slots=True)
class RankAnswer:
    """Report to a coordinator how far one rank is with a proposal."""

    rank: str
    fence: int
    step: int = 0
    map: str = ""
    staged: bool = False
    armed_step: int = 0
    """Step for which the rank is armed; 0 if it is not armed."""
    refusal: str = ""
    """Reason why the agent refused the order; the coordinator retries."""
    engine_refusal: str = ""
    """Reason why the engine refused an order; the proposal is then aborted."""


def make_answer(record: GroupRecord, rank: str, view: RankView) -> RankAnswer:
    """Return a rank's answer for the proposal in the record."""
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
    """Enumerate the actions of a coordinator."""

    ASK = "ask"
    """Tell the agents of the ranks that are behind to read the record."""
    FIX_STEP = "fix-step"
    DECIDE = "decide"
    ABORT = "abort"
    END = "end"


@dataclass(frozen=True, slots=True)
class NextMove:
    """Hold a coordinator's next action, and its ranks, step or reason."""

    move: Move
    ranks: frozenset[str] = frozenset()
    step: int = 0
    why: str = ""


@dataclass(slots=True)
class SwitchProgress:
    """Track the ranks' answers to a proposal and plan the coordinator's actions."""

    ranks: frozenset[str]
    margin_steps: int
    """Number of steps between the furthest rank and the switch, left for arming."""
    record: GroupRecord = field(default_factory=GroupRecord)
    _answers: dict[str, RankAnswer] = field(default_factory=dict)

    def learn(self, record: GroupRecord) -> None:
        """Set the record; drop the answers if it belongs to another proposal."""
        if record.fence != self.record.fence:
            self._answers.clear()
        self.record = record

    def receive(self, answer: RankAnswer) -> None:
        """Store a rank's answer; ignore one to another proposal."""
        if answer.fence == self.record.fence and answer.rank in self.ranks:
            self._answers[answer.rank] = answer

    @property
    def answers(self) -> Mapping[str, RankAnswer]:
        """Return the latest answer of each rank."""
        return self._answers

    def plan(self) -> NextMove:
        """Return the coordinator's next action."""
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

"""Bring the ranks of a group from one expert map to the next, all in the same pass.

Two ranks that begin a pass with different maps compute garbage without any error. A
rank switches by itself at the pass for which it was armed, and an order may be lost,
duplicated, or carried out seconds later. The procedure is therefore:

1. Every rank copies the new experts (prepare).
2. One rank holds the group before a pass that is not far ahead: from now on that pass
   does not begin. It is not the leader's own rank: if the leader's machine stalls, its
   agent and its rank stall together, and no other agent could release the group.
3. Every other rank is heard again. If one is not, the pass is released without the
   change. Once an order to arm is sent to a VM that has stalled, nobody knows whether
   its rank is armed, and the group has to wait until the VM resumes.
4. Every rank is armed for that pass, the leader's own after all others. An order
   without a known outcome is sent again. One that is carried out after the pass has
   begun is refused.
5. When every rank itself has reported that it is armed, the pass is released.

An order to arm may be carried out seconds later, and an idle group does not begin the
pass meanwhile. Therefore the pass is only released when every rank is armed for it, or
when no rank can be armed for it any more: each has copied a newer map with the same
experts as the map in use (withdrawing). A rank refuses orders to arm older versions.
Once one rank has a newer version, the change can't be completed, and ranks that are
armed for it are disarmed.

If the leader of a hold is silent, the next agent that leads finds the hold. If any rank
is armed, it continues with step 4, otherwise it withdraws the change. A leader that was
stalled discards its state before it acts again. Versions are never reused, because each
process mixes its own random number into them and never chooses a lower version than
before: two maps with one version would be taken for the same map.

If ranks are armed for a pass that is not held, or use different maps all the same, a
leader holds the pass, or brings a map of the experts that each rank has to all ranks.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import Enum, auto
from math import ceil

from hyssopvane._internal.policy.expert_maps import add_missing_experts
from hyssopvane._internal.policy.map_actions import (
    Action,
    DelegateOrder,
    PingAgent,
    QueryAgent,
    QueryRank,
    SendMapChange,
    SendOrder,
)
from hyssopvane._internal.policy.map_changes import (
    Change,
    KnownRank,
    get_progress,
    has_applied,
    is_armed,
    is_superseded,
    is_withdrawn,
)
from hyssopvane._internal.policy.map_search import MapSearch
from hyssopvane._internal.policy.poll_intervals import (
    MAX_STATE_AGE_S,
    get_max_state_age_s,
)
from hyssopvane._internal.state.group import MapChange, RankState
from hyssopvane._internal.state.loads import SLOW_PACE
from hyssopvane._internal.state.ranks import (
    Arm,
    Disarm,
    ExpertLists,
    Hold,
    Prepare,
    RankOrder,
    Release,
)
from hyssopvane._internal.state.routing import ExpertLayout

LEADER_TIMEOUT_S = 0.8
"""Silence of the agents of lower ranks after which the next one leads."""

DEPUTIES = 2
"""Number of ranks after the first whose agents often send presence messages to all."""

REMOTE_LEADER_TIMEOUT_S = 5.0
"""The same for agents that rarely receive messages from the lower ranks."""

MIN_LEAD_PASSES = 2
MAX_LEAD_PASSES = 12
"""Limits of the number of passes between the one that runs and the one that is held.

The number covers the time that arming all ranks took recently. With too few passes, the
group stalls at each change, which every stream sees as a longer pause. With too many,
the change comes late.
"""

INITIAL_ARMING_S = 0.1
"""Assumed time for arming all ranks until it has been measured."""

ARMING_DECAY = 0.8
"""Decay of the longest arming time from one change to the next."""

DEFAULT_PASS_S = 0.06
"""Assumed time of a pass while none was measured recently."""

ORPHAN_S = 0.5
"""Time without a leader of the change after which the change is withdrawn.

Agents that were ordered to arm usually do so within a tenth of a second, even if their
first order was lost, and the change can be completed.
"""

STALLED_S = 0.3
"""Time without a new pass, while requests run, after which all silent ranks are
queried: one of them may hold the group.
"""

MOST_SILENT = 8
"""Maximum number of ranks with silent agents that a leader queries and orders itself,
from another machine.

Each takes some milliseconds of its time five times a second, and the map for it takes a
fortieth of a second of its link.
"""

MOST_SILENT_SHARE = 0.25
"""The same maximum, as a fraction of the group's ranks.

A leader that receives messages from few ranks may be cut off, and another one may lead.
Two leaders that change maps at the same time undo each other's copies, and the group
stays held.
"""

NONCE_BITS = 20
"""Number of bits in a version for the random number of the process that chose it."""

REPORT_LAG_S = 0.3
"""Assumed age of a report from another machine if the engine's figures don't specify
it.
"""

HEARING_TIMEOUT_S = 0.15
"""Time after a hold within which all ranks must be heard, or it is released without the
change.

Agents of large groups send their states eight times a second, and a lost query is
repeated several times.
"""

MAX_HOLD_S = 0.4
"""Time after the first order to hold a pass within which the first rank is armed.

It is less than the time after which another agent releases a hold.
"""

_QUERY_RETRY_S = 0.02
"""Time after which ranks that were not heard after a hold are queried again: one call
takes some 5 ms.
"""

_ARM_RETRY_S = 0.04
"""Time after which agents that have not reported their rank as armed are sent the order
again.

All ranks of a large group have answered by then. A lost message stops the group, and
all its streams pause, until it is sent again.
"""

_ORDER_RETRY_S = 0.08
"""Time after which an order or a message without an effect is sent again."""

_MAP_RETRY_S = 0.3
"""The same for a new map.

It is the largest message, 2.4 KB with 16 sets on 24 ranks. If it were sent at each
poll, it would fill the leader's link, and no state of a rank would arrive in time for a
change.
"""

APART_S = 1.0
"""Time after which ranks with different maps, or armed without a hold, are brought
together.

Reports of one change reach the leader within some tenths of a second.
"""

_COPY_SLACK_S = 1.0
"""Time beyond the estimated copying time after which a change is abandoned."""

_WITHDRAW_RETRY_S = 1.0
"""Time after which a change is withdrawn with another version.

A rank may have had a higher version that it does not report.
"""

_AGENT_TIMEOUT_S = 0.3
"""Silence of an agent after which the leader sends orders to its rank directly."""


class Phase(Enum):
    """Name the phase of a change of maps."""

    IDLE = auto()
    PREPARING = auto()
    HOLDING = auto()
    ARMING = auto()
    WITHDRAWING = auto()
    RELEASING = auto()


class MapCoordinator:
    """Decide the next actions of the agent that leads a group."""

    def __init__(self, *, nonce: int, layout: ExpertLayout | None = None) -> None:
        self._nonce = nonce % 2**NONCE_BITS
        self.layout: ExpertLayout | None = None
        self.report_lag_s = REPORT_LAG_S
        """Age of a rank's report that is read from another machine."""
        self.phase = Phase.IDLE
        self._known_ranks: dict[int, KnownRank] = {}
        self.set_layout(layout)
        self._agent_seen_at: dict[int, float] = {}
        """Time of the last message from each rank's own agent."""
        self._listening_since: float | None = None
        """Time of the first poll since the start or a stall."""
        self._search = MapSearch()
        self._change: Change | None = None
        self._known_map: tuple[int, ExpertLists] | None = None
        """Version and experts of the last map that was received or brought into force.
        """
        self._group = ""
        self._epoch = 0
        self._own = -1
        self._max_state_age_s = MAX_STATE_AGE_S
        self._highest_version = 0
        """Highest version that this process has chosen in this epoch."""
        self._highest_hold = 0
        """Last pass that is known to have been held in this epoch."""
        self._is_hold_confirmed = False
        """Whether the rank that is to hold the group has confirmed the order."""
        self._active_at = float("-inf")
        """Last time at which this agent was working on a change."""
        self._step = -1
        self._pass_s = 0.0
        self.arming_s = INITIAL_ARMING_S
        self._step_at = float("-inf")
        self._queried_at = float("-inf")
        self._apart_since: float | None = None
        """Time since which maps or armed maps of the ranks have differed."""
        self._guarded_at = float("-inf")
        """Last time at which a pass was held for ranks that were armed alone."""
        self._agents_queried_at = float("-inf")
        """Last time at which agents were queried about a hold that was taken over."""
        self.changes = 0
        """Number of maps brought into force since the start."""

    def observe(
        self, state: RankState, *, now: float, own: bool = False, queried: bool = False
    ) -> bool:
        """Apply a rank's state, sent by its agent or queried from the rank (`queried`).

        Return whether the rank has advanced in a change of maps, or a held pass waits
        for a word of it.
        """
        if own:
            if self._listening_since is None:
                self._listening_since = now
            self._own = state.rank
            self._max_state_age_s = get_max_state_age_s(state.ranks)
            if (state.group, state.epoch) != (self._group, self._epoch):
                self._begin_epoch(state)
        if state.group != self._group or state.epoch != self._epoch:
            return False
        state = self._drop_invalid(state)
        before = self._known_ranks.get(state.rank)
        valid_at = now - self.report_lag_s if queried else now
        if queried and before is not None and before.valid_at > valid_at:
            # The agent on the rank's machine has sent a newer state. If the leader
            # reverted to the older one, a held pass would wait for the same state
            # again.
            return False
        if before is not None and before.state.started_ms != state.started_ms:
            # The rank has restarted and has neither the copies nor the armed map that a
            # change relies on. Its counts begin at zero.
            before = None
            self._reset()
        if not state.experts and before is not None:
            # Most messages omit the experts, which change only with the version.
            if before.state.map_version == state.map_version:
                state = replace(state, experts=before.state.experts)
        if state.counts:
            self._search.observe(state.counts, now=now)
        if queried and before is not None:
            # The rank was queried directly; the address of its agent is unchanged.
            state = replace(state, messages=before.state.messages)
        self._highest_hold = max(self._highest_hold, state.held_step)
        is_awaited = self._is_awaited(state.rank)
        if not queried:
            self.record_agent(state.rank, now=now)
        held_since = now
        if before is not None and before.state.held_step == state.held_step:
            held_since = before.held_since
        self._known_ranks[state.rank] = KnownRank(state, now, valid_at, held_since)
        if before is None or is_awaited:
            return True
        return get_progress(before.state) != get_progress(state)

    def _is_awaited(self, rank: int) -> bool:
        """Return whether a pass is held until a rank is heard."""
        change = self._change
        if change is None or self.phase is not Phase.HOLDING or rank == self._own:
            return False
        return change.held_at is not None and not self._is_heard(
            rank, since=change.ordered_at
        )

    def _is_heard(self, rank: int, *, since: float) -> bool:
        if self._agent_seen_at.get(rank, float("-inf")) >= since:
            return True
        known = self._known_ranks.get(rank)
        return known is not None and known.received_at >= since

    def set_layout(self, layout: ExpertLayout | None) -> None:
        """Set the engine's figures."""
        if layout == self.layout:
            return
        self.layout = layout
        for one in self._known_ranks.values():
            one.state = self._drop_invalid(one.state)
        if layout is not None and layout.report_lag_s is not None:
            self.report_lag_s = layout.report_lag_s

    def record_map(self, change: MapChange) -> None:
        """Store the map that a leader sends.

        The next leader then knows what the ranks have, including a rank whose agent is
        silent: a report does not name the experts.
        """
        if (change.group, change.epoch) == (self._group, self._epoch):
            if change.experts:
                self._known_map = (change.version, change.experts)

    def record_agent(self, rank: int, *, now: float) -> bool:
        """Record a living agent; return whether a held pass waits for its word."""
        is_awaited = self._is_awaited(rank)
        self._agent_seen_at[rank] = now
        return is_awaited

    def _measure_silence(self, rank: int, now: float) -> float:
        return now - self._agent_seen_at.get(rank, float("-inf"))

    def _drop_invalid(self, state: RankState) -> RankState:
        # Experts and counts are used as indices. One beyond the layout would crash the
        # leading process, and then the next one that leads.
        layout = self.layout
        if layout is None:
            # The experts are not used before the layout is known, but must be kept:
            # ranks name them again only after seconds, and a newly formed group would
            # keep its first map until then.
            return replace(state, counts=())
        if len(state.counts) != layout.sets * layout.experts:
            state = replace(state, counts=())
        sound = len(state.experts) == layout.sets and all(
            0 <= expert < layout.experts for one in state.experts for expert in one
        )
        return state if sound else replace(state, experts=())

    def find_start(self, replica: str) -> int:
        """Return the start time of a rank's replica, or 0 if unknown."""
        starts = (
            one.state.started_ms
            for one in self._known_ranks.values()
            if one.state.replica == replica
        )
        return next(starts, 0)

    def record_confirmed(
        self, replica: str, order: RankOrder, *, started_ms: int = 0
    ) -> None:
        """Record a rank's own confirmation that it has carried out an order.

        Its agent reports the same at its next poll, up to a pass later; a held group
        would stall until then. Confirmations of another start of the replica are
        ignored.
        """
        for one in self._known_ranks.values():
            if one.state.replica != replica or one.state.epoch != order.epoch:
                continue
            if one.state.started_ms != started_ms:
                continue
            match order:
                case Hold():
                    self._is_hold_confirmed = True
                case Arm():
                    one.state = replace(
                        one.state, armed_version=order.version, armed_step=order.step
                    )

    @property
    def epoch(self) -> int:
        """Return how often the group was formed, as far as known."""
        return self._epoch

    @property
    def is_holding(self) -> bool:
        """Return whether a pass may be waiting for the next action."""
        return self.phase not in (Phase.IDLE, Phase.PREPARING)

    @property
    def waits_for_ranks(self) -> bool:
        """Return whether a change may be waiting for the next message of a rank."""
        return self.phase not in (Phase.IDLE, Phase.RELEASING)

    def discard_state(self) -> None:
        """Discard the current change and all states, because the process was stalled.

        Other agents may have continued meanwhile. The states are outdated, and an order
        based on them could reach some ranks in time and others too late.
        """
        self._reset()
        self._known_ranks.clear()
        self._agent_seen_at.clear()
        self._listening_since = None
        self._search.clear()

    def leads(self, now: float) -> bool:
        """Return whether no agent of a lower rank is alive.

        An agent that has just started has not received any message yet. If it led at
        once, it would publish to entries a group with one member, its own rank.
        """
        if self._own < 0 or self._listening_since is None:
            return False
        timeout_s = (
            LEADER_TIMEOUT_S if self._own <= DEPUTIES else REMOTE_LEADER_TIMEOUT_S
        )
        if self._own and now - self._listening_since <= timeout_s:
            return False
        return all(
            now - at > timeout_s
            for rank, at in self._agent_seen_at.items()
            if rank < self._own
        )

    def decide(self, now: float) -> list[Action]:
        """Return the actions to take now."""
        if self._own not in self._known_ranks:
            self._reset()
            return []
        if self.phase is not Phase.IDLE:
            self._active_at = now
        if not self.leads(now):
            self._reset()
            return []
        if not self._known_ranks[self._own].state.open:
            self._reset()
            return []
        queries = self._query_silent(now)
        match self.phase:
            case Phase.IDLE:
                return queries + self._begin(now)
            case Phase.PREPARING:
                return queries + self._prepare(now)
            case Phase.HOLDING:
                return queries + self._hold(now)
            case Phase.ARMING:
                return queries + self._arm(now)
            case Phase.WITHDRAWING:
                return queries + self._withdraw(now)
            case Phase.RELEASING:
                return queries + self._release(now)

    def has_work(self) -> bool:
        """Return whether any rank has requests, so that the group makes passes.

        This agent's rank may have none for a while. If the group were considered idle
        then, its pass time would be unknown whenever few requests run.
        """
        states = (one.state for one in self._known_ranks.values())
        return any(state.active or state.queued for state in states)

    def list_states(self, now: float) -> list[tuple[RankState, float]]:
        """Return the state of each known rank, and its age in seconds."""
        return [
            (one.state, now - one.received_at) for one in self._known_ranks.values()
        ]

    def measure_skews(self, now: float) -> list[float]:
        """Return the skew of each set under the current map and demand."""
        current = self._get_map()
        if current is None:
            return []
        return self._search.measure_skews(current, self._list_paces(), now)

    def describe(self, now: float) -> dict[str, object]:
        """Return the inputs of the decisions, for the log."""
        return {
            "phase": self.phase.name.lower(),
            "heard": len(self._known_ranks),
            "fresh": sum(
                now - one.received_at < self._max_state_age_s
                for one in self._known_ranks.values()
            ),
            "maps": ",".join(
                str(v) for v in sorted({s.map_version for s in self._list_states()})
            ),
            "changes": self.changes,
            "skews": ",".join(f"{skew:.2f}" for skew in self.measure_skews(now)) or "-",
            "layout": self.layout is not None,
        }

    def describe_change(self) -> dict[str, object]:
        """Return the current change and what the ranks have, for the log."""
        change = self._change
        states = self._list_states()
        return {
            "phase": self.phase.name.lower(),
            "version": 0 if change is None else change.version,
            "step": 0 if change is None else change.step,
            "holder": "-" if change is None else change.holder or "-",
            "prepared": _count_values(state.prepared for state in states),
            "armed": _count_values(
                f"{state.armed_version}@{state.armed_step}"
                for state in states
                if state.armed_step
            ),
            "held": _count_values(s.held_step for s in states if s.held_step),
        }

    def _query_silent(self, now: float) -> list[Action]:
        """Query the ranks whose agents are silent.

        An agent may be stalled for seconds while its rank works. Only its rank knows
        then whether it holds the group and which map it has; without its state, no map
        would follow the demand until the agent resumes.
        """
        own = self._known_ranks[self._own].state
        if own.step != self._step or not own.active:
            passed = own.step - self._step
            self._pass_s = (now - self._step_at) / passed if passed > 0 else 0.0
            self._step, self._step_at = own.step, now
        stalled = now - self._step_at > STALLED_S
        if now - self._queried_at < (STALLED_S if stalled else self.report_lag_s):
            return []
        silent = [rank for rank in self._known_ranks if self._is_silent(rank, now)]
        most = min(MOST_SILENT, int(MOST_SILENT_SHARE * own.ranks))
        if not silent or (len(silent) > most and not stalled):
            return []
        self._queried_at = now
        return [QueryRank(self._known_ranks[rank].state.replica) for rank in silent]

    def _is_silent(self, rank: int, now: float) -> bool:
        if rank == self._own:
            return False
        return self._measure_silence(rank, now) > max(
            _AGENT_TIMEOUT_S, self._max_state_age_s
        )

    def _begin_epoch(self, state: RankState) -> None:
        # A newly formed group has map 0 and nothing prepared, armed or held.
        self._group, self._epoch = state.group, state.epoch
        self._known_ranks.clear()
        self._search.begin_epoch()
        self._known_map = None
        self._highest_version = self._highest_hold = 0
        self._reset()

    def _reset(self) -> None:
        self.phase = Phase.IDLE
        self._change = None

    def _list_states(self) -> list[RankState]:
        return [self._known_ranks[rank].state for rank in sorted(self._known_ranks)]

    def _list_pending_states(self) -> list[RankState]:
        """Return the states, without the armed maps of passes that have begun.

        The last state of a silent rank may be from before such a pass.
        """
        newest = self._find_newest_step()
        return [
            replace(state, armed_version=0, armed_step=0)
            if state.armed_step <= newest
            else state
            for state in self._list_states()
        ]

    def _list_paces(self) -> tuple[float, ...]:
        # Small slowdowns are noise, which a map must not follow.
        paces = (state.pace for state in self._list_states())
        return tuple(pace if pace > SLOW_PACE else 1.0 for pace in paces)

    def _is_complete(self, now: float) -> bool:
        ranks = self._known_ranks[self._own].state.ranks
        return len(self._known_ranks) == ranks and all(
            now - one.received_at < self._max_state_age_s
            for one in self._known_ranks.values()
        )

    def _begin(self, now: float) -> list[Action]:
        held = [state for state in self._list_states() if state.held_step]
        if held:
            return self._take_over(held, now)
        states = self._list_states()
        is_lasting = self._have_come_apart(states, now)
        step = self._find_unheld_step(states)
        if step and is_lasting:
            return self._guard(step, now)
        if not self._is_complete(now) or self.layout is None:
            return []
        if any(state.armed_step for state in states):
            return []
        if len({state.map_version for state in states}) != 1:
            return self._unite(states, self.layout, now) if is_lasting else []
        current = self._get_map()
        if current is None:
            return []
        chosen = self._search.find(
            current,
            self.layout,
            paces=self._list_paces(),
            arming_s=self.arming_s,
            now=now,
        )
        if chosen is None:
            return []
        self._search.record_started(now)
        version = self._make_version(states)
        self._change = Change(version, chosen.move.experts, now, chosen.copy_s)
        self.phase = Phase.PREPARING
        return self._prepare(now)

    def _have_come_apart(self, states: list[RankState], now: float) -> bool:
        """Return whether maps or armed maps of the ranks have differed for a while."""
        in_use = {
            (one.map_version, one.armed_version, one.armed_step) for one in states
        }
        if len(in_use) == 1:
            self._apart_since = None
        elif self._apart_since is None:
            self._apart_since = now
        return self._apart_since is not None and now - self._apart_since >= APART_S

    def _find_unheld_step(self, states: list[RankState]) -> int:
        """Return a pass, not begun, for which only some ranks are armed, or 0."""
        newest = self._find_newest_step()
        armed = Counter(one.armed_step for one in states if one.armed_step > newest)
        return next((step for step, n in armed.items() if n < len(states)), 0)

    def _guard(self, step: int, now: float) -> list[Action]:
        """Hold a pass for which some ranks are armed, so that it can be taken over."""
        if now - self._guarded_at < _ORDER_RETRY_S:
            return []
        self._guarded_at = now
        own = self._known_ranks[self._own].state
        holder = self._choose_holder(own, now)
        return [SendOrder(holder, Hold(self._epoch, step))]

    def _unite(
        self, states: list[RankState], layout: ExpertLayout, now: float
    ) -> list[Action]:
        """Begin a change to one map of the experts that each rank has."""
        rows = self._get_map()
        if rows is None:
            return []
        experts = tuple(
            add_missing_experts(one, experts=layout.experts, places=layout.places)
            for one in rows
        )
        self._change = Change(self._make_version(states), experts, now, _COPY_SLACK_S)
        self.phase = Phase.PREPARING
        return self._prepare(now)

    def _make_version(self, states: list[RankState]) -> int:
        highest = max(max(state.map_version, state.prepared) for state in states)
        # An order to prepare the last version may still arrive, with other experts.
        highest = max(highest, self._highest_version)
        version: int = (((highest >> NONCE_BITS) + 1) << NONCE_BITS) + self._nonce
        self._highest_version = version
        return version

    def _get_map(self) -> ExpertLists | None:
        states = self._list_states()
        if not states or len(states) != states[0].ranks:
            return None
        versions = {state.map_version for state in states}
        if self._known_map is not None and versions == {self._known_map[0]}:
            return self._known_map[1]
        if not all(state.experts for state in states):
            return None
        sets = len(states[0].experts)
        return tuple(
            tuple(state.experts[number] for state in states) for number in range(sets)
        )

    def _prepare(self, now: float) -> list[Action]:
        change = self._get_change()
        if self._holds_for_all(lambda state: state.prepared == change.version):
            own = self._known_ranks[self._own].state
            if self._is_complete(now):
                self.phase = Phase.HOLDING
                change.step = self._choose_step(now)
                change.hold_ordered_at = now
                self._is_hold_confirmed = False
                change.holder = self._choose_holder(own, now)
                # The next message has new content and must not be delayed by the last
                # one.
                change.sent_at = float("-inf")
                return self._hold(now)
        if now - change.started_at > change.copy_s + _COPY_SLACK_S:
            self._reset()
            return []
        return self._send_change(now, step=0) + self._prepare_silent(now)

    def _prepare_silent(self, now: float) -> list[Action]:
        change = self._get_change()
        if now - change.prepared_at < _MAP_RETRY_S:
            return []
        change.prepared_at = now
        order = Prepare(self._epoch, change.version, change.experts)
        return [
            SendOrder(one.state.replica, order)
            for rank, one in self._known_ranks.items()
            if self._is_silent(rank, now) and one.state.prepared != change.version
        ]

    def _hold(self, now: float) -> list[Action]:
        change = self._get_change()
        is_held = self._get_state_of(change.holder).held_step == change.step
        if is_held or self._is_hold_confirmed:
            if change.held_at is None:
                change.held_at = now
            unheard = self._list_unheard(change.ordered_at)
            # The next leader might release the pass while this one arms the ranks.
            is_late = now - change.hold_ordered_at > MAX_HOLD_S
            if is_held and (is_late or now - change.held_at > HEARING_TIMEOUT_S):
                return self._abandon(now)
            if is_held and not unheard:
                self.phase = Phase.ARMING
                return self._arm(now)
            if now - change.queried_at > _QUERY_RETRY_S:
                change.queried_at = now
                return self._query_holder() + self._ping(unheard, now)
        if is_held:
            return []
        if self._is_other_pass_held(change):
            # An earlier order to hold another pass has arrived late.
            self._reset()
            return self._begin(now)
        if self._find_newest_step() >= change.step:
            # The pass has begun: the hold arrived too late or never.
            change.step = self._choose_step(now)
            change.ordered_at = float("-inf")
            change.hold_ordered_at = now
            change.held_at = None
            self._is_hold_confirmed = False
        actions = self._order(now, Hold(self._epoch, change.step))
        if actions:
            actions += self._ping(self._list_unheard(now), now)
        return actions

    def _is_other_pass_held(self, change: Change) -> bool:
        newest = self._find_newest_step()
        return any(
            state.held_step > newest and state.held_step != change.step
            for state in self._list_states()
        )

    def _list_unheard(self, since: float) -> list[RankState]:
        """Return the states of the other ranks that were not heard since a time."""
        return [
            one.state
            for rank, one in self._known_ranks.items()
            if rank != self._own and not self._is_heard(rank, since=since)
        ]

    def _query_holder(self) -> list[Action]:
        """Query the rank that holds the pass, before any rank is armed.

        A machine may fail at any moment. If the ranks were armed as soon as the hold is
        confirmed, a leader that stalls at that moment would leave all ranks armed
        except its own, which can't be reached: the group stalled until the leader
        resumed, for 4 s. If the leader fails meanwhile, no rank is armed, and the next
        leader releases the pass. The agent of the holding rank reports its current
        state; a report read from another machine is some tenths of a second old, and
        counts only if the agent is silent.
        """
        holder = self._get_state_of(self._get_change().holder)
        return [QueryAgent(holder.messages), QueryRank(holder.replica)]

    def _ping(self, unheard: list[RankState], now: float) -> list[Action]:
        """Ping the agents of ranks that are to be armed.

        An order to a rank whose VM has stalled leaves it in doubt whether the rank is
        armed. While no rank is armed, the pass can be released without the change. A
        report of a rank with a silent agent shows that it can be reached.
        """
        holder = self._get_change().holder
        actions: list[Action] = []
        for state in unheard:
            if state.replica == holder:
                continue
            if self._is_silent(state.rank, now):
                actions.append(QueryRank(state.replica))
            else:
                actions.append(PingAgent(state.messages))
        return actions

    def _abandon(self, now: float) -> list[Action]:
        """Release the pass without the change, before any rank is ordered to arm."""
        change = self._get_change()
        if any(state.armed_step == change.step for state in self._list_states()):
            # Another agent leads, too, and has ordered ranks to arm for this pass.
            self._reset()
            return self._begin(now)
        change.is_abandoned = True
        change.ordered_at = float("-inf")
        self.phase = Phase.RELEASING
        return self._release(now)

    def _arm(self, now: float) -> list[Action]:
        change = self._get_change()
        if self._holds_for_all(lambda state: is_armed(state, change)):
            self.phase = Phase.RELEASING
            change.ordered_at = float("-inf")
            self.changes += 1
            took_s = now - change.chosen_at
            self.arming_s = max(took_s, ARMING_DECAY * self.arming_s)
            if change.experts:
                self._known_map = (change.version, change.experts)
            return self._release(now)
        if any(is_superseded(state, change) for state in self._list_states()):
            # A rank has the copies of another leader, or of an order that came late,
            # and can't be armed for this change any more.
            return self._start_withdrawal(change.step, change.holder, now)
        if now - change.sent_at < _ARM_RETRY_S and not self._is_own_due(change):
            return []
        return (
            self._send_change(now, step=change.step)
            + self._arm_silent(now)
            + self._arm_own(now)
        )

    def _is_own_due(self, change: Change) -> bool:
        return not change.own_ordered_at and self._are_others_armed(change)

    def _are_others_armed(self, change: Change) -> bool:
        others = (s for s in self._list_states() if s.rank != self._own)
        return all(is_armed(state, change) for state in others)

    def _arm_own(self, now: float) -> list[Action]:
        change = self._get_change()
        if not self._are_others_armed(change):
            return []
        change.own_ordered_at = now
        order = Arm(self._epoch, change.version, change.step)
        return [SendOrder(self._known_ranks[self._own].state.replica, order)]

    def _arm_silent(self, now: float) -> list[Action]:
        change = self._get_change()
        order = Arm(self._epoch, change.version, change.step)
        return [
            SendOrder(one.state.replica, order)
            for rank, one in self._known_ranks.items()
            if self._is_silent(rank, now) and not is_armed(one.state, change)
        ]

    def _release(self, now: float) -> list[Action]:
        change = self._get_change()
        if self._get_state_of(change.holder).held_step != change.step:
            if not change.is_abandoned:
                self._search.record_in_force(now)
            self._reset()
            return []
        return self._order(now, Release(self._epoch, change.step))

    def _take_over(self, held: list[RankState], now: float) -> list[Action]:
        """Continue with a hold that an earlier leader left, or that arrived late."""
        states = self._list_pending_states()
        armed_steps = {state.armed_step for state in states if state.armed_step}
        holder = next((one for one in held if one.held_step in armed_steps), held[0])
        if len(states) != holder.ranks:
            return []
        step = holder.held_step
        armed = [s.armed_version for s in states if s.armed_step == step]
        if armed:
            self._change = Change(max(armed), (), now, 0.0, step, holder.replica)
            self._change.chosen_at = now
            self.phase = Phase.ARMING
            return self._arm(now)
        if not self._is_orphan(holder.rank, now):
            return []
        stale = self._list_stale(now)
        if len(stale) > 1 or any(rank > self._own for rank in stale):
            return self._query_agents(
                [self._known_ranks[one].state for one in stale], now
            )
        if _can_be_released(states):
            self._change = Change(0, (), now, 0.0, step, holder.replica)
            self._change.is_abandoned = True
            self.phase = Phase.RELEASING
            return self._release(now)
        return self._start_withdrawal(step, holder.replica, now)

    def _start_withdrawal(self, step: int, holder: str, now: float) -> list[Action]:
        """Begin to make sure that no rank can be armed for the held pass any more."""
        states = self._list_pending_states()
        experts = self._get_map()
        if experts is None:
            # The pass stays held until all agents have named their experts.
            self._reset()
            return []
        excused = self._find_excused(states, now)
        self._change = change = Change(
            self._make_version(states), experts, now, 0.0, step, holder
        )
        change.is_abandoned = True
        change.excused = excused
        self.phase = Phase.WITHDRAWING
        return self._withdraw(now)

    def _find_excused(self, states: list[RankState], now: float) -> int | None:
        """Return the rank of a silent leader, which can't have been armed.

        It is armed after all others. If one of the others has a newer version than the
        rest, an earlier withdrawal may have disarmed ranks, and nothing is known.
        """
        stale = self._list_stale(now)
        others = [state for state in states if state.rank not in stale]
        if len(stale) != 1 or any(state.armed_step for state in others):
            return None
        if len({state.prepared for state in others}) != 1:
            return None
        return stale[0] if stale[0] < self._own else None

    def _withdraw(self, now: float) -> list[Action]:
        change = self._get_change()
        waiting = [
            state
            for state in self._list_pending_states()
            if not is_withdrawn(state, change.version)
        ]
        if any(state.armed_step for state in waiting):
            # A late order to arm was carried out.
            change.excused = None
        if all(state.rank == change.excused for state in waiting):
            self.phase = Phase.RELEASING
            change.ordered_at = float("-inf")
            return self._release(now)
        if now - change.started_at > _WITHDRAW_RETRY_S:
            self._reset()
            return self._begin(now)
        return (
            self._disarm(waiting, now)
            + self._send_change(now, step=0)
            + self._prepare_silent(now)
            + self._query_agents(waiting, now)
        )

    def _disarm(self, waiting: list[RankState], now: float) -> list[Action]:
        """Disarm ranks for a change that another rank can't be armed for any more.

        Until then, another leader might complete the change.
        """
        change = self._get_change()
        states = self._list_states()
        if now - change.disarmed_at < _ORDER_RETRY_S:
            return []
        orders = [
            SendOrder(state.replica, Disarm(self._epoch, state.armed_version))
            for state in waiting
            if state.armed_step
            and any(other.prepared > state.armed_version for other in states)
        ]
        if orders:
            change.disarmed_at = now
        return [*orders]

    def _is_orphan(self, holder: int, now: float) -> bool:
        """Return whether the leader of the hold that is in force is gone.

        A leader that lives may arm the ranks, and then its change can be completed.
        """
        lower = [
            seen_at for rank, seen_at in self._agent_seen_at.items() if rank < self._own
        ]
        # A leader whose messages were lost may have ordered the hold just now.
        held_since = self._known_ranks[holder].held_since
        last_led_at = max([self._active_at, held_since, *lower])
        return now - last_led_at >= ORPHAN_S

    def _list_stale(self, now: float) -> list[int]:
        """Return the ranks whose states are too old to release a pass by them.

        Each rank must have reported recently that it is not armed. Only the rank of the
        leader that fell silent need not, since it is armed after all others.
        """
        return [
            rank
            for rank, one in self._known_ranks.items()
            if now - one.received_at >= self._max_state_age_s
        ]

    def _query_agents(self, states: list[RankState], now: float) -> list[Action]:
        """Query agents that may still send their states to the last leader."""
        if now - self._agents_queried_at < _ORDER_RETRY_S:
            return []
        self._agents_queried_at = now
        return [
            QueryAgent(state.messages) for state in states if state.rank != self._own
        ]

    def _get_change(self) -> Change:
        assert self._change is not None
        return self._change

    def _get_state_of(self, replica: str) -> RankState:
        return next(
            one.state
            for one in self._known_ranks.values()
            if one.state.replica == replica
        )

    def _choose_holder(self, own: RankState, now: float) -> str:
        """Return the next rank after this one whose agent is not silent, so that the
        agent can give orders too.
        """
        others = [(own.rank + number) % own.ranks for number in range(1, own.ranks)]
        speaking = [rank for rank in others if not self._is_silent(rank, now)]
        chosen = (speaking or others or [own.rank])[0]
        return self._known_ranks[chosen].state.replica

    def _choose_step(self, now: float) -> int:
        self._get_change().chosen_at = now
        pass_s = self._pass_s or DEFAULT_PASS_S
        # On average, the current pass began half a pass ago.
        lead = ceil(self.arming_s / pass_s + 0.5)
        step = self._find_newest_step() + min(
            MAX_LEAD_PASSES, max(MIN_LEAD_PASSES, lead)
        )
        # In an idle group, an order to release the pass that was held last may arrive
        # late. It must not release the next hold.
        self._highest_hold = max(step, self._highest_hold + 1)
        return self._highest_hold

    def _find_newest_step(self) -> int:
        return max(one.state.step for one in self._known_ranks.values())

    def _holds_for_all(self, holds: Callable[[RankState], bool]) -> bool:
        ranks = self._known_ranks[self._own].state.ranks
        states = self._list_states()
        return len(states) == ranks and all(holds(state) for state in states)

    def _send_change(self, now: float, *, step: int) -> list[Action]:
        change = self._get_change()
        if now - change.sent_at < _MAP_RETRY_S and step == 0:
            return []
        change.sent_at = now
        # Ranks that are to be armed already have the experts.
        experts = () if step else change.experts
        message = MapChange(self._group, self._epoch, change.version, experts, step)
        to = tuple(
            state.messages
            for state in self._list_states()
            if state.rank not in (self._own, change.excused)
            and not has_applied(state, change, step=step)
        )
        return [SendMapChange(message, to)]

    def _order(self, now: float, order: Hold | Release) -> list[Action]:
        """Send an order to the rank that holds the pass, directly and through its
        agent.

        Orders from another machine may be lost seven times in a row while the agent's
        orders are answered in 2 ms, and all streams pause meanwhile. For a hold, the
        agent is used only after the first attempt: a machine that fails right after it
        has given the order must not be the one that holds the group, since the group
        could not continue until that machine resumes. A release does no harm, whichever
        machine sends it.
        """
        change = self._get_change()
        if now - change.ordered_at < _ORDER_RETRY_S:
            return []
        is_first = order != change.order
        change.order, change.ordered_at = order, now
        direct = SendOrder(change.holder, order)
        if is_first and isinstance(order, Hold):
            return [direct]
        return [
            direct,
            DelegateOrder(self._get_state_of(change.holder).messages, order),
        ]


def _can_be_released(states: list[RankState]) -> bool:
    """Return whether no rank can be armed, or all are armed for the same pass."""
    armed = {(state.armed_version, state.armed_step) for state in states}
    if len(armed) == 1 and states[0].armed_step:
        return True
    in_use = {state.map_version for state in states}
    return (
        len(armed) == 1
        and len(in_use) == 1
        and all(state.prepared <= state.map_version for state in states)
    )


def _count_values(values: Iterable[object]) -> str:
    """Return each value with the number of its occurrences."""
    counts = Counter(str(value) for value in values)
    return ",".join(f"{value}x{count}" for value, count in counts.items()) or "-"

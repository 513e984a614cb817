"""Bring the ranks of a group from one expert map to the next, all in the same pass.

Two ranks that begin a pass with different maps compute garbage, and nobody else would
notice. A rank switches by itself when the pass comes for which it was armed, and an
order may be lost, doubled, or carried out seconds later. So:

1. Every rank copies the new experts (prepare).
2. One rank holds the group before a pass that is not far ahead. From now on that pass
   does not begin. It is not the leader's own rank: a machine that stands still takes
   its agent and its rank with it, and nobody could release the group.
3. Every rank is armed for that pass, the leader's own after all others. An arming that
   comes late finds the pass begun and is refused, so it does no harm; one that is
   uncertain is sent again.
4. When each rank itself has told that it is armed, the pass is released.

No arming is taken back, so two agents that believe that they lead do the same. A hold
whose leader is silent is found by the next agent that leads. Where a rank is armed, it
goes on with step 3. Where none is, neither is the silent leader's, which comes last,
and the pass is released without a change. A leader that stood still forgets what it
was doing before it acts again. Versions are never used twice, since each process mixes
its own random number into them: two maps with one version would pass for one.
"""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum, auto
from math import ceil

from hyssopvane._internal.policy.map_actions import (
    Action,
    DelegateOrder,
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
"""Ranks after the first whose agents tell all others often that they live."""

REMOTE_LEADER_TIMEOUT_S = 5.0
"""As above, for agents that hear of the lower ranks seldom."""

MIN_LEAD_PASSES = 2
MAX_LEAD_PASSES = 12
"""Passes between the one that runs and the one that is held.

As many as arming all ranks took lately. With too few the group stands still at each
change, which every stream sees as a longer pause; with too many the change comes late.
"""

FIRST_ARMING_S = 0.1
"""Time for arming all ranks until it has been measured."""

ARMING_FADE = 0.8
"""Part of the longest arming so far that still counts at the next change."""

USUAL_PASS_S = 0.06
"""Time of a pass while none was seen lately."""

ORPHAN_S = 0.5
"""Time for which nobody has led a change before its hold is released without it.

Agents that were told to arm do so within a tenth of a second, also where their first
order was lost.
"""

STALLED_S = 0.3
"""Time without a new pass, though requests run, after which all silent ranks are read:
one of them may hold the group."""

MOST_SILENT = 8
"""Ranks with silent agents that a leader reads and orders itself, from afar.

Each costs it some milliseconds five times a second, and its map takes a fortieth of a
second of its link.
"""

MOST_SILENT_SHARE = 0.25
"""As above, as a part of the group's ranks.

A leader that is heard by few of them may be cut off, and another one may lead. Two that
change maps at a time undo each other's copies, and the group stays held.
"""

NONCE_BITS = 20
"""Room in a version for the number of the process that chose it."""

REPORT_LAG_S = 0.3
"""Age of a report from another machine where the engine's figures don't name it."""

_QUERY_RETRY_S = 0.02
"""Time after which the rank that holds is read again: one call takes some 5 ms."""

_ARM_RETRY_S = 0.04
"""Time after which agents that have not told that their rank is armed are told again.

All ranks of a large group have answered by then. A lost word stops the group, and all
its streams pause, until it is told again.
"""

_ORDER_RETRY_S = 0.08
"""Time after which an order or an announcement without an effect is given again."""

_MAP_RETRY_S = 0.3
"""As above, for a new map.

It is the largest message, 2.4 KB with 16 sets on 24 ranks. Told again at each look it
fills the leader's link, and no state of a rank comes through in time for a change.
"""

_COPY_SLACK_S = 1.0
"""Time beyond the copying itself after which a change is given up."""

_AGENT_TIMEOUT_S = 0.3
"""Silence of an agent after which its rank gets its orders straight from the leader."""


class Phase(Enum):
    """Name what a leader is doing."""

    IDLE = auto()
    PREPARING = auto()
    HOLDING = auto()
    ARMING = auto()
    RELEASING = auto()


class MapCoordinator:
    """Decide what the agent that leads a group does next."""

    def __init__(self, *, nonce: int, layout: ExpertLayout | None = None) -> None:
        self._nonce = nonce % 2**NONCE_BITS
        self.layout: ExpertLayout | None = None
        self.report_lag_s = REPORT_LAG_S
        """Age of what a rank's report says when it is read from another machine."""
        self.phase = Phase.IDLE
        self._known_ranks: dict[int, KnownRank] = {}
        self.set_layout(layout)
        self._agent_seen_at: dict[int, float] = {}
        """Time at which each rank's own agent was heard."""
        self._listening_since: float | None = None
        """Time of the first look since the start or a standstill."""
        self._search = MapSearch()
        self._change: Change | None = None
        self._known_map: tuple[int, ExpertLists] | None = None
        """Version and experts of the last map that was told or brought into force."""
        self._group = ""
        self._epoch = 0
        self._own = -1
        self._max_state_age_s = MAX_STATE_AGE_S
        self._hold_answered = False
        """Whether the rank that is to hold the group has answered that it does."""
        self._active_at = float("-inf")
        """Time at which this agent was last bringing about a change."""
        self._step = -1
        self._pass_s = 0.0
        self.arming_s = FIRST_ARMING_S
        self._step_at = float("-inf")
        self._queried_at = float("-inf")
        self.changes = 0
        """Maps that were brought into force since the start."""

    def observe(
        self, state: RankState, *, now: float, own: bool = False, queried: bool = False
    ) -> bool:
        """Take what a rank's agent tells, or what its rank said when asked.

        Tell whether the rank has come further with a change of maps.
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
            # The agent beside the rank has told something newer. A leader that takes
            # back what it knows lets a held pass wait for it a second time.
            return False
        if before is not None and before.state.started_ms != state.started_ms:
            # The rank has started anew and holds nothing: neither the copies nor the
            # arming that a change relies on. Its counts begin at zero.
            before = None
            self._reset()
        if not state.experts and before is not None:
            # Most messages leave the experts out; they change with the version only.
            if before.state.map_version == state.map_version:
                state = replace(state, experts=before.state.experts)
        if state.counts:
            self._search.observe(state.counts, now=now)
        if queried and before is not None:
            # The rank was asked straight; its agent is where it was.
            state = replace(state, messages=before.state.messages)
        if not queried:
            self.note_agent(state.rank, now=now)
        self._known_ranks[state.rank] = KnownRank(state, now, valid_at)
        return before is None or get_progress(before.state) != get_progress(state)

    def set_layout(self, layout: ExpertLayout | None) -> None:
        """Learn the engine's figures."""
        if layout == self.layout:
            return
        self.layout = layout
        for one in self._known_ranks.values():
            one.state = self._drop_invalid(one.state)
        if layout is not None and layout.report_lag_s is not None:
            self.report_lag_s = layout.report_lag_s

    def note_map(self, change: MapChange) -> None:
        """Take the map that a leader tells.

        Whoever leads next knows then what the ranks have, also that of a rank whose
        agent is silent: a report doesn't name the experts.
        """
        if (change.group, change.epoch) == (self._group, self._epoch):
            if change.experts:
                self._known_map = (change.version, change.experts)

    def note_agent(self, rank: int, *, now: float) -> None:
        """Take note that a rank's agent lives."""
        self._agent_seen_at[rank] = now

    def _measure_silence(self, rank: int, now: float) -> float:
        return now - self._agent_seen_at.get(rank, float("-inf"))

    def _drop_invalid(self, state: RankState) -> RankState:
        # Experts and counts are used as indices. One beyond the layout ends the process
        # that leads, and the next one that leads after it.
        layout = self.layout
        if layout is None:
            # Nothing is done with the experts before the layout is known. Ranks name
            # them again after seconds only: were they dropped, a group that has just
            # been formed would keep its first map for as long.
            return replace(state, counts=())
        if len(state.counts) != layout.sets * layout.experts:
            state = replace(state, counts=())
        sound = len(state.experts) == layout.sets and all(
            0 <= expert < layout.experts for one in state.experts for expert in one
        )
        return state if sound else replace(state, experts=())

    def find_start(self, replica: str) -> int:
        """Return what names the start of a rank's replica, 0 where it is unknown."""
        starts = (
            one.state.started_ms
            for one in self._known_ranks.values()
            if one.state.replica == replica
        )
        return next(starts, 0)

    def note_done(self, replica: str, order: RankOrder, *, started_ms: int = 0) -> None:
        """Take a rank's own answer that it has carried an order out.

        Its agent tells the same at its next look, up to a pass later; until then a held
        group would stand still. What one start has done says nothing of the next.
        """
        for one in self._known_ranks.values():
            if one.state.replica != replica or one.state.epoch != order.epoch:
                continue
            if one.state.started_ms != started_ms:
                continue
            match order:
                case Hold():
                    self._hold_answered = True
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
        """Tell whether a pass may be waiting for what is done next."""
        return self.phase in (Phase.HOLDING, Phase.ARMING, Phase.RELEASING)

    @property
    def waits_for_ranks(self) -> bool:
        """Tell whether the next word of a rank may be what a change waits for."""
        return self.phase in (Phase.PREPARING, Phase.HOLDING, Phase.ARMING)

    def discard_state(self) -> None:
        """Drop what was being done and heard: the process has stood still.

        Others may have gone on meanwhile. What was true before is not, and an order
        that follows from it could reach some ranks in time and others too late.
        """
        self._reset()
        self._known_ranks.clear()
        self._agent_seen_at.clear()
        self._listening_since = None
        self._search.clear()

    def leads(self, now: float) -> bool:
        """Tell whether no agent of a lower rank lives.

        Whoever has just begun to listen has heard nobody yet. An agent that led until
        it did would tell entries of a group with one member, its own rank.
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
        """Return what to do now."""
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
            case Phase.RELEASING:
                return queries + self._release(now)

    def has_work(self) -> bool:
        """Tell whether a rank has requests, and its group makes passes.

        The own rank may have none for a while. Were that taken for an idle group, its
        passes would be unknown again and again while few requests run.
        """
        states = (one.state for one in self._known_ranks.values())
        return any(state.active or state.queued for state in states)

    def list_states(self, now: float) -> list[tuple[RankState, float]]:
        """Return the state of each rank that is known, and its age in seconds."""
        return [
            (one.state, now - one.received_at) for one in self._known_ranks.values()
        ]

    def measure_skews(self, now: float) -> list[float]:
        """Return the skew of each set by the map in use and the present demand."""
        current = self._get_map()
        if current is None:
            return []
        return self._search.measure_skews(current, self._list_paces(), now)

    def describe(self, now: float) -> dict[str, object]:
        """Return what the decisions go by, for the log."""
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

    def _query_silent(self, now: float) -> list[Action]:
        """Read the ranks whose agents are silent.

        An agent may stand still for seconds while its rank works. Its rank is the only
        one then who knows whether it holds the group and which map it has; without it
        no map would follow the demand until the agent wakes.
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
        # A group that was formed anew has map 0 and nothing prepared, armed or held.
        self._group, self._epoch = state.group, state.epoch
        self._known_ranks.clear()
        self._search.begin_epoch()
        self._known_map = None
        self._reset()

    def _reset(self) -> None:
        self.phase = Phase.IDLE
        self._change = None

    def _list_states(self) -> list[RankState]:
        return [self._known_ranks[rank].state for rank in sorted(self._known_ranks)]

    def _list_paces(self) -> tuple[float, ...]:
        # A little slowness is noise; a map must not follow it.
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
            return self._take_over(held[0], now)
        if not self._is_complete(now) or self.layout is None:
            return []
        states = self._list_states()
        settled = len({state.map_version for state in states}) == 1
        if not settled or any(state.armed_step for state in states):
            return []
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
        self._search.note_started(now)
        version = self._make_version(states)
        self._change = Change(version, chosen.move.experts, now, chosen.copy_s)
        self.phase = Phase.PREPARING
        return self._prepare(now)

    def _make_version(self, states: list[RankState]) -> int:
        highest = max(max(state.map_version, state.prepared) for state in states)
        version: int = (((highest >> NONCE_BITS) + 1) << NONCE_BITS) + self._nonce
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
        if self._all(lambda state: state.prepared == change.version):
            own = self._known_ranks[self._own].state
            if self._is_complete(now):
                self.phase = Phase.HOLDING
                change.step = self._choose_step(now)
                self._hold_answered = False
                change.holder = self._choose_holder(own, now)
                # The next announcement says something new: it must not wait because
                # the last one has just gone out.
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
        if self._find(change.holder).held_step == change.step:
            self.phase = Phase.ARMING
            return self._arm(now)
        if self._hold_answered and now - change.queried_at > _QUERY_RETRY_S:
            # Machines fail in the middle of what they do. Were the ranks armed in the
            # moment in which the hold is answered, a leader that stands still just then
            # would leave all ranks armed but its own, which nobody reaches: the group
            # stood still for as long, 4 s. So the rank that holds is read first. A
            # leader that fails meanwhile has armed nobody, and the next one releases.
            # Its agent sees it as it is; what is read from afar is some tenths of a
            # second old, and counts where the agent is silent.
            change.queried_at = now
            agent = self._find(change.holder).messages
            return [QueryAgent(agent), QueryRank(change.holder)]
        if self._find_newest_step() >= change.step:
            # The pass has begun: the hold came too late, or never.
            change.step = self._choose_step(now)
            change.ordered_at = float("-inf")
            self._hold_answered = False
        return self._order(now, Hold(self._epoch, change.step))

    def _arm(self, now: float) -> list[Action]:
        change = self._get_change()
        if self._all(lambda state: is_armed(state, change)):
            self.phase = Phase.RELEASING
            change.ordered_at = float("-inf")
            self.changes += 1
            took_s = now - change.chosen_at
            self.arming_s = max(took_s, ARMING_FADE * self.arming_s)
            if change.experts:
                self._known_map = (change.version, change.experts)
            return self._release(now)
        if self._all(lambda state: is_superseded(state, change)):
            # Another leader has brought its copies to the ranks before they were
            # armed. None of them can be armed for this change any more, so the pass
            # may begin without it; waiting for them would hold the group for ever.
            self.phase = Phase.RELEASING
            return self._release(now)
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
        if self._find(change.holder).held_step != change.step:
            self._search.note_in_force(now)
            self._reset()
            return []
        return self._order(now, Release(self._epoch, change.step))

    def _take_over(self, holder: RankState, now: float) -> list[Action]:
        """Go on with a hold that an earlier leader has left, or that came late."""
        if len(self._known_ranks) != holder.ranks:
            return []
        armed = [
            state.armed_version
            for state in self._list_states()
            if state.armed_step == holder.held_step
        ]
        if not armed and not self._is_orphan(now):
            return []
        version = max(armed, default=0)
        change = Change(version, (), now, 0.0, holder.held_step, holder.replica)
        change.chosen_at = now
        self._change = change
        self.phase = Phase.ARMING if armed else Phase.RELEASING
        return self._arm(now) if armed else self._release(now)

    def _is_orphan(self, now: float) -> bool:
        """Tell whether nobody is armed or will be for a hold that is in force.

        Released too early, the pass would begin while some ranks switch and others do
        not. Whoever was told to arm has done so when the agent that told it has been
        silent for long enough, or has given the change up for as long. Then each rank
        must have told lately that it is not armed; the leader that fell silent alone
        need not, since its own rank comes after all others.
        """
        lower = [
            seen_at for rank, seen_at in self._agent_seen_at.items() if rank < self._own
        ]
        last_led_at = max([self._active_at, *lower])
        if now - last_led_at < ORPHAN_S:
            return False
        stale = [
            rank
            for rank, one in self._known_ranks.items()
            if now - one.received_at >= self._max_state_age_s
        ]
        return len(stale) <= 1 and all(rank < self._own for rank in stale)

    def _get_change(self) -> Change:
        assert self._change is not None
        return self._change

    def _find(self, replica: str) -> RankState:
        return next(
            one.state
            for one in self._known_ranks.values()
            if one.state.replica == replica
        )

    def _choose_holder(self, own: RankState, now: float) -> str:
        """Return the rank after the own one whose agent speaks, to order it as well."""
        others = [(own.rank + number) % own.ranks for number in range(1, own.ranks)]
        speaking = [rank for rank in others if not self._is_silent(rank, now)]
        chosen = (speaking or others or [own.rank])[0]
        return self._known_ranks[chosen].state.replica

    def _choose_step(self, now: float) -> int:
        self._get_change().chosen_at = now
        pass_s = self._pass_s or USUAL_PASS_S
        # The pass that runs now began half a pass ago, on the mean.
        lead = ceil(self.arming_s / pass_s + 0.5)
        return self._find_newest_step() + min(
            MAX_LEAD_PASSES, max(MIN_LEAD_PASSES, lead)
        )

    def _find_newest_step(self) -> int:
        return max(one.state.step for one in self._known_ranks.values())

    def _all(self, holds: Callable[[RankState], bool]) -> bool:
        ranks = self._known_ranks[self._own].state.ranks
        states = self._list_states()
        return len(states) == ranks and all(holds(state) for state in states)

    def _send_change(self, now: float, *, step: int) -> list[Action]:
        change = self._get_change()
        if now - change.sent_at < _MAP_RETRY_S and step == 0:
            return []
        change.sent_at = now
        # Whoever is to be armed has the experts already.
        experts = () if step else change.experts
        message = MapChange(self._group, self._epoch, change.version, experts, step)
        to = tuple(
            state.messages
            for state in self._list_states()
            if state.rank != self._own and not has_applied(state, change, step=step)
        )
        return [SendMapChange(message, to)]

    def _order(self, now: float, order: Hold | Release) -> list[Action]:
        """Order the rank that holds, also by way of the agent beside it.

        Orders from another machine may be lost seven times in a row while the agent's
        are answered in 2 ms, and all streams pause meanwhile. With a hold the agent
        comes second: a machine that fails right after it has given an order must not
        be the one that holds the group, since nobody could let it go on until the
        machine wakes. A release does no harm on whichever machine it is given.
        """
        change = self._get_change()
        if now - change.ordered_at < _ORDER_RETRY_S:
            return []
        is_first = order != change.order
        change.order, change.ordered_at = order, now
        direct = SendOrder(change.holder, order)
        if is_first and isinstance(order, Hold):
            return [direct]
        return [direct, DelegateOrder(self._find(change.holder).messages, order)]

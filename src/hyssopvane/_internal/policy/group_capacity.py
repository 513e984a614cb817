"""Count the room in one group of replicas that work in step."""

from collections import deque
from random import Random

from hyssopvane._internal.policy.pass_model import PassModel
from hyssopvane._internal.policy.poll_intervals import get_poll_interval_s
from hyssopvane._internal.policy.replica_load import ReplicaLoad, estimate_entries
from hyssopvane._internal.state.loads import RankLoad
from hyssopvane._internal.state.routing import EngineModel

LATE_RESERVE = 0.1
"""Part of the limit that requests which are late anyway leave free.

A place that falls free is seen first by the entry that it falls free at. Without the
reserve, those who wait there get it, late, and the next caller at another entry, who
could have been served in time, begins to wait.
"""


PROBE_INTERVAL_S = 0.25
"""Time after which a group that refused, and that nobody tells of, is tried again."""

INITIAL_DURATION_S = 1.0
"""Time for which a request runs while none has ended yet."""

DURATION_WEIGHT = 0.1
"""Weight of the last request in the mean time for which one runs."""


class GroupCapacity:
    """Limit the requests of one group, over all entries.

    A service has one group or several; each makes passes of its own, so what one can
    take says nothing about the others.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self.passes = PassModel()
        self.members: dict[str, ReplicaLoad] = {}
        """Replicas by their id."""
        self._reported_entries = 0
        """Entries that the leader hears; 0 where no load has come."""
        self._step = -1
        self._reserved = 0
        """Places that this entry has taken since the last pass began."""
        self._draw = 0.0
        self._epoch = -1
        self._backs_off_until = float("-inf")
        """Time until which a group that nobody tells of counts as broken."""
        self._has_served = False
        """Whether a member has begun to answer since it last refused."""
        self._ranks = 1
        self._started_at: deque[float] = deque()
        """Times at which this entry took the places that it still has."""
        self._mean_duration_s = INITIAL_DURATION_S
        """Mean time for which a request runs."""
        self._finished = 0
        self._prompt_budget = 0.0
        """Prompt tokens that this entry may still send before the next pass."""
        self._is_prompt_budget_due = True
        """Whether a pass has begun since the tokens were last worked out."""

    @property
    def entries(self) -> int:
        """Return the entries that send to the group, guessed while none are told."""
        return self._reported_entries or estimate_entries(len(self.members))

    def observe(self, load: RankLoad, *, now: float, members: int = 1) -> None:
        """Take what a load tells of the group, and of how many members it was."""
        self._reported_entries = max(1, load.entries)
        self._ranks = load.ranks
        if load.epoch != self._epoch:
            self._epoch = load.epoch
            self.passes.reset()
        active = sum(
            member.load.active
            for member in self.members.values()
            if member.load is not None and member.is_fresh(now)
        )
        self.passes.observe(load, active=active, members=members)
        if load.step != self._step:
            self._prompt_budget = min(0.0, self._prompt_budget)
            self._is_prompt_budget_due = True
            self._step = load.step
            self._reserved = 0
            self._draw = self._random.random()

    def get_limit(self, engine: EngineModel | None) -> float:
        """Return the requests that the group may have at once."""
        slots = float(sum(member.replica.slots for member in self.members.values()))
        if engine is None:
            return slots
        return min(slots, self.passes.get_limit(engine, members=len(self.members)))

    def count(self, now: float) -> int:
        """Return the requests that the group is believed to have."""
        return sum(member.count(now, self.entries) for member in self.members.values())

    def is_open(self, now: float) -> bool:
        """Tell whether a member serves requests, as far as known."""
        reported = [member for member in self.members.values() if member.is_fresh(now)]
        if not reported:
            return now >= self._backs_off_until
        return any(member.is_open(now) for member in reported)

    def serves(self, now: float) -> bool | None:
        """Tell whether it serves requests, None while nothing shows it."""
        if self._has_fresh_load(now):
            return self.is_open(now)
        if now < self._backs_off_until + PROBE_INTERVAL_S:
            return False
        return True if self._has_served else None

    def note_refusal(self, now: float) -> None:
        """Take note that a member has turned a request away.

        Made for the seconds after everything has lost power: entries are back before
        the group is formed and before an agent tells them that it is not. Callers
        would be sent to two ranks, refused by both, asked back within 0.3 s and refused
        again. One request in a while shows whether the group serves again, and all
        others hear at once when to come back.
        """
        if not self._has_fresh_load(now):
            self._backs_off_until = now + PROBE_INTERVAL_S
            self._has_served = False

    def note_served(self) -> None:
        """Take note that a member has begun to answer a request."""
        self._backs_off_until = float("-inf")
        self._has_served = True

    def get_utilization(self, engine: EngineModel | None, now: float) -> float:
        """Return the part of the limit that is used."""
        return self.count(now) / max(1.0, self.get_limit(engine))

    def count_available(
        self, engine: EngineModel | None, now: float, *, late: bool
    ) -> int:
        """Return the places that this entry may take now.

        Made for a full group at which several entries wait. All of them see the same
        free places; were each to take them, or its part again and again before the
        next reports show what the others took, the group would get twice its limit and
        all of its streams would stutter. So each takes its part once in a pass. Where
        fewer places than entries are free, a draw decides who takes one.
        """
        if self._is_probing(now):
            return 1
        limit = self.get_limit(engine)
        reserve = limit * LATE_RESERVE if late else 0.0
        free = limit - reserve - self.count(now)
        if free < 1:
            return 0
        if engine is None or not self._has_fresh_load(now):
            return max(1, int(free / self.entries))
        share = (free + self._reserved) / self.entries
        return max(0, int(share + self._draw) - self._reserved)

    def _is_probing(self, now: float) -> bool:
        """Tell whether one request shows whether a group that refused serves again.

        All who wait would be sent at once else, and be refused together.
        """
        refused = self._backs_off_until > float("-inf")
        return refused and not self._has_fresh_load(now)

    def allows_prompt(self, engine: EngineModel | None, now: float) -> bool:
        """Tell whether one more prompt fits in the next pass.

        A prompt is never split: the one that goes beyond this entry's part is paid for
        by the passes after it, so large ones get their turn like small ones.
        """
        if engine is None or not self._has_fresh_load(now):
            return True
        if not self._is_prompt_budget_due and not self.count(now):
            # Nothing runs whose readers would wait, and an idle group makes no passes
            # that could pay for what was sent before.
            self._prompt_budget = 0.0
            return True
        if self._is_prompt_budget_due:
            self._is_prompt_budget_due = False
            tokens = self.passes.measure_read_tokens(engine)
            self._prompt_budget += tokens * self._measure_share(now)
        return self._prompt_budget > 0

    def _measure_share(self, now: float) -> float:
        """Return this entry's part of what all entries may send.

        Callers spread unevenly over many entries. With an even part the busiest of 13
        entries lets its callers wait for what others leave unused; so the part follows
        its requests, and is an even one at least. What the loads don't show yet is left
        out: of others' requests just as new nothing is known either.
        """
        unseen = sum(len(member.sent_at) for member in self.members.values())
        own = sum(member.own for member in self.members.values()) - unseen
        reported = self.count(now) - unseen
        return max(1 / self.entries, min(1.0, own / reported) if reported > 0 else 0.0)

    def estimate_arrivals(self, now: float) -> float:
        """Return the requests that all entries send in the time between two loads.

        What is believed of a rank is up to a look of its agent and one of the leader
        old. As many requests come in a time as leave in it, so their number follows
        from those that run and how long they last. What one entry sends in that time is
        too little to tell by: with its own rate each entry of a zone would take itself
        for alone, and send to ranks that others have just filled.
        """
        unreported_s = 2 * get_poll_interval_s(self._ranks)
        return self.count(now) * unreported_s / max(self._mean_duration_s, unreported_s)

    def finish(self, now: float) -> None:
        """Take note that one of this entry's requests has left the group.

        Which one it was does not matter for the mean time that they last.
        """
        # Those of a replica's earlier start have ended unseen.
        own = sum(member.own for member in self.members.values())
        while len(self._started_at) > own + 1:
            self._started_at.popleft()
        if self._started_at:
            duration_s = now - self._started_at.popleft()
            self._finished += 1
            weight = max(DURATION_WEIGHT, 1 / self._finished)
            self._mean_duration_s += weight * (duration_s - self._mean_duration_s)

    def take(self, prompt_tokens: int, *, now: float) -> None:
        """Count a place that this entry has taken."""
        if self._is_probing(now):
            self._backs_off_until = now + PROBE_INTERVAL_S
        self._started_at.append(now)
        self._reserved += 1
        self._prompt_budget -= prompt_tokens

    def _has_fresh_load(self, now: float) -> bool:
        return any(member.is_fresh(now) for member in self.members.values())

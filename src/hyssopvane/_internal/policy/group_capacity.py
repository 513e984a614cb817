"""Count the free capacity of one group of replicas that work in lockstep."""

from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Mapping
from math import sqrt
from random import Random
from types import MappingProxyType

from hyssopvane._internal.policy import rendezvous
from hyssopvane._internal.policy.group_ramp import GroupRamp, estimate_duration_s
from hyssopvane._internal.policy.pass_model import PAUSE_SHARE, PassModel
from hyssopvane._internal.policy.poll_intervals import (
    get_max_load_age_s,
    get_poll_interval_s,
)
from hyssopvane._internal.policy.replica_load import ReplicaLoad, estimate_entries
from hyssopvane._internal.policy.spare_places import SparePlaces
from hyssopvane._internal.policy.turn_prediction import Turnover
from hyssopvane._internal.state.loads import RankLoad
from hyssopvane._internal.state.routing import EngineModel, Incarnation

LATE_RESERVE = 0.1
"""Fraction of the limit that late requests leave free.

The entry whose request ends sees the free place first. Without the reserve, late
requests at this entry would take it, and the next caller at another entry, which could
have been served in time, would have to wait.
"""


CHANCE_DEVIATIONS = 4.0
"""Standard deviations above an even part that an entry's requests may be by chance.

Sixteen entries compute their share eight times a second. With three deviations, one of
them would exceed its part by chance every few seconds.
"""

PROBE_INTERVAL_S = 0.25
"""Time after which a group that refused a request, and that sends no load, is tried
again.
"""

INITIAL_DURATION_S = 1.0
"""Assumed duration of a request until the first one has ended."""

MIN_DURATION_S = 0.01
"""Least mean duration from which a rate or a ramp is computed."""

DURATION_WEIGHT = 0.1
"""Weight of the last request in the mean duration."""

MIN_DURATION_ERROR = 0.1
"""Least relative error of the mean duration; a change of demand makes passes this much
longer before a request that it delays has ended.
"""

MIN_FINISHED = 10
"""Requests that must have ended before the mean duration is used to refuse others."""

MAX_SILENT_SHARE = 0.5
"""Share of a group that may be silent while it counts as heard.

If more of it is silent, its leader or the network is at fault and not their VMs.
"""

MAX_LEADERLESS_S = 3.0
"""Time without any load after which no agent is expected to lead the group soon.

The next one takes 0.8 s after its leader has fallen silent, and longer if it has
stopped with it.
"""

MOVE_S = 0.5
"""Time in which most requests of a VM that stands still find another replica."""

MAX_DEPARTED = 16
"""Number of former members that are remembered."""

_HASH_BITS = 64
"""Number of bits of the hash of an address."""


class GroupCapacity:
    """Limit the requests of one group, over all entries.

    A service has one group or several. Each group makes its own passes, so the capacity
    of one says nothing about the others.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self.passes = PassModel()
        self.ramp = GroupRamp()
        self._spare = SparePlaces()
        self.members: dict[str, ReplicaLoad] = {}
        """Replicas by their id."""
        self._reported_entries = 0
        """Number of entries that the leader receives messages from; 0 before the first
        load.
        """
        self.follows_requests = True
        """Whether this entry's part of the free places follows its part of the requests
        where that is beyond chance; it is an even one otherwise.
        """
        self.demand_share: float | None = None
        """This entry's part of the requests of all entries, None if unknown."""
        self._closed: tuple[ReplicaLoad, ...] = ()
        """Members that take no requests because their zones are evacuated."""
        self._opened: tuple[ReplicaLoad, ...] = ()
        """The other members; only valid while there are closed ones."""
        self._zone_parts: dict[str, float] = {}
        """Parts of the open slots by zone, as far as computed."""
        self._step = -1
        self._reserved = 0
        """Places that this entry has reserved of its even share since the last pass
        began."""
        self.reserved_rows: Counter[tuple[int, int]] = Counter()
        """Those that it has reserved by the shares of all entries since then, by
        priority and customer."""
        self.place_share = 0.0
        """This entry's part of the free places by these shares."""
        self.changes = 0
        """Number of changes of loads, requests, members and zones that were applied."""
        self._moving_until = float("-inf")
        """Time until which requests of a stalled member are expected to move."""
        self.draw = 0.0
        """Number from 0 to 1 that decides about fractions of places for one pass."""
        self._epoch = -1
        self._highest_epoch = -1
        """Highest epoch since a member restarted; -1 before the first load."""
        self._has_restarted = False
        """Whether a member has another start than before the last load."""
        self.formed_at = float("-inf")
        """Time at which the group's epoch was first reported."""
        self.probed: tuple[ReplicaLoad, ...] = ()
        """Members on VMs that have resumed, as of the last load."""
        self._scattered_at = float("-inf")
        """Time of the last load with which most members were still silent."""
        self._departed: deque[Incarnation] = deque(maxlen=MAX_DEPARTED)
        """Replicas that were members before."""
        self._back_off_until = float("-inf")
        """Time until which a group that sends no load is considered broken."""
        self._has_served = False
        """Whether a member has begun to answer a request since the last refusal."""
        self._ranks = 1
        self._start_times: deque[float] = deque()
        """Times at which this entry reserved the places that it still holds."""
        self._mean_duration_s = INITIAL_DURATION_S
        """Mean duration of a request."""
        self._duration_deviation_s = 0.0
        """Mean absolute deviation of a duration from the mean."""
        self._finished_count = 0
        self._output_tokens = 0.0
        """Mean number of tokens that this entry's requests may get; 0 if unknown."""
        self._prompt_budget = 0.0
        """Prompt tokens that this entry may still send before the next pass."""
        self._is_prompt_budget_due = True
        """Whether a pass has begun since the prompt budget was last computed."""

    @property
    def entries(self) -> float:
        """Return the number of entries that send as much as this one.

        It is estimated until the leader of a group reports how many there are.
        """
        if self._reported_entries:
            return self._reported_entries
        estimated = estimate_entries(len(self.members))
        if self.demand_share is None:
            return estimated
        return min(estimated, 1 / max(self.demand_share, 1 / estimated))

    def observe(
        self,
        load: RankLoad,
        *,
        now: float,
        members: int = 1,
        just_started: bool = True,
    ) -> None:
        """Apply the group's state from a load that covers `members` members.

        `just_started` tells whether the ranks may have started so lately that the first
        load shows a group that has just opened.
        """
        self.changes += 1
        self._reported_entries = max(1, load.entries)
        self._ranks = load.ranks
        is_first = self._epoch < 0
        is_new = self._is_formed_anew(load) or (is_first and just_started)
        if load.epoch != self._epoch:
            self._epoch = load.epoch
            self.formed_at = now
            self.passes.reset()
        active = sum(
            member.load.active
            for member in self.members.values()
            if member.load is not None and member.is_fresh(now)
        )
        if self._has_mostly_silent(now):
            self._scattered_at = now
        self.probed = tuple(
            member for member in self.members.values() if member.is_probed(now)
        )
        self.passes.observe(load, active=active, members=members)
        self.ramp.observe(is_open=load.open, active=active, now=now, is_new=is_new)
        self._spare.observe(self.count(now), now)
        if load.step != self._step:
            self._prompt_budget = min(0.0, self._prompt_budget)
            self._is_prompt_budget_due = True
            self._step = load.step
            self._reserved = 0
            self.reserved_rows.clear()
            self.place_share = 0.0
            self.draw = self._random.random()

    def record_restart(self) -> None:
        """Record that a member has another start than was known."""
        self._has_restarted = True

    def _is_formed_anew(self, load: RankLoad) -> bool:
        """Return whether the group was formed since what was known before a load.

        Only a higher epoch counts, as a leader that was frozen may still publish an
        earlier one. If a rank has restarted, the count of epochs may have begun again.
        """
        has_restarted, self._has_restarted = self._has_restarted, False
        if has_restarted:
            self._highest_epoch = load.epoch
            return True
        is_higher = load.epoch > self._highest_epoch >= 0
        self._highest_epoch = max(self._highest_epoch, load.epoch)
        return is_higher

    def add_member(self, one: ReplicaLoad) -> None:
        """Add a replica that reports this group."""
        self.changes += 1
        self._zone_parts.clear()
        self.members[one.replica.id] = one

    def remove_member(self, replica_id: str) -> None:
        """Remove a replica that is gone or reports another group."""
        self.changes += 1
        self._zone_parts.clear()
        self._departed.append(self.members.pop(replica_id).replica.incarnation)

    def update_zone_shares(self) -> None:
        """Apply the shares of its members' slots that may be used.

        All ranks go on to compute, since experts are located on each. Only the work
        that a rank does for its own requests is done by fewer ranks.
        """
        self.changes += 1
        self._zone_parts.clear()
        members = self.members.values()
        shares = [member.zone_share for member in members]
        self._closed = tuple(one for one in members if not one.zone_share)
        self._opened = tuple(one for one in members if one.zone_share)
        self.passes.open_share = sum(shares) / len(shares) if any(shares) else 1.0

    def measure_zone_part(self, zone: str) -> float:
        """Return the part of the open slots that is in a zone."""
        part = self._zone_parts.get(zone)
        if part is None:
            slots = {True: 0, False: 0}
            for one in self.members.values():
                slots[one.replica.availability_zone == zone] += one.open_slots
            part = slots[True] / max(1, sum(slots.values()))
            self._zone_parts[zone] = part
        return part

    def record_stall(self, now: float) -> None:
        """Record that a member's VM was found to be stalled."""
        self.changes += 1
        self._moving_until = now + MOVE_S

    def is_settled(self, now: float) -> bool:
        """Return whether the free places are the same until the next change.

        They grow with time while the group ramps up, and while requests of a stalled
        member move to other replicas.
        """
        return not self.ramp.is_recent and now >= self._moving_until

    def list_incarnations(self) -> frozenset[Incarnation]:
        """Return the replicas that are or were lately members."""
        members = {one.replica.incarnation for one in self.members.values()}
        return frozenset(members.union(self._departed))

    def measure_late_reserve(self, engine: EngineModel | None, limit: float) -> float:
        """Return the places that late requests leave free.

        In a group that has just opened they leave those that it fills later. Requests
        that can still be on time may take these: held back, they would be late too.
        """
        reserve = limit * LATE_RESERVE
        if engine is None:
            return reserve
        ramped = self.ramp.apply(limit, self._estimate_duration_s(engine))
        return max(reserve, limit - ramped)

    def observe_output(self, tokens: int) -> None:
        """Record how many tokens a waiting request may get."""
        weight = DURATION_WEIGHT if self._output_tokens else 1.0
        self._output_tokens += weight * (tokens - self._output_tokens)

    def _estimate_duration_s(self, engine: EngineModel) -> float:
        """Return the mean duration of a request, even before one has ended."""
        if self._finished_count >= MIN_FINISHED or not self._output_tokens:
            return max(MIN_DURATION_S, self._mean_duration_s)
        pass_s = self.passes.pause_s * PAUSE_SHARE
        estimated_s = estimate_duration_s(int(self._output_tokens), engine, pass_s)
        return max(INITIAL_DURATION_S, estimated_s)

    def get_limit(
        self, engine: EngineModel | None, *, closed: int = 0, lost: float = 0.0
    ) -> float:
        """Return the maximum number of concurrent requests of the group.

        `closed` requests that run in evacuated zones need none of the open slots.
        `lost` slots are those that cold replicas can't fill.
        """
        # Replicas on VMs that stand still take nothing. If their slots counted, the
        # other replicas would get more requests than they can run.
        slots = float(
            sum(
                member.replica.slots * member.zone_share
                for member in self.members.values()
                if not member.is_stalled
            )
        )
        # The same holds until one that has resumed answers.
        slots -= sum(
            (member.replica.slots - 1) * member.zone_share
            for member in self.probed
            if member.answered_at < member.resumed_at
        )
        slots += closed - lost
        if engine is None:
            return slots
        # Most of what has waited for the opening is late anyway, and needs places more
        # than short pauses.
        passes_limit = self.passes.get_limit(
            engine,
            members=len(self.members),
            copies=not self.ramp.has_opened_lately,
        )
        return min(slots, passes_limit)

    def count(self, now: float) -> int:
        """Return the estimated number of requests in the group."""
        entries = self.entries
        return sum([member.count(now, entries) for member in self.members.values()])

    def _count_parts(self, now: float) -> tuple[int, int]:
        """Return the estimated numbers of all requests and of those in evacuated zones.

        Each member is counted once, since this is most of the cost of a decision.
        """
        if not self._closed:
            return self.count(now), 0
        entries = self.entries
        closed = sum(member.count(now, entries) for member in self._closed)
        opened = sum(member.count(now, entries) for member in self._opened)
        return opened + closed, closed

    def count_endangered(self, now: float) -> float:
        """Return the estimated number of requests at replicas that stand still.

        They need places at other replicas before their callers leave. Those of other
        entries are known by the last loads only, and move at the same time as this
        entry's.
        """
        endangered = 0.0
        for member in self.members.values():
            if member.is_stalled and member.load is not None:
                passed = (now - member.stalled_at) / MOVE_S
                reported = member.load.active + member.load.queued
                endangered += max(member.own, reported * (1 - passed))
        return endangered

    def is_open(self, now: float) -> bool:
        """Return whether a member serves requests, as far as known."""
        reported = [member for member in self.members.values() if member.is_fresh(now)]
        if not reported:
            return now >= self._back_off_until
        return any(member.is_open(now) for member in reported)

    def is_forming(self, now: float) -> bool:
        """Return whether the group is closed and no rank is known to be missing.

        Ranks that were never heard are left out: after a power loss of all machines,
        it takes some tenths of a second until all of them report.
        """
        members = self.members.values()
        all_heard = all(member.is_fresh(now) for member in members)
        return all_heard and self.has_fresh_load(now) and not self.is_open(now)

    def serves(self, now: float) -> bool | None:
        """Return whether the group serves requests, or None if it is unknown."""
        if self.has_fresh_load(now):
            return self.is_open(now)
        if now < self._back_off_until + PROBE_INTERVAL_S:
            return False
        return True if self._has_served else None

    def record_refusal(self, now: float) -> None:
        """Record that a member has refused a request.

        After a power loss, entries are back seconds before the group is formed and
        before an agent reports that it is not. Callers would be sent to two ranks,
        refused by both, retried within 0.3 s and refused again. Instead, one request at
        each probe interval shows whether the group serves again, and all others are
        told at once when to come back.
        """
        if not self.has_fresh_load(now):
            self._back_off_until = now + PROBE_INTERVAL_S
            self._has_served = False

    def record_served(self) -> None:
        """Record that a member has begun to answer a request."""
        self._back_off_until = float("-inf")
        self._has_served = True

    def count_available(
        self,
        engine: EngineModel | None,
        now: float,
        *,
        late: bool,
        moving: bool = False,
    ) -> int:
        """Return the number of places that this entry may reserve now.

        New requests leave places for those that wait at replicas that stand still:
        these have less time left, and what was generated for them would be lost.

        When several entries wait for a full group, all of them see the same free
        places. If each took all of them, or took its share repeatedly before the next
        reports show what the others took, the group would get twice its limit and all
        of its streams would stall. So each entry takes its share once per pass. If
        fewer places than entries are free, a random draw decides which entry takes one.
        """
        if self._closed and len(self._closed) == len(self.members):
            return 0
        if self._is_probing(now):
            return 1
        free = self.measure_free(engine, now, moving=moving)
        if late:
            free -= self.measure_late_reserve(engine, self.get_limit(engine))
        if free < 1:
            return 0
        if engine is None or not self.has_fresh_load(now):
            return max(1, int(free / self.entries))
        return self._take_share(free, now)

    def count_spare(self, engine: EngineModel | None, now: float) -> int:
        """Return the number of places that a late request may take as its last chance.

        They were free for a while, so that no request on time needs them.
        """
        if engine is None or not self.has_fresh_load(now):
            return 0
        spare = self.measure_spare(engine, now)
        return self._take_share(spare, now) if spare >= 1 else 0

    def measure_spare(self, engine: EngineModel | None, now: float) -> float:
        """Return the places of all entries that requests on time have left free."""
        if self.ramp.is_recent:
            return 0.0
        running, closed = self._count_parts(now)
        limit = self.get_limit(engine, closed=closed) - self.count_endangered(now)
        return self._spare.measure(limit, running, now)

    def _take_share(self, free: float, now: float) -> int:
        """Return this entry's even part of free places, less what it took of it."""
        share = (free + self._reserved) * self._measure_place_share(now)
        return max(0, int(share + self.draw) - self._reserved)

    def measure_free(
        self, engine: EngineModel | None, now: float, *, moving: bool = False
    ) -> float:
        """Return the number of places that are free for all entries."""
        running, closed = self._count_parts(now)
        endangered = 0.0 if moving else self.count_endangered(now)
        return self.get_limit(engine, closed=closed) - endangered - running

    def _is_probing(self, now: float) -> bool:
        """Return whether one request probes whether a refusing group serves again.

        Otherwise all waiting requests would be sent at once and refused together.
        """
        refused = self._back_off_until > float("-inf")
        return refused and not self.has_fresh_load(now)

    def allows_prompt(self, engine: EngineModel | None, now: float) -> bool:
        """Return whether one more prompt fits in the next pass.

        A prompt is never split. One that exceeds this entry's share is charged to the
        passes after it, so that large prompts get their turn like small ones.
        """
        if engine is None or not self.has_fresh_load(now):
            return True
        if not self._is_prompt_budget_due and not self.count(now):
            # No running stream would be delayed, and an idle group makes no passes to
            # which tokens that were sent before could be charged.
            self._prompt_budget = 0.0
            return True
        if self._is_prompt_budget_due:
            self._is_prompt_budget_due = False
            tokens = self.passes.measure_read_tokens(engine)
            share = max(self.measure_share(self.count(now)), self.place_share)
            self._prompt_budget += tokens * share
        return self._prompt_budget > 0

    def measure_share(self, running: int) -> float:
        """Return this entry's share of the `running` requests, which all entries send.

        It is its share of the prompt tokens in a pass.

        Callers are spread unevenly over many entries. With an even share, the busiest
        of 13 entries keeps its callers waiting for capacity that others leave unused.
        So the share follows the entry's requests, and is at least an even one. Requests
        that the loads don't include yet are left out, since equally recent requests of
        other entries are unknown too.
        """
        unseen = sum(len(member.sent_at) for member in self.members.values())
        own = sum(member.own for member in self.members.values()) - unseen
        reported = running - unseen
        return max(1 / self.entries, min(1.0, own / reported) if reported > 0 else 0.0)

    def _measure_place_share(self, now: float) -> float:
        """Return this entry's share of the free places.

        The load handled is that of entries with most new connections, which
        `follows_requests` says are expected.

        With an even share, an entry that gets most new connections leaves half of a
        group empty. An entry that has more requests than others by chance alone must
        not follow them, or the shares of all entries add up to more than what is free.
        """
        if not self.follows_requests:
            return 1 / self.entries
        running = self.count(now)
        share = self.measure_share(running)
        even = running / self.entries
        by_chance = even + CHANCE_DEVIATIONS * sqrt(even)
        return share if share * running > by_chance else 1 / self.entries

    def has_turn(self, replica: str) -> bool:
        """Return whether this entry may use the last slots of a replica.

        It is drawn for each pass, so that of all entries that are not the replica's
        home about one may.
        """
        drawn = (rendezvous.hash_name(replica) / 2**_HASH_BITS + self.draw) % 1.0
        return bool(drawn * max(1, self.entries - 1) < 1.0)

    def estimate_arrivals(self, now: float) -> float:
        """Return the number of requests that all entries send between two loads.

        The known state of a rank is up to one poll of its agent plus one of the leader
        old. Requests arrive at the rate at which they finish, so their number follows
        from those that run and their mean duration. The requests of one entry in that
        time are too few for an estimate: by its own rate, each entry of a zone would
        assume that it is the only one, and send to ranks that others have just filled.
        """
        unreported_s = 2 * get_poll_interval_s(self._ranks)
        regular = (
            self.count(now) * unreported_s / max(self._mean_duration_s, unreported_s)
        )
        # All entries find out at the same time that a VM stands still.
        return regular + self.count_endangered(now)

    def finish(self, now: float, *, failed_since: float | None = None) -> None:
        """Record that one of this entry's requests has left the group.

        The mean duration doesn't depend on which request it was. `failed_since` is the
        time at which a failed attempt got its place. It is not measured: after a crash,
        many short attempts would make places seem to come free sooner.
        """
        self.changes += 1
        # Requests to an earlier start of a replica have ended without a call to this
        # method.
        own = sum(member.own for member in self.members.values())
        if failed_since is not None:
            index = bisect_right(self._start_times, failed_since) - 1
            if index >= 0 and len(self._start_times) > own:
                del self._start_times[index]
            return
        while len(self._start_times) > own + 1:
            self._start_times.popleft()
        # Replicas that join the group bring requests whose start is not known here;
        # these end first.
        if len(self._start_times) > own:
            duration_s = now - self._start_times.popleft()
            self._finished_count += 1
            weight = max(DURATION_WEIGHT, 1 / self._finished_count)
            deviation_s = abs(duration_s - self._mean_duration_s)
            self._duration_deviation_s += weight * (
                deviation_s - self._duration_deviation_s
            )
            self._mean_duration_s += weight * (duration_s - self._mean_duration_s)

    def measure_turnover(
        self,
        engine: EngineModel | None,
        now: float,
        cold_rates: Mapping[str, float] = MappingProxyType({}),
    ) -> Turnover:
        """Return how places come free, over all entries.

        Where requests wait, all places are taken, so their number and not that of the
        running requests gives the rate. Requests in evacuated zones take none of the
        places, and leave none when they end. `cold_rates` are the requests a second
        that this entry may send to cold replicas, by their id.
        """
        duration_s = max(self._mean_duration_s, MIN_DURATION_S)
        lost, beyond = self._measure_cold(cold_rates, duration_s, now)
        limit = self.get_limit(engine, lost=lost)
        running, closed = self._count_parts(now)
        total = self.get_limit(engine, closed=closed, lost=lost - beyond)
        per_s = max(limit, running - closed - beyond) / duration_s
        free = total - self.count_endangered(now) - running
        # Places that have come free since the last load are taken after the next one.
        # They are free whenever requests wait, and the rate counts them already.
        circulating = per_s * 2 * get_poll_interval_s(self._ranks)
        error = self._duration_deviation_s / duration_s
        return Turnover(
            free=min(free, max(0.0, free - circulating)),
            reserve=self.measure_late_reserve(engine, limit),
            spare=self.measure_spare(engine, now),
            limit=limit,
            per_s=per_s,
            error=max(MIN_DURATION_ERROR, error),
            measured=self._finished_count >= MIN_FINISHED,
            share=self.measure_share(running),
        )

    def _measure_cold(
        self, rates: Mapping[str, float], duration_s: float, now: float
    ) -> tuple[float, float]:
        """Return slots that cold replicas can't fill, and requests that run in these.

        A replica that gets few requests a second never has more running than arrive
        within the duration of one.
        """
        lost = beyond = 0.0
        entries = self.entries if rates else 1.0
        for replica_id, member in self.members.items() if rates else ():
            rate = rates.get(replica_id)
            if rate is None or member.is_stalled:
                continue
            slots = member.replica.slots * member.zone_share
            usable = rate * entries * duration_s
            if usable < slots:
                lost += slots - usable
                running = min(slots, member.count(now, entries))
                beyond += max(0.0, running - usable)
        return lost, beyond

    def measure_entry_rate(self, engine: EngineModel) -> float:
        """Return this entry's part of the places that come free in a second.

        It is known before the group has opened, when the rate is that of its ramp.
        """
        places = self.get_limit(engine) / self.entries
        return places / self._estimate_duration_s(engine)

    def reserve_place(
        self, prompt_tokens: int, *, now: float, row: tuple[int, int] | None = None
    ) -> None:
        """Reserve a place for a request of this entry, in a row of shares if given."""
        self.changes += 1
        if self._is_probing(now):
            self._back_off_until = now + PROBE_INTERVAL_S
        self._start_times.append(now)
        if row is None:
            self._reserved += 1
        else:
            self.reserved_rows[row] += 1
        self._prompt_budget -= prompt_tokens

    def has_agents(self, now: float) -> bool:
        """Return whether loads are expected, as some have come lately."""
        members = self.members.values()
        return any(now - one.observed_at < MAX_LEADERLESS_S for one in members)

    def is_gathered(self, now: float) -> bool:
        """Return whether all members on working VMs have had time to be heard.

        The first loads of an agent that begins to lead have recent states of few other
        members.
        """
        if self._has_mostly_silent(now) or not self.has_fresh_load(now):
            return False
        return now - self._scattered_at >= get_max_load_age_s(self._ranks)

    def _has_mostly_silent(self, now: float) -> bool:
        silent = sum(not member.is_reported(now) for member in self.members.values())
        return silent > MAX_SILENT_SHARE * len(self.members)

    def has_fresh_load(self, now: float) -> bool:
        """Return whether the load of a member is recent."""
        return any(member.is_fresh(now) for member in self.members.values())

"""Choose the target that runs a request."""

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field
from random import Random

from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.policy import rendezvous
from hyssopvane._internal.policy.ejection import Ejector
from hyssopvane._internal.policy.prefix_cache_index import PrefixCacheIndex
from hyssopvane._internal.policy.target_load import TargetLoad
from hyssopvane._internal.state.table import ServiceRow, Table, TargetRow
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    CacheReport,
    LoadReport,
    TargetInfo,
    WorkRequest,
)

_FULL_WEIGHT = 100
# Targets of the own availability zone are preferred up to this fraction of their
# limits. Below it a batch has room, and a hop to another zone would cost each token a
# millisecond for no benefit.
SPILL_UTILISATION = 0.4
# Above SPILL_UTILISATION, work goes to another zone if the best target there is less
# full by this factor; without it two equally full zones would exchange their work.
SPILL_RATIO = 1.2
# Number of targets sampled at random for a choice. With two, the tail of the wait is a
# third of a second longer than with four; with all of them, every entry sends to the
# same target.
SAMPLED_TARGETS = 4
# Weight of tokens relative to requests in flight, each as a fraction of its limit. With
# prompts of usual length, slots run out before memory does; with equal weights, a mix
# of long and short work waited longer.
TOKEN_SHARE = 0.1
# A target that holds a prefix is preferred if its score exceeds that of the choice by
# load by at most this factor. A hit saves reading the prompt; at 1.25, waiting behind
# popular prefixes already costs more in the tail than hits save.
AFFINITY_MAX_LOAD_RATIO = 1.15
# A target that holds a prefix and is below this fraction of its limits is preferred
# whatever the load of the others: with two requests on twelve targets a comparison is
# meaningless.
AFFINITY_FREE_UTILISATION = 0.25
# Targets in rendezvous order that are tried for a prefix before load alone decides.
_AFFINITY_CANDIDATES = 3
_MAX_RANKINGS = 4_096
# Ramp-up time of a new target, in seconds. Its cache is empty and it compiles its first
# batches; at full weight its first callers would wait while warm targets are idle.
SLOW_START_S = 20.0
_MIN_SLOW_START_WEIGHT = 0.1
# Initial back-off of a target that its agent can't reach, in seconds; it doubles with
# each failure. Such a target fails at once and so always looks least loaded: without
# the back-off it would attract all requests and exhaust the retry budget.
UNREACHABLE_BACKOFF_S = 0.5
MAX_UNREACHABLE_BACKOFF_S = 8.0
# Weight factor of a target whose reports have stopped.
_SILENT_WEIGHT = 0.1
# Maximum number of remembered incarnations. They distinguish a new process from a new
# connection to a warm one.
_MAX_KNOWN_INCARNATIONS = 1_024


@dataclass(slots=True)
class _Target:
    info: TargetInfo
    connected_at: float
    warm: bool
    load: TargetLoad = field(default_factory=TargetLoad)
    leaving: bool = False
    in_service: bool = True
    weight: float = 1.0
    concurrency: int = 0
    token_limit: int = 0
    unavailable_until: float = 0.0
    backoff_s: float = UNREACHABLE_BACKOFF_S


@dataclass(slots=True)
class _Query:
    """Hold the parameters of one choice."""

    request: WorkRequest
    now: float
    holders: tuple[str, ...]
    """Targets expected to have the request's prefix in their cache."""
    tried: Container[str]
    excluded: Container[str]


@dataclass(slots=True)
class _Placement:
    target: _Target
    request: WorkRequest
    expected_hit: bool
    probe: bool
    placed_at: float


@dataclass(slots=True)
class _Pool:
    """Hold the targets of one service."""

    row: ServiceRow
    ejector: Ejector
    local: list[_Target] = field(default_factory=list)
    remote: list[_Target] = field(default_factory=list)
    by_name: dict[str, _Target] = field(default_factory=dict)
    seeds: dict[str, int] = field(default_factory=dict)
    rankings: OrderedDict[int, tuple[str, ...]] = field(default_factory=OrderedDict)


class Placer:
    """Track one entry's targets and choose among them.

    An entry is designed for some 42 targets and 90 requests a second. A choice samples
    a few targets at random and takes the one that is least full for its weight.
    Choosing the least full of all would send the requests of all entries between two
    reports to the same target.
    """

    def __init__(self, *, random: Random, availability_zone: str = "") -> None:
        self._random = random
        self._availability_zone = availability_zone
        self._table = Table()
        self._pools: dict[str, _Pool] = {}
        self._targets: dict[str, _Target] = {}
        self._placements: dict[str, _Placement] = {}
        self._known_incarnations: OrderedDict[str, int] = OrderedDict()
        self.prefix_cache = PrefixCacheIndex()

    def update_table(self, table: Table) -> None:
        """Apply the weights and limits of a table."""
        self._table = table
        for service, pool in self._pools.items():
            pool.row = _find_service(table, service)
            pool.ejector.set_max_ejected(pool.row.max_ejected)
        for target in self._targets.values():
            self._apply_rows(target)
        for pool in self._pools.values():
            self._split_by_zone(pool)

    def connect(self, info: TargetInfo, *, now: float) -> None:
        """Add a connected target, which may get work from now on."""
        self.disconnect(info.name)
        target = _Target(info, now, warm=self._record_incarnation(info))
        if not target.warm:
            self.prefix_cache.remove_target(info.name)
        self._apply_rows(target)
        self._targets[info.name] = target
        pool = self._get_pool(info.service)
        pool.by_name[info.name] = target
        pool.seeds[info.name] = rendezvous.hash_name(info.name)
        pool.ejector.connect(info.name, info.incarnation)
        self._split_by_zone(pool)

    def disconnect(self, name: str) -> None:
        """Remove a target, which gets no more work."""
        target = self._targets.pop(name, None)
        if target is None:
            return
        pool = self._pools[target.info.service]
        del pool.by_name[name]
        del pool.seeds[name]
        pool.ejector.disconnect(name)
        self._split_by_zone(pool)

    def observe_load(self, name: str, report: LoadReport, *, now: float) -> None:
        """Record a load report from a target's agent."""
        target = self._targets.get(name)
        if target is not None:
            target.leaving = report.leaving
            target.load.observe(report, now=now)

    def observe_cache(self, name: str, report: CacheReport, *, now: float) -> None:
        """Record reported changes of a target's prefix cache."""
        if name not in self._targets:
            return
        if report.gap:
            self.prefix_cache.record_gap(name, now=now)
        self.prefix_cache.evict(report.evicted, name)
        self.prefix_cache.store(report.stored, name, now=now)

    def has_target(self, service: str) -> bool:
        """Return whether a service has a target that accepts new work."""
        pool = self._pools.get(service)
        return pool is not None and any(map(_accepts_work, pool.by_name.values()))

    def list_targets(self, service: str) -> frozenset[str]:
        """Return the names of a service's connected targets."""
        pool = self._pools.get(service)
        return frozenset(pool.by_name) if pool is not None else frozenset()

    def place(
        self,
        request: WorkRequest,
        *,
        now: float,
        tried: Container[str] = (),
        excluded: Container[str] = (),
    ) -> TargetInfo | None:
        """Choose a target and count the request there; return None if all are full.

        Targets in `tried` are used only if no other target has room; those in
        `excluded` never.
        """
        pool = self._pools.get(request.service)
        if pool is None:
            return None
        holders = self.prefix_cache.find(request.affinity, now=now)
        query = _Query(request, now, holders, tried, excluded)
        target = self._choose(pool, query)
        if target is None:
            return None
        self._record_placement(pool, target, request, target.info.name in holders, now)
        return target.info

    def release(
        self, request_id: str, report: AttemptReport | None, *, now: float
    ) -> None:
        """Record that a request left its target; without a report it was dropped."""
        placement = self._placements.pop(request_id, None)
        if placement is None:
            return
        target = placement.target
        name, tokens = target.info.name, placement.request.tokens
        target.load.remove(tokens, now=now)
        if self._targets.get(name) is not target:
            return
        pool = self._pools[target.info.service]
        if placement.probe:
            pool.ejector.finish_probe(name)
        if report is not None:
            self._record_result(pool, placement, report, now)

    def describe(self, *, now: float) -> list[dict[str, object]]:
        """Return the state of each target."""
        return [self._describe(target, now) for target in self._targets.values()]

    def _choose(self, pool: _Pool, query: _Query) -> _Target | None:
        target, score = self._choose_by_load(pool, query)
        if target is None and query.tried:
            query.tried = ()
            target, score = self._choose_by_load(pool, query)
        if target is None or not query.request.affinity:
            return target
        bound = max(score * AFFINITY_MAX_LOAD_RATIO, AFFINITY_FREE_UTILISATION)
        return self._choose_by_prefix(pool, query, bound) or target

    def _choose_by_prefix(
        self, pool: _Pool, query: _Query, bound: float
    ) -> _Target | None:
        # All zones are considered: a hit saves reading a prompt, tens of milliseconds,
        # a hop costs one, and so all entries choose the same target.
        affinity = query.request.affinity
        ranking = self._rank(pool, affinity[0])
        for name in (*query.holders, *ranking):
            target = pool.by_name.get(name)
            if target is None or pool.ejector.get_share(name) < 1.0:
                continue
            if self.prefix_cache.is_barred(affinity[-1], name, now=query.now):
                continue
            score = self._get_score(pool, target, query)
            if score is not None and score <= bound:
                return target
        return None

    def _choose_by_load(
        self, pool: _Pool, query: _Query
    ) -> tuple[_Target | None, float]:
        local, local_score = self._choose_from(pool, pool.local, query)
        if local is not None and (not pool.remote or local_score < SPILL_UTILISATION):
            return local, local_score
        remote, remote_score = self._choose_from(pool, pool.remote, query)
        if local is None or (
            remote is not None and remote_score * SPILL_RATIO < local_score
        ):
            return remote, remote_score
        return local, local_score

    def _choose_from(
        self, pool: _Pool, targets: list[_Target], query: _Query
    ) -> tuple[_Target | None, float]:
        count = len(targets)
        if count > SAMPLED_TARGETS:
            random = self._random.random
            drawn = [targets[int(random() * count)] for _ in range(SAMPLED_TARGETS)]
            best, score = self._find_least_full(pool, drawn, query)
            if best is not None:
                return best, score
        # A scan of all targets finds the last free slot, so that no request waits while
        # a target is idle.
        return self._find_least_full(pool, targets, query)

    def _find_least_full(
        self, pool: _Pool, targets: list[_Target], query: _Query
    ) -> tuple[_Target | None, float]:
        best: _Target | None = None
        best_score = 0.0
        for target in targets:
            score = self._get_score(pool, target, query)
            if score is not None and (best is None or score < best_score):
                best, best_score = target, score
        return best, best_score

    def _get_score(self, pool: _Pool, target: _Target, query: _Query) -> float | None:
        """Return how full a target would be for its weight; None if it can't take it.

        Lower is better.
        """
        name, now = target.info.name, query.now
        if now < target.unavailable_until:
            return None
        if not _accepts_work(target) or name in query.tried or name in query.excluded:
            return None
        tokens, running = target.load.estimate(now)
        if running + 1 > target.concurrency:
            return None
        request_tokens = query.request.tokens
        # A request larger than the token limit runs alone; otherwise it could never
        # run.
        if tokens + request_tokens > target.token_limit and running >= 1:
            return None
        share = pool.ejector.get_share(name)
        if share == 0.0:
            # Under light load a target on probation would never win by its score and
            # never recover.
            return -1.0 if pool.ejector.is_probe_due(name, now=now) else None
        weight = target.weight * share
        if not target.warm:
            weight *= _get_slow_start_weight(target, now)
        if target.load.is_silent(now):
            # If all targets are silent, as in a network partition, all weights are
            # reduced alike.
            weight *= _SILENT_WEIGHT
        # Engines run out of either slots or memory for tokens.
        fullness = (running + 1) / target.concurrency
        memory = (tokens + request_tokens) / target.token_limit
        return (fullness + TOKEN_SHARE * memory) / weight

    def _record_placement(
        self,
        pool: _Pool,
        target: _Target,
        request: WorkRequest,
        expected_hit: bool,
        now: float,
    ) -> None:
        name = target.info.name
        probe = pool.ejector.start(name)
        self._placements[request.request_id] = _Placement(
            target, request, expected_hit, probe, now
        )
        target.load.add(request.tokens, now=now)

    def _record_result(
        self, pool: _Pool, placement: _Placement, report: AttemptReport, now: float
    ) -> None:
        name = placement.target.info.name
        request = placement.request
        answered = report.result is AttemptResult.ANSWERED
        if report.result is AttemptResult.NOT_STARTED:
            _apply_refusal(placement.target, report, now)
        elif answered:
            placement.target.backoff_s = UNREACHABLE_BACKOFF_S
        if answered and request.affinity:
            self.prefix_cache.observe_latency(
                request.affinity,
                name,
                expected_hit=placement.expected_hit,
                s_per_token=report.latency_s / max(1, request.tokens),
                now=now,
            )
            self.prefix_cache.store(request.affinity, name, now=now)
        # A request refused before it ran says nothing about the target's speed, nor
        # does one whose caller disconnected. A deadline that passed without an answer
        # does; otherwise a target that drops requests would look healthy.
        if report.result is AttemptResult.CANCELLED and report.reason == "deadline":
            waited_s = now - placement.placed_at
            pool.ejector.observe_wait(
                name, waited_s=waited_s, probe=placement.probe, now=now
            )
        broken = report.result in (AttemptResult.BROKEN, AttemptResult.LOST)
        if answered or broken:
            pool.ejector.observe(
                name,
                latency_s=report.latency_s,
                failed=broken,
                probe=placement.probe,
                now=now,
            )

    def _rank(self, pool: _Pool, prefix: int) -> tuple[str, ...]:
        ranking = pool.rankings.get(prefix)
        if ranking is None:
            key = prefix.to_bytes(8, "big")
            ranking = tuple(
                rendezvous.rank(key, pool.seeds, count=_AFFINITY_CANDIDATES)
            )
            pool.rankings[prefix] = ranking
            if len(pool.rankings) > _MAX_RANKINGS:
                pool.rankings.popitem(last=False)
        return ranking

    def _get_pool(self, service: str) -> _Pool:
        pool = self._pools.get(service)
        if pool is None:
            row = _find_service(self._table, service)
            ejector = Ejector(max_ejected_percent=row.max_ejected)
            pool = self._pools[service] = _Pool(row, ejector)
        return pool

    def _split_by_zone(self, pool: _Pool) -> None:
        targets = pool.by_name.values()
        pool.local = [one for one in targets if self._is_local(one)]
        pool.remote = [one for one in targets if not self._is_local(one)]
        pool.rankings.clear()

    def _is_local(self, target: _Target) -> bool:
        return target.info.availability_zone == self._availability_zone

    def _apply_rows(self, target: _Target) -> None:
        service = _find_service(self._table, target.info.service)
        row = self._table.targets.get(target.info.name) or TargetRow(target.info.name)
        target.in_service = row.in_service
        target.weight = row.weight / _FULL_WEIGHT
        target.concurrency = row.concurrency_limit or service.target_concurrency
        target.token_limit = service.target_tokens

    def _record_incarnation(self, info: TargetInfo) -> bool:
        warm = self._known_incarnations.get(info.name) == info.incarnation
        self._known_incarnations[info.name] = info.incarnation
        self._known_incarnations.move_to_end(info.name)
        if len(self._known_incarnations) > _MAX_KNOWN_INCARNATIONS:
            self._known_incarnations.popitem(last=False)
        return warm

    def _describe(self, target: _Target, now: float) -> dict[str, object]:
        ejector = self._pools[target.info.service].ejector
        return {
            "name": target.info.name,
            "service": target.info.service,
            "in_flight": target.load.own_running,
            "tokens": round(target.load.estimate(now)[0]),
            "leaving": target.leaving,
            "health": ejector.get_state(target.info.name).value,
            "share": round(ejector.get_share(target.info.name), 2),
        }


def _apply_refusal(target: _Target, report: AttemptReport, now: float) -> None:
    if report.reason == AgentRefusal.LEAVING:
        # The next load report says so too; until then every request would be refused.
        target.leaving = True
    elif report.reason == AgentRefusal.TARGET_UNREACHABLE:
        target.unavailable_until = max(target.unavailable_until, now + target.backoff_s)
        target.backoff_s = min(target.backoff_s * 2, MAX_UNREACHABLE_BACKOFF_S)
    elif report.reason == AgentRefusal.TARGET_FULL:
        target.unavailable_until = max(target.unavailable_until, now + report.backoff_s)


def _find_service(table: Table, service: str) -> ServiceRow:
    return table.services.get(service) or ServiceRow(service)


def _accepts_work(target: _Target) -> bool:
    return target.in_service and not target.leaving and target.weight > 0


def _get_slow_start_weight(target: _Target, now: float) -> float:
    age = now - target.connected_at
    if age >= SLOW_START_S:
        target.warm = True
        return 1.0
    return max(_MIN_SLOW_START_WEIGHT, age / SLOW_START_S)

"""Choose the target that runs a request."""

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field
from random import Random

from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.policy import rendezvous
from hyssopvane._internal.policy.ejection import Ejector
from hyssopvane._internal.policy.prefix_beliefs import PrefixBeliefs
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
# Own availability zone first, up to this share of a target's limits. Below it a batch
# has room, and a hop to another zone costs each token a millisecond for nothing.
SPILL_UTILISATION = 0.4
# Above it work goes to another zone when the best target there is emptier by this
# factor; without it two zones that are equally full would swap their work.
SPILL_RATIO = 1.2
# Targets that are drawn at random for a choice. Two leave a third of a second more in
# the tail of the wait than four; all of them send every entry to the same one.
CHOICES = 4
# Weight of tokens beside requests in flight, each as a share of its limit. Slots run
# out before memory does while prompts are of usual length: with tokens weighed as much
# as requests, a mix of long and short work waited longer.
TOKEN_SHARE = 0.1
# A target that holds a prefix is preferred while it would be fuller than the choice by
# load by at most this factor. A hit saves the reading of the prompt; at 1.25 the wait
# behind popular prefixes already costs more in the tail than hits save.
AFFINITY_LOAD_BOUND = 1.15
# Below this share of its limits a target has room whatever the others have: with two
# requests on twelve targets a comparison says nothing.
AFFINITY_FREE_UTILISATION = 0.25
# Targets in the rendezvous order that are tried for a prefix before load alone decides.
_AFFINITY_CHOICES = 3
_MAX_RANKINGS = 4_096
# A new target has an empty cache and compiles its first batches; full work at once
# would make its first callers wait while warm targets idle.
SLOW_START_S = 20.0
_SLOW_START_SHARE = 0.1
# Time for which a target that its agent can't reach gets no work, doubled each time. It
# fails at once and so always looks least loaded: without a pause it would draw every
# request and use up the budget of retries.
UNREACHABLE_S = 0.5
LONGEST_UNREACHABLE_S = 8.0
# Share of a target whose reports stay away.
_SILENT_SHARE = 0.1
# Incarnations seen lately, to tell a new process from a new connection to a warm one.
_MAX_KNOWN = 1_024


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
    closed_until: float = 0.0
    pause_s: float = UNREACHABLE_S


@dataclass(slots=True)
class _Query:
    """Hold what is asked of one choice."""

    request: WorkRequest
    now: float
    holders: tuple[str, ...]
    """Targets believed to hold the request's prefix."""
    tried: Container[str]
    excluded: Container[str]


@dataclass(slots=True)
class _Placement:
    target: _Target
    request: WorkRequest
    believed: bool
    probe: bool
    placed_at: float


@dataclass(slots=True)
class _Pool:
    """Hold the targets of one service."""

    row: ServiceRow
    ejector: Ejector
    near: list[_Target] = field(default_factory=list)
    far: list[_Target] = field(default_factory=list)
    by_name: dict[str, _Target] = field(default_factory=dict)
    seeds: dict[str, int] = field(default_factory=dict)
    rankings: OrderedDict[int, tuple[str, ...]] = field(default_factory=OrderedDict)


class Placer:
    """Hold what one entry knows of its targets, and choose among them.

    Made for an entry of the target size: some 42 targets, 90 requests a second. A
    choice draws a few targets at random and takes the one that is least full for its
    weight; to take the least full of all would send the requests of all entries
    between two reports to the same target.
    """

    def __init__(self, *, random: Random, availability_zone: str = "") -> None:
        self._random = random
        self._availability_zone = availability_zone
        self._table = Table()
        self._pools: dict[str, _Pool] = {}
        self._targets: dict[str, _Target] = {}
        self._placements: dict[str, _Placement] = {}
        self._known: OrderedDict[str, int] = OrderedDict()
        self.beliefs = PrefixBeliefs()

    def update_table(self, table: Table) -> None:
        """Put the weights and limits of a table in force."""
        self._table = table
        for service, pool in self._pools.items():
            pool.row = _find_service(table, service)
            pool.ejector.set_max_ejected(pool.row.max_ejected)
        for target in self._targets.values():
            self._apply_rows(target)
        for pool in self._pools.values():
            self._arrange(pool)

    def connect(self, info: TargetInfo, *, now: float) -> None:
        """Start to place work on a target."""
        self.disconnect(info.name)
        target = _Target(info, now, warm=self._recognise(info))
        if not target.warm:
            self.beliefs.forget_target(info.name)
        self._apply_rows(target)
        self._targets[info.name] = target
        pool = self._get_pool(info.service)
        pool.by_name[info.name] = target
        pool.seeds[info.name] = rendezvous.hash_name(info.name)
        pool.ejector.connect(info.name, info.incarnation)
        self._arrange(pool)

    def disconnect(self, name: str) -> None:
        """Stop to place work on a target."""
        target = self._targets.pop(name, None)
        if target is None:
            return
        pool = self._pools[target.info.service]
        del pool.by_name[name]
        del pool.seeds[name]
        pool.ejector.disconnect(name)
        self._arrange(pool)

    def observe_load(self, name: str, report: LoadReport, *, now: float) -> None:
        """Take note of what a target's agent reports."""
        target = self._targets.get(name)
        if target is not None:
            target.leaving = report.leaving
            target.load.observe(report, now=now)

    def observe_cache(self, name: str, report: CacheReport, *, now: float) -> None:
        """Take note of changes of a target's prefix cache."""
        if name not in self._targets:
            return
        if report.gap:
            self.beliefs.note_gap(name, now=now)
        self.beliefs.evict(report.evicted, name)
        self.beliefs.store(report.stored, name, now=now)

    def has_target(self, service: str) -> bool:
        """Tell whether a service has a target that takes new work."""
        pool = self._pools.get(service)
        return pool is not None and any(map(_is_open, pool.by_name.values()))

    def list_targets(self, service: str) -> frozenset[str]:
        """Return the targets of a service that are connected."""
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
        """Choose a target and count the request there; return None when all are full.

        Targets that were tried come last; excluded ones are never taken.
        """
        pool = self._pools.get(request.service)
        if pool is None:
            return None
        holders = self.beliefs.find(request.affinity, now=now)
        query = _Query(request, now, holders, tried, excluded)
        target = self._choose(pool, query)
        if target is None:
            return None
        self._count(pool, target, request, target.info.name in holders, now)
        return target.info

    def release(
        self, request_id: str, report: AttemptReport | None, *, now: float
    ) -> None:
        """Take note that a request left its target; without a report it was dropped."""
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
            self._learn(pool, placement, report, now)

    def describe(self, *, now: float) -> list[dict[str, object]]:
        """Return what is known of each target."""
        return [self._describe(target, now) for target in self._targets.values()]

    def _choose(self, pool: _Pool, query: _Query) -> _Target | None:
        target, score = self._choose_by_load(pool, query)
        if target is None and query.tried:
            query.tried = ()
            target, score = self._choose_by_load(pool, query)
        if target is None or not query.request.affinity:
            return target
        bound = max(score * AFFINITY_LOAD_BOUND, AFFINITY_FREE_UTILISATION)
        return self._choose_by_prefix(pool, query, bound) or target

    def _choose_by_prefix(
        self, pool: _Pool, query: _Query, bound: float
    ) -> _Target | None:
        # The choice goes over all zones: a hit saves the reading of a prompt, tens of
        # milliseconds, a hop costs one, and every entry ends at the same target.
        affinity = query.request.affinity
        ranking = self._rank(pool, affinity[0])
        for name in (*query.holders, *ranking):
            target = pool.by_name.get(name)
            if target is None or pool.ejector.get_share(name) < 1.0:
                continue
            if self.beliefs.is_barred(affinity[-1], name, now=query.now):
                continue
            score = self._get_score(pool, target, query)
            if score is not None and score <= bound:
                return target
        return None

    def _choose_by_load(
        self, pool: _Pool, query: _Query
    ) -> tuple[_Target | None, float]:
        near, nears_score = self._choose_among(pool, pool.near, query)
        if near is not None and (not pool.far or nears_score < SPILL_UTILISATION):
            return near, nears_score
        far, fars_score = self._choose_among(pool, pool.far, query)
        if near is None or (far is not None and fars_score * SPILL_RATIO < nears_score):
            return far, fars_score
        return near, nears_score

    def _choose_among(
        self, pool: _Pool, targets: list[_Target], query: _Query
    ) -> tuple[_Target | None, float]:
        count = len(targets)
        if count > CHOICES:
            random = self._random.random
            drawn = [targets[int(random() * count)] for _ in range(CHOICES)]
            best, score = self._take_best(pool, drawn, query)
            if best is not None:
                return best, score
        # A look at each finds the last free place, so that no request waits beside an
        # idle target.
        return self._take_best(pool, targets, query)

    def _take_best(
        self, pool: _Pool, targets: list[_Target], query: _Query
    ) -> tuple[_Target | None, float]:
        best: _Target | None = None
        bests_score = 0.0
        for target in targets:
            score = self._get_score(pool, target, query)
            if score is not None and (best is None or score < bests_score):
                best, bests_score = target, score
        return best, bests_score

    def _get_score(self, pool: _Pool, target: _Target, query: _Query) -> float | None:
        """Return how full a target would be for its share, None when it can't take it.

        The least full is best.
        """
        name, now = target.info.name, query.now
        if now < target.closed_until:
            return None
        if not _is_open(target) or name in query.tried or name in query.excluded:
            return None
        tokens, running = target.load.estimate(now)
        if running + 1 > target.concurrency:
            return None
        request_tokens = query.request.tokens
        # A request above the limit runs alone: refused for ever it could never run.
        if tokens + request_tokens > target.token_limit and running >= 1:
            return None
        share = pool.ejector.get_share(name)
        if share == 0.0:
            # Under light load a target on trial would never win by its score, and
            # never return.
            return -1.0 if pool.ejector.is_probe_due(name, now=now) else None
        weight = target.weight * share
        if not target.warm:
            weight *= _get_start_share(target, now)
        if target.load.is_silent(now):
            # When all are silent, as behind a partition, all weigh less alike.
            weight *= _SILENT_SHARE
        # Engines run out of slots or of memory for tokens.
        fullness = (running + 1) / target.concurrency
        memory = (tokens + request_tokens) / target.token_limit
        return (fullness + TOKEN_SHARE * memory) / weight

    def _count(
        self,
        pool: _Pool,
        target: _Target,
        request: WorkRequest,
        believed: bool,
        now: float,
    ) -> None:
        name = target.info.name
        probe = pool.ejector.start(name)
        self._placements[request.request_id] = _Placement(
            target, request, believed, probe, now
        )
        target.load.add(request.tokens, now=now)

    def _learn(
        self, pool: _Pool, placement: _Placement, report: AttemptReport, now: float
    ) -> None:
        name = placement.target.info.name
        request = placement.request
        answered = report.result is AttemptResult.ANSWERED
        if report.result is AttemptResult.NOT_STARTED:
            _take_refusal(placement.target, report, now)
        elif answered:
            placement.target.pause_s = UNREACHABLE_S
        if answered and request.affinity:
            self.beliefs.observe_latency(
                request.affinity,
                name,
                believed=placement.believed,
                s_per_token=report.latency_s / max(1, request.tokens),
                now=now,
            )
            self.beliefs.store(request.affinity, name, now=now)
        # What was refused before it ran says nothing of the target's speed, and a
        # caller that hangs up says nothing at all; an answer that did not come by the
        # deadline does, else a target that swallows requests would look well.
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
            ranking = tuple(rendezvous.rank(key, pool.seeds, count=_AFFINITY_CHOICES))
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

    def _arrange(self, pool: _Pool) -> None:
        targets = pool.by_name.values()
        pool.near = [one for one in targets if self._is_near(one)]
        pool.far = [one for one in targets if not self._is_near(one)]
        pool.rankings.clear()

    def _is_near(self, target: _Target) -> bool:
        return target.info.availability_zone == self._availability_zone

    def _apply_rows(self, target: _Target) -> None:
        service = _find_service(self._table, target.info.service)
        row = self._table.targets.get(target.info.name) or TargetRow(target.info.name)
        target.in_service = row.in_service
        target.weight = row.weight / _FULL_WEIGHT
        target.concurrency = row.concurrency_limit or service.target_concurrency
        target.token_limit = service.target_tokens

    def _recognise(self, info: TargetInfo) -> bool:
        warm = self._known.get(info.name) == info.incarnation
        self._known[info.name] = info.incarnation
        self._known.move_to_end(info.name)
        if len(self._known) > _MAX_KNOWN:
            self._known.popitem(last=False)
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


def _take_refusal(target: _Target, report: AttemptReport, now: float) -> None:
    if report.reason == AgentRefusal.LEAVING:
        # Its next report says so too; until then each request would bounce.
        target.leaving = True
    elif report.reason == AgentRefusal.TARGET_UNREACHABLE:
        target.closed_until = max(target.closed_until, now + target.pause_s)
        target.pause_s = min(target.pause_s * 2, LONGEST_UNREACHABLE_S)
    elif report.reason == AgentRefusal.TARGET_FULL:
        target.closed_until = max(target.closed_until, now + report.rest_s)


def _find_service(table: Table, service: str) -> ServiceRow:
    return table.services.get(service) or ServiceRow(service)


def _is_open(target: _Target) -> bool:
    return target.in_service and not target.leaving and target.weight > 0


def _get_start_share(target: _Target, now: float) -> float:
    age = now - target.connected_at
    if age >= SLOW_START_S:
        target.warm = True
        return 1.0
    return max(_SLOW_START_SHARE, age / SLOW_START_S)

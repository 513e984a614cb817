"""Choose the target that runs a request."""

from collections import OrderedDict
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from random import Random

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
# Own availability zone first, up to this share of a target's limits. A hop to another
# zone costs a millisecond, a batch this full costs more than that in each step.
SPILL_UTILISATION = 0.6
# A target that holds a prefix is preferred up to this multiple of the mean load: a hit
# saves the reading of the prompt, and one popular prefix must not fill one target.
AFFINITY_LOAD_BOUND = 1.25
# Below this share of its limits a target has room whatever the mean is: with two
# requests on twelve targets the mean says nothing.
AFFINITY_FREE_UTILISATION = 0.25
# Targets in the rendezvous order that are tried for a prefix before load alone decides.
_AFFINITY_CHOICES = 3
_MAX_RANKINGS = 4_096
# A new target has an empty cache and compiles its first batches; full work at once
# would make its first callers wait while warm targets idle.
SLOW_START_S = 20.0
_SLOW_START_SHARE = 0.1
# Draws for two targets with room before all are looked at.
_MAX_DRAWS = 6
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


_Check = Callable[[_Target], bool]


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
    weight: float = 0.0
    """Sum of the targets' weights."""
    own_tokens: int = 0
    """Tokens that this entry has in flight at all targets of the pool."""


class Placer:
    """Hold what one entry knows of its targets, and choose among them.

    Made for an entry of the target size: some 45 targets, 90 requests a second. A
    choice draws two targets at random and takes the one with fewer tokens in flight
    for its weight; to take the very least loaded one would send the requests of all
    entries between two reports to the same target.
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
            pool.ejector.set_most_ejected(pool.row.max_ejected)
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
        pool.own_tokens -= target.load.own_tokens
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
        target = self._choose(pool, request, holders, now, tried, excluded)
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
        pool.own_tokens -= tokens
        if placement.probe:
            pool.ejector.finish_probe(name)
        if report is not None:
            self._learn(pool, placement, report, now)

    def describe(self, *, now: float) -> list[dict[str, object]]:
        """Return what is known of each target."""
        return [self._describe(target, now) for target in self._targets.values()]

    def _choose(
        self,
        pool: _Pool,
        request: WorkRequest,
        holders: tuple[str, ...],
        now: float,
        tried: Container[str],
        excluded: Container[str],
    ) -> _Target | None:
        def can_take(target: _Target) -> bool:
            name = target.info.name
            return (
                name not in tried
                and name not in excluded
                and self._has_room(pool, target, request, now)
            )

        def can_take_again(target: _Target) -> bool:
            return target.info.name not in excluded and self._has_room(
                pool, target, request, now
            )

        if request.affinity:
            target = self._choose_by_prefix(pool, request, holders, now, can_take)
            if target is not None:
                return target
        target = self._choose_by_load(pool, request, now, can_take)
        if target is None and tried:
            target = self._choose_by_load(pool, request, now, can_take_again)
        return target

    def _choose_by_prefix(
        self,
        pool: _Pool,
        request: WorkRequest,
        holders: tuple[str, ...],
        now: float,
        can_take: _Check,
    ) -> _Target | None:
        # The choice goes over all zones: a hit saves the reading of a prompt, tens of
        # milliseconds, a hop costs one, and every entry ends at the same target.
        bound = self._get_affinity_bound(pool, request)
        for name in holders or self._rank(pool, request.affinity[0]):
            target = pool.by_name.get(name)
            if target is None or not can_take(target):
                continue
            if not holders and self.beliefs.is_barred(
                request.affinity[-1], name, now=now
            ):
                continue
            if self._is_within(pool, target, request, bound, now):
                return target
        return None

    def _choose_by_load(
        self, pool: _Pool, request: WorkRequest, now: float, can_take: _Check
    ) -> _Target | None:
        near = self._choose_of_two(pool, pool.near, request, now, can_take)
        if near is not None and (
            not pool.far or self._get_utilisation(near, now) < SPILL_UTILISATION
        ):
            return near
        far = self._choose_of_two(pool, pool.far, request, now, can_take)
        if near is None or far is None:
            return near or far
        return self._take_better(pool, near, far, request, now)

    def _choose_of_two(
        self,
        pool: _Pool,
        targets: list[_Target],
        request: WorkRequest,
        now: float,
        can_take: _Check,
    ) -> _Target | None:
        first: _Target | None = None
        count = len(targets)
        for _ in range(_MAX_DRAWS if count else 0):
            drawn = targets[int(self._random.random() * count)]
            if drawn is first or not can_take(drawn):
                continue
            if first is None:
                first = drawn
            else:
                return self._take_better(pool, first, drawn, request, now)
        if first is not None:
            return first
        # Nearly all are full or closed. A look at each finds the last free place, so
        # no request waits beside an idle target.
        rest = [target for target in targets if can_take(target)]
        if not rest:
            return None
        return min(rest, key=lambda one: self._get_score(pool, one, request, now))

    def _take_better(
        self,
        pool: _Pool,
        one: _Target,
        other: _Target,
        request: WorkRequest,
        now: float,
    ) -> _Target:
        ones_score = self._get_score(pool, one, request, now)
        return (
            one if ones_score <= self._get_score(pool, other, request, now) else other
        )

    def _get_score(
        self, pool: _Pool, target: _Target, request: WorkRequest, now: float
    ) -> float:
        """Return the tokens in flight for the target's share; the lowest is best."""
        share = pool.ejector.get_share(target.info.name)
        if share == 0.0:
            # Only a target whose probe is due comes here. Under light load it would
            # never win by its score, and never return.
            return -1.0
        weight = target.weight * share * _get_start_share(target, now)
        return (target.load.estimate_tokens(now) + request.tokens) / weight

    def _get_utilisation(self, target: _Target, now: float) -> float:
        return max(
            target.load.estimate_tokens(now) / target.token_limit,
            target.load.estimate_running(now) / target.concurrency,
        )

    def _get_affinity_bound(self, pool: _Pool, request: WorkRequest) -> float:
        # The mean is of this entry's own tokens alone: reports of the others come at
        # different times, and their sum would jump.
        tokens = pool.own_tokens + request.tokens
        return AFFINITY_LOAD_BOUND * tokens / (pool.weight or 1)

    def _is_within(
        self,
        pool: _Pool,
        target: _Target,
        request: WorkRequest,
        bound: float,
        now: float,
    ) -> bool:
        if pool.ejector.get_share(target.info.name) < 1.0:
            return False
        if self._get_utilisation(target, now) <= AFFINITY_FREE_UTILISATION:
            return True
        tokens = target.load.own_tokens + request.tokens
        return tokens <= bound * target.weight * _get_start_share(target, now)

    def _has_room(
        self, pool: _Pool, target: _Target, request: WorkRequest, now: float
    ) -> bool:
        if not _is_open(target):
            return False
        name = target.info.name
        if pool.ejector.get_share(name) == 0.0 and not pool.ejector.is_probe_due(
            name, now=now
        ):
            return False
        running = target.load.estimate_running(now)
        if running + 1 > target.concurrency:
            return False
        # A request above the limit runs alone: refused for ever it could never run.
        tokens = target.load.estimate_tokens(now) + request.tokens
        return tokens <= target.token_limit or running < 1

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
        pool.own_tokens += request.tokens

    def _learn(
        self, pool: _Pool, placement: _Placement, report: AttemptReport, now: float
    ) -> None:
        name = placement.target.info.name
        request = placement.request
        answered = report.result is AttemptResult.ANSWERED
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
        pool.weight = sum(target.weight for target in targets)
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
            "tokens": round(target.load.estimate_tokens(now)),
            "leaving": target.leaving,
            "health": ejector.get_state(target.info.name).value,
            "share": round(ejector.get_share(target.info.name), 2),
        }


def _find_service(table: Table, service: str) -> ServiceRow:
    return table.services.get(service) or ServiceRow(service)


def _is_open(target: _Target) -> bool:
    return target.in_service and not target.leaving and target.weight > 0


def _get_start_share(target: _Target, now: float) -> float:
    if target.warm:
        return 1.0
    age = now - target.connected_at
    if age >= SLOW_START_S:
        target.warm = True
        return 1.0
    return max(_SLOW_START_SHARE, age / SLOW_START_S)

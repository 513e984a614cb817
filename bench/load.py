"""Compare the outcomes of requests at 1x, 2x and 5x of the capacity."""

import argparse
import json
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from bench.baselines import FifoBounded, FifoUnbounded, NoAdmission
from bench.replay import Replay, Result, SchedulerLike
from bench.workloads import (
    DEADLINE_S,
    DURATION_S,
    SCENARIOS,
    SLOTS,
    Scenario,
    make_table,
    make_targets,
)
from hyssopvane._internal.models.refusals import RefusalReason
from hyssopvane._internal.policy.scheduler import Scheduler

FACTORS = (1.0, 2.0, 5.0)
# The targets are still filling up in the first seconds, which aren't representative.
_WARM_UP_S = DEADLINE_S
_IMMEDIATE_S = 0.05
_SEED = 4
_FIFO_LIMIT = 1_000


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Summarize the outcomes of the requests of one run."""

    scenario: str
    factor: float
    policy: str
    requests: int
    in_time: float
    """Share answered before the deadline."""
    refused_at_once: float
    refused_later: float
    """Share refused after a wait, without having been sent to a target."""
    late: float
    """Share that was sent to a target but lost or not finished by the deadline."""
    goodput: float
    """Tokens per second of the answers in time."""
    fairness: float
    """Jain's fairness index of the answered tokens relative to each fair share."""
    worst_within_share: float
    """Lowest share in time of any customer that stays within its fair share."""
    wait_within_p99_s: float
    """99th percentile for customers within their share; the next two cover all."""
    wait_p50_s: float
    wait_p99_s: float


def _make_scheduler(random: Random) -> SchedulerLike:
    scheduler = Scheduler(random=random)
    scheduler.update_table(make_table(), now=0.0)
    return scheduler


POLICIES: Mapping[str, Callable[[Random], SchedulerLike]] = {
    "hyssopvane": _make_scheduler,
    "fifo": lambda random: FifoUnbounded(concurrency=SLOTS),
    "fifo-bounded": lambda random: FifoBounded(concurrency=SLOTS, limit=_FIFO_LIMIT),
    "no-admission": lambda random: NoAdmission(),
}


def run_scenario(scenario: Scenario, *, factor: float, policy: str) -> list[Result]:
    """Run one scenario under one policy."""
    replay = Replay([POLICIES[policy](Random(_SEED))], make_targets())
    scenario.prepare(replay)
    arrivals = scenario.make_arrivals(Random(_SEED), factor)
    return replay.run(arrivals, until=DURATION_S + 2 * DEADLINE_S)


def measure_outcomes(
    scenario: Scenario, results: Sequence[Result], *, factor: float, policy: str
) -> Outcomes:
    """Summarize the results of one run."""
    counted = [one for one in results if one.arrival.at >= _WARM_UP_S]
    total = max(1, len(counted))
    unsent = [one for one in counted if one.refusal and not one.attempts]
    at_once = sum(one.wait_s <= _IMMEDIATE_S for one in unsent)
    in_time = sum(one.in_time for one in counted)
    waits = sorted(one.wait_s for one in counted if one.attempts)
    waits_within_share = sorted(
        one.wait_s
        for one in counted
        if one.attempts and one.arrival.request.customer in scenario.within_share
    )
    return Outcomes(
        scenario=scenario.name,
        factor=factor,
        policy=policy,
        requests=len(counted),
        in_time=in_time / total,
        refused_at_once=at_once / total,
        refused_later=(len(unsent) - at_once) / total,
        late=(total - in_time - len(unsent)) / total,
        goodput=_measure_goodput(results),
        fairness=_measure_fairness(counted),
        worst_within_share=min(
            (_measure_in_time_share(counted, name) for name in scenario.within_share),
            default=1.0,
        ),
        wait_within_p99_s=_get_quantile(waits_within_share, 0.99),
        wait_p50_s=_get_quantile(waits, 0.5),
        wait_p99_s=_get_quantile(waits, 0.99),
    )


def count_refusals(results: Sequence[Result]) -> Counter[RefusalReason | None]:
    """Count the results by reason of refusal; `None` counts the answered ones."""
    return Counter(one.refusal for one in results)


def _measure_goodput(results: Sequence[Result]) -> float:
    tokens = sum(
        one.arrival.request.tokens
        for one in results
        if one.in_time
        and one.finished_at is not None
        and _WARM_UP_S <= one.finished_at < DURATION_S
    )
    return tokens / (DURATION_S - _WARM_UP_S)


def _measure_in_time_share(results: Sequence[Result], customer: str) -> float:
    own = [one for one in results if one.arrival.request.customer == customer]
    return sum(one.in_time for one in own) / max(1, len(own))


def _measure_fairness(results: Sequence[Result]) -> float:
    requested: Counter[str] = Counter()
    answered: Counter[str] = Counter()
    for one in results:
        request = one.arrival.request
        requested[request.customer] += request.tokens
        answered[request.customer] += request.tokens * one.in_time
    shares = _compute_fair_shares(requested, sum(answered.values()))
    ratios = [answered[name] / shares[name] for name in requested if shares[name]]
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0.0


def _compute_fair_shares(
    requested: Mapping[str, int], total: float
) -> dict[str, float]:
    """Divide the answered tokens max-min fairly: no share exceeds its request."""
    shares: dict[str, float] = {}
    remaining = total
    for number, name in enumerate(sorted(requested, key=requested.__getitem__)):
        shares[name] = min(requested[name], remaining / (len(requested) - number))
        remaining -= shares[name]
    return shares


def _get_quantile(values: Sequence[float], quantile: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * quantile))]


def main(arguments: Sequence[str]) -> int:
    """Run all scenarios, load factors and policies, and print a table."""
    parser = argparse.ArgumentParser(prog="bench load", description=__doc__)
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), action="append")
    parser.add_argument("--policy", choices=sorted(POLICIES), action="append")
    options = parser.parse_args(arguments)
    rows: list[Outcomes] = []
    print(
        "scenario  load policy        in time  at once   later    late  goodput"
        "  Jain  within     p99  wait p50    p99"
    )
    for name in options.scenario or SCENARIOS:
        for factor in FACTORS:
            for policy in options.policy or POLICIES:
                results = run_scenario(SCENARIOS[name], factor=factor, policy=policy)
                row = measure_outcomes(
                    SCENARIOS[name], results, factor=factor, policy=policy
                )
                rows.append(row)
                print(_format(row), flush=True)
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(row) for row in rows], indent=1))
    return 0


def _format(row: Outcomes) -> str:
    return (
        f"{row.scenario:9} {row.factor:3.0f}x {row.policy:13}"
        f" {row.in_time:7.1%} {row.refused_at_once:8.1%} {row.refused_later:7.1%}"
        f" {row.late:7.1%} {row.goodput:8.0f} {row.fairness:5.3f}"
        f" {row.worst_within_share:7.1%}"
        f" {row.wait_within_p99_s:6.2f}s {row.wait_p50_s:8.2f}s {row.wait_p99_s:5.2f}s"
    )

"""Measure the cost of one submit and finish by number of targets and customers."""

import argparse
import json
import math
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from hyssopvane._internal.policy.scheduler import Scheduler
from hyssopvane._internal.state.table import CustomerRow, ServiceRow, Table
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    Placed,
    TargetInfo,
    WorkRequest,
)

TARGETS = (10, 64, 100, 1_000, 10_000)
CUSTOMERS = (10, 36, 100, 360)
SUBSET = 64
"""Targets that an entry knows in a fleet of the intended size."""
_SERVICE = "draft"
_PER_TARGET = 32
_SEED = 4
_ROUNDS = 2_000
_QUEUED = 500


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold the cost of one request at one size."""

    targets: int
    customers: int
    waiting: int
    microseconds: float


def measure_cost(*, targets: int, customers: int, waiting: int, rounds: int) -> Cost:
    """Measure submit, finish and collect of one request, the best of five series.

    If requests are waiting, each finish starts one of them and another one arrives.
    """
    random = Random(_SEED)
    scheduler = _make_scheduler(random, targets=targets, customers=customers)
    # Without waiting requests, half of the slots are in use, which is the usual load.
    running = targets * _PER_TARGET // (1 if waiting else 2)
    open_ids = _fill(scheduler, running + waiting, customers=customers, random=random)
    best = math.inf
    for part in range(5):
        requests = [
            _make_request(f"{part}-{number}", customers=customers, random=random)
            for number in range(rounds)
        ]
        started_at = time.perf_counter()
        for number, request in enumerate(requests):
            now = 1.0 + part + number / rounds
            placed = scheduler.submit(request, now=now)
            if isinstance(placed, Placed):
                open_ids.append(request.request_id)
            index = number % len(open_ids)
            finished, open_ids[index] = open_ids[index], open_ids[-1]
            open_ids.pop()
            report = AttemptReport(AttemptResult.ANSWERED, latency_s=0.1)
            scheduler.finish(finished, report, now=now)
            for request_id, decision in scheduler.collect(now=now):
                if isinstance(decision, Placed):
                    open_ids.append(request_id)
        best = min(best, time.perf_counter() - started_at)
    return Cost(targets, customers, waiting, best / rounds * 1e6)


def fit_growth_exponent(points: Sequence[tuple[int, float]]) -> float:
    """Return the exponent of the growth: 0 for constant, 1 for linear."""
    logs = [(math.log(size), math.log(cost)) for size, cost in points]
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in logs)
    return covariance / sum((x - mean_x) ** 2 for x, _ in logs)


def _make_scheduler(random: Random, *, targets: int, customers: int) -> Scheduler:
    scheduler = Scheduler(random=random)
    rows = [
        CustomerRow(
            f"customer-{number}",
            rate_limit=100_000,
            concurrency_limit=1_000_000,
            token_limit=1_000_000_000,
        )
        for number in range(customers)
    ]
    service = ServiceRow(
        _SERVICE, target_concurrency=_PER_TARGET, target_tokens=1_000_000_000
    )
    table = Table(
        revision=1,
        customers={row.name: row for row in rows},
        services={_SERVICE: service},
    )
    scheduler.update_table(table, now=0.0)
    for number in range(targets):
        info = TargetInfo(f"target-{number}", _SERVICE, "arima", number + 1)
        scheduler.connect_target(info)
    return scheduler


def _fill(
    scheduler: Scheduler, size: int, *, customers: int, random: Random
) -> list[str]:
    placed: list[str] = []
    for number in range(size):
        request = _make_request(f"fill-{number}", customers=customers, random=random)
        if isinstance(scheduler.submit(request, now=0.0), Placed):
            placed.append(request.request_id)
    return placed


def _make_request(name: str, *, customers: int, random: Random) -> WorkRequest:
    return WorkRequest(
        request_id=name,
        customer=f"customer-{random.randrange(customers)}",
        service=_SERVICE,
        tokens=random.randint(200, 600),
        priority=5,
        deadline=1e6,
        repeatable=True,
    )


def main(arguments: Sequence[str]) -> int:
    """Print the costs and their growth exponents."""
    parser = argparse.ArgumentParser(prog="bench decisions", description=__doc__)
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    parser.add_argument("--rounds", type=int, default=_ROUNDS)
    options = parser.parse_args(arguments)
    costs: list[Cost] = []
    print("targets customers waiting  us per request")
    for waiting in (0, _QUEUED):
        by_targets = [(size, CUSTOMERS[0]) for size in TARGETS]
        by_customers = [(SUBSET, size) for size in CUSTOMERS]
        for name, sizes in (("targets", by_targets), ("customers", by_customers)):
            points: list[tuple[int, float]] = []
            for targets, customers in sizes:
                cost = measure_cost(
                    targets=targets,
                    customers=customers,
                    waiting=waiting,
                    rounds=max(50, min(options.rounds, 400_000 // targets)),
                )
                costs.append(cost)
                grown = targets if name == "targets" else customers
                points.append((grown, cost.microseconds))
                print(
                    f"{targets:7} {customers:9} {waiting:7} {cost.microseconds:10.1f}",
                    flush=True,
                )
            print(f"   grows as {name} ^ {fit_growth_exponent(points):.2f}")
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(cost) for cost in costs], indent=1))
    return 0

"""Inject random faults into a complete installation and check its invariants."""

import argparse
import json
import tempfile
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from tests.lib.fault_run import run_faults


def main(arguments: Sequence[str]) -> int:
    """Run the seeds sequentially; return 1 if any check failed, else 0."""
    parser = argparse.ArgumentParser(prog="bench faults", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--returns",
        action="store_true",
        help="let the key-value service be restored from copies",
    )
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    reports = []
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            report = run_faults(
                Path(folder),
                seed=seed,
                seconds=options.seconds,
                returns=options.returns,
            )
        reports.append(asdict(report))
        print(
            f"seed={seed} faults={len(report.faults)} returns={report.returns} "
            f"bids={report.bids_answered}/{report.bids} "
            f"streams={report.streams_whole}/{report.streams} "
            f"violations={len(report.violations)}",
            flush=True,
        )
        for violation in report.violations:
            print(f"    {violation}", flush=True)
    if options.json:
        options.json.write_text(json.dumps(reports, indent=2) + "\n")
    return 1 if any(report["violations"] for report in reports) else 0

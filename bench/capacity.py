"""Measure how each role's cost grows as one size varies at a time."""

import argparse
import json
import os
import platform
from collections.abc import Callable, Sequence
from dataclasses import asdict
from importlib import import_module
from pathlib import Path

from bench.slopes import Slope, format_slope

# Each module has `MEASURES`, which maps names to functions that return a `Slope`.
_MODULES = (
    "bench.capacity_parts",
    "bench.capacity_connections",
    "bench.capacity_path",
)


def main(arguments: Sequence[str]) -> int:
    """Run the named measurements, or all of them."""
    measures = _load_measures()
    parser = argparse.ArgumentParser(prog="bench capacity", description=__doc__)
    parser.add_argument("names", nargs="*", help=f"of: {', '.join(measures)}")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    unknown = set(options.names) - measures.keys()
    if unknown:
        parser.error(f"unknown measurements: {', '.join(sorted(unknown))}")
    print(f"machine: {os.cpu_count()} cores, Python {platform.python_version()}")
    slopes = []
    for name in options.names or measures:
        slopes.append(measures[name]())
        print(format_slope(slopes[-1]), flush=True)
    if options.json:
        document = [asdict(slope) for slope in slopes]
        options.json.write_text(json.dumps(document, indent=2) + "\n")
    return 0


def _load_measures() -> dict[str, Callable[[], Slope]]:
    measures: dict[str, Callable[[], Slope]] = {}
    for module in _MODULES:
        measures |= import_module(module).MEASURES
    return measures

"""Print the rows of a measurement and write them as JSON."""

import argparse
import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Options:
    """Hold the command-line options common to measurements."""

    json: str | None
    seed: int


def parse_options(name: str, arguments: Sequence[str]) -> Options:
    """Parse the command-line options of a measurement."""
    parser = argparse.ArgumentParser(prog=f"python -m bench {name}")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    return Options(options.json, options.seed)


def print_table(rows: Sequence[Any]) -> None:
    """Print data class instances of one type as a table, one per line."""
    cells = [asdict(row) for row in rows]
    names = list(cells[0])
    lines = [names, *([str(one[name]) for name in names] for one in cells)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    for line in lines:
        pairs = zip(line, widths, strict=True)
        print("  ".join(text.rjust(width) for text, width in pairs))


def write_json(path: str | None, document: object) -> None:
    """Write a measurement's results as JSON if a path is given."""
    if path is not None:
        Path(path).write_text(json.dumps(document, indent=2) + "\n", encoding="utf-8")

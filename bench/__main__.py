"""Run one measurement by name."""

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from importlib import import_module


@dataclass(frozen=True, slots=True)
class Measurement:
    """Name a measurement and the module that is imported when it runs."""

    module: str
    summary: str


# Each module has `main(arguments) -> int`.
MEASUREMENTS = {
    "capacity": Measurement("bench.capacity", "growth of each role's cost by size"),
    "path": Measurement("bench.path", "what the path adds to a request and a token"),
    "faults": Measurement("bench.faults", "what must hold, under random faults"),
    "load": Measurement("bench.load", "outcomes for callers at 1x, 2x, 5x of capacity"),
    "decisions": Measurement("bench.decisions", "cost of one decision by size"),
    "placement": Measurement("bench.placement", "placement against plain baselines"),
    "spread": Measurement("bench.spread", "an accepted edit until it is in force"),
    "subsets": Measurement("bench.subsets", "evenness and disturbance of subsets"),
    "poison": Measurement("bench.poison", "targets that one body can crash"),
    "detectors": Measurement("bench.detectors", "failure detectors on equal traces"),
    "direct": Measurement("bench.direct", "cost of decisions of the direct path"),
    "direct-path": Measurement(
        "bench.direct_path", "the entry straight to a replica, and through an agent"
    ),
    "start": Measurement("bench.start", "how soon a process serves after its start"),
    "losses": Measurement("bench.losses", "why requests of a log were lost or late"),
    "telling": Measurement("bench.telling", "cost of telling loads by size"),
    "maps": Measurement("bench.maps", "skew and bytes of expert maps as loads drift"),
}


def main(arguments: Sequence[str]) -> int:
    """Run the measurement that the first argument names, or list them."""
    measurement = MEASUREMENTS.get(arguments[0]) if arguments else None
    if measurement is None:
        for name, one in MEASUREMENTS.items():
            print(f"{name:12} {one.summary}")
        return 2 if arguments else 0
    run: Callable[[Sequence[str]], int] = import_module(measurement.module).main
    return run(arguments[1:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Run a measurement selected by name on the command line."""

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from importlib import import_module


@dataclass(frozen=True, slots=True)
class Measurement:
    """Hold a measurement's summary and its module, which is imported on demand."""

    module: str
    summary: str


# Each module has `main(arguments) -> int`.
MEASUREMENTS = {
    "capacity": Measurement("bench.capacity", "growth of each role's cost with size"),
    "path": Measurement("bench.path", "overhead of the path per request and per token"),
    "faults": Measurement("bench.faults", "invariants checked under random faults"),
    "load": Measurement("bench.load", "outcomes for callers at 1x, 2x, 5x of capacity"),
    "decisions": Measurement(
        "bench.decisions", "cost of one scheduling decision by size"
    ),
    "placement": Measurement(
        "bench.placement", "placement compared with simple baselines"
    ),
    "spread": Measurement(
        "bench.spread", "time from an accepted edit until it is in force"
    ),
    "subsets": Measurement(
        "bench.subsets", "evenness of subsets and connections moved by changes"
    ),
    "poison": Measurement(
        "bench.poison", "number of targets that one request body can crash"
    ),
    "detectors": Measurement(
        "bench.detectors", "failure detectors compared on the same traces"
    ),
    "direct": Measurement("bench.direct", "cost of decisions on the direct path"),
    "direct-path": Measurement(
        "bench.direct_path", "cost of the direct path and of the path through an agent"
    ),
    "start": Measurement("bench.start", "time from process start to the first answer"),
    "losses": Measurement("bench.losses", "causes of lost or late requests in a log"),
    "telling": Measurement("bench.telling", "cost of publishing loads by size"),
    "maps": Measurement(
        "bench.maps", "skew and copied bytes of expert maps as loads drift"
    ),
}


def main(arguments: Sequence[str]) -> int:
    """Run the measurement named by the first argument, or list all measurements."""
    measurement = MEASUREMENTS.get(arguments[0]) if arguments else None
    if measurement is None:
        for name, one in MEASUREMENTS.items():
            print(f"{name:12} {one.summary}")
        return 2 if arguments else 0
    run: Callable[[Sequence[str]], int] = import_module(measurement.module).main
    return run(arguments[1:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

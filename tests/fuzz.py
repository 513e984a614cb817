"""Fuzz all decoders from the command line: python -m tests.fuzz --seeds 100."""

import argparse
import os
import sys

from tests.lib.decoder_fuzz import fuzz


def main() -> int:
    """Fuzz with each seed; return 1 when an input would have ended a process."""
    parser = argparse.ArgumentParser(prog="fuzz", description=__doc__)
    parser.add_argument("--first", type=int, default=int.from_bytes(os.urandom(3)))
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument(
        "--count", type=int, default=1_000, help="inputs per decoder and seed"
    )
    found = parser.parse_args()
    unexpected = 0
    for seed in range(found.first, found.first + found.seeds):
        for one in fuzz(seed, found.count):
            unexpected += 1
            print(f"seed={seed} {one.decoder}: {one.error!r} at {one.data[:200]!r}")
    print(
        f"seeds {found.first} to {found.first + found.seeds - 1}, {unexpected} errors"
    )
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())

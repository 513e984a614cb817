"""Run one measurement by name."""

import sys


def main() -> int:
    """List the measurements."""
    print("no measurement yet")
    return 0


if __name__ == "__main__":
    sys.exit(main())

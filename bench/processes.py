"""Read processor time and memory of processes from `/proc`."""

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_KIB = 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold the processor time in seconds and resident memory in bytes of a process."""

    processor_s: float
    resident_bytes: int

    def since(self, before: "Usage") -> float:
        """Return the processor time in seconds used since an earlier reading."""
        return self.processor_s - before.processor_s


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a running process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Usage(ticks / _TICKS_PER_SECOND, _read_resident_bytes(pid))


def _read_resident_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _KIB
    return 0


def run_in_new_process(module: str, size: int) -> float:
    """Run a module in a new process and return the number that it prints.

    A new process keeps earlier allocations from distorting a memory measurement.
    """
    arguments = [sys.executable, "-m", module, str(size)]
    completed = subprocess.run(arguments, capture_output=True, text=True, check=True)
    return float(completed.stdout)

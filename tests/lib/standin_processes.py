"""Run stand-ins as processes."""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import IO

STOP_TIMEOUT_S = 20.0
"""Shorter than the time after which a stand-in cuts off what is still open."""


@dataclass(frozen=True, slots=True)
class StandinProcess:
    """Hold a running stand-in."""

    process: subprocess.Popen[str]
    address: str

    @property
    def stdout(self) -> IO[str]:
        """Return what the process prints after its address."""
        assert self.process.stdout is not None
        return self.process.stdout

    def stop(self) -> int:
        """End the process by SIGTERM and return its exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT_S)


@contextmanager
def run_standin(module: str, *options: str) -> Iterator[StandinProcess]:
    """Start a stand-in, wait for its address, and end it at the exit."""
    name = f"hyssopvane._internal.standins.{module}"
    command = [sys.executable, "-m", name, *options]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            assert process.stdout is not None
            line = process.stdout.readline().strip()
            yield StandinProcess(process, line.removeprefix("listening address="))
        finally:
            process.kill()

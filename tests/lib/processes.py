"""Start a stand-in as its own process for a test."""

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def run_standin_process(module: str) -> Iterator[str]:
    """Run a stand-in and give its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", f"hyssopvane._internal.standins.{module}"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline().strip()
        assert line.startswith("listening address=")
        yield line.partition("=")[2]
    finally:
        process.terminate()
        process.wait(timeout=20)
        assert process.stdout is not None
        process.stdout.close()


def run_hyssopvane(
    *arguments: str, platform: str = ""
) -> subprocess.CompletedProcess[str]:
    """Run the command line to its end."""
    return subprocess.run(
        [sys.executable, "-m", "hyssopvane", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "HYSSOPVANE_PLATFORM": platform},
    )

"""Run the command line in a separate process."""

import os
import subprocess
import sys


def run_hyssopvane(
    *arguments: str, platform: str = ""
) -> subprocess.CompletedProcess[str]:
    """Run one command and return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "hyssopvane", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "HYSSOPVANE_PLATFORM": platform},
    )

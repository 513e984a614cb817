"""Start, signal and restart the processes of the system under test."""

import json
import os
import re
import signal
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import trio

START_TIMEOUT_S = 60.0
"""Time after which a start counts as hanging, even on a busy machine."""

_POLL_S = 0.02


def reset_reload_action() -> None:
    """Reset SIGHUP to its default action in a new process, as a supervisor does.

    A process inherits ignored signals. Under nohup, a process that is still starting
    would appear to handle the signal.
    """
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


@dataclass
class Member:
    """Manage one process of the system across all its starts."""

    name: str
    settings: dict[str, object]
    folder: Path
    starts: int = 0
    callers: str = ""
    stopping: bool = False
    """Whether the process was signaled to end."""
    _popen: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self) -> int:
        """Return the ID of the running process."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def handles_reload(self) -> bool:
        """Tell whether the process handles or ignores SIGHUP.

        Until the first line of the program has run, some hundredths of a second after
        the start, the default action of the kernel ends the process. The program cannot
        prevent that.
        """
        if self._popen is None or not self.is_running:
            return False
        status = Path(f"/proc/{self._popen.pid}/status").read_text()
        masks = [
            int(line.split()[1], 16)
            for line in status.splitlines()
            if line.startswith(("SigIgn:", "SigCgt:"))
        ]
        return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)

    def read_run_delay_s(self) -> float:
        """Return how long the kernel let the process wait for a processor so far."""
        if self._popen is None or not self.is_running:
            return 0.0
        with suppress(OSError, IndexError):
            fields = Path(f"/proc/{self._popen.pid}/schedstat").read_text().split()
            return int(fields[1]) / 1e9
        return 0.0

    @property
    def log_file(self) -> Path:
        """Return the path of the log of all starts."""
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Start the process, and wait until it logs that it has started."""
        self.starts += 1
        self.stopping = False
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        offset = self.log_file.stat().st_size if self.log_file.exists() else 0
        with self.log_file.open("ab") as log:
            self._popen = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "hyssopvane",
                    "run",
                    str(self.settings["role"]),
                    str(path),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
                preexec_fn=reset_reload_action,
            )
        with trio.fail_after(START_TIMEOUT_S):
            while not (found := self._find_started_address(offset)):
                if not self.is_running:
                    raise AssertionError(
                        f"{self.name} ended during its start: {self.read_log()[-2000:]}"
                    )
                await trio.sleep(_POLL_S)
        self.callers = found

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self._popen is not None and self.is_running:
            self._popen.send_signal(number)

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it ended in time."""
        with trio.move_on_after(timeout_s):
            while self.is_running:
                await trio.sleep(_POLL_S)
        return not self.is_running

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self.stopping = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def read_log(self) -> str:
        """Return the log of all starts."""
        return self.log_file.read_text(errors="replace")

    def _find_started_address(self, offset: int) -> str:
        with self.log_file.open("rb") as log:
            log.seek(offset)
            text = log.read().decode(errors="replace")
        match = re.search(r"event=started (?:callers=(\S+))?(?:replica=(\S+))?", text)
        return (match[1] or match[2]) if match else ""


class Fleet:
    """Manage the entries and agents of one run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.entries: list[Member] = []
        self.agents: list[Member] = []

    @property
    def members(self) -> list[Member]:
        """Return all processes."""
        return [*self.entries, *self.agents]

    def add(self, name: str, settings: dict[str, object]) -> Member:
        """Add a process without starting it."""
        member = Member(name, settings, self.folder)
        if settings["role"] == "direct-entry":
            self.entries.append(member)
        else:
            self.agents.append(member)
        return member

    async def start(self) -> None:
        """Start all processes."""
        async with trio.open_nursery() as nursery:
            for member in self.members:
                nursery.start_soon(member.start)

    def close(self) -> None:
        """Kill all processes."""
        for member in self.members:
            member.kill()

"""Run the roles and the stand-ins as separate processes."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import trio

TOKEN = "test-token-of-one-installation"
# Only limits a test that hangs: on a busy machine some starts take many seconds.
START_TIMEOUT_S = 120.0
POLL_S = 0.02
_STANDINS = "hyssopvane._internal.standins"


class Process:
    """Run one process and collect the lines of its output.

    The output goes to a file: a pipe that is not read would fill up and block the
    process.
    """

    def __init__(self, arguments: list[str]) -> None:
        self._log = tempfile.TemporaryFile()
        self._offset = 0
        self._popen = subprocess.Popen(
            arguments,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.lines: list[str] = []

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def has_ended(self) -> bool:
        """Tell whether the process has ended."""
        return self._popen.poll() is not None

    def wait_for(self, pattern: str) -> re.Match[str]:
        """Read lines until one matches; fail if the process ends first."""
        while True:
            ended = self._popen.poll() is not None
            for line in self._read_lines():
                self.lines.append(line)
                if match := re.search(pattern, line):
                    return match
            if ended:
                raise AssertionError(f"no line matches {pattern}: {self.lines}")
            time.sleep(POLL_S)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._popen.send_signal(number)

    def read_to_end(self) -> int:
        """Wait for the end of the process, read all output and return the exit code."""
        code = self._popen.wait()
        self.lines.extend(self._read_lines())
        return code

    def kill(self) -> None:
        """Kill the process if it is running, and discard its output file."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait()
        self._log.close()

    def _read_lines(self) -> Iterator[str]:
        descriptor = self._log.fileno()
        data = os.pread(descriptor, os.fstat(descriptor).st_size, self._offset)
        while (end := data.find(b"\n")) >= 0:
            line, data = data[:end], data[end + 1 :]
            self._offset += end + 1
            yield line.decode(errors="replace")


class Cluster:
    """Manage the processes of one installation."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: list[Process] = []
        self._vms: dict[str, dict[str, str]] = {}
        self.platform = ""
        self.vm_list = ""
        self.operators: dict[str, str] = {}

    def start_platform(self) -> None:
        """Start the stand-ins of the key-value service and of the VM list."""
        self.platform, _ = self.start_standin("key_value")
        self.vm_list, _ = self.start_standin("vm_list")

    def start_standin(self, name: str, *options: str) -> tuple[str, Process]:
        """Start a stand-in and return its address and its process."""
        process = self._start(
            [sys.executable, "-m", f"{_STANDINS}.{name}", "--bind", "127.0.0.1:0"]
            + list(options)
        )
        return process.wait_for(r"address=(\S+)")[1], process

    def start_agent(
        self, vm: str, *, service: str, target: str, **changes: object
    ) -> Process:
        """Start an agent and add it to the VM list."""
        process, address = self._start_role(
            "agent",
            vm,
            "entries",
            {"target": target, "service": service, "entries": "127.0.0.1:0"} | changes,
        )
        self.list_vm(vm, role="agent", service=service, address=address)
        return process

    def start_entry(self, vm: str, **changes: object) -> tuple[Process, str]:
        """Start an entry, add it to the VM list, and return its callers' address."""
        process, peers = self._start_role(
            "entry",
            vm,
            "peers",
            {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"} | changes,
        )
        self.list_vm(vm, role="entry", service="", address=peers)
        return process, _find(r"callers=(\S+)", process.lines[-1])

    def list_vm(
        self, vm: str, *, role: str, service: str, address: str, state: str = "live"
    ) -> None:
        """Add a VM to the VM list, or replace its item."""
        self._vms[vm] = {
            "name": vm,
            "address": address,
            "availability_zone": "arima",
            "role": role,
            "service": service,
            "state": state,
        }
        self._put_vms()

    def unlist_vm(self, vm: str) -> None:
        """Remove a VM from the VM list."""
        del self._vms[vm]
        self._put_vms()

    def close(self) -> None:
        """Kill all processes."""
        for process in reversed(self._processes):
            process.kill()

    def _put_vms(self) -> None:
        from tests.lib.http import request

        document = json.dumps({"vms": list(self._vms.values())}).encode()
        answer = request("PUT", self.vm_list, "/v1/vms", body=document)
        assert answer.status < 300, answer

    def _start_role(
        self, role: str, vm: str, listener: str, changes: dict[str, object]
    ) -> tuple[Process, str]:
        settings = {
            "role": role,
            "vm": vm,
            "availability_zone": "arima",
            "platform": self.platform,
            "vm_list": self.vm_list,
            "token": TOKEN,
            "shutdown_delay_s": 0,
        } | changes
        path = self._folder / f"{vm}.json"
        path.write_text(json.dumps(settings))
        process = self._start(
            [sys.executable, "-m", "hyssopvane", "run", role, str(path)]
        )
        started = process.wait_for(rf"event=started .*{listener}=(\S+)")
        self.operators[vm] = _find(r"operators=(\S+)", started.string)
        return process, started[1]

    def _start(self, arguments: list[str]) -> Process:
        process = Process(arguments)
        self._processes.append(process)
        return process


def _find(pattern: str, line: str) -> str:
    match = re.search(pattern, line)
    assert match is not None, line
    return match[1]


@contextmanager
def open_cluster(folder: Path) -> Iterator[Cluster]:
    """Yield a cluster with a started platform, and kill its processes afterwards."""
    cluster = Cluster(folder)
    try:
        cluster.start_platform()
        yield cluster
    finally:
        cluster.close()


def wait_until(
    check: Callable[[], bool], *, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Poll a check until it holds; the timeout only limits a test that hangs."""

    async def poll() -> None:
        with trio.fail_after(timeout_s):
            while not await trio.to_thread.run_sync(check):
                await trio.sleep(0.05)

    trio.run(poll)


@contextmanager
def run_standin_process(module: str) -> Iterator[str]:
    """Run one stand-in and yield its address."""
    process = Process([sys.executable, "-m", f"{_STANDINS}.{module}"])
    try:
        yield process.wait_for(r"address=(\S+)")[1]
    finally:
        process.kill()

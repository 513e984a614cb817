"""Starts the project's programs by the commands of its deploy file."""

import asyncio
import json
import os
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/hyssopvane/settings.yaml"
START_S = 30.0

BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 5000,
    "strict-revoke": False,
    "revoke-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-slack": 90,
    "recovery-s": 12,
    "pass-ms": 120,
    "retry-after-s": 0,
    "stall_ms": 1500,
    "fencing": True,
}
"""The bounds of the small deployment, `pos-surname`."""

CONTRACTS = (
    "base drain config cost retry recover engine stream tenants platform experts"
).split()


def choose_network() -> str:
    """Return the first two bytes of loopback addresses that hardly any other uses."""
    return f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}"


def find_ports(host: str, count: int) -> list[int]:
    """Return free TCP ports."""
    held = []
    for _ in range(count):
        one = socket.socket()
        one.bind((host, 0))
        held.append(one)
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def _look_up(path: str, fields: Any) -> Any:
    found = fields
    for part in path.split("."):
        if isinstance(found, list):
            found = found[int(part)] if int(part) < len(found) else None
        elif isinstance(found, dict):
            found = found.get(part)
        else:
            return None
    return found


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of the deploy file, as far as this project uses them."""

    def fill_section(match: re.Match[str]) -> str:
        value = _look_up(match[2], fields)
        is_shown = value is not None and value is not False
        return match[3] if is_shown == (match[1] == "#") else ""

    def fill_value(match: re.Match[str]) -> str:
        value = _look_up(match[1], fields)
        if match[2]:
            return json.dumps(value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    template = section.sub(fill_section, template)
    return re.sub(r"\{\{([^}|]+)(\|json)?\}\}", fill_value, template)


class Process:
    """One of the project's programs."""

    def __init__(self, role: str, name: str, settings: str, folder: Path) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        path = folder / f"{name}.settings"
        path.write_text(settings)
        command = deploy["roles"][role]["run"].replace(SETTINGS_PATH, str(path))
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._log = self.log_path.open("ab")
        self._path = path
        self._command = command.split(" ")
        self._command[0] = sys.executable
        self.start()

    def start(self) -> None:
        """Start it."""
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["HYSSOPVANE_SETTINGS"] = str(self._path)
        self.popen = subprocess.Popen(
            self._command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    def send_signal(self, number: int) -> None:
        """Send it a signal."""
        self.popen.send_signal(number)

    def end(self) -> None:
        """Kill it and wait for its end."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()

    def read_log(self) -> str:
        """Return what it has logged."""
        return self.log_path.read_text(errors="replace")


class Machine:
    """A machine of the system with one process: an entry, or an agent beside a rank."""

    def __init__(
        self,
        role: str,
        name: str,
        zone: str,
        ip: str,
        ports: dict[str, int],
        *,
        app: str = "",
        service: str = "",
    ) -> None:
        self.role, self.name, self.zone, self.ip, self.ports = role, name, zone, ip, ports
        self.app = app
        """Address of the replica on the machine."""
        self.service = service
        self.process: Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.ip, self.ports["front"]

    @property
    def ready(self) -> tuple[str, int]:
        """Return the address for readiness checks."""
        return self.ip, self.ports["ready"]


class Fleet:
    """The machines of a small deployment, in a temporary folder."""

    def __init__(
        self,
        zones: list[str],
        store: tuple[str, int],
        network: str,
        *,
        apps: list[tuple[tuple[str, int], str]] | None = None,
        service: str = "",
    ) -> None:
        """Name an entry in each of `zones`, and an agent beside each of `apps`."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._store = store
        names = ("front", "ready", "control")
        found = find_ports("127.0.0.1", len(names) + 2)
        ports = dict(zip(names, found, strict=False))
        self._range = [found[-2], found[-1]]
        self.machines = [
            Machine("entry", f"edge-{zone}-{number}", zone, f"{network}.{10 + number}", ports)
            for number, zone in enumerate(zones)
        ]
        self.side = [
            Machine(
                "agent",
                f"side-{zone}-{number}",
                zone,
                address[0],
                {},
                app=f"{address[0]}:{address[1]}",
                service=service,
            )
            for number, (address, zone) in enumerate(apps or [])
        ]

    def make_fields(self, machine: Machine) -> dict[str, Any]:
        """Return the platform's settings of a machine."""
        seeds = [f"{one.ip}:{one.ports['control']}" for one in self.machines[:3]]
        return {
            "node": machine.name,
            "role": machine.role,
            "machine-class": "side" if machine.app else "edge",
            "serves": ["side"] if machine.app else ["edge", "control"],
            "app": machine.app,
            "service": machine.service,
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "region",
            "zones": {one.zone: "region" for one in self.machines},
            "listen": {k: f"{machine.ip}:{v}" for k, v in machine.ports.items()},
            "port-range": self._range,
            "seeds": seeds,
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.817,
                "cores": 1,
                "memory-mb": 300,
                "max-fds": 4200,
                "link-mbps": 20 if machine.app else 1000.0,
                "disk-mb": 0,
            },
            "contracts": CONTRACTS,
            "bounds": BOUNDS,
            "platform": {"address": f"{self._store[0]}:{self._store[1]}"},
        }

    @property
    def all(self) -> list[Machine]:
        """Return all machines."""
        return [*self.machines, *self.side]

    def start(self) -> None:
        """Start the process of each machine."""
        for machine in self.all:
            template = (ROOT / f"deploy/{machine.role}.json.tmpl").read_text()
            settings = render(template, self.make_fields(machine))
            machine.process = Process(machine.role, machine.name, settings, self.folder)

    def kill(self) -> None:
        """Kill all processes at the same moment."""
        for machine in self.all:
            if machine.process is not None:
                machine.process.popen.send_signal(signal.SIGKILL)

    def start_again(self) -> None:
        """Start all processes after they were killed."""
        for machine in self.all:
            if machine.process is not None:
                machine.process.popen.wait()
                machine.process.start()

    async def wait_until_ready(self) -> None:
        """Wait until all entries answer readiness checks with 200."""
        from wire import call

        until = time.monotonic() + START_S
        for machine in self.machines:
            host = [("Host", "platform")]
            while True:
                answer = await call(
                    machine.ready, "GET", "/api/ready", host, timeout_s=1.0
                )
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    log = "" if machine.process is None else machine.process.read_log()
                    raise RuntimeError(f"{machine.name} is not ready: {log[-2000:]}")
                await asyncio.sleep(0.1)

    def count_ended(self) -> int:
        """Return the number of processes that have ended by themselves."""
        processes = [one.process for one in self.all if one.process is not None]
        return sum(one.popen.poll() is not None for one in processes)

    def end(self) -> None:
        """End all processes, and remove the folder."""
        for machine in self.all:
            if machine.process is not None:
                machine.process.end()
        shutil.rmtree(self.folder, ignore_errors=True)


class Recorder:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def __call__(self, line: str) -> None:
        """Write one line with the time since the start."""
        at = time.monotonic() - self._started_at
        self._file.write(f"{at:8.3f} s  {line}\n")
        self._file.flush()

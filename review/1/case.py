"""All processes are killed as the orders to arm a map are on their way."""

import asyncio
import os
import random
import secrets
import signal
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from fleet import Fleet, Recorder, choose_network, find_ports  # noqa: E402
from ranks import ENGINE, EXPERTS, RankGroup  # noqa: E402
from store import Store  # noqa: E402
from wire import call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "registry.example"
KEY = "key-of-counter"
RANKS = 12
STREAMS = 12
SHIFT_S = 1.0
WARM_UP_S = 3.0
TRAFFIC_S = 6.0
DOWN_S = 0.5
QUIET_S = 5.5
END_S = 65.0
AFTER_BREAK_S = 8.0
ZONES = ["stvincent-st", "chaguanas", "arima"]


def make_configuration() -> dict[str, object]:
    route = {
        "name": "drafts",
        "host": HOST,
        "prefix": "/drafts/",
        "kind": "streaming",
        "resumable": True,
        "timeout-ms": 8_000,
        "target-latency-ms": 503,
        "gap-aim-ms": 120,
        "priority": 1,
        "service": "origin-drafting",
        "max-attempts": 2,
        "public": False,
        "sticky": True,
    }
    service = {
        "name": "origin-drafting",
        "health-check": "/healthz",
        "max-connections": 348,
        "engine": ENGINE,
    }
    limits = {
        "max-header-bytes": 16_384,
        "max-body-bytes": 4_194_304,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [service],
        "limits": limits,
        "tenants": [{"name": "counter", "api-keys": [KEY]}],
    }


class Case:
    """Play rounds of traffic, a kill and a quiet time."""

    def __init__(self, record: Recorder) -> None:
        self.record = record
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.sends = False
        self.killed_at = 0.0
        self.kills = 0
        self.kills_next = False
        """Whether the next order to arm is the moment of the kill."""

    @property
    def now(self) -> float:
        return self.loop.time() - self.started_at

    async def play(self) -> int:
        network = choose_network()
        store = Store()
        store_address = (f"{network}.2", find_ports(f"{network}.2", 1)[0])
        await store.start(*store_address)
        store.put("op/config", make_configuration())
        addresses = [
            (f"{network}.{100 + one}", find_ports(f"{network}.{100 + one}", 1)[0])
            for one in range(RANKS)
        ]
        seed = secrets.randbelow(10**6)
        self.record(f"seed {seed}")
        self.group = group = RankGroup(
            store,
            addresses,
            [ZONES[one % len(ZONES)] for one in range(RANKS)],
            service="origin-drafting",
            record=self.record,
            chance=random.Random(seed),
        )
        group.observe_order = self.observe_order
        await group.start()
        apps = [(rank.address, rank.zone) for rank in group.ranks]
        self.fleet = fleet = Fleet(
            ZONES, store_address, network, apps=apps, service="origin-drafting"
        )
        callers = [asyncio.create_task(self.run_caller(one)) for one in range(STREAMS)]
        shifts = asyncio.create_task(self.shift_demand())
        try:
            fleet.start()
            await fleet.wait_until_ready()
            self.record("all entries are ready")
            while self.now < END_S and not group.violations:
                await self.play_round()
            if group.violations:
                # Shows whether the maps are brought together again.
                self.sends = True
                await asyncio.sleep(AFTER_BREAK_S)
                self.record(f"{AFTER_BREAK_S} s of traffic later: {group.describe()}")
            ended = fleet.count_ended()
        finally:
            for task in (*callers, shifts):
                task.cancel()
            fleet.end()
        self.record(f"{group.changes} changes of the map, {self.kills} kills")
        self.record(f"processes that ended by themselves: {ended}")
        self.record(f"{len(group.violations)} passes began with different maps")
        for violation in group.violations[:3]:
            self.record(f"MAP: {violation}")
        if group.violations:
            return 1
        is_played = group.changes and (self.kills or not TROUBLE)
        return 0 if is_played else 2

    async def play_round(self) -> None:
        """Play traffic until the kill, the quiet time after it, and some traffic."""
        self.sends = True
        self.killed_at = 0.0
        await asyncio.sleep(WARM_UP_S)
        if self.group.violations:
            return
        self.kills_next = TROUBLE
        until = self.loop.time() + TRAFFIC_S
        while not self.killed_at and self.loop.time() < until:
            await asyncio.sleep(0.01)
        self.sends = self.kills_next = False
        if self.killed_at:
            await asyncio.sleep(DOWN_S)
            self.record(f"all processes start again: {self.group.describe()}")
            self.group.is_sender_dead = False
            self.fleet.start_again()
        await asyncio.sleep(QUIET_S)
        await self.fleet.wait_until_ready()
        self.record(f"the next callers come: {self.group.describe()}")

    def observe_order(self, order: dict[str, Any]) -> None:
        """Kill all processes as the first order to arm a map arrives."""
        if order["operation"] != "arm" or not self.kills_next:
            return
        self.fleet.kill()
        self.group.is_sender_dead = True
        self.kills += 1
        self.sends = self.kills_next = False
        self.killed_at = self.loop.time()
        self.record(f"all processes are killed: {self.group.describe()}")

    async def shift_demand(self) -> None:
        """Let other experts be in demand."""
        chance = random.Random(1)
        while True:
            await asyncio.sleep(SHIFT_S)
            self.group.hot = chance.randrange(EXPERTS)

    async def run_caller(self, number: int) -> None:
        """Send one stream after the other."""
        while True:
            if not self.sends:
                await asyncio.sleep(0.02)
                continue
            front = self.fleet.machines[number % len(self.fleet.machines)].front
            request_id = secrets.token_hex(8)
            headers = [
                ("Host", HOST),
                ("X-Request-Id", request_id),
                ("X-Model", "m"),
                ("X-Token-Count", "714,40"),
                ("X-Prompt-Prefix", f"5c1e:40,{secrets.token_hex(4)}:674"),
                ("X-Deadline-Ms", "8041"),
                ("Authorization", f"Bearer {KEY}"),
            ]
            self.record(f"client sends {request_id} to {front[0]}")
            answer = await call(
                front, "POST", "/drafts/origin", headers, b"a name", timeout_s=8.041
            )
            events = answer.body.count(b"id:")
            self.record(
                f"client gets {answer.status} for {request_id}, {events} events {answer.why}"
            )
            if answer.status != 200:
                await asyncio.sleep(0.3)


async def play(record: Recorder) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    return await Case(record).play()


def main() -> int:
    record = Recorder(HERE / "record.txt")
    # An interrupted case ends its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        status = asyncio.run(asyncio.wait_for(play(record), 115))
    except (Exception, KeyboardInterrupt) as error:  # the case could not run
        record(f"the case could not run: {error!r}")
        status = 2
    record({0: "held", 1: "broken", 2: "could not run"}[status])
    return status


if __name__ == "__main__":
    sys.exit(main())

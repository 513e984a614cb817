"""Test the switch of a group's expert map when its coordinator is killed."""

import json
import re
import sys

import pytest

from tests.lib.http import request
from tests.lib.processes import TOKEN, Process, open_cluster, wait_until

RANKS = ("rank-0", "rank-1", "rank-2")


class Ranks:
    """Start engines with their agents and read the state of the engines."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.engines = {}
        self.processes = {}
        self.agents = {}
        self.maps_by_step = {}
        self._started = []

    def start(self):
        for name in RANKS:
            address, process = self._cluster.start_standin("engine_server")
            self.engines[name], self.processes[name] = address, process
            agent = self._cluster.start_agent(
                name, service="draft", target=address, group="group-1"
            )
            self.agents[name] = re.search(r"entries=(\S+)", agent.lines[-1])[1]

    def restart_engine(self, name):
        """Kill an engine and start one without a map at its address."""
        self.processes[name].kill()
        self._cluster.start_standin(
            "engine_server", "--bind", self.engines[name], "--expert-map="
        )

    def start_coordinator(self, expert_map, *options):
        agents = ",".join(f"{name}={self.agents[name]}" for name in RANKS)
        arguments = [sys.executable, "-m", "tests.lib.map_coordinator"]
        arguments += ["--platform", self._cluster.platform, "--agents", agents]
        arguments += ["--token", TOKEN, "--map", expert_map, *options]
        process = Process(arguments)
        self._started.append(process)
        return process

    def close(self):
        for process in self._started:
            process.kill()

    def read_engines(self):
        """Return the state of each engine; check that all use one map in one step."""
        views = {}
        for name, address in self.engines.items():
            views[name] = view = json.loads(request("GET", address, "/rank").body)
            if view["map"]:
                used = self.maps_by_step.setdefault(view["step"], view["map"])
                assert used == view["map"], f"step {view['step']}: {used} and {view}"
        return views

    def all_use(self, expert_map):
        views = self.read_engines().values()
        return all(one["map"] == expert_map and not one["armed"] for one in views)


@pytest.fixture
def ranks(tmp_path):
    with open_cluster(tmp_path) as cluster:
        ranks = Ranks(cluster)
        try:
            ranks.start()
            yield ranks
        finally:
            ranks.close()


def test_killed_coordinator_leaves_the_group_on_one_map(ranks):
    """Guard against a group that is stuck after its coordinator was killed.

    The coordinator is killed after all ranks are armed and before it writes the
    decision. The ranks wait at the armed step and send no answers. After some seconds
    an agent writes the abort and the group continues with the old map. A later
    coordinator switches it, and a rank that is then restarted uses the decided map.
    """
    first = ranks.start_coordinator("a", "--pause")
    first.wait_for("armed")
    first.kill()
    armed = ranks.read_engines().values()
    assert all(one["armed"]["map"] == "a.1" for one in armed)
    wait_until(lambda: ranks.all_use("initial"))

    second = ranks.start_coordinator("b")
    second.wait_for("ended=decided")
    wait_until(lambda: ranks.all_use("b.2"))

    ranks.restart_engine("rank-1")
    wait_until(lambda: ranks.read_engines()["rank-1"]["map"] == "initial")
    assert ranks.read_engines()["rank-1"]["armed"]["decided"]
    wait_until(lambda: ranks.all_use("b.2"))

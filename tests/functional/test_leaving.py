"""Test that a leaving target gets no new requests, however its leaving is reported."""

import json
import signal
import time

import pytest

from tests.lib.commands import run_hyssopvane
from tests.lib.http import request
from tests.lib.installation import (
    KEY,
    commit_table,
    read_in_force,
    wait_for_targets,
)
from tests.lib.processes import open_cluster, wait_until

CALLER = {"Authorization": f"Bearer {KEY}"}
ENTRIES = ("entry-1", "entry-2")
CALLS_AFTER = 30

SILENCE_S = 60.0
"""Silence after which a connection is closed.

A test that stops an entry checks its outdated state. On a slow machine the stop may
last longer than the default of three seconds, which would close its connections too.
"""


@pytest.fixture
def cluster(tmp_path):
    """Run two entries in front of two targets of a plain service."""
    with open_cluster(tmp_path) as cluster:
        commit_table(cluster.platform)
        for number in (1, 2):
            plain, _ = cluster.start_standin("plain_service")
            agent = cluster.start_agent(
                f"t-{number}", service="check", target=plain, silence_s=SILENCE_S
            )
            if number == 1:
                cluster.target, cluster.agent = plain, agent
        started = [cluster.start_entry(vm, silence_s=SILENCE_S) for vm in ENTRIES]
        cluster.entries = [process for process, _ in started]
        cluster.callers = [callers for _, callers in started]
        for vm in ENTRIES:
            wait_for_targets(cluster, vm, 2)
        run_hyssopvane("table", "add", "target/t-1", platform=cluster.platform)
        yield cluster


def set_down(cluster):
    body = json.dumps({"down": True}).encode()
    assert request("POST", cluster.platform, "/faults", body=body).status == 200


def count_runs(cluster):
    journal = json.loads(request("GET", cluster.target, "/journal").body)
    return sum(entry["event"] == "started" for entry in journal)


def call(address):
    answer = request("GET", address, "/check/lots/7", headers=CALLER)
    assert answer.status == 200, answer


def leave_by_list(cluster):
    vm = dict(cluster._vms["t-1"])
    cluster.list_vm(
        "t-1",
        role="agent",
        service="check",
        address=vm["address"],
        state="leaving",
    )


def leave_by_signal(cluster):
    cluster.agent.send_signal(signal.SIGTERM)


def leave_by_cell(column, value):
    def leave(cluster):
        result = run_hyssopvane(
            "table", "set", "target/t-1", column, value, platform=cluster.platform
        )
        assert result.returncode == 0, result.stderr

    return leave


def takes_work(cluster):
    return read_in_force(cluster, "t-1")["takes_work"]


def call_until(cluster, check):
    """Call all entries until a check holds; return time of last run and runs at t-1."""
    last_run_at, runs = time.monotonic(), count_runs(cluster)
    while not check():
        for callers in cluster.callers:
            call(callers)
        now_runs = count_runs(cluster)
        if now_runs > runs:
            last_run_at, runs = time.monotonic(), now_runs
    return last_run_at, runs


WAYS = {
    "list": leave_by_list,
    "in service": leave_by_cell("in_service", "no"),
    "weight": leave_by_cell("weight", "0"),
}


@pytest.mark.parametrize("way", WAYS)
def test_leaving_target_gets_no_new_requests(cluster, way):
    """Guard against requests to a leaving target while entries don't know it yet.

    Requests sent there would be lost with the VM, or delayed.
    """
    call_until(cluster, lambda: count_runs(cluster) > 3)
    began = time.monotonic()
    WAYS[way](cluster)
    last_run_at, runs = call_until(cluster, lambda: not takes_work(cluster))
    for _ in range(CALLS_AFTER):
        for callers in cluster.callers:
            call(callers)
    assert count_runs(cluster) == runs
    print(f"{way}: last placement {last_run_at - began:.2f} s after the order")


def test_agent_signaled_to_stop_gets_no_new_requests(cluster):
    """Guard against requests to a stopping agent during an outage of the store."""
    call_until(cluster, lambda: count_runs(cluster) > 3)
    set_down(cluster)
    began = time.monotonic()
    leave_by_signal(cluster)
    last_run_at, runs = call_until(
        cluster, lambda: cluster.agent._popen.poll() is not None
    )
    for _ in range(CALLS_AFTER):
        for callers in cluster.callers:
            call(callers)
    assert count_runs(cluster) == runs
    print(f"signal: last placement {last_run_at - began:.2f} s after the order")


def test_entry_with_an_old_table_and_list_costs_one_hop(cluster):
    """Guard against requests that run at a leaving target, or fail, due to old state.

    One entry is stopped while a target leaves, and resumes while the key-value service
    is down. With its old table and list it sends requests to the target, which refuses
    them; the other target answers the callers.
    """
    cluster.entries[1].send_signal(signal.SIGSTOP)
    leave_by_cell("in_service", "no")(cluster)
    wait_until(lambda: not takes_work(cluster))
    runs = count_runs(cluster)
    set_down(cluster)
    cluster.entries[1].send_signal(signal.SIGCONT)
    for _ in range(CALLS_AFTER):
        call(cluster.callers[1])
    assert count_runs(cluster) == runs

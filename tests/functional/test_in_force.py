"""Test that table edits reach every process, and that their state can be queried."""

import json

import pytest

from hyssopvane._internal.cli.status_codes import StatusCode
from tests.lib.commands import run_hyssopvane
from tests.lib.http import request
from tests.lib.installation import (
    KEY,
    OPERATOR,
    commit_table,
    read_in_force,
    wait_for_targets,
)
from tests.lib.processes import open_cluster, wait_until

CALLER = {"Authorization": f"Bearer {KEY}"}
ENTRIES = ("entry-1", "entry-2", "entry-3")


@pytest.fixture
def cluster(tmp_path):
    """Run three entries of one availability zone in front of a plain service."""
    with open_cluster(tmp_path) as cluster:
        commit_table(cluster.platform)
        plain, _ = cluster.start_standin("plain_service")
        cluster.start_agent("check-1", service="check", target=plain)
        cluster.processes = {}
        cluster.callers = {}
        for vm in ENTRIES:
            cluster.processes[vm], cluster.callers[vm] = cluster.start_entry(vm)
        cluster.settings = str(tmp_path / "entry-1.json")
        for vm in ENTRIES:
            wait_for_targets(cluster, vm, 1)
        yield cluster


def set_cell(cluster, row, column, value):
    result = run_hyssopvane(
        "table", "set", row, column, value, platform=cluster.platform
    )
    assert result.returncode == 0, result.stderr


def set_faults(cluster, **faults):
    body = json.dumps(faults).encode()
    assert request("POST", cluster.platform, "/faults", body=body).status == 200


def read_revision(cluster, vm):
    return read_in_force(cluster, vm)["table_revision"]


def read_table(cluster, vm):
    answer = request("GET", cluster.operators[vm], "/table", headers=OPERATOR)
    return json.loads(answer.body)


def has_weight(cluster, vm, weight):
    return read_table(cluster, vm)["customers"]["clerks"]["weight"] == weight


def ask(cluster, *command, entry="entry-1", status=StatusCode.OK):
    address = ("--entry", cluster.operators[entry], "--settings", cluster.settings)
    result = run_hyssopvane(*command, *address)
    assert result.returncode == status, result.stderr + result.stdout
    return result.stdout if status == StatusCode.OK else result.stderr


def call(cluster, vm):
    return request("GET", cluster.callers[vm], "/check/lots/7", headers=CALLER)


def test_edit_is_in_force_and_read_back_everywhere(cluster):
    set_cell(cluster, "customer/clerks", "weight", "250")
    for vm in ENTRIES:
        wait_until(lambda vm=vm: has_weight(cluster, vm, "250"))
    wait_until(
        lambda: sum(read_in_force(cluster, vm)["watches"] for vm in ENTRIES) == 2
    )
    wait_until(lambda: "in force on 4 of 4 VMs" in ask(cluster, "table", "status"))
    output = ask(cluster, "status", "--zone", "arima", entry="entry-3")
    assert "check-1" in output
    assert "no answer" not in output


def test_vm_without_answer_is_marked(cluster):
    """Guard against a status that omits VMs without an answer.

    A VM is dead and the platform's list still contains it.
    """
    wait_until(lambda: "in force on 4 of 4 VMs" in ask(cluster, "status"))
    cluster.processes["entry-2"].kill()
    lines = ask(cluster, "table", "status").splitlines()
    (line,) = [line for line in lines if "entry-2" in line]
    assert line.startswith("* ")
    assert "no answer" in line
    assert lines[-1].endswith("in force on 3 of 4 VMs")


def test_agent_refuses_by_its_own_row_until_it_is_in_service_again(cluster):
    """Guard against requests that run at a target that was taken out of service.

    Entries with an old table still send requests to it.
    """
    run_hyssopvane("table", "add", "target/check-1", platform=cluster.platform)
    set_cell(cluster, "target/check-1", "in_service", "no")
    wait_until(lambda: not read_in_force(cluster, "check-1")["takes_work"])
    assert read_in_force(cluster, "check-1")["rows"]["target"]["in_service"] == "no"
    wait_until(lambda: call(cluster, "entry-1").status == 503)
    set_cell(cluster, "target/check-1", "in_service", "yes")
    wait_until(lambda: read_in_force(cluster, "check-1")["takes_work"])
    wait_until(lambda: call(cluster, "entry-1").status == 200)


def test_outage_keeps_the_table_and_a_new_entry_takes_it_from_its_peers(cluster):
    """Guard against a table that is lost or incomplete during an outage.

    The key-value service goes down right after an edit, and a VM is replaced. The edit
    reaches every entry, including the one started in the outage, and all callers are
    served. After the outage, edits work again.
    """
    set_cell(cluster, "customer/clerks", "weight", "300")
    set_faults(cluster, down=True)
    for vm in ENTRIES:
        wait_until(lambda vm=vm: has_weight(cluster, vm, "300"))
    cluster.processes["entry-4"], cluster.callers["entry-4"] = cluster.start_entry(
        "entry-4"
    )
    wait_for_targets(cluster, "entry-4", 1)
    assert has_weight(cluster, "entry-4", "300")
    assert call(cluster, "entry-4").status == 200
    set_faults(cluster)
    set_cell(cluster, "customer/clerks", "weight", "400")
    for vm in cluster.processes:
        wait_until(lambda vm=vm: has_weight(cluster, vm, "400"))


def test_edit_reaches_an_entry_whose_watchers_are_killed(cluster):
    """Guard against an entry that keeps an old table when its watchers die.

    Both watchers of the zone die at once, and the platform's list still contains them.
    """

    def find_watchers():
        return [vm for vm in ENTRIES if read_in_force(cluster, vm)["watches"]]

    wait_until(lambda: len(find_watchers()) == 2)
    watchers = find_watchers()
    for vm in watchers:
        cluster.processes[vm].kill()
    set_cell(cluster, "customer/clerks", "weight", "350")
    (left,) = set(ENTRIES) - set(watchers)
    wait_until(lambda: has_weight(cluster, left, "350"))


def test_stale_read_brings_no_old_value_back(cluster):
    """Guard against an old limit that returns after an operator has replaced it.

    A replica of the key-value service lags while all entries are replaced. A table read
    only from that replica would be outdated.
    """
    set_faults(cluster, stale_reads=True)
    # The reads of this command are stale too; its failed compare-and-swap shows it the
    # current page.
    set_cell(cluster, "customer/clerks", "weight", "500")
    for vm in ENTRIES:
        wait_until(lambda vm=vm: has_weight(cluster, vm, "500"))
    for vm in ENTRIES:
        cluster.processes[vm].kill()
        new = f"{vm}-new"
        cluster.processes[new], cluster.callers[new] = cluster.start_entry(new)
        wait_for_targets(cluster, new, 1)
        assert has_weight(cluster, new, "500")
        cluster.unlist_vm(vm)


def count_reached(cluster, vm):
    """Return how many processes an entry queries for decisions, and how many answer."""
    answer = request(
        "GET", cluster.operators[vm], "/explain-all?id=none", headers=OPERATOR
    )
    document = json.loads(answer.body)
    return document["asked"], document["answered"]


def test_explain_gathers_entry_and_agent(cluster):
    """Guard against an explanation that lacks the decisions of other processes.

    An operator queries one entry about a request that another entry answered. Entries
    know each other from the platform's list, which lags after a start, so the test
    waits until all processes are queried.
    """
    all_processes = len(ENTRIES) + 1
    wait_until(
        lambda: count_reached(cluster, "entry-1") == (all_processes, all_processes)
    )
    answer = call(cluster, "entry-2")
    request_id = answer.headers["hyssopvane-request-id"]
    output = ask(cluster, "explain", request_id, entry="entry-1")
    assert "entry-2" in output
    assert "check-1" in output


def test_explain_says_that_the_entry_of_a_request_is_missing(cluster):
    """Guard against partial decisions on a request that are shown as complete."""
    all_processes = len(ENTRIES) + 1
    wait_until(
        lambda: count_reached(cluster, "entry-1") == (all_processes, all_processes)
    )
    cluster.unlist_vm("entry-2")
    unknown = len(ENTRIES)
    wait_until(lambda: count_reached(cluster, "entry-1") == (unknown, unknown))
    answer = call(cluster, "entry-2")
    request_id = answer.headers["hyssopvane-request-id"]
    output = ask(cluster, "explain", request_id, entry="entry-1")
    assert "check-1" in output
    assert "entry-2" not in output
    assert "the entry that took the request is missing" in output
    assert "is missing" not in ask(cluster, "explain", request_id, entry="entry-2")


@pytest.mark.parametrize(
    ("command", "words"),
    [
        (("status", "--zone", "nowhere"), "zones: arima"),
        (("explain", "no-such-request"), "nothing is remembered"),
    ],
)
def test_question_that_cannot_be_answered_names_the_remedy(cluster, command, words):
    assert words in ask(cluster, *command, status=StatusCode.ERROR)


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        ((), "--entry"),
        (("--entry", "127.0.0.1:1"), "HYSSOPVANE_TOKEN"),
        (("--settings", "/nowhere.json"), "readable"),
    ],
)
@pytest.mark.parametrize(
    "command", [("status",), ("table", "status"), ("explain", "x")]
)
def test_missing_option_is_named(command, arguments, words):
    result = run_hyssopvane(*command, *arguments)
    assert result.returncode == StatusCode.BAD_SETTINGS
    assert words in result.stderr


def test_wrong_token_and_silent_listener_are_named(cluster, monkeypatch):
    monkeypatch.setenv("HYSSOPVANE_TOKEN", "wrong")
    result = run_hyssopvane("status", "--entry", cluster.operators["entry-1"])
    assert "the token is wrong" in result.stderr
    result = run_hyssopvane("status", "--entry", "127.0.0.1:1")
    assert "does not answer" in result.stderr

"""Test the path from entry to target with separate processes."""

import json
import signal

import httpcore
import pytest

from tests.lib.http import request
from tests.lib.installation import KEY, OPERATOR, commit_table, wait_for_targets
from tests.lib.keys import make_key
from tests.lib.processes import open_cluster

CALLER = {"Authorization": f"Bearer {KEY}"}


@pytest.fixture(scope="module")
def path(tmp_path_factory):
    """Run one entry in front of a model engine and a plain service."""
    with open_cluster(tmp_path_factory.mktemp("path")) as cluster:
        commit_table(cluster.platform)
        engine, _ = cluster.start_standin("engine_server")
        plain, _ = cluster.start_standin("plain_service")
        cluster.start_agent("draft-1", service="draft", target=engine)
        cluster.start_agent("check-1", service="check", target=plain)
        cluster.entry, cluster.callers = cluster.start_entry("entry-1")
        wait_for_targets(cluster, "entry-1", 2)
        yield cluster


def test_streamed_draft_arrives_whole(path):
    body = json.dumps({"prompt": "Maharaj", "max_tokens": 30, "stream": True}).encode()
    answer = request(
        "POST", path.callers, "/draft/v1/completions", headers=CALLER, body=body
    )
    assert answer.status == 200
    assert answer.headers["hyssopvane-outcome"] == "ran"
    assert answer.headers["content-type"] == "text/event-stream"
    assert answer.body.count(b"data: {") == 30
    assert answer.body.endswith(b"data: [DONE]\n\n")


def test_plain_call_arrives_whole(path):
    answer = request("GET", path.callers, "/check/lots/7", headers=CALLER)
    assert answer.status == 200
    assert json.loads(answer.body)["lot"] == "7"


@pytest.mark.parametrize(
    ("method", "url", "headers", "status", "reason"),
    [
        ("GET", "/check/lots/7", {}, 401, "unknown-caller"),
        ("GET", "/check/lots/7", {"Authorization": "Bearer no"}, 401, "unknown-caller"),
        ("GET", "/nothing", CALLER, 404, "unknown-service"),
        (
            "GET",
            "/check/lots/7",
            CALLER | {"Hyssopvane-Deadline-Ms": "soon"},
            400,
            "malformed",
        ),
    ],
)
def test_refusal_names_reason_and_remedy(path, method, url, headers, status, reason):
    answer = request(method, path.callers, url, headers=headers)
    assert answer.status == status
    assert answer.headers["hyssopvane-outcome"] == "not-run"
    assert answer.headers["hyssopvane-reason"] == reason
    assert json.loads(answer.body)["hint"]


@pytest.mark.parametrize("url", ["/in-force", "/metrics", "/explain/x"])
def test_operators_need_the_token(path, url):
    address = path.operators["entry-1"]
    assert request("GET", address, url).status == 401
    assert request("GET", address, url, headers=OPERATOR).status == 200


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("keyed", [False, True], ids=["plain", "keyed"])
def test_any_status_of_a_target_that_has_run_is_reported_as_run(path, keyed, status):
    """Guard against callers that send a request again which a target has run."""
    headers = CALLER | ({"Idempotency-Key": make_key()} if keyed else {})
    method = "POST" if keyed else "GET"
    answer = request(method, path.callers, f"/check/1?status={status}", headers=headers)
    assert answer.status == status
    assert answer.headers["hyssopvane-outcome"] == "ran"


@pytest.mark.parametrize("keyed", [False, True], ids=["plain", "keyed"])
def test_target_that_asks_for_a_pause_gets_no_more_requests(tmp_path, keyed):
    """Guard against an agent or entry that relays Retry-After but doesn't obey it."""
    with open_cluster(tmp_path) as cluster:
        commit_table(cluster.platform)
        target, _ = cluster.start_standin("plain_service")
        cluster.start_agent("check-1", service="check", target=target)
        _, callers = cluster.start_entry("entry-1")
        wait_for_targets(cluster, "entry-1", 1)
        url = "/check/busy?status=503&retry_after=600"
        headers = CALLER | ({"Idempotency-Key": make_key()} if keyed else {})
        method = "POST" if keyed else "GET"
        refused = request(method, callers, url, headers=headers)
        assert (refused.status, refused.headers["retry-after"]) == (503, "600")
        hasty = CALLER | {"Hyssopvane-Deadline-Ms": "300"}
        answer = request("GET", callers, "/check/lots/1", headers=hasty)
        assert answer.headers["hyssopvane-outcome"] == "not-run"
        assert count_runs(target) == 1
        other, _ = cluster.start_standin("plain_service")
        cluster.start_agent("check-2", service="check", target=other)
        wait_for_targets(cluster, "entry-1", 2)
        for number in range(8):
            answer = request("GET", callers, f"/check/lots/{number}", headers=CALLER)
            assert answer.status == 200
        assert (count_runs(target), count_runs(other)) == (1, 8)


def count_runs(target):
    entries = json.loads(request("GET", target, "/journal").body)
    return sum(entry["event"] == "started" for entry in entries)


def test_explain_tells_where_a_request_was_placed(path):
    answer = request("GET", path.callers, "/check/lots/7", headers=CALLER)
    request_id = answer.headers["hyssopvane-request-id"]
    explained = request(
        "GET", path.operators["entry-1"], f"/explain/{request_id}", headers=OPERATOR
    )
    decisions = json.loads(explained.body)["decisions"]
    assert [one["decision"] for one in decisions] == ["placed"]
    assert "check-1" in decisions[0]["why"]


def test_entry_stops_on_sigterm(tmp_path):
    with open_cluster(tmp_path) as cluster:
        entry, _ = cluster.start_entry("entry-2")
        entry.send_signal(signal.SIGTERM)
        assert entry.read_to_end() == 0
        assert "event=stopped" in entry.lines[-1]


def test_entry_with_a_keep_alive_connection_stops_at_once(tmp_path):
    """Guard against a shutdown that waits for an idle keep-alive connection.

    A caller keeps its connection open after an answer, as browsers do. If the entry
    counted that connection as a request in progress, the VM could only be replaced
    after the time limit of the longest request.
    """
    with open_cluster(tmp_path) as cluster:
        commit_table(cluster.platform)
        plain, _ = cluster.start_standin("plain_service")
        cluster.start_agent("check-1", service="check", target=plain)
        # With the fault the test would hang for an hour.
        entry, callers = cluster.start_entry("entry-1", longest_request_s=3_600)
        wait_for_targets(cluster, "entry-1", 1)
        with httpcore.ConnectionPool() as pool:
            headers = [("Host", callers), *CALLER.items()]
            url = f"http://{callers}/check/lots/7"
            assert pool.request("GET", url, headers=headers).status == 200
            entry.send_signal(signal.SIGTERM)
            assert entry.read_to_end() == 0

"""Compare recorded sessions of separate processes with golden files."""

import json
import signal

import pytest

from tests.lib.golden import Session, compare
from tests.lib.http import Response, open_request, request
from tests.lib.installation import KEY, OPERATOR, commit_table, wait_for_targets
from tests.lib.processes import open_cluster, wait_until

CALLER = {"Authorization": f"Bearer {KEY}"}
DRAFT = "/draft/v1/completions"
BAD_DEADLINE = CALLER | {"Hyssopvane-Deadline-Ms": "soon"}
BAD_KEY = CALLER | {"Idempotency-Key": "seven"}
REFUSALS = {
    "unknown-caller": ("GET", "/check/lots/7", {}, b""),
    "unknown-service": ("GET", "/nothing", CALLER, b""),
    "malformed": ("GET", "/check/lots/7", BAD_DEADLINE, b""),
    "key-malformed": ("POST", "/check/bids", BAD_KEY, b""),
    "body-too-large": ("POST", "/check/x", CALLER, b"x" * 5_000),
}


@pytest.fixture
def site(tmp_path):
    """Run one entry with a model engine and a plain service as targets."""
    with open_cluster(tmp_path) as cluster:
        commit_table(cluster.platform)
        cluster.engine, _ = cluster.start_standin("engine_server", "--step-ms", "100")
        cluster.plain, _ = cluster.start_standin("plain_service")
        cluster.draft = cluster.start_agent(
            "draft-1", service="draft", target=cluster.engine
        )
        cluster.start_agent("check-1", service="check", target=cluster.plain)
        cluster.entry, cluster.callers = cluster.start_entry(
            "entry-1", max_body_bytes=4_000
        )
        wait_for_targets(cluster, "entry-1", 2)
        yield cluster


def add_journal(session, address):
    journal = json.loads(request("GET", address, "/journal").body)
    session.add("journal of the target", "\n".join(json.dumps(one) for one in journal))


def add_explained(session, site, answer):
    path = f"/explain/{answer.headers['hyssopvane-request-id']}"
    for vm in ("entry-1", "check-1"):
        explained = request("GET", site.operators[vm], path, headers=OPERATOR)
        session.add_answer(f"explain at {vm}", explained)


def stop(site, session):
    site.entry.send_signal(signal.SIGTERM)
    assert site.entry.read_to_end() == 0
    events = ("request", "signal", "draining", "stopped")
    session.add_log("entry-1", site.entry.lines, events)


def test_plain_call_and_explain(site):
    session = Session()
    answer = request("GET", site.callers, "/check/lots/7", headers=CALLER)
    session.add_answer("caller: GET /check/lots/7", answer)
    add_explained(session, site, answer)
    add_journal(session, site.plain)
    stop(site, session)
    compare("plain_call", session)


def test_refusals(site):
    session = Session()
    for reason, (method, path, headers, body) in REFUSALS.items():
        answer = request(method, site.callers, path, headers=headers, body=body)
        assert answer.headers["hyssopvane-reason"] == reason
        session.add_answer(f"caller: {method} {path}", answer)
    add_journal(session, site.plain)
    stop(site, session)
    compare("refusals", session)


def test_shutdown_with_a_stream_running(site):
    session = Session()
    body = json.dumps({"prompt": "Ali", "max_tokens": 20, "stream": True}).encode()
    stream = open_request(
        "POST", site.callers, DRAFT, headers=CALLER | {"Connection": "close"}, body=body
    )
    received = stream.read(10)
    stop(site, session)
    head, _, rest = (received + stream.read_to_end()).partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    # Chunk boundaries depend on the network and not on the answer, so they are removed.
    events = "".join(
        line + "\n\n" for line in rest.decode().split("\n") if line.startswith("data: ")
    )
    answer = Response(int(lines[0].split()[1]), headers, events.encode())
    session.add_answer(f"caller: POST {DRAFT}", answer)
    wait_until(lambda: b'"finished"' in request("GET", site.engine, "/journal").body)
    add_journal(session, site.engine)
    compare("shutdown_with_a_stream", session)

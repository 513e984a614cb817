"""Test connections between processes that become silent."""

import json
import signal

from tests.lib.http import open_request, request
from tests.lib.installation import KEY, commit_table, wait_for_targets
from tests.lib.processes import open_cluster, wait_until
from tests.lib.proxy import run_proxy

CALLER = {"Authorization": f"Bearer {KEY}", "Connection": "close"}
DRAFT = "/draft/v1/completions"
STREAM = json.dumps({"prompt": "Ali", "max_tokens": 100, "stream": True}).encode()


def test_open_connection_goes_silent_while_new_ones_work(tmp_path):
    """Guard against a device between two VMs that drops packets of an open connection.

    No call fails and nothing arrives. Without the detection of silence, the stream in
    progress and all later ones would hang forever, although the target works.
    """
    with open_cluster(tmp_path) as cluster:
        commit_table(cluster.platform)
        engine, _ = cluster.start_standin("engine_server", "--step-ms", "100")
        agent = cluster.start_agent("draft-1", service="draft", target=engine)
        started = next(line for line in agent.lines if "event=started" in line)
        address = started.partition("entries=")[2].split()[0]
        with run_proxy(address) as proxy:
            cluster.list_vm(
                "draft-1", role="agent", service="draft", address=proxy.address
            )
            entry, callers = cluster.start_entry("entry-1", silence_s=1.5)
            wait_for_targets(cluster, "entry-1", 1)
            stream = open_request("POST", callers, DRAFT, headers=CALLER, body=STREAM)
            assert stream.read(20)
            proxy.silence_open()
            cut = stream.read_to_end()
            assert b"[DONE]" not in cut
            # A complete answer, which is sent in chunks, would end in an empty chunk.
            assert not cut.endswith(b"0\r\n\r\n")
            assert "was silent for" in entry.wait_for("event=peer-disconnected").string
            wait_until(lambda: proxy.accepted >= 2)
            short = json.dumps({"prompt": "Ali", "max_tokens": 3}).encode()
            wait_until(
                lambda: (
                    request("POST", callers, DRAFT, headers=CALLER, body=short).status
                    == 200
                )
            )


def test_paused_agent_is_disconnected_and_serves_again(tmp_path):
    """Guard against a lost agent whose VM is paused for a while, as by live migration.

    Its caller must get an error, and the agent must serve again when the VM resumes.
    """
    with open_cluster(tmp_path) as cluster:
        commit_table(cluster.platform)
        plain, _ = cluster.start_standin("plain_service")
        agent = cluster.start_agent("check-1", service="check", target=plain)
        entry, callers = cluster.start_entry("entry-1", silence_s=1.5)
        wait_for_targets(cluster, "entry-1", 1)
        agent.send_signal(signal.SIGSTOP)
        response = request("GET", callers, "/check/lots/7", headers=CALLER)
        assert response.status >= 500
        assert response.headers["hyssopvane-outcome"] in {"unknown", "not-run"}
        entry.wait_for("event=peer-disconnected")
        agent.send_signal(signal.SIGCONT)
        wait_until(
            lambda: (
                request("GET", callers, "/check/lots/7", headers=CALLER).status == 200
            )
        )

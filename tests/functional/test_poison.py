"""Test requests whose body crashes targets, with separate processes."""

import json

from tests.lib.http import request
from tests.lib.installation import KEY, commit_table, wait_for_targets
from tests.lib.processes import open_cluster, wait_until

CALLER = {"Authorization": f"Bearer {KEY}"}
TARGETS = 4
WORD = "unreadable-ink"


def send(callers, prompt):
    body = json.dumps({"prompt": prompt, "max_tokens": 5}).encode()
    return request("POST", callers, "/draft/v1/completions", headers=CALLER, body=body)


def test_body_that_crashes_targets_is_refused_by_every_entry(tmp_path):
    """Guard against a body that crashes all engines through different entries.

    A caller sends a body that crashes engines through two entries, and each entry
    observes one crash. If the entries did not share the crashes, the caller would crash
    one engine after another, and other callers would not be served.
    """
    with open_cluster(tmp_path) as cluster:
        commit_table(cluster.platform)
        engines = []
        for number in range(TARGETS):
            address, engine = cluster.start_standin("engine_server", "--poison", WORD)
            cluster.start_agent(f"draft-{number}", service="draft", target=address)
            engines.append(engine)
        entries = [cluster.start_entry(f"entry-{number}")[1] for number in range(2)]
        for number in range(2):
            wait_for_targets(cluster, f"entry-{number}", TARGETS)

        assert send(entries[0], WORD).status == 502
        # Refused as quarantined if this entry already knows of the first crash.
        assert send(entries[1], WORD).status in (502, 422)
        for entry in entries:
            wait_until(lambda entry=entry: send(entry, WORD).status == 422)
            answer = send(entry, WORD)
            assert answer.headers["hyssopvane-reason"] == "quarantined"
            assert send(entry, "Maharaj").status == 200
        # One crash before any entry knows, and one per entry until it is informed.
        assert 2 <= sum(engine.has_ended for engine in engines) <= 3

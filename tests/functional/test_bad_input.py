"""Test that bad input is refused with a reason and does not affect other requests."""

import socket
import struct

import httpcore
import pytest

from tests.lib.http import OpenRequest, open_request, request
from tests.lib.installation import KEY, OPERATOR, commit_table, wait_for_targets
from tests.lib.processes import open_cluster, wait_until

CALLER = {"Authorization": f"Bearer {KEY}"}
MAX_BODY_BYTES = 100_000
MAX_CONNECTIONS = 8


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with open_cluster(tmp_path_factory.mktemp("bad")) as cluster:
        commit_table(cluster.platform)
        plain, _ = cluster.start_standin("plain_service")
        cluster.agent = cluster.start_agent("check-1", service="check", target=plain)
        cluster.entry, cluster.callers = cluster.start_entry(
            "entry-1", max_body_bytes=MAX_BODY_BYTES, max_connections=MAX_CONNECTIONS
        )
        wait_for_targets(cluster, "entry-1", 1)
        yield cluster


def assert_others_are_served(site):
    answer = request("GET", site.callers, "/check/lots/7", headers=CALLER)
    assert answer.status == 200, answer


def count_refusals(site, reason):
    page = request("GET", site.operators["entry-1"], "/metrics", headers=OPERATOR)
    for line in page.body.decode().splitlines():
        if line.startswith("hyssopvane_refusals") and f'"{reason}"' in line:
            return float(line.rpartition(" ")[2])
    return 0.0


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 200_000 + b"\r\n\r\n", b"431"),
    ],
    ids=["no-http", "no-host", "bad-length", "head-too-large"],
)
def test_malformed_http_is_refused_counted_and_marked(site, sent, status):
    before = count_refusals(site, "malformed")
    connection = OpenRequest(site.callers, sent)
    answer = connection.read_to_end()
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b"hyssopvane-outcome: not-run" in answer
    assert b"hyssopvane-reason: malformed" in answer
    assert count_refusals(site, "malformed") == before + 1
    assert_others_are_served(site)


@pytest.mark.parametrize("http2", [False, True], ids=["http1", "http2"])
@pytest.mark.parametrize(
    ("headers", "path", "size", "status", "reason"),
    [
        ([], "/check/x", 90_000, 401, "unknown-caller"),
        ([*CALLER.items()], "/nothing", 90_000, 404, "unknown-service"),
        ([*CALLER.items()], "/check/x", 300_000, 413, "body-too-large"),
        ([], "/check/x", 2_000_000, 401, "unknown-caller"),
    ],
)
def test_request_refused_before_its_body_has_ended(
    site, http2, headers, path, size, status, reason
):
    """A caller with a wrong key sends a large body.

    A server that keeps queueing the body after the application has answered hangs the
    connection over HTTP/1.1, and ends the whole entry over HTTP/2.
    """
    with httpcore.ConnectionPool(http1=not http2, http2=http2) as pool:
        answer = pool.request(
            "POST",
            f"http://{site.callers}{path}",
            headers=[("Host", site.callers), *headers],
            content=(b"x" * 10_000 for _ in range(size // 10_000)),
            extensions={"timeout": {"read": 30, "write": 30}},
        )
    assert answer.status == status
    found = {name.decode().lower(): value.decode() for name, value in answer.headers}
    assert found["hyssopvane-outcome"] == "not-run"
    assert found["hyssopvane-reason"] == reason
    assert_others_are_served(site)


def test_caller_that_closes_in_the_middle_of_a_body_is_counted(site):
    before = count_refusals(site, "caller-gone")
    half = open_request(
        "POST",
        site.callers,
        "/check/x",
        headers=CALLER | {"Content-Length": "1000"},
        body=b"half",
    )
    half.close()
    wait_until(lambda: count_refusals(site, "caller-gone") == before + 1)
    assert_others_are_served(site)


def test_connections_over_the_limit_are_refused(site):
    """A caller's client leaks connections.

    Without a limit the entry runs out of descriptors and fails for all callers.
    """
    address = site.callers
    connections = []
    try:
        answers = []
        for _ in range(MAX_CONNECTIONS + 3):
            one = open_request("GET", address, "/check/lots/7", headers=CALLER)
            connections.append(one)
            answers.append(one.read(65_536))
        refused = [one for one in answers if not one.startswith(b"HTTP/1.1 200")]
        # A connection of an earlier test may still be closing.
        assert 3 <= len(refused) <= 4
        for one in refused:
            assert one.startswith(b"HTTP/1.1 503")
            assert b"hyssopvane-reason: too-many-connections" in one
            assert b"hyssopvane-outcome: not-run" in one
        assert count_refusals(site, "too-many-connections") >= 3
    finally:
        for one in connections:
            one.close()
    wait_until(
        lambda: request("GET", address, "/check/lots/7", headers=CALLER).status == 200
    )


@pytest.mark.parametrize(
    "sent",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">I", 2**32 - 1),
        struct.pack(">I", 100) + b"cut",
        struct.pack(">I", 10) + b"0123456789",
        b"",
    ],
    ids=["http", "too-long", "cut", "garbage", "nothing"],
)
def test_garbage_to_an_agent_ends_only_its_own_connection(site, sent):
    started = next(line for line in site.agent.lines if "event=started" in line)
    address = started.partition("entries=")[2].split()[0]
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        connection.sendall(sent)
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            pass
    assert_others_are_served(site)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nothing", 404), ("GET", "/explain/", 200), ("GET", "//", 404)],
)
def test_operators_listener_answers_bad_pages(site, method, path, status):
    answer = request(method, site.operators["entry-1"], path, headers=OPERATOR)
    assert answer.status == status
    assert_others_are_served(site)

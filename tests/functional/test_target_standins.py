"""Test the target stand-ins as separate processes and in a nursery."""

import json
import signal
from functools import partial
from operator import itemgetter

import httpcore
import pytest
import trio

from hyssopvane._internal.standins.engine import EngineConfig, make_token_text
from hyssopvane._internal.standins.engine_server import CRASH_EXIT_CODE, serve_engine
from hyssopvane._internal.standins.journal import Journal
from hyssopvane._internal.standins.plain_service import (
    PlainServiceConfig,
    serve_plain_service,
)
from hyssopvane._internal.standins.process import GRACEFUL_TIMEOUT_S
from tests.lib.processes import Cluster

HEADERS = {"X-Request-Id": "request-1", "Idempotency-Key": "key-1"}
MAX_POLLS = 2_000


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(tmp_path)
    yield cluster
    cluster.close()


def stop(process):
    process.send_signal(signal.SIGTERM)
    return process.read_to_end()


def call(method, address, path, document=None):
    content = None if document is None else json.dumps(document).encode()
    response = httpcore.request(
        method, f"http://{address}{path}", headers=HEADERS, content=content
    )
    return response.status, json.loads(response.content)


def read_stream(content):
    events = content.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    return [json.loads(event.removeprefix("data: ")) for event in events[:-2]]


def wait_for_events(address, events):
    """Poll the journal, sorted by run, until it contains exactly these events."""
    entries = []
    for _ in range(MAX_POLLS):
        entries = sorted(call("GET", address, "/journal")[1], key=itemgetter("run"))
        if [entry["event"] for entry in entries] == events:
            break
    assert [entry["event"] for entry in entries] == events
    return entries


def test_engine_process_streams_cancels_and_accepts_orders(cluster):
    address, engine = cluster.start_standin("engine_server", "--checks-fence")
    body = {"prompt": "ship list", "max_tokens": 8, "stream": True}
    response = httpcore.request(
        "POST",
        f"http://{address}/v1/completions",
        content=json.dumps(body).encode(),
    )
    tokens = [make_token_text("ship list", index) for index in range(8)]
    assert read_stream(response.content) == [
        {"index": index, "text": text} for index, text in enumerate(tokens)
    ]
    resumed = {"prompt": "ship list", "max_tokens": 8, "resume_from": 5}
    answer = {"text": "".join(tokens[5:]), "tokens": 3}
    assert call("POST", address, "/v1/completions", resumed) == (200, answer)
    assert call("POST", address, "/v1/completions", {})[0] == 400

    body["max_tokens"] = 1_000_000
    with httpcore.stream(
        "POST",
        f"http://{address}/v1/completions",
        headers=HEADERS,
        content=json.dumps(body).encode(),
    ) as response:
        next(response.iter_stream())
    entries = wait_for_events(
        address, [*("started", "finished") * 2, *("started", "cancelled")]
    )
    assert entries[-1]["request_id"] == "request-1"
    assert entries[-1]["idempotency_key"] == "key-1"

    stage = {"kind": "stage", "fence": 2, "payload": {"value": "map-2"}}
    assert call("POST", address, "/orders", stage)[0] == 200
    status, refusal = call("POST", address, "/orders", stage | {"fence": 1})
    assert status == 409
    assert (refusal["error"], refusal["highest_fence"]) == ("old-fence", 2)
    assert call("GET", address, "/rank")[1]["staged"] == ["map-2"]
    assert call("GET", address, "/load")[1]["step_ms"] == 4.5
    assert stop(engine) == 0


def test_engine_process_exits_on_a_poison_prompt(cluster):
    """One request crashes an engine process.

    The caller's connection ends without a response, and the run that had started is
    known only from the output of the process.
    """
    address, engine = cluster.start_standin(
        "engine_server", "--poison=BOOM", "--print-journal"
    )
    with pytest.raises(httpcore.RemoteProtocolError):
        call("POST", address, "/v1/completions", {"prompt": "BOOM"})
    assert engine.read_to_end() == CRASH_EXIT_CODE
    assert engine.lines[1:] == [
        "journal event=started run=1 request_id=request-1 idempotency_key=key-1"
    ]


def test_engine_in_a_nursery_refuses_connections_until_restarted():
    """An engine that runs in the test process crashes and is restarted.

    Callers can't connect while it is down. After the restart on the same address they
    get responses, and the journal still contains the run that crashed it.
    """
    trio.run(_crash_and_restart)


async def _crash_and_restart():
    journal, shutdown = Journal(), trio.Event()
    serve = partial(
        serve_engine, EngineConfig(poison="BOOM"), journal=journal, shutdown=shutdown
    )
    crashed = trio.Event()

    async def serve_until_crash(*, task_status):
        assert await serve(bind="127.0.0.1:0", task_status=task_status)
        crashed.set()

    async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
        address = await nursery.start(serve_until_crash)
        url = f"http://{address}/v1/completions"
        with pytest.raises((httpcore.RemoteProtocolError, httpcore.ReadError)):
            await pool.request("POST", url, content=b'{"prompt": "BOOM"}')
        await crashed.wait()
        with pytest.raises(httpcore.ConnectError):
            await pool.request("POST", url, content=b'{"prompt": "lot 7"}')
        assert await nursery.start(partial(serve, bind=address)) == address
        response = await pool.request("POST", url, content=b'{"prompt": "lot 7"}')
        assert response.status == 200
        assert [entry.event for entry in journal.entries] == [
            *("started", "started", "finished")
        ]
        shutdown.set()


def test_plain_service_process_answers_and_records_each_run(cluster):
    address, service = cluster.start_standin("plain_service")
    bid = {"lot": "7", "bidder": "b-1", "amount": 300}
    confirmed = (201, bid | {"confirmation": 1})
    assert call("POST", address, "/bids", bid) == confirmed
    lot = {"lot": "7", "status": "open", "highest_bid": 300}
    assert call("GET", address, "/lots/7") == (200, lot)
    assert call("PUT", address, "/any/path?status=503", bid) == (503, bid)
    assert call("POST", address, "/bids", {"lot": "7"})[0] == 400
    url = f"http://{address}/?body_bytes=3000000&delay_ms=1"
    assert len(httpcore.request("GET", url).content) == 3_000_000
    entries = wait_for_events(
        address,
        [*("started", "finished") * 3, "started", "cancelled"]
        + ["started", "finished"],
    )
    assert entries[0]["idempotency_key"] == "key-1"
    assert stop(service) == 0


def test_idle_connection_does_not_delay_the_shutdown():
    """A service shuts down while a caller keeps an idle connection open.

    If the server doesn't treat the connection as idle, it keeps it until the graceful
    timeout, and an operator who replaces the VM waits needlessly.
    """
    trio.run(_shut_down_with_an_idle_connection)


async def _shut_down_with_an_idle_connection():
    shutdown = trio.Event()
    serve = partial(serve_plain_service, PlainServiceConfig(), shutdown=shutdown)
    async with httpcore.AsyncConnectionPool() as pool:
        with trio.fail_after(GRACEFUL_TIMEOUT_S / 2):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(partial(serve, bind="127.0.0.1:0"))
                await pool.request("GET", f"http://{address}/lots/7")
                shutdown.set()


def test_weight_store_process_sends_the_requested_length(cluster):
    address, store = cluster.start_standin("weight_store", "--bytes-per-s=1e9")
    url = f"http://{address}/weights/map-2?bytes=200000"
    assert len(httpcore.request("GET", url).content) == 200_000
    assert call("GET", address, "/other")[0] == 404
    assert stop(store) == 0

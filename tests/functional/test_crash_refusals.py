"""Test that a request is refused wherever it is when others report its crashes."""

import time

import pytest
import trio

from hyssopvane._internal.policy.request_digest import make_request_digest
from hyssopvane._internal.protocol.suspect_pages import format_page
from hyssopvane._internal.roles.suspect_exchange import SUSPECTS_PATH
from hyssopvane._internal.state.suspects import Crash, SuspectId, SuspectRecord
from hyssopvane._internal.transport import replica_client
from hyssopvane._internal.transport.replica_client import ReplicaFailed
from tests.lib.direct_installation import CUSTOMER, HANG_S, open_direct
from tests.lib.direct_replica import (
    STREAM_HEAD,
    answer_whole,
    chunk,
    make_answer,
    make_event,
)

PROMPT_S = 5.0
"""Bound of an answer at once, on a busy machine; the request could wait for longer."""


def run(test):
    async def main():
        with trio.fail_after(HANG_S):
            async with open_direct() as site:
                await test(site)

    trio.run(main)


def report_crashes(site, path, *, service="checks", body=b"body"):
    """Let another entry report that a request has crashed three replicas."""
    digest = make_request_digest(CUSTOMER.encode(), path.encode(), body)
    now = trio.current_time()
    crashes = tuple(Crash(f"i-gone-{n}", 0, now, n) for n in (1, 2, 3))
    site.entry.app._dependencies.crashes.tracker.merge(
        SuspectId(service, digest, CUSTOMER),
        SuspectRecord(crashes, True, now + 600.0),
        quarantine_s=600.0,
        now=now,
    )


async def post_suspects(site, content):
    """Send a page of suspects as another entry does; return the status."""
    async with site.client.call(
        site.entry.beliefs_address,
        method="POST",
        target=SUSPECTS_PATH.encode(),
        headers=(
            (b"host", b"peer"),
            (b"content-length", str(len(content)).encode()),
        ),
        body=content,
    ) as response:
        await response.read(max_bytes=2**20)
        return response.status


def test_page_of_another_entry_is_believed_if_it_can_be_read():
    """Guard against entries that do not add up what they know without the store."""
    digest = make_request_digest(CUSTOMER.encode(), b"/status/7", b"body")
    crashes = tuple(Crash(f"i-gone-{n}", 0, 0.0, n) for n in (1, 2, 3))
    record = SuspectRecord(crashes, True, 60.0)
    page = format_page(
        {SuspectId("checks", digest, CUSTOMER): record}, offset=time.time()
    )

    async def test(site):
        replica = await site.add_replica("i-1", answer_whole)
        for damaged in (b"x", page[:-2], page + b"]"):
            assert await post_suspects(site, damaged) == 400
        assert (await site.call("/status/7")).status == 200
        assert await post_suspects(site, page) == 200
        assert (await site.call("/status/7")).status == 503
        assert (await site.call("/status/8")).status == 200
        assert len(replica.received) == 2

    run(test)


async def hang(replica, stream, request):
    await trio.sleep_forever()


def test_waiting_request_is_refused_at_once():
    """Guard against a request that waits for a place that it must not get."""

    async def test(site):
        replica = await site.add_replica("i-1", hang)
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(site.call, f"/patient/{number}")
            gate = site.entry.gates.get_gate("checks")
            await site.wait_until(
                lambda: replica.running and replica.running + gate.count_waiting() == 6
            )
            running, waiting = replica.running, gate.count_waiting()
            assert waiting
            answers = []

            async def call():
                answers.append(await site.call("/patient/7"))

            nursery.start_soon(call)
            await site.wait_until(lambda: gate.count_waiting() == waiting + 1)
            report_crashes(site, "/patient/7")
            with trio.fail_after(PROMPT_S):
                await site.wait_until(lambda: answers)
            nursery.cancel_scope.cancel()
        assert answers[0].status == 503
        assert float(answers[0].headers["retry-after"]) > 500
        assert len(replica.received) == running

    run(test)


def test_request_is_not_sent_after_the_report(monkeypatch):
    """Guard against a request whose connection opens when others have reported it."""
    open_stream = replica_client.open_stream

    async def test(site):
        replica = await site.add_replica("i-1", answer_whole)

        async def report_first(host, port):
            stream = await open_stream(host, port)
            if f"{host}:{port}" == replica.address:
                report_crashes(site, "/status/7")
            return stream

        monkeypatch.setattr(replica_client, "open_stream", report_first)
        answer = await site.call("/status/7")
        assert answer.status == 503
        assert not replica.received

    run(test)


@pytest.mark.parametrize("streamed", [False, True])
def test_request_is_not_repeated_after_the_report(streamed):
    """Guard against a repeat, or a resumed stream, that ends one replica more."""
    path = "/drafts/7" if streamed else "/status/7"
    service = "drafting" if streamed else "checks"

    async def test(site):
        async def fail(replica, stream, request):
            if streamed:
                head = make_answer(request, body=b"", headers=STREAM_HEAD)
                await stream.send_all(head + chunk(make_event(1)))
            report_crashes(site, path, service=service)
            return False

        replicas = [
            await site.add_replica(f"i-{n}", fail, service=service) for n in range(2)
        ]
        if streamed:
            with pytest.raises(ReplicaFailed):
                await site.call(path)
        else:
            assert (await site.call(path)).status == 502
        assert sorted(len(one.received) for one in replicas) == [0, 1]

    run(test)


async def unregister(site, replica, *, announced):
    """End a replica's registration, with or without a word that it leaves."""
    key, known = f"servers/{replica.id}", site.entry.feed.replicas
    if announced:
        site.register(replica, state="draining")
        await site.wait_until(lambda: known[key].draining)
    site.store.remove(key)
    await site.wait_until(lambda: key not in known)


@pytest.mark.parametrize("announced", [False, True], ids=["crashed", "drained"])
def test_end_that_no_caller_waits_for_counts(announced):
    """Guard against ends of replicas that come after their callers have left.

    The replicas fall silent under the request; only their registrations show the end.
    """

    async def test(site):
        replicas = [await site.add_replica(f"i-{n}", hang) for n in range(4)]
        for _ in range(3):
            before = sum(len(one.received) for one in replicas)
            assert (await site.call("/status/7", deadline_ms=200)).status == 504
            assert sum(len(one.received) for one in replicas) == before + 1
            (ended,) = [one for one in replicas if one.received]
            replicas.remove(ended)
            await unregister(site, ended, announced=announced)
        answer = await site.call("/status/7", deadline_ms=200)
        assert answer.status == (504 if announced else 503)
        assert len(replicas[0].received) == announced

    run(test)

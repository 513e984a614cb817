"""Test replicas that ask for a pause or report leaving, over real sockets."""

import pytest
import trio

from hyssopvane._internal.roles import direct_call
from hyssopvane._internal.transport import raw_stream, replica_client
from tests.lib.direct_installation import HANG_S, open_direct
from tests.lib.direct_replica import (
    STREAM_HEAD,
    answer_whole,
    chunk,
    make_answer,
    make_event,
)

CALLS = 24
NOT_RUN = (("X-Not-Executed", "1"),)


def request_backoff(value, *, headers=NOT_RUN):
    async def behave(replica, stream, request):
        fields = (*headers, ("Retry-After", value))
        await stream.send_all(
            make_answer(request, status=503, signed=False, headers=fields)
        )
        return True

    return behave


def run(test):
    async def main():
        with trio.fail_after(2 * HANG_S):
            async with open_direct(repeat_slack=CALLS) as site:
                await test(site)

    trio.run(main)


@pytest.mark.parametrize("headers", [NOT_RUN, ()], ids=["not run", "may have run"])
def test_replica_that_requests_a_pause_gets_no_more_requests(headers, monkeypatch):
    """Guard against requests to a replica during the pause that it asked for."""
    monkeypatch.setattr(direct_call, "FULL_REST_S", 0.0)

    async def test(site):
        paused = await site.add_replica("i-1", request_backoff("60", headers=headers))
        await site.add_replica("i-2", answer_whole)
        for number in range(CALLS):
            assert (await site.call(f"/status/{number}")).status == 200
        assert len(paused.received) <= 1

    run(test)


@pytest.mark.parametrize("value", ["", "-1", "soon", "Fri, 04 Dec 2026 10:00:00 GMT"])
def test_unreadable_retry_after_does_not_fail_requests(value, monkeypatch):
    monkeypatch.setattr(direct_call, "FULL_REST_S", 0.0)

    async def test(site):
        refusing = await site.add_replica("i-1", request_backoff(value))
        await site.add_replica("i-2", answer_whole)
        for number in range(CALLS):
            assert (await site.call(f"/status/{number}")).status == 200
        assert refusing.received
        assert site.entry.gates.get_gate("checks").measure_backoff_s(0.0) == 0.0

    run(test)


def test_refusals_name_the_end_of_the_pause_of_the_only_replica():
    """Guard against a Retry-After that ends before the pause of the replica."""

    async def test(site):
        replica = await site.add_replica("i-1", request_backoff("60"))
        answers = [await site.call(f"/status/{number}") for number in range(CALLS)]
        assert {one.status for one in answers} == {503}
        assert min(float(one.headers["retry-after"]) for one in answers) > 50
        assert len(replica.received) == 1

    run(test)


def test_request_whose_connection_opens_after_the_answer_is_not_sent(monkeypatch):
    """Guard against sending requests assigned before a replica asked for a pause."""
    open_stream = replica_client.open_stream

    async def test(site):
        replica = await site.add_replica("i-1", request_backoff("60"))
        notices = site.entry.gates.get_gate("checks").notices
        opened = []
        answers = []

        async def open_slowly(host, port):
            if replica.address.endswith(f":{port}"):
                opened.append(port)
                if len(opened) == 2:
                    await site.wait_until(lambda: len(notices))
            return await open_stream(host, port)

        async def call(number):
            answers.append(await site.call(f"/bids/{number}"))

        monkeypatch.setattr(replica_client, "open_stream", open_slowly)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, 1)
            nursery.start_soon(call, 2)
        assert len(opened) == 2
        assert [one.status for one in answers] == [503, 503]
        assert len(replica.received) == 1

    run(test)


@pytest.mark.parametrize(
    ("request_id", "heard"), [("request-1", True), ("other", False)]
)
def test_pause_is_recorded_when_the_caller_left_before_the_answer(
    request_id, heard, monkeypatch
):
    """Guard against losing the pause a replica asks for once its caller has left."""
    monkeypatch.setattr(raw_stream, "LATE_ANSWER_S", HANG_S)
    left = trio.Event()

    async def request_backoff_late(replica, stream, request):
        await left.wait()
        fields = (*NOT_RUN, ("Retry-After", "60"))
        answer = make_answer(
            request, status=503, signed=False, headers=fields, request_id=request_id
        )
        await stream.send_all(answer)
        return True

    async def test(site):
        replica = await site.add_replica("i-1", request_backoff_late)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.call, "/patient/1")
            await site.wait_until(lambda: replica.received)
            nursery.cancel_scope.cancel()
        left.set()
        await site.wait_until(lambda: not site.entry.app.running)
        assert bool(len(site.entry.gates.get_gate("checks").notices)) is heard

    run(test)


LEAVING = (("Server-Leaving", "1"),)


async def answer_stream(replica, stream, request):
    answer = make_answer(request, body=b"", headers=STREAM_HEAD)
    await stream.send_all(answer + chunk(make_event(1)) + b"0\r\n\r\n")
    return True


def report_leaving(status, *, headers=(), stream=False):
    async def behave(replica, stream_, request):
        fields = (*headers, *LEAVING)
        if stream:
            answer = make_answer(request, body=b"", headers=(*STREAM_HEAD, *fields))
            await stream_.send_all(answer + chunk(make_event(1)) + b"0\r\n\r\n")
        else:
            await stream_.send_all(make_answer(request, status=status, headers=fields))
        return True

    return behave


@pytest.mark.parametrize("again", ["nothing", "ready", "lapsed"])
@pytest.mark.parametrize(
    ("path", "behave"),
    [
        ("/status/1", report_leaving(200)),
        ("/status/1", report_leaving(500)),
        ("/status/1", report_leaving(503, headers=NOT_RUN)),
        ("/drafts/1", report_leaving(200, stream=True)),
    ],
    ids=["answer", "error", "refusal", "stream"],
)
def test_replica_that_reports_leaving_gets_no_more_requests(
    path, behave, again, monkeypatch
):
    """Guard against requests to a leaving replica whose registration says ready."""
    monkeypatch.setattr(direct_call, "FULL_REST_S", 0.0)

    async def test(site):
        service = "drafting" if path == "/drafts/1" else "checks"
        leaving = await site.add_replica("i-1", behave, service=service)
        await site.call(path)
        sound = answer_stream if service == "drafting" else answer_whole
        await site.add_replica("i-2", sound, service=service)
        received = len(leaving.received)
        if again == "lapsed":
            site.store.remove("servers/i-1")
            await site.wait_until(lambda: "servers/i-1" not in site.entry.feed.replicas)
        if again != "nothing":
            site.register(leaving, service=service)
            await site.wait_until(lambda: "servers/i-1" in site.entry.feed.replicas)
        for _ in range(CALLS):
            assert (await site.call(path)).status == 200
        assert len(leaving.received) == received

    run(test)


@pytest.mark.parametrize("value", ["0", "", "yes"])
def test_only_the_agreed_header_value_reports_leaving(value):
    async def behave(replica, stream, request):
        headers = (("Server-Leaving", value),)
        await stream.send_all(make_answer(request, headers=headers))
        return True

    async def test(site):
        replica = await site.add_replica("i-1", behave)
        for _ in range(CALLS):
            assert (await site.call("/status/1")).status == 200
        assert len(replica.received) == CALLS

    run(test)

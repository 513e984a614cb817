"""Test that the work for a caller ends when the caller leaves."""

from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
import trio

from hyssopvane._internal.transport import replica_client
from tests.lib.direct_installation import HOST, KEY, open_direct
from tests.lib.direct_replica import STREAM_HEAD, chunk, make_answer, make_event
from tests.lib.lag_meter import LagMeter
from tests.lib.leaving_callers import (
    Departure,
    Http1Caller,
    Http2Caller,
    make_head,
)

BOUND_S = 0.5
"""Time after which no work may be in progress for a caller that has left."""

DEADLINE_MS = 5_000
"""Deadline of the requests, at which work ends that does not end before."""

HANG_S = 40.0

CLOSES = (Departure.CLOSE, Departure.RESET, Departure.HALF_CLOSE)
HTTP2_DEPARTURES = (*CLOSES, Departure.CANCEL)
CASES = [(Http1Caller, one) for one in CLOSES]
CASES += [(Http2Caller, one) for one in HTTP2_DEPARTURES]
STREAM = ("/drafts/7", "drafting")
LARGE_EVENT = b"data: " + 65_536 * b"x" + b"\n\n"


def make_headers(request_id="request-1"):
    return (
        ("Host", HOST),
        ("X-Request-Id", request_id),
        ("Authorization", f"Bearer {KEY}"),
        ("X-Deadline-Ms", str(DEADLINE_MS)),
    )


async def hang(replica, stream, request):
    await trio.sleep_forever()


async def refuse(replica, stream, request):
    headers = (("X-Not-Executed", "1"),)
    answer = make_answer(request, status=503, signed=False, headers=headers)
    await stream.send_all(answer)
    return True


async def stream_slowly(replica, stream, request):
    await stream.send_all(make_answer(request, body=b"", headers=STREAM_HEAD))
    number = 0
    while True:
        number += 1
        await stream.send_all(chunk(make_event(number)))
        await trio.sleep(0.01)


class EndlessStream:
    """Send events as fast as they are taken."""

    def __init__(self):
        self.sent = 0

    async def __call__(self, replica, stream, request):
        await stream.send_all(make_answer(request, body=b"", headers=STREAM_HEAD))
        while True:
            await stream.send_all(chunk(LARGE_EVENT))
            self.sent += 1

    async def wait_until_unread(self):
        """Wait until all buffers on the way to the caller are full."""
        before = 0
        while before != (before := self.sent) or not before:
            await trio.sleep(0.3)


class Site:
    """Run an entry with replicas, and open connections of callers to it."""

    def __init__(self, direct):
        self.direct = direct
        self.app = direct.entry.app
        self.replicas = []
        self.callers = []

    async def add_replica(self, behave, *, service="checks"):
        replica_id = f"i-{len(self.replicas)}"
        replica = await self.direct.add_replica(replica_id, behave, service=service)
        self.replicas.append(replica)
        return replica

    async def open_caller(self, kind):
        caller = await kind.open(self.direct.entry.callers_address)
        self.callers.append(caller)
        return caller

    async def wait_until(self, holds):
        await self.direct.wait_until(holds)

    async def let_entry_read(self):
        """Let the event loop pass often enough for the entry to read what was sent."""
        for _ in range(100):
            await trio.lowlevel.checkpoint()

    async def check_work_ends(self):
        """Check that the work for callers that have just left ends in time."""
        left_at = trio.current_time()
        async with LagMeter() as meter:
            await self.wait_until(
                lambda: (
                    not self.app.running
                    and not any(one.running for one in self.replicas)
                )
            )
            ended_after_s = trio.current_time() - left_at
        assert ended_after_s < BOUND_S + meter.lag_s


@asynccontextmanager
async def open_site(**options):
    with trio.fail_after(HANG_S):
        async with open_direct(**options) as direct:
            site = Site(direct)
            try:
                yield site
            finally:
                for caller in site.callers:
                    if caller.is_open:
                        await caller.leave(Departure.RESET)


def run(test, **options):
    async def main():
        async with open_site(**options) as site:
            await test(site)

    trio.run(main)


@dataclass(frozen=True)
class Behind:
    """Describe bytes that follow a running request on its connection."""

    name: str
    data: bytes
    headers: tuple = ()
    """Further headers of the request that runs."""
    at_once: bool = False


NEXT = make_head("/status/8", headers=make_headers("request-2")) + b"body"
BEHIND = (
    Behind("nothing", b""),
    Behind("request", NEXT),
    Behind("request-at-once", NEXT, at_once=True),
    Behind("first-bytes", NEXT[:20]),
    Behind("line-end", b"\r\n"),
    Behind("no-request", b"\x00\x01\x02\r\n\r\n"),
    Behind("many-requests", 100 * NEXT),
    Behind("more-than-is-read-ahead", 500 * NEXT),
    Behind("upgrade", b"", (("Upgrade", "other/1"), ("Connection", "upgrade"))),
    Behind("last-request", b"\r\n", (("Connection", "close"),)),
)


@pytest.mark.parametrize("departure", CLOSES)
@pytest.mark.parametrize("behind", BEHIND, ids=lambda one: one.name)
@pytest.mark.parametrize(
    ("path", "service", "behave"),
    [("/status/7", "checks", hang), (*STREAM, stream_slowly)],
    ids=["plain", "stream"],
)
def test_bytes_behind_a_request_do_not_hide_a_close(
    path, service, behave, behind, departure
):
    """Guard against a connection that is not read while its request runs."""

    async def test(site):
        replica = await site.add_replica(behave, service=service)
        caller = await site.open_caller(Http1Caller)
        headers = make_headers() + behind.headers
        if behind.at_once:
            request = make_head(path, headers=headers) + b"body"
            await caller.stream.send_all(request + behind.data)
        else:
            await caller.send_request(path, headers=headers)
        await site.wait_until(lambda: replica.running)
        if behind.data and not behind.at_once:
            with trio.move_on_after(0.3):
                await caller.stream.send_all(behind.data)
        await site.let_entry_read()
        await caller.leave(departure)
        await site.check_work_ends()
        assert [one.target for one in replica.received] == [path]

    run(test)


@pytest.mark.parametrize("departure", HTTP2_DEPARTURES)
@pytest.mark.parametrize("pinged", [False, True], ids=["quiet", "pinged"])
def test_unread_answer_does_not_hide_that_a_caller_leaves(pinged, departure):
    """Guard against a reader that waits until its caller reads what is sent to it."""

    async def test(site):
        endless = EndlessStream()
        await site.add_replica(endless, service="drafting")
        replica = await site.add_replica(hang)
        caller = await site.open_caller(Http2Caller)
        await caller.send_request("/drafts/7", headers=make_headers("request-1"))
        await endless.wait_until_unread()
        await caller.send_request("/status/7", headers=make_headers("request-2"))
        await site.wait_until(lambda: replica.running)
        if pinged:
            await caller.ping()
            await site.let_entry_read()
        await caller.leave(departure)
        left_at = trio.current_time()
        async with LagMeter() as meter:
            await site.wait_until(lambda: not replica.running)
        assert trio.current_time() - left_at < BOUND_S + meter.lag_s
        if departure is not Departure.CANCEL:
            await site.check_work_ends()

    run(test)


@pytest.mark.parametrize(("kind", "departure"), CASES)
def test_unread_stream_is_cancelled_when_its_caller_leaves(kind, departure):
    """Guard against a send that can't be cancelled while its caller does not read."""

    async def test(site):
        endless = EndlessStream()
        replica = await site.add_replica(endless, service="drafting")
        caller = await site.open_caller(kind)
        await caller.send_request("/drafts/7", headers=make_headers())
        await endless.wait_until_unread()
        assert replica.running
        await caller.leave(departure)
        await site.check_work_ends()

    run(test)


@pytest.mark.parametrize(("kind", "departure"), CASES)
@pytest.mark.parametrize(
    ("path", "service", "behave"),
    [("/status/7", "checks", hang), (*STREAM, hang), (*STREAM, stream_slowly)],
    ids=["plain", "stream-before-first-event", "stream"],
)
def test_running_request_is_cancelled_when_its_caller_leaves(
    path, service, behave, kind, departure
):
    async def test(site):
        replica = await site.add_replica(behave, service=service)
        caller = await site.open_caller(kind)
        await caller.send_request(path, headers=make_headers())
        await site.wait_until(lambda: replica.running)
        await caller.leave(departure)
        await site.check_work_ends()
        assert replica.cancelled == 1

    run(test)


@pytest.mark.parametrize(("kind", "departure"), CASES)
def test_request_of_a_caller_that_has_left_is_not_sent(kind, departure):
    """Guard against work that begins after its caller has left."""

    async def test(site):
        replica = await site.add_replica(hang)
        for number in range(10):
            caller = await site.open_caller(kind)
            name = f"request-{number}"
            await caller.send_request("/status/7", headers=make_headers(name))
            await caller.leave(departure)
            await site.let_entry_read()
            await site.check_work_ends()
        assert not replica.received

    run(test)


@pytest.mark.parametrize(("kind", "departure"), CASES)
def test_second_attempt_is_cancelled_when_its_caller_leaves(kind, departure):
    refused = []

    async def refuse_once(replica, stream, request):
        if refused:
            await trio.sleep_forever()
        refused.append(replica)
        return await refuse(replica, stream, request)

    async def test(site):
        replicas = [await site.add_replica(refuse_once) for _ in range(2)]
        caller = await site.open_caller(kind)
        await caller.send_request("/status/7", headers=make_headers())
        await site.wait_until(lambda: refused and any(one.running for one in replicas))
        await site.wait_until(lambda: sum(len(one.received) for one in replicas) == 2)
        await caller.leave(departure)
        await site.check_work_ends()

    run(test)


@pytest.mark.parametrize(("kind", "departure"), CASES)
def test_half_of_an_upload_is_dropped_when_its_caller_leaves(kind, departure):
    async def test(site):
        replica = await site.add_replica(hang)
        caller = await site.open_caller(kind)
        await caller.send_request(
            "/status/7", headers=make_headers(), body=900 * b"x", sent_bytes=400
        )
        await site.wait_until(lambda: site.app.running)
        await caller.leave(departure)
        await site.check_work_ends()
        assert not replica.received

    run(test)


@pytest.mark.parametrize(("kind", "departure"), CASES)
def test_connecting_to_a_replica_ends_when_the_caller_leaves(
    monkeypatch, kind, departure
):
    connecting = trio.Event()

    async def connect(host, port):
        connecting.set()
        await trio.sleep_forever()

    async def test(site):
        replica = await site.add_replica(hang)
        monkeypatch.setattr(replica_client, "open_stream", connect)
        caller = await site.open_caller(kind)
        await caller.send_request("/status/7", headers=make_headers())
        await connecting.wait()
        await caller.leave(departure)
        await site.check_work_ends()
        assert not replica.received

    run(test)


@pytest.mark.parametrize(("kind", "departure"), CASES)
def test_waiting_request_is_withdrawn_when_its_caller_leaves(kind, departure):
    async def test(site):
        await site.add_replica(hang)
        gate = site.direct.entry.gates.get_gate("checks")
        busy = await site.open_caller(Http2Caller)
        for number in range(200):
            if gate.count_waiting():
                break
            await busy.send_request("/patient/7", headers=make_headers(f"r-{number}"))
            await site.let_entry_read()
        waiting = gate.count_waiting()
        assert waiting
        caller = await site.open_caller(kind)
        await caller.send_request("/patient/7", headers=make_headers("leaver"))
        await site.wait_until(lambda: gate.count_waiting() == waiting + 1)
        await caller.leave(departure)
        left_at = trio.current_time()
        async with LagMeter() as meter:
            await site.wait_until(lambda: gate.count_waiting() == waiting)
        assert trio.current_time() - left_at < BOUND_S + meter.lag_s

    run(test)

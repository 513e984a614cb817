"""Test that requests of callers that have left are not sent on after a delay."""

import re
import socket
from dataclasses import dataclass
from functools import partial

import pytest
import trio

from tests.lib.leaving_callers import Departure, Http1Caller, Http2Caller
from tests.lib.stopped_entry import open_agent_site, open_direct_site

REQUESTS = 20
DEADLINE_MS = 400
LONG_BODY = 100_000 * b"x"
"""Larger than what one read takes."""

LONG_HTTP2_BODY = 60_000 * b"x"
"""Nearly as much as an HTTP/2 caller may send before the entry grants more."""

SHORT_BODY = b"body"
STOP_S = 0.6
HANG_S = 30.0
ROUNDS = 8
PULSES = 8
RECEIVE_S = 0.3
PULSE_S = 0.05


@dataclass(frozen=True)
class Case:
    """Describe callers that leave, and their connections."""

    kind: type
    departure: Departure
    kept: bool = True
    """Whether each connection has carried an answered request before."""
    shared: bool = False
    """Whether all requests are sent on one connection."""
    body: bytes = SHORT_BODY

    def __str__(self):
        parts = (
            self.kind.__name__,
            self.departure.value,
            "kept" if self.kept else "new",
            "shared" if self.shared else "own",
            "short" if self.body is SHORT_BODY else "long",
        )
        return "-".join(parts)


CLOSES = (Departure.CLOSE, Departure.RESET, Departure.HALF_CLOSE)
CASES = [
    *(
        Case(Http1Caller, departure, kept, body=body)
        for departure in CLOSES
        for kept in (True, False)
        for body in (SHORT_BODY, LONG_BODY)
    ),
    *(
        Case(Http2Caller, departure, kept, shared, body)
        for departure in (*CLOSES, Departure.CANCEL)
        for kept, shared, body in (
            (True, True, SHORT_BODY),
            (False, True, SHORT_BODY),
            (True, False, LONG_HTTP2_BODY),
        )
    ),
]
FEW_CASES = [
    Case(Http1Caller, Departure.CLOSE),
    Case(Http1Caller, Departure.RESET),
    *(
        Case(Http2Caller, departure, shared=True)
        for departure in (Departure.CLOSE, Departure.RESET, Departure.CANCEL)
    ),
]


class Leaving:
    """Send the requests of a case, and leave them."""

    def __init__(self, site, case):
        self.site = site
        self.case = case
        self.callers = []
        self.names = [f"left-{number}" for number in range(REQUESTS)]

    async def connect(self):
        """Open the connections; those of a caller that is new open in the stop."""
        case = self.case
        for _ in range(1 if case.shared else REQUESTS):
            if case.kept:
                caller = await self.site.probe(case.kind)
            else:
                caller = await case.kind.open(self.site.callers_address)
            # The kernel takes a whole body, although the entry does not read.
            caller.stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 10 * len(LONG_BODY)
            )
            self.callers.append(caller)

    async def send(self):
        async with trio.open_nursery() as nursery:
            for number, name in enumerate(self.names):
                caller = self.callers[number % len(self.callers)]
                headers = self.site.make_headers(name)
                send = partial(
                    caller.send_request,
                    self.site.path,
                    headers=headers,
                    body=self.case.body,
                )
                if self.case.shared:
                    await send()
                else:
                    nursery.start_soon(send)

    async def leave(self):
        await self.wait_until_received()
        if self.case.departure is Departure.CANCEL and self.case.shared:
            (caller,) = self.callers
            for back in range(REQUESTS):
                caller.connection.reset_stream(caller.number - 2 * back)
            await caller.flush()
            await self.wait_until_received()
            return
        for caller in self.callers:
            await caller.leave(self.case.departure)

    async def wait_until_received(self):
        """Wait until the kernel of the entry has what was sent, if it takes it all."""
        with trio.move_on_after(RECEIVE_S):
            for caller in self.callers:
                await caller.wait_until_received()

    def list_sent_on(self):
        """Return the requests that have reached a replica."""
        return sorted(self.site.list_received() & set(self.names))


def run(test, open_site):
    async def main():
        with trio.fail_after(HANG_S):
            async with open_site() as site:
                await test(site)

    trio.run(main)


async def check_nothing_is_sent_on(site, case):
    leaving = Leaving(site, case)
    if case.kept:
        await leaving.connect()
    with site.stop():
        if not case.kept:
            await leaving.connect()
        await leaving.send()
        await leaving.leave()
        await trio.sleep(site.handover_s)
    await site.wait_until_settled(case.kind)
    assert leaving.list_sent_on() == []


@pytest.mark.parametrize("case", CASES, ids=str)
def test_stopped_entry_sends_nothing_on_for_callers_that_left(case, tmp_path):
    """Guard against work that starts before the end of its request is read.

    The entry stands still while requests arrive and their callers leave.
    """
    run(
        partial(check_nothing_is_sent_on, case=case),
        partial(open_direct_site, tmp_path),
    )


@pytest.mark.parametrize("stops_agent", [False, True], ids=["entry", "agent"])
@pytest.mark.parametrize("case", FEW_CASES, ids=str)
def test_stopped_process_with_agents_sends_nothing_on(case, stops_agent, tmp_path):
    """Guard against the same on the path with agents, where either may stand still."""
    run(
        partial(check_nothing_is_sent_on, case=case),
        partial(open_agent_site, tmp_path, stops_agent=stops_agent),
    )


async def run_in_pulses(site):
    """Let the entry run for a moment and stand still for a moment, by turns."""
    for _ in range(PULSES):
        await trio.sleep(PULSE_S / 20)
        with site.stop():
            await trio.sleep(PULSE_S)


@pytest.mark.parametrize("case", FEW_CASES, ids=str)
def test_delayed_entry_sends_nothing_on_for_callers_that_left(case, tmp_path):
    """Guard against the same in an entry that gets too little of a processor."""

    async def test(site):
        sent_on = set()
        for _ in range(ROUNDS):
            leaving = Leaving(site, case)
            await leaving.connect()
            with site.stop():
                await leaving.send()
                await leaving.leave()
            await run_in_pulses(site)
            await site.wait_until_settled(case.kind)
            sent_on |= set(leaving.list_sent_on())
        assert sorted(sent_on) == []

    run(test, partial(open_direct_site, tmp_path))


@pytest.mark.parametrize("agents", [False, True], ids=["direct", "agents"])
@pytest.mark.parametrize(
    "departure", [Departure.CLOSE, Departure.CANCEL], ids=lambda one: one.value
)
def test_departures_in_the_same_read_as_their_requests_are_seen(
    departure, agents, tmp_path
):
    """Guard against an end that one read brings with its request, without a stop."""

    async def test(site):
        caller = await site.probe(Http2Caller)
        names = [f"left-{number}" for number in range(REQUESTS)]
        for name in names:
            caller.number = caller.connection.get_next_available_stream_id()
            fields = [(key.lower(), value) for key, value in site.make_headers(name)]
            pseudo = [(":method", "POST"), (":scheme", "http"), (":path", site.path)]
            pseudo.append((":authority", dict(fields)["host"]))
            rest = [one for one in fields if one[0] != "host"]
            caller.connection.send_headers(caller.number, pseudo + rest)
            caller.connection.send_data(caller.number, b"body", end_stream=True)
        if departure is Departure.CANCEL:
            for back in range(REQUESTS):
                caller.connection.reset_stream(caller.number - 2 * back)
        await caller.flush()
        if departure is Departure.CLOSE:
            await caller.leave(departure)
        await site.wait_until_settled(Http2Caller)
        assert sorted(site.list_received() & set(names)) == []

    open_site = partial(open_direct_site, tmp_path)
    if agents:
        open_site = partial(open_agent_site, tmp_path, stops_agent=False)
    run(test, open_site)


@pytest.mark.parametrize("agents", [False, True], ids=["direct", "agents"])
@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_deadline_runs_while_the_entry_stands_still(kind, kept, agents, tmp_path):
    """Guard against a deadline that counts from when a delayed entry read a request."""

    async def test(site):
        caller = await site.probe(kind) if kept else None
        with site.stop():
            if caller is None:
                caller = await kind.open(site.callers_address)
            headers = site.make_headers("late", deadline_ms=DEADLINE_MS)
            await caller.send_request(site.path, headers=headers)
            await trio.sleep(2 * DEADLINE_MS / 1_000)
        assert await caller.stream.receive_some(65_536)
        await site.wait_until_settled(kind)
        assert "late" not in site.list_received()

    open_site = partial(open_direct_site, tmp_path)
    if agents:
        open_site = partial(open_agent_site, tmp_path, stops_agent=False)
    run(test, open_site)


def test_entry_logs_by_how_much_it_was_late(tmp_path):
    """Guard against logs that do not tell a late entry from a late replica."""

    async def test(site):
        caller = await site.probe(Http1Caller)
        with site.stop():
            await caller.send_request(site.path, headers=site.make_headers("late"))
            await trio.sleep(STOP_S)
        await caller.read_until(b"whole answer")
        await site.wait_until_settled(Http1Caller)
        log = site.read_log()
        assert (
            float(re.search(r"event=loop-late late_s=([0-9.]+)", log)[1]) > STOP_S / 2
        )
        line = re.search(r"event=request request=late .*", log)[0]
        read_ms, sent_ms = (
            int(re.search(rf" {name}=(-?\d+)", line)[1])
            for name in ("read_ms", "sent_ms")
        )
        assert STOP_S * 1_000 / 2 < read_ms <= sent_ms

    run(test, partial(open_direct_site, tmp_path))

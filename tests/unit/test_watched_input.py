"""Test when a connection counts as read to its end."""

import pytest
import trio
import trio.testing

from hyssopvane._internal.transport.watched_input import (
    MAX_READ_AGE_S,
    SATURATED_S,
    WatchedInput,
)
from tests.lib.lag_meter import LagMeter

HANG_S = 20.0
WAIT_S = 0.05


class Pair:
    """Hold a watched connection, and the end that sends to it."""

    def __init__(self):
        remote, local = trio.socket.socketpair()
        self.remote = trio.SocketStream(remote)
        self.input = WatchedInput(trio.SocketStream(local))
        self.may_handle = trio.Event()
        self.may_handle.set()

    async def read(self):
        """Read like a server: handle each part, then read the next one."""
        while await self.input.receive(4):
            await self.may_handle.wait()
        self.input.end()

    async def leave_unhandled(self):
        self.may_handle = trio.Event()
        await self.remote.send_all(b"12")
        await trio.testing.wait_all_tasks_blocked()

    async def leave_unread(self):
        await self.leave_unhandled()
        await self.remote.send_all(b"3456")

    async def leave(self):
        await self.remote.aclose()

    async def leave_behind_bytes(self):
        await self.leave_unread()
        await self.remote.aclose()


def run(test):
    async def main():
        with trio.fail_after(HANG_S):
            async with trio.open_nursery() as nursery:
                pair = Pair()
                nursery.start_soon(pair.read)
                await trio.testing.wait_all_tasks_blocked()
                await test(pair)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def is_passed(pair):
    """Return whether a request may be sent on within a moment."""
    with trio.move_on_after(WAIT_S) as scope:
        await pair.input.wait_until_current()
    return not scope.cancelled_caught


@pytest.mark.parametrize(
    "prepare", [Pair.leave_unhandled, Pair.leave_unread], ids=["unhandled", "unread"]
)
def test_request_waits_until_what_was_received_is_handled(prepare):
    """Guard against requests that are sent on before their cancellation is read."""

    async def test(pair):
        assert await is_passed(pair)
        await prepare(pair)
        assert not pair.input.is_current()
        assert not await is_passed(pair)
        pair.may_handle.set()
        await pair.input.wait_until_current()

    run(test)


@pytest.mark.parametrize(
    "prepare", [Pair.leave, Pair.leave_behind_bytes], ids=["alone", "behind-bytes"]
)
def test_nothing_is_sent_on_after_the_end_of_the_connection(prepare):
    """Guard against work for a caller whose end is received and not read yet."""

    async def test(pair):
        await prepare(pair)
        assert not await is_passed(pair)
        pair.may_handle.set()
        assert not await is_passed(pair)

    run(test)


def test_saturated_connection_does_not_hold_its_requests_back():
    """Guard against requests that wait for ever on a connection that is never read up.

    Each time the reader has handled something, more is there.
    """

    async def test(pair):
        async def saturate():
            while True:
                await pair.remote.send_all(8 * b"x")
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(saturate)
            async with LagMeter() as meter:
                began_at = trio.current_time()
                await pair.input.wait_until_current()
                waited_s = trio.current_time() - began_at
            nursery.cancel_scope.cancel()
        assert waited_s < SATURATED_S + MAX_READ_AGE_S + meter.lag_s

    run(test)

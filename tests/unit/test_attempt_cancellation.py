"""Test that an agent stops the work at its target when the entry cancels it."""

import pytest
import trio

from hyssopvane._internal.policy.target_backoff import TargetBackoff
from hyssopvane._internal.protocol.messages import Chunk, End
from hyssopvane._internal.roles.attempt import Attempt
from hyssopvane._internal.state.attempts import AttemptRegister
from hyssopvane._internal.state.decisions import DecisionLog
from hyssopvane._internal.transport.target_client import TargetClient
from tests.lib.lag_meter import LagMeter
from tests.lib.peers import connect_pair, make_opening

BOUND_S = 0.5
HANG_S = 30.0
PART = 16_384 * b"x"


class Target:
    """Take one connection, and behave as a test needs."""

    def __init__(self, behavior):
        self.behavior = behavior
        self.connected = trio.Event()
        self.busy = trio.Event()
        self.closed = trio.Event()

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        task_status.started(f"{host}:{port}")
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        self.connected.set()
        try:
            if self.behavior == "unread-upload":
                await self._wait_for_reset(stream)
                return
            received = b""
            while b"\r\n\r\n" not in received:
                received += await stream.receive_some()
            self.busy.set()
            if self.behavior == "stream":
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                await stream.send_all(head)
                while True:
                    await stream.send_all(b"4000\r\n" + PART + b"\r\n")
            while await stream.receive_some():
                pass
        except trio.BrokenResourceError:
            pass
        finally:
            self.closed.set()

    async def _wait_for_reset(self, stream):
        # A close behind unread bytes shows only as a failure to send.
        self.busy.set()
        while True:
            await trio.sleep(0.01)
            await stream.send_all(b" ")


@pytest.mark.parametrize("behavior", ["unread-upload", "hang", "stream"])
@pytest.mark.parametrize("body_ends", [False, True], ids=["uploading", "uploaded"])
def test_cancelled_attempt_closes_its_connection_to_the_target(body_ends, behavior):
    """Guard against work at a target whose caller has left."""

    async def main():
        target = Target(behavior)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(target.serve)
            client = TargetClient(address)

            async def serve(stream, opening):
                attempt = Attempt(
                    stream,
                    opening,
                    target=client,
                    decision_log=DecisionLog(),
                    register=AttemptRegister(1),
                    backoff=TargetBackoff(),
                )
                await attempt.run()

            async with connect_pair(serve) as pair:
                opening = make_opening(
                    method="POST",
                    headers=((b"transfer-encoding", b"chunked"),),
                )
                stream = pair.opener.open_stream(opening)
                for _ in range(200):
                    stream.send(Chunk(PART))
                if body_ends:
                    stream.send(End())
                await target.busy.wait()
                stream.cancel()
                left_at = trio.current_time()
                async with LagMeter() as meter:
                    await target.closed.wait()
                assert trio.current_time() - left_at < BOUND_S + meter.lag_s
                pair.opener.close()
            await client.close()
            nursery.cancel_scope.cancel()

    with_limit(main)


def with_limit(main):
    async def limited():
        with trio.fail_after(HANG_S):
            await main()

    trio.run(limited)

"""Test requests that come late in the grace period of an entry that stops."""

from functools import partial

import pytest
import trio

from tests.lib import direct_installation as direct
from tests.lib import direct_replica as replicas
from tests.lib.leaving_callers import Http1Caller, Http2Caller

GRACE_S = 3.0
BODY = b"x" * 600
SLOTS = 6
SLACK_S = 0.5


def make_headers(request_id):
    return (
        ("Host", direct.HOST),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", "20000"),
        ("Authorization", f"Bearer {direct.KEY}"),
    )


async def answer_after(work_s, replica, stream, request):
    """Answer a request after some work."""
    await trio.sleep(work_s)
    if request.target.startswith(("/drafts", "/once")):
        head = replicas.make_answer(request, headers=replicas.STREAM_HEAD, body=b"")
        await stream.send_all(head)
        await stream.send_all(replicas.chunk(replicas.make_event(1)))
        await stream.send_all(replicas.chunk(b""))
    else:
        await stream.send_all(replicas.make_answer(request))
    return True


async def stop(site):
    """Stop the entry as its process does after SIGTERM."""
    with trio.move_on_after(site.entry.settings.drain_limit_s):
        await site.entry.drain()
    site.nursery.cancel_scope.cancel()


async def send_rest(caller, rest):
    """Send the rest of the body of the last request."""
    if isinstance(caller, Http1Caller):
        await caller.stream.send_all(rest)
    else:
        caller.connection.send_data(caller.number, rest, end_stream=True)
        await caller.flush()


@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
@pytest.mark.parametrize("path", ["/status/x", "/bids/x", "/drafts/x", "/once/x"])
@pytest.mark.parametrize("work_s", [0.1, 2.0])
@pytest.mark.parametrize("late_s", [0.1, 1.0])
def test_request_whose_body_ends_late_is_refused_before_it_runs(
    kind, path, work_s, late_s
):
    """Guard against a request that is passed on and cut as the entry ends."""
    refused = []

    async def send(site):
        caller = await kind.open(site.entry.callers_address)
        half = len(BODY) // 2
        await caller.send_request(
            path, headers=make_headers("late"), body=BODY, sent_bytes=half
        )
        await site.wait_until(lambda: site.entry.app.refusing)
        await trio.sleep(late_s)
        await send_rest(caller, BODY[half:])
        refused.append(b"leaving" in await caller.read_until(b"leaving"))

    async def main():
        with trio.fail_after(direct.HANG_S):
            async with direct.open_direct(grace_s=GRACE_S) as site:
                found = [
                    await site.add_replica(
                        f"i-{name}", partial(answer_after, work_s), service=name
                    )
                    for name in ("checks", "drafting")
                ]
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(send, site)
                    await site.wait_until(lambda: site.entry.app.running)
                    nursery.start_soon(stop, site)
        assert refused == [True]
        assert not any(one.received for one in found)

    trio.run(main)


@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_waiting_request_that_can_not_end_in_time_is_refused(kind):
    """Guard against a request that waits, gets a place late and is cut at work.

    The work of its route is known to take longer than what is left of the grace period.
    """
    work_s = 1.6

    async def main():
        answered = False
        with trio.fail_after(direct.HANG_S):
            async with direct.open_direct(grace_s=GRACE_S) as site:
                replica = await site.add_replica("i-1", partial(answer_after, work_s))
                await site.call("/patient/x")
                await site.wait_until(lambda: not replica.running)
                callers = [
                    await kind.open(site.entry.callers_address)
                    for _ in range(2 * SLOTS)
                ]
                for number, caller in enumerate(callers):
                    headers = make_headers(f"r-{number}")
                    await caller.send_request("/patient/x", headers=headers)
                await site.wait_until(lambda: replica.running)
                await trio.sleep(0.3)
                sent = len(replica.received)
                assert 1 < sent < 1 + 2 * SLOTS
                stopped_at = trio.current_time()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(stop, site)
                    for caller in callers[sent - 1 :]:
                        assert b"leaving" in await caller.read_until(b"leaving")
                    refused_s = trio.current_time() - stopped_at
                    for caller in callers[: sent - 1]:
                        assert b"whole" in await caller.read_until(b"whole answer")
                    answered = True
        assert answered
        assert refused_s < site.entry.settings.drain_limit_s - work_s + SLACK_S
        assert len(replica.received) == sent

    trio.run(main)

"""Test what becomes of requests at a replica whose VM no longer answers."""

from dataclasses import replace
from math import inf

import pytest
import trio

from hyssopvane._internal.policy.repeat_budget import RepeatBudget
from hyssopvane._internal.policy.running_attempts import MIN_SERVE_S
from hyssopvane._internal.state.loads import RankLoad
from hyssopvane._internal.transport.replica_client import ReplicaFailed
from tests.lib.direct_installation import HANG_S, open_direct
from tests.lib.direct_replica import STREAM_HEAD, chunk, make_answer, make_event
from tests.lib.lag_meter import LagMeter

EVENTS = 6
PATIENCE_S = 2.0
"""Time without an event after which a caller leaves."""
RESUME_MARGIN_S = 0.1
"""Time by which a VM resumes before the entry gives up: 1.5 s after the last event."""
LOAD = RankLoad(
    address="",
    group="group",
    ranks=2,
    open=True,
    active=1,
    queued=0,
    step=1,
    pass_s=0.05,
    entries=1,
)


class Vms:
    """Run two replicas, of which the first one that gets a request stalls."""

    def __init__(
        self,
        *,
        before=2,
        agent_stalls=True,
        group_stalls=False,
        resumes=False,
        full=False,
        breaks=False,
    ):
        self.before = before
        """Number of events that are sent before the stall."""
        self.agent_stalls = agent_stalls
        self.group_stalls = group_stalls
        """Whether no agent is heard after the stall."""
        self.resumes = resumes
        self.breaks = breaks
        """Whether the stalled connection breaks, when the group has room again."""
        self.full = full
        """Whether the group takes no further request."""
        self.stalled = None
        self.is_waiting = False
        """Whether the stalled replica waits for the end of its stall."""
        self.was_checked = trio.Event()
        """Set once the entry has checked the stream that long before it gives up."""

    async def serve(self, replica, stream, request):
        if self.stalled is None:
            self.stalled = replica
        first = int(request.headers.get("last-event-id", "0")) + 1
        stalls = replica is self.stalled
        if stalls and not self.before:
            await trio.sleep_forever()
        await stream.send_all(make_answer(request, body=b"", headers=STREAM_HEAD))
        for number in range(first, EVENTS + 1):
            if stalls and number > self.before:
                await self.wait_while_stalled()
                stalls = False
            await stream.send_all(chunk(make_event(number)))
        await stream.send_all(b"0\r\n\r\n")
        return True

    async def wait_while_stalled(self):
        if self.breaks:
            await trio.sleep(1.5)
            self.full = False
            raise trio.BrokenResourceError
        if not self.resumes:
            await trio.sleep_forever()
        self.is_waiting = True
        await self.was_checked.wait()

    def hold_checks(self, gates):
        """Let the entry check a stream no later than its replica resumes.

        Both run in one event loop. If it is late, a check may come after the time at
        which the entry gives up, although the replica should have resumed before.
        """
        check = gates._move_from_silent_vms

        def check_in_time(gate, now):
            leave_at = [one.get_leave_at() for one in gate.attempts._attempts]
            resume_at = min(leave_at, default=inf) - MIN_SERVE_S - RESUME_MARGIN_S
            if now >= resume_at:
                now = resume_at
                if self.is_waiting:
                    self.was_checked.set()
            check(gate, now)

        gates._move_from_silent_vms = check_in_time

    async def report(self, site, replicas):
        """Report loads like the agents of a group, but for that of a stalled VM."""
        gate = site.entry.gates.get_gate("drafting")
        while True:
            now = trio.current_time()
            full = self.full and self.stalled is not None
            active = 6 if full else 1
            loads = [
                (replace(LOAD, address=one.address, active=active), now)
                for one in replicas
                if one is not self.stalled or not self.agent_stalls
            ]
            if self.stalled is None or not self.group_stalls:
                gate.observe_loads(loads)
            await trio.sleep(0.05)


def run(vms, test):
    async def main():
        with trio.fail_after(HANG_S):
            async with open_direct() as site:
                replicas = [
                    await site.add_replica(f"i-{n}", vms.serve, service="drafting")
                    for n in range(2)
                ]
                site.nursery.start_soon(vms.report, site, replicas)
                gate = site.entry.gates.get_gate("drafting")
                await site.wait_until(lambda: "group" in gate._groups)
                await test(site, replicas)

    trio.run(main)


@pytest.mark.parametrize("before", [0, 1, 3])
def test_stream_moves_away_from_a_stalled_vm(before):
    """Guard against callers that leave a stream which another replica could continue.

    The replica on the stalled VM notices the end of its connection only when the VM
    resumes, and works on for callers that have left.
    """
    vms = Vms(before=before)

    async def test(site, replicas):
        answer = await site.call("/drafts/7", deadline_ms=6_000)
        assert answer.status == 200
        assert answer.body == b"".join(make_event(n) for n in range(1, EVENTS + 1))
        await site.wait_until(lambda: not vms.stalled.running)
        assert sorted(len(one.received) for one in replicas) == [1, 1]
        (other,) = [one for one in replicas if one is not vms.stalled]
        resumed = other.received[0].headers.get("last-event-id", "0")
        assert int(resumed) == before

    run(vms, test)


@pytest.mark.parametrize(
    ("path", "vms", "spent"),
    [
        ("/once/7", Vms(resumes=True), False),
        ("/drafts/7", Vms(resumes=True), True),
        ("/drafts/7", Vms(resumes=True, agent_stalls=False), False),
        ("/drafts/7", Vms(resumes=True, full=True), False),
    ],
    ids=["not-repeatable", "budget-spent", "slow-replica", "no-place"],
)
def test_stream_that_can_not_move_waits_for_its_replica(path, vms, spent):
    """Guard against an answer that is cut although its replica would complete it."""

    async def test(site, replicas):
        vms.hold_checks(site.entry.gates)
        if spent:
            budget = RepeatBudget(share=0.0, slack=0)
            dependencies = replace(site.entry.app._dependencies, budget=budget)
            site.entry.app._dependencies = dependencies
        answer = await site.call(path)
        assert vms.was_checked.is_set()
        assert answer.body == b"".join(make_event(n) for n in range(1, EVENTS + 1))
        assert sorted(len(one.received) for one in replicas) == [0, 1]

    run(vms, test)


def test_stream_that_breaks_while_a_place_is_looked_for_is_resumed():
    """Guard against a call that shares the search's place in the queue and loses it."""
    vms = Vms(full=True, breaks=True)

    async def test(site, replicas):
        answer = await site.call("/drafts/7", deadline_ms=6_000)
        assert answer.body == b"".join(make_event(n) for n in range(1, EVENTS + 1))
        assert sorted(len(one.received) for one in replicas) == [1, 1]

    run(vms, test)


@pytest.mark.parametrize("before", [0, 2])
@pytest.mark.parametrize(
    ("path", "changes"),
    [
        ("/drafts/7", {"full": True}),
        ("/drafts/7", {"group_stalls": True, "full": True}),
        ("/once/7", {}),
    ],
    ids=["group-heard", "group-silent", "not-repeatable"],
)
def test_caller_is_told_when_no_replica_can_go_on_in_time(path, changes, before):
    """Guard against callers that wait for a stalled VM until they leave.

    A caller that is told repeats the request or resumes the stream. The request may
    have run, so its answer must not promise that it did not.
    """
    vms = Vms(before=before, **changes)

    async def test(site, replicas):
        async with LagMeter() as meter:
            started_at = trio.current_time()
            if before:
                with pytest.raises(ReplicaFailed):
                    await site.call(path)
            else:
                answer = await site.call(path)
                assert (answer.status, answer.body) == (502, b"replica-failed\n")
                assert "retry-after" not in answer.headers
            assert trio.current_time() - started_at < PATIENCE_S + meter.lag_s
        await site.wait_until(lambda: not vms.stalled.running)
        assert sorted(len(one.received) for one in replicas) == [0, 1]

    run(vms, test)


@pytest.mark.parametrize("refused_after_s", [0.9, 1.3, 1.7])
@pytest.mark.parametrize("group_heard", [True, False])
def test_no_request_is_left_at_a_stalled_vm_when_its_caller_leaves(
    refused_after_s, group_heard
):
    """Guard against requests that reach a replica when its VM resumes, for callers
    that have left.

    The VM is known to stand still 0.8 s after its last word. A request that is sent
    there late in the patience of its caller has no such time.
    """
    stopped = trio.Event()
    refused = []
    left = []

    async def serve(replica, stream, request):
        if replica.id == "i-1":
            await trio.sleep_forever()
        if refused:
            # The other replica has no place either.
            await trio.sleep(0.05)
        else:
            refused.append(request)
            await trio.sleep(refused_after_s)
        head = (("X-Not-Executed", "1"),)
        await stream.send_all(make_answer(request, status=503, headers=head))
        return True

    async def report(gate, replicas):
        while True:
            now = trio.current_time()
            heard = replicas[: 1 if stopped.is_set() else 2]
            if group_heard or not stopped.is_set():
                full = {"i-1": 0 if refused else 6}
                loads = [
                    replace(LOAD, address=one.address, active=full.get(one.id, 0))
                    for one in heard
                ]
                gate.observe_loads([(one, now) for one in loads])
            await trio.sleep(0.05)

    async def main():
        with trio.fail_after(HANG_S):
            async with open_direct() as site, LagMeter() as meter:
                replicas = [
                    await site.add_replica(f"i-{n}", serve, service="drafting")
                    for n in range(2)
                ]
                gate = site.entry.gates.get_gate("drafting")
                site.nursery.start_soon(report, gate, replicas)
                await site.wait_until(
                    lambda: (
                        "group" in gate._groups
                        and len(gate._groups["group"].members) == 2
                    )
                )

                async def stop():
                    await site.wait_until(lambda: bool(refused))
                    await trio.sleep(refused_after_s - 0.5)
                    stopped.set()

                site.nursery.start_soon(stop)
                with trio.move_on_after(PATIENCE_S + meter.lag_s) as scope:
                    await site.call("/drafts/7")
                if scope.cancelled_caught:
                    left.extend(replicas[1].received)
                assert len(refused) == 1
                assert not left

    trio.run(main)

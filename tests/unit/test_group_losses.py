"""Test which lost replicas of a group tell what has crashed them."""

from random import Random
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from hyssopvane._internal.policy.suspect_rules import LOST_CONNECTIONS
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.roles.crash_evidence import GROUP_LOSS_S, CrashAccount
from hyssopvane._internal.roles.gate_keeper import GateKeeper
from hyssopvane._internal.state.routing import RoutingTable, ServiceSpec
from hyssopvane._internal.state.suspects import SuspectId
from tests.unit.test_service_gate import make_load, make_replica

STALL_S = 1.5
"""Time after which a group drops the requests of its other replicas."""

SERVICE = make_replica(0).service
PARTS = [SuspectId(SERVICE, b"part-%d" % n, is_part=True) for n in range(4)]


class Entry:
    """Hold an entry's account of crashes, and what it knows of one group."""

    def __init__(self, *, grouped):
        self.gates = GateKeeper(random=Random(1), availability_zone="zone-a")
        spec = ServiceSpec(SERVICE, "/healthz", 100)
        self.replicas = [make_replica(number) for number in range(4)]
        table = RoutingTable(1, (), {SERVICE: spec})
        self.gates.update(table, {one.id: one for one in self.replicas})
        if grouped:
            self.form_group(epoch=1)
        self.tracker = SuspectTracker(rules=LOST_CONNECTIONS)
        self.account = CrashAccount(
            self.tracker,
            SimpleNamespace(count_event=lambda name: None),
            gates=self.gates,
            trials=None,
        )

    def form_group(self, *, epoch):
        loads = [
            (make_load(number, ranks=4, epoch=epoch), trio.current_time())
            for number in range(4)
        ]
        self.gates.get_gate(SERVICE).observe_loads(loads)

    def lose(self, number):
        """Lose a replica that ran a request with a part of its own."""
        replica = self.replicas[number].incarnation
        return self.account.record_crash([(PARTS[number], 1)], replica)

    def tell(self, other):
        """Tell another entry all records."""
        now = trio.current_time()
        for suspect, record in self.tracker.list_records(now=now).items():
            other.tracker.merge(suspect, record, quarantine_s=60.0, now=now)

    def list_accused(self):
        return [n for n, part in enumerate(PARTS) if self.tracker.get_record(part)]


def run_mocked(test):
    async def main():
        await test()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


@pytest.mark.parametrize(("grouped", "accused"), [(True, [0]), (False, [0, 1, 2, 3])])
def test_replicas_that_end_with_their_group_accuse_nothing(grouped, accused):
    """Guard against one crash that counts at all replicas of its group."""

    async def test():
        entry = Entry(grouped=grouped)
        await trio.sleep(1.0)
        assert entry.lose(0)
        await trio.sleep(STALL_S)
        for number in range(1, 4):
            # A request that may have crashed its replica is not repeated at once.
            assert entry.lose(number) is (number in accused)
        assert entry.list_accused() == accused

    run_mocked(test)


def test_entry_without_a_request_at_the_first_one_learns_of_it():
    """Guard against entries that take the first loss they see for the group's first."""

    async def test():
        first, second = Entry(grouped=True), Entry(grouped=True)
        await trio.sleep(1.0)
        first.lose(0)
        await trio.sleep(0.2)
        first.tell(second)
        await trio.sleep(STALL_S)
        second.lose(1)
        assert second.list_accused() == [0]

    run_mocked(test)


@pytest.mark.parametrize(
    ("epoch", "pause_s", "accused"),
    [(1, STALL_S, [0]), (2, STALL_S, [0, 1]), (1, GROUP_LOSS_S + 0.1, [0, 1])],
)
def test_next_loss_of_a_group_that_serves_again_counts(epoch, pause_s, accused):
    """Guard against a part that goes on crashing a group whose losses are ignored."""

    async def test():
        entry = Entry(grouped=True)
        await trio.sleep(1.0)
        entry.lose(0)
        await trio.sleep(pause_s)
        entry.form_group(epoch=epoch)
        await trio.sleep(0.1)
        entry.lose(1)
        assert entry.list_accused() == accused

    run_mocked(test)

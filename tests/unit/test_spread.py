"""Test that a table reaches every process, and that none reverts to an older one."""

from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.coordination.key_value import KeyValue
from hyssopvane._internal.coordination.page_delta import (
    FULL_PAGE,
    apply_change,
    make_change,
)
from hyssopvane._internal.coordination.spread_messages import (
    Pages,
    decode_pages,
    encode_pages,
    encode_question,
)
from hyssopvane._internal.coordination.table_edit import CellWrite, TableEdit
from hyssopvane._internal.coordination.table_pages import (
    Cell,
    Page,
    StoredRow,
    format_page,
)
from hyssopvane._internal.coordination.table_store import TableEditor
from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.state.columns import RowId, RowKind, parse_row_id
from hyssopvane._internal.state.table import CellId
from tests.lib.fake_fleet import ZONES, Fleet
from tests.lib.fake_key_value import FakeKeyValueStore, Fault

CUSTOMERS = [RowId(RowKind.CUSTOMER, f"customer-{number}") for number in range(4)]
RECOVERY_S = 30.0
ZONE = ZONES[0]


class FleetDriver:
    """Edit the table of a fleet and inject faults into it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.edits = 0

    async def add_customers(self):
        edit = TableEdit("add", added=tuple(CUSTOMERS))
        await self.make_editor().commit(edit)

    def make_editor(self, store=None):
        return TableEditor(
            store or self.fleet.make_store(), random=Random(self.edits), give_up_s=2
        )

    async def edit(self, row=0, *, store=None):
        self.edits += 1
        cell = CellId(CUSTOMERS[row], "weight")
        write = CellWrite(cell, str(self.edits), None)
        edit = TableEdit(f"edit-{self.edits}", writes=(write,))
        try:
            await self.make_editor(store).commit(edit)
        except HyssopvaneError:
            # The service may be down; the test checks only that all agree in the end.
            pass

    async def race(self, row):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(self.edit, row)

    async def lose_answer(self, row):
        faults = [Fault.NONE, Fault.LOST_REPLY]
        store = FakeKeyValueStore(
            self.fleet.state,
            self.fleet._nursery,
            choose_fault=lambda: faults.pop(0) if faults else Fault.NONE,
        )
        await self.edit(row, store=store)

    def pick(self, number):
        members = list(self.fleet.members.values())
        return members[number % len(members)]

    async def replace_all(self, _):
        for old in list(self.fleet.members.values()):
            new = self.fleet.start(old.zone, stale=old.stale)
            await trio.sleep(4)
            self.fleet.kill(old)
            assert not old.in_force or new.in_force, "the new entry serves no table"
            self.fleet.publish_vm_list()

    async def kill_watchers(self, _):
        for member in list(self.fleet.members.values()):
            if member.spread.watches and len(self.fleet.members) > 1:
                self.fleet.kill(member)
        self.fleet.start(ZONES[0])

    async def run(self, kind, number):
        member = self.pick(number)
        if kind == "edit":
            await self.edit(number % len(CUSTOMERS))
        elif kind in {"race", "lose_answer"}:
            await getattr(self, kind)(number % len(CUSTOMERS))
        elif kind in {"replace_all", "kill_watchers"}:
            await getattr(self, kind)(number)
        elif kind == "outage":
            self.fleet.down = not self.fleet.down
        elif kind == "start":
            self.fleet.start(ZONES[number % 2], stale=number % 3 == 0)
        elif kind in {"cut", "stale", "notices_lost"}:
            self.fleet.snapshot_for_stale_reads()
            setattr(member, kind, not getattr(member, kind))
        elif kind == "list":
            self.fleet.publish_vm_list()
        await trio.sleep(number)

    async def recover(self):
        self.fleet.down = False
        for member in self.fleet.members.values():
            member.cut = member.stale = member.notices_lost = False
        self.fleet.publish_vm_list()
        with trio.move_on_after(RECOVERY_S):
            while self.fleet.get_lagging():
                await trio.sleep(0.5)
        # Messages in flight must not restore an older page either.
        await trio.sleep(3)
        assert not self.fleet.get_lagging()
        tables = [one.spread.table for one in self.fleet.members.values()]
        assert all(table == tables[0] for table in tables)


def run_steps(steps, *, entries=4):
    """Run steps on a fleet of two zones with a table, then end all faults."""

    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            driver = FleetDriver(fleet)
            await driver.add_customers()
            for number in range(entries):
                fleet.start(ZONES[number // 3 % 2])
            await trio.sleep(5)
            assert not fleet.get_lagging()
            for kind, number in steps:
                await driver.run(kind, number)
            await driver.recover()
            nursery.cancel_scope.cancel()

    trio.run(
        run,
        clock=trio.testing.MockClock(autojump_threshold=0.0),
        strict_exception_groups=True,
    )


KINDS = (
    "edit",
    "race",
    "lose_answer",
    "outage",
    "start",
    "cut",
    "stale",
    "notices_lost",
    "kill_watchers",
    "replace_all",
    "list",
)
STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 7)), min_size=3, max_size=10
)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(steps=STEPS)
def test_no_process_reverts_and_all_agree_after_recovery(steps):
    """Guard against entries that revert to an older page or miss a page for good.

    Concurrent edits run while entries die, start, are disconnected and read stale
    values. A reverted or missed page gives a customer a limit that an operator has
    replaced.
    """
    run_steps(steps)


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param(
            [("edit", 0), ("notices_lost", 0), ("notices_lost", 1), ("edit", 2)],
            id="notices lost",
        ),
        pytest.param([("stale", 0), ("edit", 1), ("replace_all", 0)], id="stale"),
        pytest.param([("outage", 0), ("start", 4), ("replace_all", 1)], id="outage"),
        pytest.param([("kill_watchers", 0), ("edit", 1)], id="watchers killed"),
        pytest.param([("cut", 2), ("edit", 1), ("cut", 2)], id="cut and back"),
    ],
)
def test_each_fault_alone(steps):
    """Check the faults of the property test one at a time."""
    run_steps(steps)


def run_fleet(scenario):
    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            driver = FleetDriver(fleet)
            await driver.add_customers()
            await scenario(fleet, driver)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.0))


def test_entry_started_during_an_outage_takes_the_table_from_its_peers():
    """Guard against a new entry without a table.

    The platform replaces a VM while the key-value service is down. Unless it gets the
    table from its peers, the new entry refuses every caller.
    """

    async def scenario(fleet, driver):
        for _ in range(3):
            fleet.start()
        await trio.sleep(5)
        fleet.down = True
        new = fleet.start()
        await trio.sleep(4)
        assert new.in_force == fleet.get_committed()

    run_fleet(scenario)


def test_stale_read_at_start_is_superseded_by_a_peer():
    """Guard against a new entry that serves an old limit in its first seconds.

    The new entry reads the service through a replica that lags behind, while its peers
    already have the newer limit.
    """

    async def scenario(fleet, driver):
        for _ in range(3):
            fleet.start()
        fleet.snapshot_for_stale_reads()
        await driver.edit()
        await trio.sleep(5)
        new = fleet.start(stale=True)
        await trio.sleep(5)
        assert new.first_in_force == fleet.get_committed()

    run_fleet(scenario)


def test_missed_page_older_than_the_newest_is_found():
    """Guard against a missed page that a comparison of revisions doesn't reveal.

    An entry misses the change of one page and gets a later change of another page. Its
    revision is then the newest, but one customer still has the old limit.
    """

    async def scenario(fleet, driver):
        members = [fleet.start() for _ in range(3)]
        await trio.sleep(5)
        (listener,) = [one for one in members if not one.spread.watches]
        listener.notices_lost = True
        await driver.edit(0)
        await trio.sleep(0.1)
        listener.notices_lost = False
        await driver.edit(1)
        await trio.sleep(0.1)
        assert listener.spread.table.revision == fleet.state.revision
        assert listener.in_force != fleet.get_committed()
        await trio.sleep(4)
        assert listener.in_force == fleet.get_committed()

    run_fleet(scenario)


def test_watcher_with_a_silent_watch_reads_what_peers_did_not_send():
    """Guard against a page that is never read because the table has a newer one.

    A watch goes silent, and a peer forwards the newest page but not the one before. The
    reader must read the changes since its last read of the service. The changes since
    its table's revision don't include the page in between.
    """

    async def scenario(fleet, driver):
        (watcher,) = [fleet.start()]
        await trio.sleep(5)
        watcher.cut = True
        await driver.edit(0)
        await driver.edit(1)
        watcher.cut = False
        items = fleet.state.get_range(b"table/page/", b"u")
        newest = max(items, key=lambda item: item.mod_revision)
        watcher.spread.reader.accept(
            [KeyValue(newest.key.decode(), newest.value, newest.mod_revision, 0)]
        )
        await watcher.spread.reader.refresh()
        assert watcher.in_force == fleet.get_committed()

    run_fleet(scenario)


def test_entry_without_beats_of_a_watcher_reads_the_service():
    """Guard against entries that keep old limits after their watchers died.

    Both watchers of a zone die while the list of VMs still shows them. Without reads of
    their own the others would keep the old limits, and only the customers would notice.
    """

    async def scenario(fleet, driver):
        members = [fleet.start() for _ in range(3)]
        await trio.sleep(5)
        for member in members:
            if member.spread.watches:
                fleet.kill(member)
        await driver.edit()
        await trio.sleep(12)
        assert not fleet.get_lagging()

    run_fleet(scenario)


def test_only_watchers_call_the_service():
    """Guard against calls to the service that grow with the number of entries.

    The service has a limit of calls.
    """

    async def scenario(fleet, driver):
        for _ in range(20):
            fleet.start()
        await trio.sleep(10)
        watching = [one for one in fleet.members.values() if one.spread.watches]
        assert len(watching) == 2
        calls = {
            one.name: one.spread.reader._store.calls for one in fleet.members.values()
        }
        await driver.edit()
        await trio.sleep(10)
        for member in fleet.members.values():
            if member not in watching:
                assert member.spread.reader._store.calls == calls[member.name]
        assert not fleet.get_lagging()

    run_fleet(scenario)


def test_answer_size_is_bounded(monkeypatch):
    """Guard against an answer of many large pages that exceeds a peer's frame limit."""
    monkeypatch.setattr("hyssopvane._internal.coordination.spread.MAX_ANSWER_BYTES", 1)

    async def scenario(fleet, driver):
        member = fleet.start()
        await trio.sleep(5)
        answer = decode_pages(await member.spread.answer_question(encode_question({})))
        assert len(answer.changes) == 1
        assert answer.more
        other = fleet.start()
        await trio.sleep(5)
        assert other.in_force == member.in_force

    run_fleet(scenario)


def make_page(number, *, weight="100", sequence=1):
    cells = {"service": Cell("draft", 1), "weight": Cell("100", 1)}
    rows = {
        parse_row_id(f"target/{one:05d}"): StoredRow(1, cells) for one in range(160)
    }
    edited = {**cells, "weight": Cell(weight, sequence)}
    rows[parse_row_id(f"target/{number:05d}")] = StoredRow(1, edited)
    edits = tuple(
        f"edit-{one}".ljust(36, "x") for one in range(sequence, sequence + 32)
    )
    return format_page(Page(sequence, edits, rows))


def test_change_of_a_cell_is_small_and_exact():
    """Guard against forwarding whole pages of 9 KB, which exceeds the budget."""
    before = KeyValue("table/page/00", make_page(7), 5, 0)
    after = KeyValue("table/page/00", make_page(7, weight="50", sequence=2), 9, 0)
    change = make_change(before, after)
    assert change.base_revision != FULL_PAGE
    assert len(after.value) > 9_000
    assert len(encode_pages(Pages((change,)))) < 300
    assert apply_change(before, change) == after
    removed = KeyValue("table/page/00", format_page(Page(3)), 11, 0)
    assert apply_change(after, make_change(after, removed)) == removed


@pytest.mark.parametrize("revision", [4, 5])
def test_change_of_another_page_is_not_applied(revision):
    """Guard against a page that was never accepted.

    A process missed one change of a page and gets the next one. Applied to the older
    page, the change would produce such a page.
    """
    before = KeyValue("table/page/00", make_page(7), 5, 0)
    after = KeyValue("table/page/00", make_page(7, weight="50", sequence=2), 9, 0)
    change = make_change(before, after)
    other = KeyValue("table/page/00", make_page(8, weight="3"), revision, 0)
    assert apply_change(other, change) is None
    assert apply_change(None, change) is None

"""Test the table when the key-value service is restored from copies."""

from random import Random

import pytest
import trio
from trio._core import _run as trio_run

from hyssopvane._internal.coordination.lost_edits import (
    find_shared_sequence,
    merge_versions,
)
from hyssopvane._internal.coordination.own_rows import HeldRows, select_own_rows
from hyssopvane._internal.coordination.service_era import NUMBERS_PER_ERA
from hyssopvane._internal.coordination.table_edit import TableEdit
from hyssopvane._internal.coordination.table_pages import Page, PageEra
from hyssopvane._internal.coordination.table_store import TableReader
from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.standins.key_value_state import KeyValueState
from hyssopvane._internal.state.columns import parse_row_id
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.table import CellId, Table, TargetRow
from tests.lib.fake_fleet import ZONES, Fleet
from tests.lib.fake_key_value import FakeKeyValueStore
from tests.unit.test_table_store import (
    ALICE,
    PRIORITY,
    WEIGHT,
    add_alice,
    make_editor,
    run_mocked,
    set_cell,
)

BOB = parse_row_id("customer/bob")
CONVERGENCE_S = 40.0


def add(row):
    return TableEdit(f"add {row}", added=(row,))


def remove(row):
    return TableEdit(f"remove {row}", removed=(row,))


def read(row, column):
    def find(table):
        found = table.customers.get(row.name)
        return None if found is None else getattr(found, column)

    return find


WEIGHT_OF_ALICE, PRIORITY_OF_ALICE = read(ALICE, "weight"), read(ALICE, "priority")
BOB_IS_THERE = read(BOB, "name")


@pytest.mark.parametrize(
    ("kept", "lost", "since", "expected"),
    [
        ([], [set_cell(WEIGHT, "5", "a")], [], {WEIGHT_OF_ALICE: 5}),
        (
            [],
            [set_cell(WEIGHT, "5", "a")],
            [set_cell(PRIORITY, "2", "b")],
            {WEIGHT_OF_ALICE: 5, PRIORITY_OF_ALICE: 2},
        ),
        (
            [],
            [set_cell(WEIGHT, "5", "a"), set_cell(PRIORITY, "3", "b")],
            [set_cell(WEIGHT, "7", "c")],
            {WEIGHT_OF_ALICE: 7, PRIORITY_OF_ALICE: 3},
        ),
        (
            [],
            [set_cell(WEIGHT, str(n), f"a{n}") for n in range(2, 50)],
            [set_cell(WEIGHT, "7", "c")],
            {WEIGHT_OF_ALICE: 7},
        ),
        ([], [add(BOB)], [], {BOB_IS_THERE: "bob"}),
        ([], [add(BOB)], [set_cell(WEIGHT, "7", "c")], {BOB_IS_THERE: "bob"}),
        ([add(BOB)], [remove(BOB)], [], {BOB_IS_THERE: None}),
        ([add(BOB)], [set_cell(WEIGHT, "5", "a")], [remove(BOB)], {BOB_IS_THERE: None}),
        (
            [add(BOB)],
            [remove(BOB)],
            [set_cell(CellId(BOB, "weight"), "4", "c")],
            {read(BOB, "weight"): 4},
        ),
    ],
)
@pytest.mark.parametrize("knows_the_lost_era", [True, False])
def test_lost_edits_stay_in_force_by_cell(
    kept, lost, since, expected, knows_the_lost_era
):
    """Guard against lost edits that revert or block edits made after the restore."""

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            before = FakeKeyValueStore(state, nursery)
            for edit in kept:
                await make_editor(before).commit(edit)
            copy = state.copy_items()
            for edit in lost:
                await make_editor(before).commit(edit)
            store = FakeKeyValueStore(state, nursery)
            reader = TableReader(store, random=Random(1))
            await reader.load()
            store.state = copy
            editor = before if knows_the_lost_era else FakeKeyValueStore(copy, nursery)
            editor.state = copy
            for edit in since:
                await make_editor(editor).commit(edit)
            table = await reader.load()
            assert {find: find(table) for find in expected} == expected
            fresh = TableReader(FakeKeyValueStore(copy, nursery), random=Random(1))
            await fresh.load()
            fresh.accept(reader.get_pages())
            table = fresh.table
            assert {find: find(table) for find in expected} == expected
            assert fresh.digest == reader.digest

    run_mocked(run)


def test_following_reader_detects_a_restore():
    """Guard against a watch that waits for a revision that the service has lost."""

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            copy = state.copy_items()
            store = FakeKeyValueStore(state, nursery)
            reader = TableReader(store, random=Random(1))
            send, _ = trio.open_memory_channel(100)
            nursery.start_soon(reader.follow, send)
            for number in range(5):
                editor = FakeKeyValueStore(state, nursery)
                await make_editor(editor).commit(set_cell(PRIORITY, "3", f"l{number}"))
            await trio.sleep(1)
            store.state = copy
            other = FakeKeyValueStore(copy, nursery)
            await make_editor(other).commit(set_cell(WEIGHT, "7", "since"))
            await trio.sleep(12)
            assert WEIGHT_OF_ALICE(reader.table) == 7
            assert PRIORITY_OF_ALICE(reader.table) == 3
            nursery.cancel_scope.cancel()

    run_mocked(run)


def test_edit_sent_before_its_editor_knew_of_a_restore_comes_into_force():
    """Guard against an accepted edit that has the revision of a lost one."""

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            copy = state.copy_items()
            before = FakeKeyValueStore(state, nursery)
            for number in range(5):
                edit = set_cell(WEIGHT, str(20 + number), f"l{number}")
                await make_editor(before).commit(edit)
            reader = TableReader(before, random=Random(1))
            await reader.load()
            unaware = FakeKeyValueStore(
                state, nursery, choose_delay=lambda: 0.2, older=copy
            )
            async with trio.open_nursery() as editing:
                editing.start_soon(
                    make_editor(unaware).commit, set_cell(PRIORITY, "2", "first")
                )
                await trio.sleep(0.3)
                before.state = copy
                unaware.state = copy
            await make_editor(unaware).commit(set_cell(WEIGHT, "7", "second"))
            table = await reader.load()
            assert WEIGHT_OF_ALICE(table) == 7
            assert PRIORITY_OF_ALICE(table) == 2

    run_mocked(run)


def test_agent_accepts_rows_of_a_later_era():
    """Guard against a target that keeps the row of a lost revision for good."""
    key = "table/page/27"
    held = HeldRows(vm="t-1", service="draft")

    def send_rows(weight, *positions):
        table = Table(
            positions[0].revision,
            targets={"t-1": TargetRow("t-1", "draft", weight)},
            era=positions[0].era,
        )
        rows = select_own_rows(
            table,
            dict.fromkeys([key, *_list_page_keys()], positions),
            vm="t-1",
            service="draft",
        )
        held.accept(rows)

    send_rows(5, StorePosition(1, 40))
    send_rows(7, StorePosition(2, 12))
    assert held.target.weight == 7
    assert held.position == StorePosition(2, 12)
    send_rows(5, StorePosition(1, 41))
    assert held.target.weight == 7
    send_rows(9, StorePosition(2, 12), StorePosition(1, 40))
    assert held.target.weight == 9
    send_rows(7, StorePosition(2, 12))
    assert held.target.weight == 9


def _list_page_keys():
    return [f"table/page/{number:02d}" for number in range(64)]


@pytest.mark.parametrize(
    ("one", "other", "shared"),
    [
        (Page(5), Page(3), 3),
        (Page(9), Page(NUMBERS_PER_ERA + 1, eras=(PageEra(2, 4),)), 4),
        (Page(3), Page(NUMBERS_PER_ERA + 1, eras=(PageEra(2, 4),)), 3),
        (
            Page(NUMBERS_PER_ERA + 2, eras=(PageEra(2, 4),)),
            Page(2 * NUMBERS_PER_ERA + 1, eras=(PageEra(3, 6),)),
            4,
        ),
        (
            Page(NUMBERS_PER_ERA + 5, eras=(PageEra(2, 4),)),
            Page(
                2 * NUMBERS_PER_ERA + 1,
                eras=(PageEra(2, 4), PageEra(3, NUMBERS_PER_ERA + 2)),
            ),
            NUMBERS_PER_ERA + 2,
        ),
    ],
)
def test_shared_sequence(one, other, shared):
    assert find_shared_sequence(one, other) == shared
    assert find_shared_sequence(other, one) == shared


def test_version_without_lost_edits_changes_nothing():
    page = Page(7, ("a",))
    assert merge_versions({1: Page(3), 2: page}) == page


@pytest.mark.parametrize("seed", range(30))
def test_fleet_follows_a_restored_service(seed, monkeypatch):
    """Guard against accepted edits that are reverted or missing at an entry."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(trio_run, "_r", Random(seed))
    random = Random(seed)
    cells = [CellId(ALICE, "weight"), CellId(ALICE, "priority"), CellId(BOB, "weight")]
    accepted = {}

    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, seed=seed)
            for row in (ALICE, BOB):
                await make_editor(fleet.make_store()).commit(add(row))
            for number in range(4):
                fleet.start(ZONES[number % 2])
            await trio.sleep(10)
            copy = fleet.state.copy_items()
            for number in range(40):
                draw = random.random()
                if draw < 0.1:
                    copy = fleet.state.copy_items()
                elif draw < 0.2:
                    # First wait until some entry has each edit that was accepted.
                    await trio.sleep(CONVERGENCE_S)
                    fleet.restore_from(copy)
                elif draw < 0.25:
                    member = random.choice(list(fleet.members.values()))
                    member.cut = not member.cut
                else:
                    cell = random.choice(cells)
                    text = str(1 + number % 9)
                    try:
                        await make_editor(fleet.make_store(), seed=number).commit(
                            set_cell(cell, text, f"edit-{number}")
                        )
                    except HyssopvaneError:
                        continue
                    accepted[cell] = int(text)
                    await trio.sleep(random.uniform(0, 3))
            for member in fleet.members.values():
                member.cut = False
            await trio.sleep(CONVERGENCE_S)
            for member in fleet.members.values():
                for cell, value in accepted.items():
                    row = member.spread.table.customers[cell.row.name]
                    assert getattr(row, cell.column) == value, (member.name, cell)
            digests = {one.spread.reader.digest for one in fleet.members.values()}
            assert len(digests) == 1
            nursery.cancel_scope.cancel()

    run_mocked(run)

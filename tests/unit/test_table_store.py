"""Test concurrent edits, lost replies, and readers during outages of the service."""

import itertools
from collections import Counter
from contextlib import asynccontextmanager
from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.coordination import table_pages, table_store
from hyssopvane._internal.coordination.key_value import KeyValue
from hyssopvane._internal.coordination.table_edit import CellWrite, TableEdit
from hyssopvane._internal.coordination.table_pages import (
    MAX_RECENT_EDITS,
    PAGE_PREFIX,
    get_page_key,
    parse_page,
)
from hyssopvane._internal.coordination.table_store import (
    EditAccepted,
    TableEditor,
    TableReader,
)
from hyssopvane._internal.exceptions import (
    EditConflict,
    KeyValueUnavailable,
    KeyValueUnknown,
    TableError,
)
from hyssopvane._internal.standins.key_value_state import KeyValueState, Put
from hyssopvane._internal.state.columns import parse_row_id
from hyssopvane._internal.state.table import CellId, check_references
from tests.lib.fake_key_value import LATE_WRITE_DELAY_S, FakeKeyValueStore, Fault

ALICE = parse_row_id("customer/alice")
WEIGHT = CellId(ALICE, "weight")
PRIORITY = CellId(ALICE, "priority")


def run_mocked(function):
    return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0.0))


def set_cell(cell, text, edit_id, expected=None):
    return TableEdit(edit_id, writes=(CellWrite(cell, text, expected),))


def make_editor(store, seed=1, **options):
    return TableEditor(store, random=Random(seed), **options)


async def add_alice(state, nursery):
    editor = make_editor(FakeKeyValueStore(state, nursery))
    await editor.commit(TableEdit("add", added=(ALICE,)))


async def load_table(state, nursery):
    reader = TableReader(FakeKeyValueStore(state, nursery), random=Random(1))
    return await reader.load()


def count_applications(state):
    """Count how often each edit was applied to a cell; its text is the edit's id."""
    applications = Counter()
    last = {}
    for event in state.get_events(0, PAGE_PREFIX.encode(), b"u"):
        page = parse_page(KeyValue("page", event.item.value, 0, 0))
        for row, stored in page.rows.items():
            for name, cell in stored.cells.items():
                if last.get((row, name)) != cell.revision:
                    applications[cell.text] += 1
                last[row, name] = cell.revision
    return applications


def scripted(faults):
    """Return each fault once, then none."""
    rest = list(faults)
    return lambda: rest.pop(0) if rest else Fault.NONE


@pytest.mark.parametrize("fault", [Fault.LOST_REPLY, Fault.LATE_WRITE])
def test_lost_reply_is_resolved_without_a_second_write(fault):
    """Guard against a retry that overwrites the accepted value of another operator.

    The service applies an edit but its answer is lost. Another operator sets the same
    cell before the command reads it back. A plain retry would restore the first value,
    although the second edit was accepted.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            store = FakeKeyValueStore(
                state, nursery, choose_fault=scripted([Fault.NONE, fault])
            )

            async def edit_first():
                await make_editor(store).commit(set_cell(WEIGHT, "200", "200"))

            async def edit_second():
                while not count_applications(state)["200"]:
                    await trio.sleep(0.001)
                other = FakeKeyValueStore(state, nursery)
                await make_editor(other).commit(set_cell(WEIGHT, "300", "300"))

            async with trio.open_nursery() as operators:
                operators.start_soon(edit_first)
                operators.start_soon(edit_second)
            assert (await load_table(state, nursery)).customers["alice"].weight == 300
            assert count_applications(state) == {"200": 1, "300": 1}

    run_mocked(run)


def test_lost_write_is_not_retried_over_a_newer_value():
    """Guard against a retry that overwrites a newer value without a conflict.

    A write is lost before it reaches the service, and its sender can't know. Meanwhile
    another operator's edit of the same cell is accepted. A retry of the first edit on
    top of that value would silently replace it.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            faults = [Fault.NONE, Fault.LOST_WRITE, Fault.DOWN, Fault.DOWN]
            store = FakeKeyValueStore(state, nursery, choose_fault=scripted(faults))

            async def edit_second():
                while store.calls < 3:
                    await trio.sleep(0.001)
                other = FakeKeyValueStore(state, nursery)
                await make_editor(other).commit(set_cell(WEIGHT, "300", "300"))

            async with trio.open_nursery() as operators:
                operators.start_soon(edit_second)
                with pytest.raises(EditConflict) as error:
                    await make_editor(store).commit(set_cell(WEIGHT, "200", "200"))
            assert "300" in str(error.value)
            assert count_applications(state) == {"300": 1}

    run_mocked(run)


def test_lost_reply_of_a_service_that_stays_down_is_reported_as_unknown():
    """Guard against a false report that nothing was changed.

    The answer to a write is lost and the service stays down. The error must say that
    the outcome is unknown, and contain the edit id with which the same edit can be sent
    again without being applied twice.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            faults = [Fault.NONE, Fault.LOST_REPLY, *[Fault.DOWN] * 1000]
            store = FakeKeyValueStore(state, nursery, choose_fault=scripted(faults))
            with pytest.raises(KeyValueUnknown) as error:
                await make_editor(store).commit(set_cell(WEIGHT, "200", "200"))
            assert "--edit-id 200 --expect 1" in error.value.hint
            again = make_editor(FakeKeyValueStore(state, nursery))
            await again.commit(set_cell(WEIGHT, "200", "200", expected=1))
            assert count_applications(state) == {"200": 1}
            for number in range(MAX_RECENT_EDITS + 1):
                await again.commit(set_cell(PRIORITY, "1", f"other {number}"))
            with pytest.raises(EditConflict):
                await again.commit(set_cell(WEIGHT, "200", "200", expected=1))

    run_mocked(run)


def test_edit_is_refused_at_once_while_the_service_is_down():
    """The service is down when an operator sets a cell, so nothing was changed."""

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            store = FakeKeyValueStore(
                state, nursery, choose_fault=scripted([Fault.DOWN])
            )
            with pytest.raises(KeyValueUnavailable):
                await make_editor(store).commit(set_cell(WEIGHT, "200", "200"))

    run_mocked(run)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    edits=st.lists(
        st.tuples(
            st.sampled_from([WEIGHT, PRIORITY]),
            st.sampled_from([None, 1, 2, 3]),
            st.floats(0, 0.2),
        ),
        min_size=2,
        max_size=8,
    ),
    faults=st.lists(st.sampled_from(Fault), max_size=40),
)
def test_racing_operators_never_revert_an_accepted_cell(seed, edits, faults):
    """Guard against an edit that is applied twice, or applied after it was refused.

    Operators edit one row concurrently while the service is down, answers stale reads
    or loses replies. Such an edit would revert an accepted edit of another operator.
    """
    outcomes = {}

    async def run():
        random = Random(seed)
        choose_fault = scripted(faults)
        state = KeyValueState(trio.current_time)

        async def edit(nursery, edit_id, cell, expected, delay):
            await trio.sleep(delay)
            store = FakeKeyValueStore(
                state,
                nursery,
                choose_fault=choose_fault,
                choose_delay=lambda: random.uniform(0, 0.05),
            )
            editor = make_editor(store, seed + int(edit_id))
            try:
                outcomes[edit_id] = await editor.commit(
                    set_cell(cell, edit_id, edit_id, expected)
                )
            except (EditConflict, KeyValueUnavailable, KeyValueUnknown) as error:
                outcomes[edit_id] = error

        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            async with trio.open_nursery() as operators:
                for number, (cell, expected, delay) in enumerate(edits):
                    arguments = (nursery, str(number + 1), cell, expected, delay)
                    operators.start_soon(edit, *arguments)
        return count_applications(state)

    applications = run_mocked(run)
    for edit_id, outcome in outcomes.items():
        if isinstance(outcome, EditAccepted):
            assert applications[edit_id] == 1
        elif isinstance(outcome, KeyValueUnknown):
            assert applications[edit_id] <= 1
        else:
            assert applications[edit_id] == 0


@pytest.mark.parametrize(
    ("cells", "accepted"), [((WEIGHT, PRIORITY), 2), ((WEIGHT, WEIGHT), 1)]
)
def test_race_of_two_operators(cells, accepted):
    """Two operators read a row at the same time, and each sets a cell.

    Edits of different cells are both accepted; of two edits of one cell, the second one
    is a conflict.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        outcomes = []

        async def edit(nursery, number, cell):
            store = FakeKeyValueStore(state, nursery, choose_delay=lambda: 0.01)
            edit = set_cell(cell, str(number), str(number))
            try:
                outcomes.append(await make_editor(store, number).commit(edit))
            except EditConflict:
                pass

        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            async with trio.open_nursery() as operators:
                for number, cell in enumerate(cells, start=1):
                    operators.start_soon(edit, nursery, number, cell)
        assert len(outcomes) == accepted

    run_mocked(run)


@pytest.mark.parametrize(
    ("edit", "words"),
    [
        (set_cell(WEIGHT, "0", "e"), ["customer/alice", "weight", "'0'", "10000"]),
        (set_cell(CellId(ALICE, "wieght"), "1", "e"), ["wieght", "weight"]),
        (set_cell(CellId(parse_row_id("customer/bob"), "weight"), "1", "e"), ["add"]),
        (TableEdit("e", added=(ALICE,)), ["already"]),
        (TableEdit("e", removed=(parse_row_id("service/x"),)), ["not in the table"]),
        (
            TableEdit(
                "e",
                ensured=(parse_row_id("target/t"),),
                writes=(CellWrite(CellId(parse_row_id("target/t"), "service"), "x"),),
            ),
            ["target/t", "'x'", "add the service first"],
        ),
    ],
)
def test_refused_edit_changes_nothing_and_includes_a_hint(edit, words):
    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            revision = state.revision
            with pytest.raises(TableError) as error:
                await make_editor(FakeKeyValueStore(state, nursery)).commit(edit)
            assert all(word in str(error.value) for word in words)
            assert state.revision == revision

    run_mocked(run)


def test_row_that_is_added_again_does_not_match_the_old_one():
    """Guard against an edit of an old row that changes the new one.

    A row is removed and added again after an operator has read it. The expected
    revision of the old row must not match the new row.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            editor = make_editor(FakeKeyValueStore(state, nursery))
            old = (await load_table(state, nursery)).get_cell_revision(WEIGHT)
            await editor.commit(TableEdit("remove", removed=(ALICE,)))
            await editor.commit(TableEdit("again", added=(ALICE,)))
            with pytest.raises(EditConflict):
                await editor.commit(set_cell(WEIGHT, "7", "late", old))

    run_mocked(run)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    faults=st.lists(st.sampled_from(Fault), max_size=30),
)
def test_reader_follows_and_never_reverts(seed, faults):
    """Guard against a lost edit or an older limit that returns.

    The watch of the reader goes silent, its reads are stale and the service is down.
    Each edit must still come into force, and must not be reverted afterwards.
    """
    seen = []

    async def run():
        state = KeyValueState(trio.current_time)
        random = Random(seed)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            store = FakeKeyValueStore(state, nursery, choose_fault=scripted(faults))
            reader = TableReader(store, random=random)
            send, receive = trio.open_memory_channel(0)

            async def edit():
                editor = make_editor(FakeKeyValueStore(state, nursery))
                for weight in range(1, 11):
                    await trio.sleep(random.uniform(0, 3))
                    await editor.commit(set_cell(WEIGHT, str(weight), str(weight)))

            nursery.start_soon(reader.follow, send)
            nursery.start_soon(edit)
            with trio.fail_after(1000):
                while not seen or seen[-1].customers["alice"].weight != 10:
                    seen.append(await receive.receive())
            nursery.cancel_scope.cancel()

    run_mocked(run)
    weights = [table.customers["alice"].weight % 100 for table in seen]
    assert weights == sorted(weights)
    revisions = [table.revision for table in seen]
    assert revisions == sorted(set(revisions))


def test_page_too_large_is_refused(monkeypatch):
    monkeypatch.setattr(table_pages, "MAX_PAGE_BYTES", 10_000)

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            names = (f"{number:063d}" for number in itertools.count())
            rows = (parse_row_id(f"service/{name}") for name in names)
            on_page = (row for row in rows if get_page_key(row) == get_page_key(ALICE))
            rows = tuple(itertools.islice(on_page, 30))
            cells = [
                CellWrite(CellId(row, "path_prefix"), "/" + row.name * 4)
                for row in rows
            ]
            edit = TableEdit("big", ensured=rows, writes=tuple(cells))
            with pytest.raises(TableError) as error:
                await make_editor(FakeKeyValueStore(state, nursery)).commit(edit)
            assert "too large" in str(error.value)
            assert state.revision == 1

    run_mocked(run)


def test_edit_too_large_for_one_transaction_is_refused(monkeypatch):
    monkeypatch.setattr(table_store, "MAX_TRANSACTION_BYTES", 2_000)

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            rows = tuple(parse_row_id(f"target/t-{number}") for number in range(100))
            with pytest.raises(TableError) as error:
                await make_editor(FakeKeyValueStore(state, nursery)).commit(
                    TableEdit("big", ensured=rows)
                )
            assert "import fewer rows" in str(error.value)
            assert state.revision == 1

    run_mocked(run)


def test_pages_of_a_peer_are_accepted_only_when_newer():
    """A peer that was paused forwards pages that were replaced since."""

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            store = FakeKeyValueStore(state, nursery)
            paused, current = (
                TableReader(store, random=Random(seed)) for seed in range(2)
            )
            await paused.load()
            await make_editor(store).commit(set_cell(WEIGHT, "200", "200"))
            await current.load()
        assert not current.accept(paused.get_pages())
        assert current.table.customers["alice"].weight == 200
        revision = paused.table.revision
        assert paused.accept(current.get_pages(min_revision=revision + 1))
        assert paused.table == current.table

    run_mocked(run)


def test_unreadable_page_leaves_the_last_one_in_force():
    """Guard against a malformed page that clears limits or blocks other pages.

    A page was overwritten with content that a reader can't parse. The rows of this page
    keep their last values, and other pages still come into force.
    """
    reports = []

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            store = FakeKeyValueStore(state, nursery)
            reader = TableReader(store, random=Random(1), report=reports.append)
            await reader.load()
            key = state.get_range(PAGE_PREFIX.encode(), b"u")[0].key
            state.commit([], [Put(key, b"{}")])
            return await reader.load()

    assert "alice" in run_mocked(run).customers
    assert "can't be read" in str(reports[0])


def test_stale_reads_do_not_block_an_edit():
    """Guard against an edit that fails because all reads are stale.

    The replica that answers reads lags behind, so every read returns an old page. The
    answer to the failed swap has the current page, and the next attempt builds on it.
    Otherwise the edit would fail with the error that too many operators edit at once.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            stale = FakeKeyValueStore(
                state, nursery, choose_fault=lambda: Fault.STALE_READ
            )
            other = make_editor(FakeKeyValueStore(state, nursery))
            await other.commit(set_cell(PRIORITY, "1", "1"))
            await make_editor(stale).commit(set_cell(WEIGHT, "200", "200"))
            assert count_applications(state) == {"1": 1, "200": 1}

    run_mocked(run)


def set_service(target, service):
    row = parse_row_id(f"target/{target}")
    write = CellWrite(CellId(row, "service"), service)
    return TableEdit(f"set {target}", writes=(write,), ensured=(row,))


def set_key(customer):
    write = CellWrite(CellId(parse_row_id(customer), "key_sha256"), "a" * 64)
    return TableEdit(f"set {customer}", writes=(write,), ensured=(write.cell.row,))


@pytest.mark.parametrize(
    "edits",
    [
        (
            TableEdit("remove", removed=(parse_row_id("service/draft"),)),
            set_service("t-1", "draft"),
        ),
        (set_key("customer/bob"), set_key("customer/carol")),
    ],
    ids=["service and its target", "one key of two customers"],
)
def test_inconsistent_edits_are_not_both_accepted(edits):
    """Guard against concurrent edits that are valid alone but not together.

    Two operators change different rows at the same time. Together the edits leave a
    target without its service, which gets no work, or give two customers one key, which
    bills one customer for the other.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        refused = []

        async def commit(nursery, edit):
            store = FakeKeyValueStore(state, nursery, choose_delay=lambda: 0.01)
            try:
                await make_editor(store).commit(edit)
            except TableError as error:
                refused.append(error)

        async with trio.open_nursery() as nursery:
            editor = make_editor(FakeKeyValueStore(state, nursery))
            service = parse_row_id("service/draft")
            await editor.commit(TableEdit("add", added=(service,)))
            async with trio.open_nursery() as operators:
                for edit in edits:
                    operators.start_soon(commit, nursery, edit)
            check_references(await load_table(state, nursery))
        assert len(refused) == 1

    run_mocked(run)


def test_late_write_of_a_refused_edit_is_not_applied():
    """Guard against a delayed write that is applied after its edit was refused.

    A write is in flight while another edit removes the row that it refers to. When the
    table is read back, the edit is invalid, and the operator is told that nothing was
    changed. The delayed write must then fail.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            editor = make_editor(FakeKeyValueStore(state, nursery))
            service = parse_row_id("service/draft")
            await editor.commit(TableEdit("add", added=(service,)))
            faults = [Fault.NONE, Fault.LATE_WRITE, Fault.DOWN]
            store = FakeKeyValueStore(state, nursery, choose_fault=scripted(faults))

            async def remove():
                while store.calls < 3:
                    await trio.sleep(0.001)
                await editor.commit(TableEdit("remove", removed=(service,)))

            async with trio.open_nursery() as operators:
                operators.start_soon(remove)
                with pytest.raises(TableError):
                    await make_editor(store).commit(set_service("t-1", "draft"))
            await trio.sleep(2 * LATE_WRITE_DELAY_S)
            assert not (await load_table(state, nursery)).targets

    run_mocked(run)


class _NoWatchStore(FakeKeyValueStore):
    @asynccontextmanager
    async def watch(self, prefix, start_revision, *, era=0):
        self.calls += 1
        send, receive = trio.open_memory_channel(0)
        send.close()
        yield receive


def test_watch_that_ends_at_once_is_retried_with_back_off():
    """Guard against readers that overload the service when watches fail.

    For an hour the service answers reads but ends each watch at once. Readers that
    retry without a back-off would use up its capacity for reads, and slow down
    operators and callers.
    """

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            store = _NoWatchStore(state, nursery)
            reader = TableReader(store, random=Random(1))
            send, _receive = trio.open_memory_channel(1)
            nursery.start_soon(reader.follow, send)
            await trio.sleep(3600)
            nursery.cancel_scope.cancel()
        return store.calls

    assert run_mocked(run) < 3600


def test_edit_accepted_after_a_restore_comes_into_force():
    """Guard against a page that is ignored because a lost page had its revision."""

    async def run():
        state = KeyValueState(trio.current_time)
        async with trio.open_nursery() as nursery:
            await add_alice(state, nursery)
            copy = state.copy_items()
            await make_editor(FakeKeyValueStore(state, nursery)).commit(
                set_cell(WEIGHT, "5", "lost")
            )
            store = FakeKeyValueStore(state, nursery)
            reader = TableReader(store, random=Random(1))
            assert (await reader.load()).customers["alice"].weight == 5
            store.state = copy
            await make_editor(store).commit(set_cell(WEIGHT, "7", "accepted"))
            assert (await reader.load()).customers["alice"].weight == 7

    run_mocked(run)

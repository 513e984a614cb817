"""Test the table's columns, cells, CSV format and text output."""

import dataclasses
import re
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.coordination.table_csv import FIELDS, format_csv, parse_csv
from hyssopvane._internal.coordination.table_edit import apply_edit, make_base
from hyssopvane._internal.coordination.table_import import read_example
from hyssopvane._internal.coordination.table_pages import (
    Page,
    build_parsed_page,
    build_table,
    get_page_key,
)
from hyssopvane._internal.exceptions import TableError
from hyssopvane._internal.state.columns import COLUMNS, RowId, RowKind, parse_row_id
from hyssopvane._internal.state.table import (
    ROW_TYPES,
    ServiceRow,
    build_row,
    check_references,
    format_cell,
)
from hyssopvane._internal.state.table_text import format_rows

HEADING = ",".join(FIELDS)


@pytest.mark.parametrize("kind", RowKind)
def test_columns_match_fields_of_rows(kind):
    fields = {field.name: field for field in dataclasses.fields(ROW_TYPES[kind])}
    del fields["name"]
    assert list(fields) == list(COLUMNS[kind])
    for name, column in COLUMNS[kind].items():
        assert column.default == fields[name].default
        text = column.format(column.default)
        assert column.parse(text, row=RowId(kind, "x")) == column.default


@pytest.mark.parametrize(
    ("row", "column", "text", "allowed"),
    [
        ("customer/alice", "weight", "0", "from 1 to 10000"),
        ("customer/alice", "weight", "10001", "from 1 to 10000"),
        ("customer/alice", "weight", "1.5", "integer"),
        ("customer/alice", "weight", "", "integer"),
        ("customer/alice", "weight", "٣", "integer"),
        ("customer/alice", "priority", "10", "from 0 to 9"),
        ("customer/alice", "priority", "-1", "from 0 to 9"),
        ("customer/alice", "rate_limit", "nan", "number"),
        ("customer/alice", "rate_limit", "inf", "number"),
        ("customer/alice", "rate_limit", "-0.5", "from 0"),
        ("customer/alice", "key_sha256", "abc", "64 hexadecimal"),
        ("service/draft", "repeatable", "maybe", "yes or no"),
        ("service/draft", "idempotency_window_s", "59", "from 60 to 3600 s"),
        ("service/draft", "path_prefix", "draft", "starts with /"),
        ("service/draft", "path_prefix", "/a b", "starts with /"),
        ("target/t", "service", "Draft!", "name of a row"),
        ("target/t", "weight", "-1", "from 0 to 10000"),
    ],
)
def test_bad_cell_names_row_column_value_and_range(row, column, text, allowed):
    row_id = parse_row_id(row)
    with pytest.raises(TableError) as error:
        build_row(row_id, {column: text})
    message = str(error.value)
    assert row in message
    assert column in message
    assert repr(text) in message
    assert allowed in message
    assert "nothing was changed" in error.value.hint


@pytest.mark.parametrize(
    "text", ["alice", "customer/", "customer/Alice", "customer/-a", "planet/x", "/"]
)
def test_bad_row_id_is_refused(text):
    with pytest.raises(TableError):
        parse_row_id(text)


def test_path_prefix_defaults_to_name():
    assert ServiceRow("draft").path_prefix == "/draft"
    assert ServiceRow("draft", path_prefix="/d").path_prefix == "/d"


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("", ["heading"]),
        ("a,b\n", ["heading"]),
        (f"{HEADING}\ncustomer,alice,weight\n", ["line 2", "3 fields"]),
        (f"{HEADING}\n\nplanet,x,y,1\n", ["line 3", "planet"]),
        (f"{HEADING}\ncustomer,alice,size,1\n", ["line 2", "size"]),
        (f"{HEADING}\ncustomer,alice,weight,0\n", ["line 2", "10000"]),
        (
            f"{HEADING}\ncustomer,a,weight,1\ncustomer,a,weight,2\n",
            ["line 3", "given twice"],
        ),
    ],
)
def test_bad_csv_names_the_line(text, words):
    with pytest.raises(TableError) as error:
        parse_csv(text, source="table.csv", edit_id="e")
    assert all(word in str(error.value) for word in words)


def build_table_from_csv(text):
    edit = parse_csv(text, source="test", edit_id="e")
    pages = {get_page_key(row): Page() for row in edit.get_rows()}
    changed = apply_edit(edit, pages, make_base(edit, pages))
    return build_table(build_parsed_page(page, 1) for page in changed.values())


@st.composite
def draw_csv(draw):
    lines = {}
    names = st.from_regex(r"[a-z0-9][a-z0-9-]{0,6}", fullmatch=True)
    columns = [column for row in COLUMNS.values() for column in row.values()]
    for column in draw(st.lists(st.sampled_from(columns), max_size=20)):
        name = draw(names)
        if column.low is None:
            text = column.format(column.default)
        else:
            text = str(draw(st.integers(max(1, int(column.low)), int(column.high))))
        lines[column.kind, name, column.name] = text
    return "\n".join(
        [HEADING, *(",".join((*key, text)) for key, text in lines.items())]
    )


@settings(derandomize=True, max_examples=100, deadline=None)
@given(text=draw_csv())
def test_csv_round_trip_keeps_table(text):
    table = build_table_from_csv(text)
    assert build_table_from_csv(format_csv(table)) == table


def test_rows_are_aligned_within_the_width():
    table = build_table_from_csv(
        f"{HEADING}\nservice,draft,deadline_s,7\nservice,a-longer-name,,\n"
    )
    lines = format_rows(table, RowKind.SERVICE, width=80)
    assert max(len(line) for line in lines) <= 80
    heading, first, second = lines[0], lines[1], lines[2]
    assert heading.index("path_prefix") == first.index("/a-longer-name")
    assert heading.index("path_prefix") == second.index("/draft")
    shown = "\n".join(lines)
    for name in COLUMNS[RowKind.SERVICE]:
        assert name in shown


@pytest.mark.parametrize("kind", RowKind)
def test_format_cell_formats_each_default(kind):
    row = build_row(RowId(kind, "x"), {})
    for name, column in COLUMNS[kind].items():
        if name != "path_prefix":
            assert format_cell(row, kind, name) == column.format(column.default)


@pytest.mark.parametrize("name", ["registry", "tengerkhuv"])
def test_example_can_be_imported(name):
    table = build_table_from_csv(read_example(name))
    check_references(table)
    assert len(table.services) >= 2
    assert len(table.customers) >= 10


def test_page_for_operators_describes_every_column():
    page = (Path(__file__).parents[2] / "docs" / "table.md").read_text("utf-8")
    for columns in COLUMNS.values():
        for column in columns.values():
            described = f"{column.describe_range()} | {column.meaning} |"
            assert re.search(
                rf"\| `{column.name}` \| [^|]+ \| {re.escape(described)}", page
            )

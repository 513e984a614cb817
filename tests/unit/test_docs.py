"""Test that the pages list exactly the refusals, settings and events of the code."""

import ast
import re
from pathlib import Path

import pytest

from hyssopvane._internal.models.direct_refusals import DirectAnswer, DirectRefusal
from hyssopvane._internal.models.refusals import (
    REFUSAL_RULES,
    AgentRefusal,
    RefusalReason,
)
from hyssopvane._internal.models.settings import (
    AgentSettings,
    DirectEntrySettings,
    EntrySettings,
    RankAgentSettings,
)

SOURCES = Path(__file__).parents[2] / "src"
DOCS = Path(__file__).parents[2] / "docs"
ROW = re.compile(r"^\| `([a-z_-]+)` \|(.*)\|$", re.MULTILINE)


def read_rows(page, heading):
    """Return the rest of each table row below a heading, by its first cell."""
    text = (DOCS / page).read_text()
    section = text.split(f"## {heading}\n")[1].split("\n## ")[0]
    return dict(ROW.findall(section))


@pytest.mark.parametrize(
    ("heading", "reasons"),
    [
        ("Told to callers", RefusalReason),
        ("Told by an agent to an entry", AgentRefusal),
    ],
)
def test_page_names_each_reason(heading, reasons):
    assert set(read_rows("refusals.md", heading)) == {one.value for one in reasons}


@pytest.mark.parametrize("reason", RefusalReason, ids=lambda one: one.value)
def test_page_gives_the_status_of_a_reason(reason):
    row = read_rows("refusals.md", "Told to callers")[reason.value]
    assert row.split("|")[0].strip() == str(REFUSAL_RULES[reason].status)


@pytest.mark.parametrize("reason", AgentRefusal, ids=lambda one: one.value)
def test_page_says_what_a_refusal_proves(reason):
    row = read_rows("refusals.md", "Told by an agent to an entry")[reason.value]
    proves = row.split("|")[-1].strip()
    assert proves == ("yes" if reason.proves_not_run else "no")


def test_page_names_each_setting():
    entry, agent = EntrySettings.model_fields.keys(), AgentSettings.model_fields.keys()
    assert set(read_rows("settings.md", "Both roles")) == entry & agent
    assert set(read_rows("settings.md", "Entry")) == entry - agent
    assert set(read_rows("settings.md", "Agent")) == agent - entry


def list_counted_events():
    """Yield the names of counted events; of an f-string its first constant part."""
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if getattr(node.func, "attr", "") != "count_event":
                continue
            event = node.args[0]
            if isinstance(event, ast.JoinedStr):
                event = event.values[0]
            yield event.value


@pytest.mark.parametrize("event", sorted(set(list_counted_events())))
def test_page_names_each_event(event):
    pages = (DOCS / "metrics.md").read_text() + (DOCS / "expert-maps.md").read_text()
    assert f"`{event}" in pages


@pytest.mark.parametrize("reason", DirectRefusal, ids=lambda one: one.value)
def test_page_gives_the_status_of_a_refusal_on_the_direct_path(reason):
    rows = dict(ROW.findall((DOCS / "direct-refusals.md").read_text()))
    assert set(rows) == {one.value for one in DirectRefusal}
    status = rows[reason.value].split("|")[0].strip()
    assert status == str(DirectAnswer(reason).status)


def test_page_names_each_setting_of_the_direct_path():
    entry = DirectEntrySettings.model_fields.keys()
    agent = RankAgentSettings.model_fields.keys()
    page = "direct-settings.md"
    assert set(read_rows(page, "Both roles")) == entry & agent
    assert set(read_rows(page, "Entry")) == entry - agent
    assert set(read_rows(page, "Agent")) == agent - entry

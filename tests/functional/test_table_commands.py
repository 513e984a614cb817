"""Test the commands that read and edit the table as separate processes."""

import re

import httpcore
import pytest

from hyssopvane._internal.cli.status_codes import StatusCode
from tests.lib.commands import run_hyssopvane
from tests.lib.processes import run_standin_process


@pytest.fixture(scope="module")
def platform():
    with run_standin_process("key_value") as address:
        yield address


def run_table(platform, *arguments, status=StatusCode.OK):
    result = run_hyssopvane("table", *arguments, platform=platform)
    assert result.returncode == status, result.stderr
    return result.stdout if status == StatusCode.OK else result.stderr


def show_cell(platform, row, column):
    """Return the value and the revision of a cell."""
    lines = run_table(platform, "show", row).splitlines()
    fields = next(line.split() for line in lines if line.startswith(column))
    return fields[1], fields[2]


def test_edit_is_read_back(platform):
    run_table(platform, "add", "customer/alice")
    run_table(platform, "set", "customer/alice", "weight", "250")
    assert re.search(r"alice +- +250", run_table(platform, "show", "customers"))
    assert "customer,alice,weight,250" in run_table(platform, "export")
    run_table(platform, "remove", "customer/alice")
    assert "alice" not in run_table(platform, "show")


def test_import_is_all_or_none(platform, tmp_path):
    path = tmp_path / "table.csv"
    good = "kind,name,column,value\ncustomer,bob,weight,7\nservice,draft,,\n"
    path.write_text(good + "target,t-1,service,nowhere\n")
    error = run_table(platform, "import", str(path), status=StatusCode.ERROR)
    assert "nowhere" in error
    assert "bob" not in run_table(platform, "export")
    path.write_text(good + "target,t-1,service,draft\n")
    run_table(platform, "import", str(path))
    assert run_table(platform, "export") == (
        "kind,name,column,value\n"
        "service,draft,,\n"
        "customer,bob,weight,7\n"
        "target,t-1,service,draft\n"
    )
    error = run_table(platform, "remove", "service/draft", status=StatusCode.ERROR)
    assert "target/t-1" in error


def test_second_operator_gets_a_conflict(platform):
    """Guard against an operator who overwrites a value that they haven't seen.

    Two operators read the same cell, and one of them sets it. The other must see the
    new value before replacing it.
    """
    run_table(platform, "add", "customer/carol")
    _, revision = show_cell(platform, "customer/carol", "weight")
    command = ("set", "customer/carol", "weight")
    run_table(platform, *command, "200", "--expect", revision)
    error = run_table(
        platform, *command, "300", "--expect", revision, status=StatusCode.CONFLICT
    )
    assert "it is 200" in error
    expected = re.search(r"--expect (\d+)", error)[1]
    run_table(platform, *command, "300", "--expect", expected)
    assert show_cell(platform, "customer/carol", "weight")[0] == "300"


def test_lost_reply_is_resolved(platform):
    """The service applies an edit and its answer is lost.

    The operator's command reads the edit back and reports it as accepted.
    """
    run_table(platform, "add", "customer/dave")
    _, revision = show_cell(platform, "customer/dave", "weight")
    url = f"http://{platform}/faults"
    httpcore.request("POST", url, content=b'{"lose_next_write_answers": 1}')
    output = run_table(platform, "set", "customer/dave", "weight", "5")
    assert output.startswith("accepted")
    cell = show_cell(platform, "customer/dave", "weight")
    assert cell == ("5", str(int(revision) + 1))


def test_same_edit_id_is_applied_once(platform):
    """An operator repeats an edit of unknown outcome after another operator's edit."""
    run_table(platform, "add", "customer/erin")
    command = ("set", "customer/erin", "weight")
    run_table(platform, *command, "5", "--edit-id", "one")
    run_table(platform, *command, "6")
    run_table(platform, *command, "5", "--edit-id", "one")
    assert show_cell(platform, "customer/erin", "weight")[0] == "6"


@pytest.mark.parametrize(
    ("arguments", "status", "words"),
    [
        (("set", "customer/no", "weight", "1"), StatusCode.ERROR, "table add"),
        (("set", "customer/no", "weight", "x"), StatusCode.ERROR, "10000"),
        (("set", "no", "weight", "1"), StatusCode.ERROR, "customer/alice"),
        (("add", "customer/A"), StatusCode.ERROR, "a-z"),
        (("show", "planets"), StatusCode.ERROR, "customers, services, targets"),
        (("show", "customer/no"), StatusCode.ERROR, "table show customers"),
        (("import", "/nowhere.csv"), StatusCode.ERROR, "readable"),
        (
            ("show", "--platform", "127.0.0.1:1"),
            StatusCode.UNAVAILABLE,
            "nothing was changed",
        ),
    ],
)
def test_error_message_includes_a_hint(platform, arguments, status, words):
    assert words in run_table(platform, *arguments, status=status)


def test_missing_platform_setting_is_reported():
    error = run_table("", "show", status=StatusCode.BAD_SETTINGS)
    assert "HYSSOPVANE_PLATFORM" in error

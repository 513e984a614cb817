"""Test that the commands in the console blocks of the pages run without errors."""

import re
import shlex
import subprocess
import sys
from pathlib import Path

import pytest

from tests.lib.installation import commit_table
from tests.lib.processes import TOKEN, open_cluster

ROOT = Path(__file__).parents[2]
BLOCK = re.compile(r"^```console\n(.*?)^```", re.MULTILINE | re.DOTALL)
PAGES = sorted(
    str(page.relative_to(ROOT))
    for page in (ROOT / "README.md", *(ROOT / "docs").rglob("*.md"))
    if BLOCK.search(page.read_text())
)


def read_commands(page):
    """Yield the commands of a page's console blocks in order."""
    for block in BLOCK.findall((ROOT / page).read_text()):
        yield from (line[2:] for line in block.splitlines() if line.startswith("$ "))


@pytest.fixture(scope="module")
def environment(tmp_path_factory):
    """Run an entry and return the environment variables that the pages require."""
    with open_cluster(tmp_path_factory.mktemp("docs")) as cluster:
        commit_table(cluster.platform)
        cluster.start_entry("entry-1")
        yield {
            "HYSSOPVANE_PLATFORM": cluster.platform,
            "HYSSOPVANE_ENTRY": cluster.operators["entry-1"],
            "HYSSOPVANE_TOKEN": TOKEN,
            "PATH": "/usr/bin:/bin",
        }


@pytest.mark.parametrize("page", PAGES)
def test_commands_of_a_page_run(page, environment):
    commands = list(read_commands(page))
    assert commands
    for command in commands:
        program, *arguments = shlex.split(command)
        assert program == "hyssopvane", command
        done = subprocess.run(
            [sys.executable, "-m", "hyssopvane", *arguments],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 0, f"{command}: {done.stdout}{done.stderr}"

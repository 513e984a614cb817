"""Test the one-file build, and that help commands import no large libraries."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.lib.processes import TOKEN, Process

ROOT = Path(__file__).parent.parent.parent
PROGRAM = ROOT / "dist" / "hyssopvane"
HEAVY = {"hypercorn", "opentelemetry", "capnp"}
_PRINT_MODULES = (
    "import sys\n"
    "from hyssopvane._internal.cli.main import main\n"
    "try:\n"
    "    main(sys.argv[1:])\n"
    "except SystemExit:\n"
    "    pass\n"
    "print('modules', *sorted({name.partition('.')[0] for name in sys.modules}))\n"
)


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    """Return the command of the built program, which unpacks to a temporary folder."""
    if not PROGRAM.exists():
        subprocess.run([ROOT / "dev", "build"], check=True)
    before = os.environ.get("SHIV_ROOT")
    os.environ["SHIV_ROOT"] = str(tmp_path_factory.mktemp("shiv"))
    yield [sys.executable, str(PROGRAM)]
    if before is None:
        del os.environ["SHIV_ROOT"]
    else:
        os.environ["SHIV_ROOT"] = before


def list_children(pid):
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


@pytest.mark.parametrize(
    ("arguments", "text"), [(["--help"], "Usage:"), (["list"], "run entry")]
)
def test_program_lists_its_commands(program, arguments, text):
    done = subprocess.run(
        [*program, *arguments], capture_output=True, text=True, check=True
    )
    assert text in done.stdout


@pytest.mark.parametrize("role", ["entry", "demo"])
def test_program_runs_as_one_process(program, tmp_path, role):
    settings = {
        "role": "entry",
        "vm": "entry-1",
        "availability_zone": "arima",
        "platform": "127.0.0.1:1",
        "vm_list": "127.0.0.1:1",
        "token": TOKEN,
        "callers": "127.0.0.1:0",
        "peers": "127.0.0.1:0",
        "shutdown_delay_s": 0,
    }
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(settings))
    arguments = ["run", "entry", str(path)] if role == "entry" else ["demo"]
    process = Process([*program, *arguments])
    try:
        process.wait_for("event=started" if role == "entry" else "curl")
        assert list_children(process.pid) == []
        process.send_signal(signal.SIGINT)
        assert process.read_to_end() == 0
    finally:
        process.kill()


@pytest.mark.parametrize("arguments", [["--help"], ["table", "show", "--help"]])
def test_light_commands_import_no_servers(arguments):
    done = subprocess.run(
        [sys.executable, "-c", _PRINT_MODULES, *arguments],
        capture_output=True,
        text=True,
        check=True,
    )
    modules = set(done.stdout.splitlines()[-1].split())
    assert "cleo" in modules
    assert not modules & HEAVY

"""Test the entry point of the command line."""

import signal
import subprocess
import sys

import pytest

from hyssopvane._internal.cli import application, role_process
from hyssopvane._internal.cli.main import main


class RecordingApplication:
    """Record the SIGHUP handler at the time when the command starts."""

    def __init__(self):
        self.handler = None

    def run_arguments(self, arguments):
        self.handler = signal.getsignal(signal.SIGHUP)
        return 0

    def run_plain(self, role, path):
        return self.run_arguments([role, path])


@pytest.mark.parametrize(
    ("arguments", "ignored"),
    [
        (["run", "direct-entry", "file"], True),
        (["run", "direct-entry", "--help"], True),
        (["table", "show"], False),
    ],
)
def test_sighup_during_startup_is_ignored(monkeypatch, arguments, ignored):
    """Settings are reloaded by SIGHUP while a process is starting.

    Its handler is not installed yet, so the default action would end the process, and
    the machine would serve no requests until the next start.
    """
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    recorder = RecordingApplication()
    monkeypatch.setattr(application, "build_application", lambda: recorder)
    monkeypatch.setattr(role_process, "run_plain", recorder.run_plain)
    try:
        main(arguments)
    finally:
        signal.signal(signal.SIGHUP, before)
    assert (recorder.handler == signal.SIG_IGN) is ignored


def test_role_starts_without_importing_cleo():
    """After a power failure callers wait for each entry, so its start must be fast."""
    loaded = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys; from hyssopvane._internal.cli.main import main;"
            "main(['run', 'rank-agent', '/nowhere']); print('cleo' in sys.modules)",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert loaded.stdout.strip() == "False"
    assert "can't be read" in loaded.stderr

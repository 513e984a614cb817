"""Test the entry of the command line."""

import signal

import pytest

from hyssopvane._internal.cli import application
from hyssopvane._internal.cli.main import main


class RecordingApplication:
    """Remember what SIGHUP would do when the command begins to load."""

    def __init__(self):
        self.found = None

    def run_arguments(self, arguments):
        self.found = signal.getsignal(signal.SIGHUP)
        return 0


@pytest.mark.parametrize(
    ("arguments", "ignored"),
    [(["run", "direct-entry", "file"], True), (["table", "show"], False)],
)
def test_reload_during_the_start_ends_no_process(monkeypatch, arguments, ignored):
    """Settings change on many machines while a process is just being started there.

    It has not yet loaded what takes the signal, and would end: the machine serves
    nobody until it is started once more.
    """
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    found = RecordingApplication()
    monkeypatch.setattr(application, "build_application", lambda: found)
    try:
        main(arguments)
    finally:
        signal.signal(signal.SIGHUP, before)
    assert (found.found == signal.SIG_IGN) is ignored

"""Test the check of the random runs that no process goes back."""

import pytest

from tests.lib import fault_run
from tests.lib.fault_run import FaultRun


def read(revision):
    return {"incarnation": "one", "table_revision": revision}


@pytest.mark.parametrize(
    ("late", "newer"), [(0, 5), (5, 5), (7, 5)], ids=["before", "same", "after"]
)
def test_reading_that_ends_after_a_newer_one_is_no_regress(monkeypatch, late, newer):
    """Guards against a late reading that is taken for a process that went back."""
    run = FaultRun(None, seed=1)

    def read_late(cluster, vm):
        monkeypatch.setattr(fault_run, "read_in_force", lambda *_: read(newer))
        run._record_revision(vm)
        return read(late)

    monkeypatch.setattr(fault_run, "read_in_force", read_late)
    run._record_revision("check-2")
    assert run.report.violations == []


@pytest.mark.parametrize("revision", [0, 4])
def test_reading_below_what_was_noted_before_it_is_a_regress(monkeypatch, revision):
    """Guards against a check that no longer sees a process go back."""
    run = FaultRun(None, seed=1)
    for one in (5, revision):
        monkeypatch.setattr(fault_run, "read_in_force", lambda *_, one=one: read(one))
        run._record_revision("check-2")
    assert run.report.violations == [f"check-2 went back to revision {revision}"]

"""Test the status of all VMs."""

import pytest

from hyssopvane._internal.state.vm_status import (
    InForce,
    ListedVm,
    VmReport,
    build_status,
)

VMS = [ListedVm(vm, "entry", "arima", "live") for vm in ("a", "b", "c")]


@pytest.mark.parametrize(
    ("report", "in_force", "lag"),
    [
        (VmReport("c", 9, 1), InForce.NEWEST, 0),
        (VmReport("c", 9), InForce.NEWEST, 0),
        (VmReport("c", 7, 1), InForce.BEHIND, 2),
        (VmReport("c", 9, 2), InForce.INCOMPLETE, 0),
        (None, InForce.NO_ANSWER, 9),
    ],
)
def test_status_shows_vms_without_newest_table(report, in_force, lag):
    reports = [VmReport("a", 9, 1), VmReport("b", 9, 1)] + ([report] if report else [])
    status = build_status(VMS, reports)
    assert status.newest_revision == 9
    assert (status.vms[-1].in_force, status.vms[-1].lag) == (in_force, lag)
    assert [one.in_force for one in status.vms[:2]] == [InForce.NEWEST] * 2


def test_newest_report_of_a_vm_is_used():
    status = build_status(VMS[:1], [VmReport("a", 9), VmReport("a", 7)])
    assert status.vms[0].in_force is InForce.NEWEST

"""Test the client of the list of VMs and its stand-in."""

import httpcore
import pytest
import trio

from hyssopvane._internal.coordination.vm_list import (
    VmRecord,
    VmRole,
    VmState,
    fetch_vms,
    format_vms,
    parse_vms,
)
from hyssopvane._internal.exceptions import VmListError
from hyssopvane._internal.standins.vm_list import VmListApp
from tests.lib.processes import run_standin_process

VMS = (
    VmRecord("entry-1", "10.0.0.1:80", "arima", VmRole.ENTRY),
    VmRecord("t-1", "10.0.0.2:9", "arima", VmRole.AGENT, "draft", VmState.LEAVING),
)


def test_fetch_vms_returns_what_was_put():
    with run_standin_process("vm_list") as address:
        url = f"http://{address}/v1/vms"
        assert httpcore.request("PUT", url, content=b"{").status == 400
        assert httpcore.request("PUT", url, content=format_vms(VMS)).status == 200
        assert trio.run(fetch_vms, address) == VMS


def test_list_is_delayed():
    now = 0.0
    app = VmListApp(lag_s=5, clock=lambda: now)
    app.replace_vms(VMS)
    assert app.get_vms() == ()
    now = 5.0
    assert app.get_vms() == VMS


def test_fetch_vms_fails_when_the_service_is_unreachable():
    """The platform's list can't be reached; the reader keeps its last list."""
    with pytest.raises(VmListError):
        trio.run(fetch_vms, "127.0.0.1:1")


@pytest.mark.parametrize("content", [b"{", b"{}", b'{"vms": [{"name": "a"}]}'])
def test_parse_vms_refuses(content):
    with pytest.raises(VmListError):
        parse_vms(content, source="test")

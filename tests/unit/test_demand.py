"""Test the exchange of demand between entries."""

from functools import partial

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from hyssopvane._internal.coordination.demand import DemandExchange
from hyssopvane._internal.exceptions import PeerLost, ProtocolError
from hyssopvane._internal.policy.admission import Admission
from hyssopvane._internal.protocol.demand import (
    decode_share_grants,
    decode_share_requests,
    encode_share_grants,
    encode_share_requests,
)
from hyssopvane._internal.state.shares import EntryId, ShareGrant, ShareRequest
from hyssopvane._internal.state.table import CustomerRow

# Of three entries, one other than the first grants the shares of this customer.
CUSTOMER = "portal"
ROWS = {CUSTOMER: CustomerRow(CUSTOMER, concurrency_limit=60)}


@settings(derandomize=True, deadline=None)
@given(st.text(max_size=20), st.integers(0, 2**63), st.floats(0, 1), st.floats(0, 480))
def test_messages_survive_the_codec(customer, sequence, fraction, seconds):
    request = ShareRequest(customer, sequence, fraction, fraction, seconds)
    (found,) = decode_share_requests(encode_share_requests([request]))
    assert (found.customer, found.sequence) == (customer, sequence)
    assert found.need == found.held == fraction
    assert seconds <= found.held_s <= seconds + 0.002
    grant = ShareGrant(customer, sequence, fraction, seconds, seconds)
    (decoded,) = decode_share_grants(encode_share_grants([grant]))
    assert decoded.amount == fraction
    assert seconds - 0.002 <= decoded.lease_s <= seconds


@pytest.mark.parametrize("data", [b"", b"\xff" * 24])
def test_codec_refuses_malformed_data(data):
    with pytest.raises(ProtocolError):
        decode_share_requests(data)


class Site:
    """Run the exchanges of several entries, which call each other directly."""

    def __init__(self, *, cut_off=()):
        self.exchanges = {}
        self.admissions = {}
        self.cut_off = set(cut_off)

    def start(self, nursery, vms):
        for vm in vms:
            admission = self.admissions[vm] = Admission()
            admission.update_rows(ROWS)
            exchange = self.exchanges[vm] = DemandExchange(
                admission,
                own_vm=vm,
                incarnation=1,
                send_request=partial(self.send_request, vm),
                get_customers=lambda: ROWS,
            )
            exchange.update_entries(set(vms) - {vm})
            exchange.start(nursery)

    async def send_request(self, sender, vm, topic, body):
        if {sender, vm} & self.cut_off:
            raise PeerLost("the entry can't be reached", context=vm)
        return self.exchanges[vm].answer(EntryId(sender, 1), body)

    def fill(self, vm):
        """Admit requests until one is refused; return the number of open requests."""
        admission = self.admissions[vm]
        now = trio.current_time()
        while admission.check(CUSTOMER, 1, hold_s=1.0, now=now) is None:
            admission.take(CUSTOMER, 1)
        return admission.get_uses()[CUSTOMER].requests


async def run_site(site, *, seconds):
    vms = ("entry-0", "entry-1", "entry-2")
    async with trio.open_nursery() as nursery:
        site.start(nursery, vms)
        for _ in range(seconds):
            await trio.sleep(1)
            filled = site.fill("entry-0")
        nursery.cancel_scope.cancel()
    return filled


@pytest.mark.parametrize(
    ("cut_off", "least", "most"),
    [
        pytest.param((), 50, 52, id="demand at one entry gets the pool"),
        pytest.param(("entry-0",), 4, 4, id="cut off, it keeps to its safe share"),
    ],
)
def test_entry_gets_what_it_needs(cut_off, least, most):
    """Guard against fixed shares when all callers of a customer use one entry of three.

    With a fixed third of the limit, most requests would be refused while the rest of
    the limit is unused. When that entry is cut off from the others, it must not use
    their shares.
    """
    site = Site(cut_off=cut_off)
    filled = trio.run(
        partial(run_site, site, seconds=40), clock=MockClock(autojump_threshold=0)
    )
    assert least <= filled <= most

"""Exchange demand and shares of customers' limits with the other entries."""

from collections.abc import Awaitable, Callable, Iterable, Mapping

import trio

from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.policy.admission import Admission
from hyssopvane._internal.policy.entry_views import EntryView
from hyssopvane._internal.policy.share_grants import ShareGranter
from hyssopvane._internal.policy.shares import ShareHolder
from hyssopvane._internal.protocol.demand import (
    DEMAND_TOPIC,
    decode_share_grants,
    decode_share_requests,
    encode_share_grants,
    encode_share_requests,
)
from hyssopvane._internal.state.shares import EntryId, ShareRequest
from hyssopvane._internal.state.table import CustomerRow

_EXCHANGE_INTERVAL_S = 1.0
# A later answer is of little use: much of the shortest lease has passed, and the next
# request makes the answer void.
_ANSWER_TIMEOUT_S = 2.0

SendRequest = Callable[[str, str, bytes], Awaitable[bytes]]
GetCustomers = Callable[[], Mapping[str, CustomerRow]]


class DemandExchange:
    """Request shares of limits from other entries and grant shares to them."""

    def __init__(
        self,
        admission: Admission,
        *,
        own_vm: str,
        incarnation: int,
        send_request: SendRequest,
        get_customers: GetCustomers,
    ) -> None:
        self._own = EntryId(own_vm, incarnation)
        self._send_request = send_request
        self._get_customers = get_customers
        self._view = EntryView(own_vm=own_vm)
        self._granter = ShareGranter(self._view, own_vm=own_vm)
        self._holder = ShareHolder(self._view, admission)

    def start(self, nursery: trio.Nursery) -> None:
        """Start the exchange in a nursery; it runs until cancelled."""
        nursery.start_soon(self._run, nursery)

    def update_entries(self, others: Iterable[str]) -> None:
        """Update the list of the other live entries."""
        self._view.update(others, now=trio.current_time())

    def answer(self, entry: EntryId, body: bytes) -> bytes:
        """Decode an entry's requests for shares and return the encoded grants."""
        now = trio.current_time()
        grants = [
            self._granter.answer(entry, request, now=now)
            for request in decode_share_requests(body)
        ]
        return encode_share_grants([one for one in grants if one is not None])

    async def _run(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(_EXCHANGE_INTERVAL_S)
            if self._view.live:
                self._exchange_all(nursery)

    def _exchange_all(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        customers = self._get_customers()
        self._holder.update_view(now=now)
        self._granter.update_customers(customers, now=now)
        self._holder.measure_demand(customers, now=now)
        for vm, requests in self._holder.choose_requests(now=now).items():
            nursery.start_soon(self._exchange, vm, requests, now)

    async def _exchange(
        self, vm: str, requests: list[ShareRequest], sent_at: float
    ) -> None:
        body = encode_share_requests(requests)
        if vm == self._own.vm:
            grants = self.answer(self._own, body)
        else:
            grants = await self._request_from_peer(vm, body)
        if grants:
            self._holder.apply(decode_share_grants(grants), sent_at=sent_at)

    async def _request_from_peer(self, vm: str, body: bytes) -> bytes:
        with trio.move_on_after(_ANSWER_TIMEOUT_S):
            try:
                return await self._send_request(vm, DEMAND_TOPIC, body)
            except HyssopvaneError:
                # The granting entry has failed or is unreachable. Held shares expire
                # with their lease, and the safe share remains.
                return b""
        return b""

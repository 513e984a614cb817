"""Send each claim to the entry that writes its page, or write it locally."""

from collections.abc import Callable

import trio
import xxhash

from hyssopvane._internal.coordination.claim_pages import (
    ChangeResult,
    decode_change,
    decode_result,
    encode_change,
    encode_result,
)
from hyssopvane._internal.coordination.claims import ClaimWriter
from hyssopvane._internal.exceptions import (
    HyssopvaneError,
    PeerLost,
    ProtocolError,
)
from hyssopvane._internal.roles.entry_links import EntryLinks
from hyssopvane._internal.roles.topics import TopicRouter
from hyssopvane._internal.state.claims import SLICE_S, Claim, ClaimChange, ClaimKey
from hyssopvane._internal.transport.peer_connection import PeerConnection
from hyssopvane._internal.utils.logs import log_event
from hyssopvane._internal.utils.metrics import Metrics

CHANGE_TOPIC = "claims/change"

_CHANGE_TIMEOUT_S = 1.0
# An entry that did not answer is not used for this time, so that a stalled entry delays
# one claim and not all of them.
_AVOID_SILENT_S = 10.0
_SWEEP_DUTY = "sweep"


class ClaimRouter:
    """Route the claims of each bucket to one entry, which batches their writes.

    Without routing, 960 entries would compete for eight pages and most of their
    compare-and-swap writes would fail. Routing is an optimization only: any entry may
    write any page, and if two entries write the same page, one of them has to retry.
    """

    def __init__(
        self,
        *,
        own_vm: str,
        links: EntryLinks,
        topics: TopicRouter,
        writer: ClaimWriter,
        metrics: Metrics,
    ) -> None:
        self._own_vm = own_vm
        self._links = links
        self._writer = writer
        self._metrics = metrics
        self._avoided_until: dict[str, float] = {}
        topics.add_question(CHANGE_TOPIC, self._answer)

    def start(self, nursery: trio.Nursery) -> None:
        """Start the writer and the periodic sweep in a nursery."""
        self._writer.start(nursery)
        nursery.start_soon(self._sweep)

    async def find(self, key: ClaimKey) -> Claim | None:
        """Return the claim of a key; raise `KeyValueError` when it can't be read."""
        return await self._writer.find(key)

    async def change(self, change: ClaimChange) -> ChangeResult:
        """Write a change through the preferred entry, or locally when it is silent."""
        vm = self._choose(f"bucket-{change.key.bucket}")
        if vm != self._own_vm:
            result = await self._request_change(vm, change)
            if result is not None:
                return result
        return await self._writer.change(change)

    async def _request_change(
        self, vm: str, change: ClaimChange
    ) -> ChangeResult | None:
        try:
            with trio.move_on_after(_CHANGE_TIMEOUT_S):
                answer = await self._links.ask(vm, CHANGE_TOPIC, encode_change(change))
                if answer:
                    return decode_result(answer)
        except (PeerLost, ProtocolError):
            pass
        # That entry may have written the claim nevertheless. A second write finds the
        # same attempt in the page and changes nothing.
        self._metrics.count_event("claim-not-routed")
        self._avoided_until[vm] = trio.current_time() + _AVOID_SILENT_S
        return None

    async def _answer(self, peer: PeerConnection, body: bytes) -> bytes:
        try:
            change = decode_change(body)
        except ProtocolError as error:
            log_event("warning", "claim-not-understood", why=error)
            return b""
        result = await self._writer.change(change)
        return encode_result(change.key.key_hash, result)

    def _choose(self, duty: str) -> str:
        now = trio.current_time()
        live = [
            vm for vm in self._links.list_vms() if self._avoided_until.get(vm, 0) <= now
        ]
        return choose_entry(duty, [*live, self._own_vm])

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SLICE_S)
            if self._choose(_SWEEP_DUTY) != self._own_vm:
                continue
            try:
                await self._writer.sweep()
            except HyssopvaneError as error:
                log_event("warning", "claims-not-swept", why=error)


def choose_entry(duty: str, vms: list[str]) -> str:
    """Return a duty's entry by rendezvous hash; few duties move when one leaves."""
    score: Callable[[str], int] = lambda vm: xxhash.xxh64_intdigest(
        f"{duty}\0{vm}".encode()
    )
    return max(vms, key=lambda vm: (score(vm), vm))

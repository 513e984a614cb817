"""Exchange evidence about crashing requests with other entries.

The key-value service holds what all entries know. While this entry can't read or write
it, entries exchange what they know directly. Otherwise they do so seldom, and at once
when a request has crashed more than one replica: the watch of an entry may be silent
while the service seems to be fine. They know each other from their settings, as a
service without agents has no leader that names them.
"""

import secrets
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

import trio

from hyssopvane._internal.policy.rendezvous import hash_name, rank
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.protocol.suspect_pages import format_page, parse_page
from hyssopvane._internal.state.suspects import SuspectId, SuspectRecord
from hyssopvane._internal.transport.asgi_messages import (
    BodyTooLarge,
    CallerGone,
    read_body,
    send_response,
)
from hyssopvane._internal.transport.replica_client import (
    PartLimit,
    ReplicaClient,
    ReplicaFailed,
    ReplicaUnreachable,
)
from hyssopvane._internal.utils.logs import log_event

SUSPECTS_PATH = "/suspects"

EXCHANGE_INTERVAL_S = 0.5
EXCHANGE_TIMEOUT_S = 1.0

QUIET_INTERVAL_S = 2.0
"""Pause between two exchanges while the key-value service serves this entry.

An entry must know within 3 s what others refuse.
"""

MAX_PARTNERS = 4
"""Number of entries that this one exchanges evidence with in each interval."""

SILENT_S = 5.0
"""Time for which an entry that did not answer is not expected to answer."""

MAX_BYTES = 1024 * 1024

_OK = 200
_NOT_MODIFIED = 304
_BAD_REQUEST = 400
_ETAG = b"etag"
_IF_NONE_MATCH = b"if-none-match"


@dataclass(slots=True)
class _Partner:
    """Remember what was last exchanged with another entry."""

    sent_tag: bytes = b""
    received_tag: bytes = b""
    failed_at: float = float("-inf")
    """Time at which it last did not answer."""


class SuspectExchange:
    """Send own records to other entries, and merge theirs, while both differ."""

    def __init__(
        self,
        tracker: SuspectTracker,
        *,
        random: Random,
        seeds: tuple[str, ...],
        get_quarantine_s: Callable[[str], float],
        is_needed: Callable[[], bool],
        observe: Callable[[SuspectId, str], None],
    ) -> None:
        self._tracker = tracker
        self._random = random
        self._seeds = seeds
        self._get_quarantine_s = get_quarantine_s
        self._is_needed = is_needed
        self._observe = observe
        """Called with a body and the entry that reports further crashes of it."""
        self._client = ReplicaClient()
        self._partners: dict[str, _Partner] = {}
        self._pending: set[str] = set()
        """Addresses of the entries that have not answered yet."""
        self._start_id = secrets.token_hex(8)
        self._quiet_until = 0.0
        self._told_repeats = 0
        """Number of repeated crashes of which partners were told."""
        self.own_address = ""
        self.has_received = False
        """Whether another entry has told what it knows."""

    async def run(self) -> None:
        """Exchange records until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                # A partner that answers slowly does not hold up the others.
                for address in self._choose_partners(trio.current_time()):
                    nursery.start_soon(self._exchange_once, address)
                await trio.sleep(EXCHANGE_INTERVAL_S)

    async def close(self) -> None:
        """Close the connections to other entries."""
        await self._client.close()

    def add_partners(self, addresses: Iterable[str]) -> None:
        """Add entries that were heard, so that not all depends on the seeds."""
        for address in addresses:
            if address and len(self._partners) < MAX_PARTNERS:
                self._partners.setdefault(address, _Partner())

    def is_leading(self, service: str) -> bool:
        """Return whether this entry ranks first for a service among those that answer.

        Entries that hear the same ones agree without a message.
        """
        silent = self._list_silent(trio.current_time())
        known = {*self._seeds, *self._partners, self.own_address} - silent
        seeds = {address: hash_name(address) for address in known}
        return rank(service.encode(), seeds, count=1) == [self.own_address]

    async def answer(self, scope: Any, receive: Any, send: Any) -> None:
        """Merge the records of another entry, and answer with the own ones."""
        try:
            body = await read_body(receive, max_bytes=MAX_BYTES)
            if body:
                self._merge(body, source="peer")
        except CallerGone:
            return
        except (BodyTooLarge, ValueError) as error:
            log_event("warning", "suspects-unreadable", why=error)
            await send_response(send, status=_BAD_REQUEST, headers=(), body=b"")
            return
        tag = self._make_tag()
        known = dict(scope["headers"]).get(_IF_NONE_MATCH, b"")
        status, content = _NOT_MODIFIED, b""
        if known != tag:
            status, content = _OK, self._format()
        await send_response(send, status=status, headers=((_ETAG, tag),), body=content)

    def _choose_partners(self, now: float) -> list[str]:
        """Return the entries to exchange with now."""
        # At the start, the store may be away while other entries know suspects.
        has_news = self._told_repeats != self._tracker.repeats
        if self._is_needed() or has_news:
            count = MAX_PARTNERS
        elif now >= self._quiet_until:
            count = 1
        else:
            return []
        self._told_repeats = self._tracker.repeats
        self._quiet_until = now + QUIET_INTERVAL_S * self._random.uniform(0.8, 1.0)
        addresses = {*self._seeds, *self._partners} - {self.own_address}
        if count == 1:
            addresses -= self._list_silent(now)
        return self._random.sample(sorted(addresses), min(count, len(addresses)))

    def _list_silent(self, now: float) -> set[str]:
        return {
            address
            for address, partner in self._partners.items()
            if now - partner.failed_at < SILENT_S
        }

    async def _exchange_once(self, address: str) -> None:
        """Exchange with an entry, unless it has not answered the last time yet."""
        if address in self._pending:
            return
        self._pending.add(address)
        try:
            await self._exchange(address)
        finally:
            self._pending.discard(address)

    async def _exchange(self, address: str) -> None:
        partner = self._partners.setdefault(address, _Partner())
        tag = self._make_tag()
        body = b"" if partner.sent_tag == tag else self._format()
        try:
            with trio.fail_after(EXCHANGE_TIMEOUT_S) as scope:
                async with self._client.call(
                    address,
                    method="POST",
                    target=SUSPECTS_PATH.encode(),
                    headers=(
                        (b"host", b"peer"),
                        (_IF_NONE_MATCH, partner.received_tag),
                        (b"content-length", str(len(body)).encode()),
                    ),
                    body=body,
                ) as response:
                    limit = PartLimit(scope, part_s=EXCHANGE_TIMEOUT_S)
                    content = await response.read(max_bytes=MAX_BYTES, limit=limit)
            self.has_received = True
            if response.status == _OK:
                self._merge(content, source=address)
        except (
            ReplicaUnreachable,
            ReplicaFailed,
            trio.TooSlowError,
            ValueError,
        ) as error:
            # A partner that starts again has lost what it was sent.
            partner.sent_tag = b""
            partner.failed_at = trio.current_time()
            # Another one is asked instead.
            self._quiet_until = partner.failed_at
            log_event("info", "suspects-unavailable", peer=address, why=repr(error))
            return
        if response.status in (_OK, _NOT_MODIFIED):
            partner.sent_tag = tag
            partner.received_tag = response.fields.get(_ETAG, b"")

    def _make_tag(self) -> bytes:
        return f'"{self._start_id}-{self._tracker.revision}"'.encode()

    def _format(self) -> bytes:
        records = self._tracker.list_records(now=trio.current_time())
        return format_page(records, offset=_get_offset())

    def _merge(self, content: bytes, *, source: str) -> None:
        now = trio.current_time()
        records: dict[SuspectId, SuspectRecord]
        records = parse_page(content, offset=_get_offset())
        for body, record in records.items():
            quarantine_s = self._get_quarantine_s(body.service)
            record = self._tracker.limit_expiry(
                body, record, quarantine_s=quarantine_s, now=now
            )
            if self._tracker.merge(body, record, quarantine_s=quarantine_s, now=now):
                self._observe(body, source)


def _get_offset() -> float:
    return time.time() - trio.current_time()

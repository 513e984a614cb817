"""Keep an entry's account of crashing requests in step with the other entries."""

from functools import partial
from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.key_value import KeyValueStore
from hyssopvane._internal.coordination.quarantine import QuarantineSync
from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.roles.crash_evidence import QUARANTINE_S
from hyssopvane._internal.roles.suspect_exchange import SuspectExchange
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.suspects import SuspectId
from hyssopvane._internal.utils.logs import log_event

FLUSH_INTERVAL_S = 0.15
"""Mean pause between two writes of changed records.

A request that ran beside the cause usually finishes elsewhere within that time, and is
never written. Callers repeat a request that crashed later than that.
"""


class SuspectSharing:
    """Share one entry's suspects by the store, and by other entries without it."""

    def __init__(
        self,
        tracker: SuspectTracker,
        store: KeyValueStore,
        *,
        random: Random,
        seeds: tuple[str, ...],
    ) -> None:
        self._tracker = tracker
        self._store = store
        self._sync = QuarantineSync(
            store,
            tracker,
            random=random,
            get_quarantine_s=_get_quarantine_s,
            report=_log_failure,
            flush_interval_s=FLUSH_INTERVAL_S,
            observe=partial(self._log_report, source="store"),
        )
        self._exchange = SuspectExchange(
            tracker,
            random=random,
            seeds=seeds,
            get_quarantine_s=_get_quarantine_s,
            is_needed=lambda: not self._sync.is_connected,
            observe=lambda body, source: self._log_report(body, source=source),
        )

    def start(self, nursery: trio.Nursery, *, own_address: str) -> None:
        """Start to share; the address is where other entries reach this one."""
        self._exchange.own_address = own_address
        nursery.start_soon(self._sync.run)
        nursery.start_soon(self._exchange.run)

    async def close(self) -> None:
        """Close all connections."""
        await self._exchange.close()
        await self._store.close()

    def observe(self, peer: EntryState) -> None:
        """Remember an entry that was heard, for a time without the store."""
        self._exchange.add_partners([peer.beliefs])

    async def answer(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer another entry's exchange."""
        await self._exchange.answer(scope, receive, send)

    def _log_report(self, body: SuspectId, *, source: str) -> None:
        record = self._tracker.get_record(body)
        log_event(
            "info",
            "crash-suspect",
            body=body.digest.hex(),
            replica="-" if record is None else record.crashes[-1].target,
            crashes=0 if record is None else len(record.crashes),
            refused=self._tracker.is_quarantined(body, now=trio.current_time()),
            source=source,
        )


def _get_quarantine_s(service: str) -> float:
    return QUARANTINE_S


def _log_failure(error: HyssopvaneError) -> None:
    log_event("info", "suspects-unshared", why=error)

"""Keep an entry's account of crashing requests in step with the other entries."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.key_value import KeyValueStore
from hyssopvane._internal.coordination.quarantine import QuarantineSync
from hyssopvane._internal.coordination.trial_claims import TrialClaims
from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.roles.crash_evidence import QUARANTINE_S, describe_part
from hyssopvane._internal.roles.suspect_exchange import SuspectExchange
from hyssopvane._internal.roles.suspect_trials import SuspectTrials
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.suspects import SuspectId
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event

FLUSH_INTERVAL_S = 0.15
"""Mean pause between two writes of changed records.

A request that ran beside the cause usually finishes elsewhere within that time, and is
never written. Callers repeat a request that crashed later than that.
"""

INFORMED_TIMEOUT_S = 1.0
"""Time after its start from which on an entry serves without what others know."""

_START_POLL_S = 0.02


class SuspectSharing:
    """Share one entry's suspects by the store, and by other entries without it."""

    def __init__(
        self,
        tracker: SuspectTracker,
        store: KeyValueStore,
        *,
        random: Random,
        seeds: tuple[str, ...],
        start_task: Callable[[Callable[[], Awaitable[None]]], None],
        metrics: DeferredMetrics,
    ) -> None:
        self._tracker = tracker
        self._metrics = metrics
        self._store = store
        self._sync = QuarantineSync(
            store,
            tracker,
            random=random,
            get_quarantine_s=_get_quarantine_s,
            report=_log_failure,
            flush_interval_s=FLUSH_INTERVAL_S,
            observe=partial(self._log_report, source="store"),
            observe_page=self._set_levels,
            count=metrics.count_event,
        )
        self._exchange = SuspectExchange(
            tracker,
            random=random,
            seeds=seeds,
            get_quarantine_s=_get_quarantine_s,
            is_needed=self._needs_exchange,
            observe=lambda body, source: self._log_report(body, source=source),
        )
        self.trials = SuspectTrials(
            tracker,
            TrialClaims(store, report=_log_failure),
            is_leading=self._exchange.is_leading,
            start_task=start_task,
        )
        self._informed = trio.Event()

    def start(self, nursery: trio.Nursery, *, own_address: str) -> None:
        """Start to share; the address is where other entries reach this one."""
        self._exchange.own_address = own_address
        nursery.start_soon(self._sync.run)
        nursery.start_soon(self._exchange.run)
        nursery.start_soon(self._watch_start)

    async def close(self) -> None:
        """Close all connections."""
        await self._exchange.close()
        await self._store.close()

    def observe(self, peer: EntryState) -> None:
        """Remember an entry that was heard, for a time without the store."""
        self._exchange.add_partners([peer.beliefs])

    async def wait_until_informed(self) -> None:
        """Wait until this entry knows what others know, or nobody tells it."""
        await self._informed.wait()

    async def answer(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer another entry's exchange."""
        await self._exchange.answer(scope, receive, send)

    async def _watch_start(self) -> None:
        with trio.move_on_after(INFORMED_TIMEOUT_S):
            while not (self._sync.has_loaded or self._exchange.has_received):
                await trio.sleep(_START_POLL_S)
        self._informed.set()

    def _needs_exchange(self) -> bool:
        away = self.trials.is_store_away(trio.current_time())
        return away or not self._sync.is_connected

    def _set_levels(self, position: StorePosition) -> None:
        self._metrics.set_level("suspects-page-era", position.era)
        self._metrics.set_level("suspects-page-revision", position.revision)

    def _log_report(self, body: SuspectId, *, source: str) -> None:
        record = self._tracker.get_record(body)
        log_event(
            "info",
            "crash-suspect",
            body=body.digest.hex(),
            part=describe_part(body),
            replica="-" if record is None else record.crashes[-1].target,
            crashes=0 if record is None else len(record.crashes),
            refused=self._tracker.is_quarantined(body, now=trio.current_time()),
            source=source,
        )


def _get_quarantine_s(service: str) -> float:
    return QUARANTINE_S


def _log_failure(error: HyssopvaneError) -> None:
    log_event("info", "suspects-unshared", why=error)

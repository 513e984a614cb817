"""Hold this entry's shares of customers' limits, and request the needed grants."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hyssopvane._internal.policy.admission import Admission, CustomerUsage, Share
from hyssopvane._internal.policy.entry_views import EntryView
from hyssopvane._internal.policy.share_limits import (
    GROWTH,
    HEADROOM,
    LIST_LAG_S,
    MIN_REQUEST_INTERVAL_S,
    RENEW_SHARE,
    RESERVE,
    SHRINKAGE,
)
from hyssopvane._internal.state.shares import ShareGrant, ShareRequest
from hyssopvane._internal.state.table import CustomerRow

# The measured demand decreases slowly, so that a pause of some seconds does not return
# a grant that is needed again.
_DEMAND_DECAY = 0.8
_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Holding:
    demand: float = 0.0
    """Fraction of the limits that this entry would use."""
    granted: float = 0.0
    expires_at: float = 0.0
    renew_at: float = 0.0
    requested_sequence: int = 0
    requested_at: float = float("-inf")
    request_more_at: float = 0.0


class ShareHolder:
    """Measure demand, request grants, and put shares in force."""

    def __init__(self, view: EntryView, admission: Admission) -> None:
        self._view = view
        self._admission = admission
        self._holdings: dict[str, _Holding] = {}
        self._sequence = 0
        self._started_at: float | None = None
        self._measured_at: float | None = None
        self._safe = 0.0
        # Until a list of entries is known, one request at a time: all entries may have
        # started at once, each assuming to be the only one.
        admission.set_safe_share(0.0)

    @property
    def safe_share(self) -> float:
        """Return the fraction of every limit that this entry may always use."""
        return self._safe

    def update_view(self, *, now: float) -> None:
        """Put the safe share in force; call every second, as known entries expire."""
        if self._started_at is None:
            self._started_at = now
        known = self._view.count_known(now=now)
        alone = known == 1 and now >= self._started_at + LIST_LAG_S
        # Each of several entries that start at once may be the only one in its lagging
        # list.
        self._safe = 1.0 if alone else RESERVE / known
        self._admission.set_safe_share(self._safe)

    def get_fraction(self, customer: str, *, now: float) -> float:
        """Return the fraction of a customer's limits that is in force at this entry."""
        holding = self._holdings.get(customer)
        if holding is None or now >= holding.expires_at:
            return self._safe
        return min(1.0, self._safe + holding.granted)

    def measure_demand(self, rows: Mapping[str, CustomerRow], *, now: float) -> None:
        """Measure what customers requested from this entry since the last call."""
        elapsed_s = _INTERVAL_S
        if self._measured_at is not None:
            elapsed_s = max(_INTERVAL_S / 2, now - self._measured_at)
        self._measured_at = now
        for customer, use in self._admission.get_uses().items():
            row = rows.get(customer)
            if row is not None and (use.arrived or use.requests):
                self._record_demand(row, use, elapsed_s)
            use.reset_interval()
        for customer in list(self._holdings):
            holding = self._holdings[customer]
            holding.demand *= _DEMAND_DECAY
            idle = holding.demand < self._safe / 2 or customer not in rows
            if idle and now >= holding.expires_at:
                del self._holdings[customer]

    def choose_requests(self, *, now: float) -> dict[str, list[ShareRequest]]:
        """Return the requests that are due, by the entry that grants."""
        requests: dict[str, list[ShareRequest]] = {}
        if self._view.count_known(now=now) == 1:
            return requests
        for customer, holding in self._holdings.items():
            if not self._is_due(holding, now=now):
                continue
            granter = self._view.find_aggregator(customer)
            requests.setdefault(granter, []).append(
                self._make_request(customer, holding, now)
            )
        return requests

    def apply(self, grants: Iterable[ShareGrant], *, sent_at: float) -> None:
        """Put grants in force; each lease counts from when its request was sent."""
        for grant in grants:
            holding = self._holdings.get(grant.customer)
            if holding is None or grant.sequence != holding.requested_sequence:
                # A grant for an earlier request: the granter no longer counts it in
                # full.
                continue
            need = self._get_need(holding)
            holding.granted = grant.amount
            holding.expires_at = sent_at + grant.lease_s
            holding.renew_at = sent_at + RENEW_SHARE * grant.lease_s
            if grant.amount < need:
                holding.request_more_at = sent_at + grant.retry_after_s
            share = Share(grant.amount, holding.expires_at)
            self._admission.set_share(grant.customer, share)

    def _record_demand(
        self, row: CustomerRow, use: CustomerUsage, elapsed_s: float
    ) -> None:
        parts = [
            (use.arrived / elapsed_s, row.rate_limit),
            (use.peak_requests + use.refused, row.concurrency_limit),
            (use.peak_tokens + use.refused_tokens, row.token_limit),
        ]
        demand = max((part / limit for part, limit in parts if limit), default=0.0)
        if demand:
            holding = self._holdings.setdefault(row.name, _Holding())
            # The caller applies the decay once after this.
            demand = min(1.0, demand * HEADROOM) / _DEMAND_DECAY
            holding.demand = max(holding.demand, demand)

    def _get_need(self, holding: _Holding) -> float:
        return max(0.0, min(1.0, holding.demand) - self._safe)

    def _is_due(self, holding: _Holding, *, now: float) -> bool:
        if now < holding.requested_at + MIN_REQUEST_INTERVAL_S:
            return False
        need = self._get_need(holding)
        granted = holding.granted if now < holding.expires_at else 0.0
        if need > granted * GROWTH and now >= holding.request_more_at:
            return True
        if granted and need < granted * SHRINKAGE:
            return True
        return need > 0 and granted > 0 and now >= holding.renew_at

    def _make_request(
        self, customer: str, holding: _Holding, now: float
    ) -> ShareRequest:
        self._sequence += 1
        holding.requested_sequence = self._sequence
        holding.requested_at = now
        valid = now < holding.expires_at
        return ShareRequest(
            customer=customer,
            sequence=self._sequence,
            need=self._get_need(holding),
            held=holding.granted if valid else 0.0,
            held_s=holding.expires_at - now if valid else 0.0,
        )

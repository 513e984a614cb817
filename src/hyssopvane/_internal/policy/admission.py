"""Enforce customers' limits when requests arrive."""

from collections.abc import Mapping
from dataclasses import dataclass

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.state.table import CustomerRow

# Lower bound of Retry-After: nothing changes in less time.
MIN_RETRY_AFTER_S = 1.0
# Upper bound of Retry-After: a caller that waits longer stays away after the overload
# is over.
MAX_RETRY_AFTER_S = 60.0
# Without a burst in the table, a bucket holds one second of its rate: a terminal that
# sends one second's requests at once is not abusive.
_DEFAULT_BURST_S = 1.0


@dataclass(frozen=True, slots=True)
class Share:
    """Grant this entry an additional part of a customer's limits until it expires."""

    granted: float
    expires_at: float


class TokenBucket:
    """Limit the rate of requests and allow bursts."""

    __slots__ = ("_at", "_level")

    def __init__(self, *, burst: float, now: float) -> None:
        self._level = burst
        self._at = now

    def measure_wait(self, *, rate: float, burst: float, now: float) -> float:
        """Return the seconds until the next request conforms; 0 if it does now."""
        passed_s = max(0.0, now - self._at)
        self._level = min(burst, self._level + passed_s * rate)
        self._at = now
        if self._level >= 1:
            return 0.0
        return (1 - self._level) / rate if rate else MAX_RETRY_AFTER_S

    def take(self) -> None:
        """Consume the token of one admitted request."""
        self._level -= 1


@dataclass(slots=True)
class CustomerUsage:
    """Track a customer's requests in flight at this entry and its recent demand."""

    requests: int = 0
    tokens: int = 0
    bucket: TokenBucket | None = None
    arrived: int = 0
    """Requests that arrived in the current interval, admitted or not."""
    refused: int = 0
    """Requests of the interval that a limit refused."""
    refused_tokens: int = 0
    peak_requests: int = 0
    peak_tokens: int = 0

    def reset_interval(self) -> None:
        """Start a new interval of demand."""
        self.arrived = 0
        self.refused = 0
        self.refused_tokens = 0
        self.peak_requests = self.requests
        self.peak_tokens = self.tokens


class Admission:
    """Check each new request against its customer's share of the limits.

    This protects the other customers from one that sends far more than it has bought,
    for example by a runaway loop or in a deadline rush. Without a limit on arrival its
    requests fill queues and targets, and the other customers wait. The rate limit
    bounds how often requests arrive; the concurrency and token limits bound what they
    hold, since a few huge requests do as much harm as many small ones. A refusal costs
    microseconds and is immediate, so refused requests add no load.
    """

    def __init__(self) -> None:
        self._rows: Mapping[str, CustomerRow] = {}
        self._safe_share = 1.0
        self._shares: dict[str, Share] = {}
        self._uses: dict[str, CustomerUsage] = {}

    def update_rows(self, rows: Mapping[str, CustomerRow]) -> None:
        """Apply the customers of the current table."""
        self._rows = rows
        for name in [one for one in self._uses if one not in rows]:
            # Requests in flight of a removed customer still have to be released.
            if not self._uses[name].requests:
                del self._uses[name]

    def set_safe_share(self, fraction: float) -> None:
        """Set the fraction of every limit that this entry may always use."""
        self._safe_share = fraction

    def set_share(self, customer: str, share: Share) -> None:
        """Set the share of a customer's limits that this entry may use in addition."""
        self._shares[customer] = share

    def get_row(self, customer: str) -> CustomerRow:
        """Return a customer's row, or a row without limits if the table has none."""
        return self._rows.get(customer) or CustomerRow(customer)

    def get_uses(self) -> Mapping[str, CustomerUsage]:
        """Return each customer's requests in flight and recent demand."""
        return self._uses

    def check(
        self, customer: str, tokens: int, *, hold_s: float, now: float
    ) -> Refusal | None:
        """Return a refusal if a request exceeds a limit.

        Call `take` for each request that is admitted. `hold_s` is the time for which an
        average request is in flight, for Retry-After.
        """
        use = self._get_usage(customer)
        use.arrived += 1
        row = self._rows.get(customer)
        if row is None:
            return None
        refusal = self._check_row(row, use, tokens, hold_s=hold_s, now=now)
        if refusal is not None:
            use.refused += 1
            use.refused_tokens += tokens
        return refusal

    def take(self, customer: str, tokens: int) -> None:
        """Count an admitted request."""
        use = self._get_usage(customer)
        use.requests += 1
        use.tokens += tokens
        use.peak_requests = max(use.peak_requests, use.requests)
        use.peak_tokens = max(use.peak_tokens, use.tokens)
        if use.bucket is not None:
            use.bucket.take()

    def release(self, customer: str, tokens: int) -> None:
        """Stop counting a request that has ended."""
        use = self._get_usage(customer)
        use.requests -= 1
        use.tokens -= tokens

    def _get_usage(self, customer: str) -> CustomerUsage:
        use = self._uses.get(customer)
        if use is None:
            use = self._uses[customer] = CustomerUsage()
        return use

    def _check_row(
        self,
        row: CustomerRow,
        use: CustomerUsage,
        tokens: int,
        *,
        hold_s: float,
        now: float,
    ) -> Refusal | None:
        fraction = self._get_fraction(row.name, now=now)
        # One request at a time is admitted whatever the share: a limit lower than the
        # number of entries can't be split into whole requests, and a request larger
        # than a share of tokens would never run.
        if row.concurrency_limit and use.requests:
            limit = int(row.concurrency_limit * fraction)
            if use.requests >= limit:
                return _refuse(
                    RefusalReason.CONCURRENCY_LIMIT, hold_s / use.requests, row.name
                )
        if row.token_limit and use.requests:
            excess = use.tokens + tokens - row.token_limit * fraction
            if excess > 0:
                wait_s = hold_s * min(1.0, excess / max(1, use.tokens))
                return _refuse(RefusalReason.TOKEN_LIMIT, wait_s, row.name)
        return self._check_rate(row, use, fraction=fraction, now=now)

    def _get_fraction(self, customer: str, *, now: float) -> float:
        share = self._shares.get(customer)
        if share is None:
            return self._safe_share
        if now >= share.expires_at:
            # From this time on the entry that granted the share counts it as returned.
            del self._shares[customer]
            return self._safe_share
        return min(1.0, self._safe_share + share.granted)

    def _check_rate(
        self, row: CustomerRow, use: CustomerUsage, *, fraction: float, now: float
    ) -> Refusal | None:
        if not row.rate_limit:
            use.bucket = None
            return None
        rate = row.rate_limit * fraction
        burst = max(
            1.0, (row.rate_burst or row.rate_limit * _DEFAULT_BURST_S) * fraction
        )
        if use.bucket is None:
            use.bucket = TokenBucket(burst=burst, now=now)
        wait_s = use.bucket.measure_wait(rate=rate, burst=burst, now=now)
        if wait_s > 0:
            return _refuse(RefusalReason.RATE_LIMIT, wait_s, row.name)
        return None


def clamp_retry_after(wait_s: float) -> float:
    """Return a Retry-After within its bounds, in seconds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def _refuse(reason: RefusalReason, wait_s: float, customer: str) -> Refusal:
    return Refusal(
        reason,
        Outcome.NOT_RUN,
        clamp_retry_after(wait_s),
        detail=f"a limit of customer/{customer} in the table",
    )

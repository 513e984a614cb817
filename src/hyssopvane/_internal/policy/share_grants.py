"""Grant shares of customers' limits, as the aggregating entry."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from hyssopvane._internal.policy.entry_views import EntryView
from hyssopvane._internal.policy.share_limits import (
    LEASE_PER_HOLDER_S,
    LIST_LAG_S,
    MIN_LEASE_S,
    RENEW_SHARE,
    RESERVE,
    get_longest_lease,
)
from hyssopvane._internal.state.shares import EntryId, ShareGrant, ShareRequest


@dataclass(frozen=True, slots=True)
class _Grant:
    amount: float
    expires_at: float


@dataclass(slots=True)
class _Holder:
    """Track what one entry may have in force of one customer's limits."""

    need: float = 0.0
    last_sequence: int = 0
    granted_until: float = 0.0
    grants: list[_Grant] = field(default_factory=list)

    def drop_expired(self, now: float) -> None:
        self.grants = [one for one in self.grants if one.expires_at > now]

    def get_largest_amount(self) -> float:
        return max((one.amount for one in self.grants), default=0.0)


@dataclass(slots=True)
class _Pool:
    """Track the entries that hold grants of one customer's limits."""

    granting_since: float
    """When this entry became the one that grants."""
    holders: dict[EntryId, _Holder] = field(default_factory=dict)


class ShareGranter:
    """Divide the pool of each customer that this entry aggregates.

    An entry that dies or is cut off stops asking, and its grant ends with its lease.
    The granter counts a grant until it has certainly ended at its holder: the holder
    counts the lease from when it sent the request, the granter from when it received
    the request. When a grant is renewed with a smaller amount, the larger one counts
    until its end or the holder's next request, since the answer may be lost.
    """

    def __init__(self, view: EntryView, *, own_vm: str) -> None:
        self._view = view
        self._own_vm = own_vm
        self._pools: dict[str, _Pool] = {}

    def update_customers(self, customers: Mapping[str, object], *, now: float) -> None:
        """Add customers that this entry now aggregates and remove the others."""
        for customer in list(self._pools):
            pool = self._pools[customer]
            self._drop_gone(pool, now=now)
            if customer not in customers or not self._aggregates(customer):
                # Grants stay in force for their lease. The successor waits that long
                # before it grants, and so does this entry if it aggregates the customer
                # again.
                del self._pools[customer]
        for customer in customers:
            if customer not in self._pools and self._aggregates(customer):
                self._pools[customer] = _Pool(granting_since=now)

    def answer(
        self, entry: EntryId, request: ShareRequest, *, now: float
    ) -> ShareGrant | None:
        """Answer a request; return None if it is stale or for another granter."""
        pool = self._pools.get(request.customer)
        if pool is None or not self._aggregates(request.customer):
            return None
        self._drop_gone(pool, now=now)
        holder = pool.holders.setdefault(entry, _Holder())
        if request.sequence <= holder.last_sequence:
            # A delayed copy shows what the entry held earlier; it may hold more by now.
            return None
        self._record_request(holder, request, now=now)
        lease_s = self._choose_lease(now=now)
        holder.granted_until = now + lease_s
        amount = self._choose_amount(pool, entry, holder, now=now)
        holder.grants.append(_Grant(amount, now + lease_s))
        return ShareGrant(
            request.customer, request.sequence, amount, lease_s, RENEW_SHARE * lease_s
        )

    def _record_request(
        self, holder: _Holder, request: ShareRequest, *, now: float
    ) -> None:
        # A request contains all that the entry has in force, and the entry will only
        # accept the answer to this request. So grants that it never received end here.
        # Grants of a predecessor are counted in the same way.
        held = _Grant(request.held, now + request.held_s)
        holder.grants = [held] if request.held else []
        holder.need = request.need
        holder.last_sequence = request.sequence

    def _choose_amount(
        self, pool: _Pool, entry: EntryId, holder: _Holder, *, now: float
    ) -> float:
        known = self._view.count_known(now=now)
        total = (1 - RESERVE) * self._view.live / known
        needs = {key: one.need for key, one in pool.holders.items()}
        fair = divide_max_min(needs, total)[entry]
        given = sum(
            one.get_largest_amount()
            for key, one in pool.holders.items()
            if key != entry
        )
        amount = max(0.0, min(fair, total - given))
        if now < pool.granting_since + get_longest_lease(known) + LIST_LAG_S:
            # Grants of a predecessor that this entry does not know may be in force.
            # Renewing a grant adds nothing to them; a larger one might.
            amount = min(amount, holder.get_largest_amount())
        return amount

    def _choose_lease(self, *, now: float) -> float:
        holders = sum(len(pool.holders) for pool in self._pools.values())
        longest = get_longest_lease(self._view.count_known(now=now))
        return max(MIN_LEASE_S, min(longest, LEASE_PER_HOLDER_S * holders))

    def _drop_gone(self, pool: _Pool, *, now: float) -> None:
        for key, holder in list(pool.holders.items()):
            holder.drop_expired(now)
            if not holder.grants and holder.granted_until <= now:
                del pool.holders[key]

    def _aggregates(self, customer: str) -> bool:
        return (
            self._view.live > 0 and self._view.find_aggregator(customer) == self._own_vm
        )


def divide_max_min(
    needs: Mapping[EntryId, float], total: float
) -> dict[EntryId, float]:
    """Divide a total so that no entry gets more than it needs (max-min fairness)."""
    return dict(_fill(needs, total))


def _fill(
    needs: Mapping[EntryId, float], total: float
) -> Iterator[tuple[EntryId, float]]:
    left = total
    for number, key in enumerate(sorted(needs, key=lambda key: needs[key])):
        share = min(needs[key], left / (len(needs) - number))
        left -= share
        yield key, share

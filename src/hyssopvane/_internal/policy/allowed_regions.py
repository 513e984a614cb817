"""Find the availability zones that a request may reach."""

from collections.abc import Mapping

from hyssopvane._internal.state.routing import Customer, Route, RoutingTable


class AllowedRegions:
    """Find the zones in the regions that a route and a customer allow.

    Load: requests whose data must stay within some regions. Harm prevented: one that
    reaches a replica elsewhere can't be taken back.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        self._regions = regions
        """Region by zone; empty if the regions are not known and nothing is limited."""

    def find_zones(
        self, route: Route, customer: Customer | None
    ) -> frozenset[str] | None:
        """Return the zones that a request may reach, None if it may reach all.

        A zone of an unknown region is not allowed where regions are named.
        """
        allowed = [route.allowed_regions]
        if customer is not None:
            allowed.append(customer.allowed_regions)
        named = [regions for regions in allowed if regions]
        if not named or not self._regions:
            return None
        return frozenset(
            zone
            for zone, region in self._regions.items()
            if all(region in regions for regions in named)
        )

    def count_unlimited(self, table: RoutingTable) -> tuple[int, int]:
        """Return the routes and customers whose regions can't be applied."""
        if self._regions:
            return 0, 0
        customers = {one.name: one for one in table.customers_by_key.values()}
        return (
            sum(bool(one.allowed_regions) for one in table.routes),
            sum(bool(one.allowed_regions) for one in customers.values()),
        )

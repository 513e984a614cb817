"""Order requests by the priorities of their customer and their route.

Load: a burst of the least urgent kind just before one of the most urgent, sent by
customers of one and the same priority. By the customer's priority alone, nothing would
tell the kinds apart, and the most urgent one would wait behind the other.
"""

PRIORITIES = 10
"""Number of priorities that are told apart; the others count as the least urgent."""


def rank_request(route: int, customer: int | None, *, by_route: bool) -> int:
    """Return the order of a request among those of its service, 0 first.

    The customer's priority goes before that of the route. With `by_route`, which is set
    if the service's routes differ in priority, the route's orders what is left equal.
    """
    priority = route if customer is None else customer
    if not by_route:
        return priority
    return min(priority, PRIORITIES - 1) * PRIORITIES + min(route, PRIORITIES - 1)

"""Remember which requests replicas have lately run to their end."""

from collections import OrderedDict

from hyssopvane._internal.state.suspects import SuspectId

FINISH_TTL_S = 60.0

MAX_CUSTOMERS = 256
MAX_BODIES = 128
"""Number of bodies that are kept for one customer."""


class RecentFinishes:
    """Track finished bodies by customer, so that none pushes those of others out."""

    def __init__(self) -> None:
        self._finished_at: OrderedDict[str, OrderedDict[SuspectId, float]] = (
            OrderedDict()
        )

    def add(self, body: SuspectId, *, now: float, customer: str = "") -> None:
        """Record that a replica has run a body to its end.

        A part of prompts is kept with the customer that sent it.
        """
        owner = body.customer or customer
        bodies = self._finished_at.setdefault(owner, OrderedDict())
        self._finished_at.move_to_end(owner)
        bodies[body] = now
        bodies.move_to_end(body)
        if len(bodies) > MAX_BODIES:
            bodies.popitem(last=False)
        if len(self._finished_at) > MAX_CUSTOMERS:
            self._finished_at.popitem(last=False)

    def has_finished(self, body: SuspectId, *, since: float) -> bool:
        """Return whether a body has finished later than a time."""
        if body.is_part:
            kept = self._finished_at.values()
            return any(bodies.get(body, since) > since for bodies in kept)
        bodies = self._finished_at.get(body.customer)
        return bodies is not None and bodies.get(body, since) > since

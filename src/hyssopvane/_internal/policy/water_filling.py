"""Choose among replicas by stale loads that many entries share.

Many entries read the same loads, each some tenths of a second old. If each sent to the
least loaded replica, all requests of that time would go to the same three or four: with
63 ranks and 13 entries one request in ten waited for a second behind others, while half
of the slots were free. So each replica gets a share of the expected arrivals such that
all reach the same level (water filling).
"""

from collections.abc import Sequence
from itertools import pairwise
from random import Random

REQUEST_COST = 2.0
"""Cost that a new request adds to a replica: one for running, and one for its unread
prompt."""


def find_water_level(
    costs: Sequence[float], added: float, widths: Sequence[float] = ()
) -> float:
    """Return the level that costs reach when an amount is added to the lowest ones.

    `widths` are the amounts that raise each cost by one; if empty, each is one.
    """
    ordered = sorted(zip(costs, widths or [1.0] * len(costs), strict=True))
    filled = width = 0.0
    for (cost, own_width), (higher, _) in pairwise(ordered):
        width += own_width
        step = (higher - cost) * width
        if filled + step >= added:
            return cost + (added - filled) / width
        filled += step
    cost, own_width = ordered[-1]
    return cost + (added - filled) / (width + own_width)


def choose_by_deficit(
    costs: Sequence[float], arrivals: float, *, free: Sequence[int], random: Random
) -> int:
    """Return the index of a replica, drawn by its deficit to the common level.

    `arrivals` is the number of requests that all entries are expected to send before
    the next loads arrive, including this one; `free` are the replicas' free slots.
    """
    level = find_water_level(costs, max(1.0, arrivals) * REQUEST_COST)
    weights = [
        min(level - cost, REQUEST_COST * slots) if cost < level else 0.0
        for cost, slots in zip(costs, free, strict=True)
    ]
    return random.choices(range(len(costs)), weights)[0]

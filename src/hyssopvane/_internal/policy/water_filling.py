"""Choose among replicas by loads that many entries saw a moment ago.

Made for many entries that all read the same loads, each some tenths of a second old.
Were each to send to the least loaded replica, all requests of that time would go to the
same three or four: with 63 ranks and 13 entries one request in ten waited for a second
behind others, while half of the slots were free. So each replica gets a share of what
is expected to arrive meanwhile, such that all come to the same level.
"""

from collections.abc import Sequence
from itertools import pairwise
from random import Random

REQUEST_COST = 2.0
"""What a request that has just arrived adds to a replica's cost: it runs, and its
prompt is still to be read."""


def find_water_level(
    costs: Sequence[float], added: float, widths: Sequence[float] = ()
) -> float:
    """Return the level that costs come to when so much is poured over the lowest.

    `widths` tell how much each takes for a rise by one; empty: one each.
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
    """Return the place of a replica, drawn by what it lacks to the common level.

    `arrivals` are the requests that all entries are expected to send until the next
    loads come, this one included; `free` are the replicas' free slots.
    """
    level = find_water_level(costs, max(1.0, arrivals) * REQUEST_COST)
    weights = [
        min(level - cost, REQUEST_COST * slots) if cost < level else 0.0
        for cost, slots in zip(costs, free, strict=True)
    ]
    return random.choices(range(len(costs)), weights)[0]

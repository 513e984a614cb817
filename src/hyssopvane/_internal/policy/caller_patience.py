"""Tell when a caller leaves an answer that does not go on, and whether one has."""

from hyssopvane._internal.state.routing import RequestKind, Route

MIN_PATIENCE_S = 2.0
"""Least time for which callers wait for the next event of a stream."""

PATIENCE_OBJECTIVES = 4.0
"""The same in objectives of the route; the longest time counts."""

PATIENCE_PAUSES = 8.0
"""The same in longest pauses of the route's streams."""


def measure_leave_at(route: Route, *, waiting_since: float, deadline: float) -> float:
    """Return the time at which a caller leaves if it receives nothing more.

    `waiting_since` is the time of the last event, or of the arrival of the request.
    """
    if route.kind is not RequestKind.STREAM:
        return deadline
    return min(deadline, waiting_since + _measure_patience_s(route))


def has_waited_before(route: Route, *, resumes: bool, left_s: float) -> bool:
    """Return whether a caller has most likely left an earlier attempt as too slow.

    Such a caller is late in any case. `resumes` tells that it has received events
    before; otherwise it has less time left, `left_s`, than a first attempt has.
    """
    if route.kind is not RequestKind.STREAM:
        return False
    return resumes or left_s <= route.timeout_s - _measure_patience_s(route)


def _measure_patience_s(route: Route) -> float:
    return max(
        MIN_PATIENCE_S,
        PATIENCE_OBJECTIVES * route.objective_s,
        PATIENCE_PAUSES * route.pause_s,
    )

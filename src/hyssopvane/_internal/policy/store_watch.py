"""Decide which entries watch the platform's store closely."""

from collections.abc import Iterable

from hyssopvane._internal.policy import rendezvous

WATCH_S = 3.0
"""Time that a close watch waits for a change before it is asked again.

A connection may go silent for good while new ones work. Somebody in a zone has to
notice that within the two seconds that an accepted change may take, beyond the three in
which no rule holds.
"""

SHARED_WATCH_S = 15.0
"""As above, where others of the zone watch closely.

Changes still come at once. What a silent connection keeps back comes from those others,
who tell each half second how new their beliefs are. Each call is paid for.
"""

WATCHERS = 2
"""Entries of a zone that watch closely, so that one may fail."""

_KEY = b"store"


def choose_watch_s(own: str, others: Iterable[str]) -> float:
    """Return the time that an entry's watch waits, given the others of its zone."""
    seeds = {name: rendezvous.hash_name(name) for name in (own, *others)}
    close = rendezvous.rank(_KEY, seeds, count=WATCHERS)
    return WATCH_S if own in close else SHARED_WATCH_S

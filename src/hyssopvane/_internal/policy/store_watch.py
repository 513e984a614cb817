"""Choose which entries of a zone watch the platform's store with a short timeout."""

from collections.abc import Iterable

from hyssopvane._internal.policy import rendezvous

WATCH_S = 3.0
"""Seconds that a short watch waits for a change before it is renewed.

A connection may become silent for good while new ones work. An entry of each zone has
to detect that within the two seconds that an accepted change may take, in addition to
the three seconds in which no rule applies.
"""

SHARED_WATCH_S = 15.0
"""Seconds that a watch waits where other entries of the zone use `WATCH_S`.

Changes still arrive at once. Changes that a silent connection withholds arrive from
those other entries, which publish the age of their routing data every half second. Each
call has a cost.
"""

WATCHERS = 2
"""Entries of a zone that watch with the short timeout, so that one may fail."""

MAX_PENDING_POLLS = 3
"""Polls of one watch that may wait for answers at the same time.

While a store answers late, the wait of a poll ends before its answer arrives, and a
second poll waits for changes in between. If the first one returns a change, so does the
second, and only a third one waits. More would lengthen the queue of calls at the store.
"""

_KEY = b"store"


def list_repeats(first_s: float, *, limit_s: float) -> tuple[float, ...]:
    """Return the times after its start at which a late listing is requested again.

    For a store that answers late or lost an answer. The pauses are doubled, so that
    repeats do not lengthen a queue of calls at the store; there is none once the first
    call is given up after `limit_s`.
    """
    repeats, pause_s = [first_s], 2 * first_s
    while repeats[-1] + pause_s < limit_s:
        repeats.append(repeats[-1] + pause_s)
        pause_s *= 2
    return tuple(one for one in repeats if one < limit_s)


def choose_watch_s(own: str, others: Iterable[str]) -> float:
    """Return the seconds that an entry's watch waits, given the others of its zone."""
    seeds = {name: rendezvous.hash_name(name) for name in (own, *others)}
    close = rendezvous.rank(_KEY, seeds, count=WATCHERS)
    return WATCH_S if own in close else SHARED_WATCH_S

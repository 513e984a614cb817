"""Choose who watches the platform's services, and whom each entry passes news on to."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from hyssopvane._internal.policy.rendezvous import hash_name, rank

WATCHERS_PER_ZONE = 2
"""Entries of a zone that watch the platform's services.

At the target 25,000 changes a day would wake 960 entries: 280 calls a second to the
key-value service, which also carries the claims. 28 watchers cost 8. The second is
there for the time until the list of VMs shows that the first has gone.
"""

FAN_OUT = 4
"""Entries that one entry passes news on to.

A watcher that told all 68 others of its zone itself would keep 68 connections, whose
heartbeats alone need 20 KB/s; a daemon has 6 for control. With eight a watcher needs 7,
with four less than 5, and a zone of 86 is reached in three steps.
"""


@dataclass(frozen=True, slots=True)
class Duties:
    """Say what one entry does for its zone."""

    watches: bool = True
    """An entry that knows no list of VMs watches for itself."""
    receivers: tuple[str, ...] = ()
    """Entries that it passes news on to."""
    neighbours: tuple[str, ...] = ()
    """Entries that it may ask for what it lacks, the likely ones first."""
    members: frozenset[str] = frozenset()
    """All entries of its zone."""


def plan_duties(own: str, zones: Mapping[str, str]) -> Duties:
    """Return the duties of an entry, given the zone of each live entry.

    Nothing rests on two entries having the same list: with two lists an entry hears
    news twice, or late from its own reading of the service, and never a wrong table.
    """
    zone = zones.get(own)
    if zone is None:
        return Duties(neighbours=tuple(sorted(zones))[:FAN_OUT])
    members = rank_zone(zone, zones)
    watchers = members[:WATCHERS_PER_ZONE]
    receivers = [
        one for tree in _make_trees(members) for one in _list_children(own, tree)
    ]
    if own in watchers:
        receivers += watchers
        receivers += _list_next_zone_watchers(watchers.index(own), zone, zones)
    others = [one for one in (*watchers, *receivers, *members) if one != own]
    return Duties(
        watches=own in watchers,
        receivers=tuple(dict.fromkeys(one for one in receivers if one != own)),
        neighbours=tuple(dict.fromkeys(others)),
        members=frozenset(members),
    )


def rank_zone(zone: str, zones: Mapping[str, str]) -> list[str]:
    """Return a zone's entries, its watchers first."""
    members = {name: hash_name(name) for name, other in zones.items() if other == zone}
    return rank(zone.encode(), members, count=len(members))


def _make_trees(members: Sequence[str]) -> list[list[str]]:
    """Return for each watcher the order in which its news goes down.

    An entry in the middle of one order is at the end of the other, and neither watcher
    is in the other's order, so that the loss of any one leaves all others reached.
    """
    first, second, rest = members[:1], members[1:2], members[2:]
    trees = [[*first, *rest]]
    if second:
        trees.append([*second, *reversed(rest)])
    return trees


def _list_children(own: str, tree: Sequence[str]) -> Sequence[str]:
    if own not in tree:
        return ()
    position = tree.index(own)
    return tree[FAN_OUT * position + 1 : FAN_OUT * (position + 1) + 1]


def _list_next_zone_watchers(
    rank_of_own: int, zone: str, zones: Mapping[str, str]
) -> list[str]:
    # A change that reached one zone before the service went down still reaches the
    # others, each of which tells the next.
    names = sorted(set(zones.values()))
    following = names[(names.index(zone) + 1) % len(names)]
    if following == zone:
        return []
    watchers = rank_zone(following, zones)[:WATCHERS_PER_ZONE]
    return [watchers[min(rank_of_own, len(watchers) - 1)]]

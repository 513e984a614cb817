"""Choose which entries watch the platform's services and how updates are forwarded."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from hyssopvane._internal.policy.rendezvous import hash_name, rank

WATCHERS_PER_ZONE = 2
"""Entries of a zone that watch the platform's services.

At the target size 25,000 changes a day would reach 960 entries: 280 calls a second to
the key-value service, which also carries the claims. 28 watchers need 8. The second
watcher covers the time until the list of VMs shows that the first has gone.
"""

FAN_OUT = 4
"""Entries that one entry forwards updates to.

A watcher that sent updates to all 68 others of its zone would keep 68 connections,
whose heartbeats alone need 20 KB/s; a daemon has 6 for control. With eight connections
a watcher needs 7, with four less than 5, and a zone of 86 entries is reached in three
steps.
"""


@dataclass(frozen=True, slots=True)
class Duties:
    """Describe the role of one entry in its zone."""

    watches: bool = True
    """An entry without a list of VMs watches for itself."""
    receivers: tuple[str, ...] = ()
    """Entries that it forwards updates to."""
    neighbours: tuple[str, ...] = ()
    """Entries that it may query for missing updates, the most likely ones first."""
    members: frozenset[str] = frozenset()
    """All entries of its zone."""


def plan_duties(own: str, zones: Mapping[str, str]) -> Duties:
    """Return the duties of an entry, given the zone of each live entry.

    Correctness does not depend on two entries having the same list: with different
    lists an entry receives updates twice, or late from its own reads of the service,
    but never a wrong table.
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
    """Return the order in which the updates of each watcher are forwarded.

    An entry in the middle of one order is at the end of the other, and neither watcher
    is in the other's order, so that after the loss of any one entry all others are
    still reached.
    """
    first, second, remaining = members[:1], members[1:2], members[2:]
    trees = [[*first, *remaining]]
    if second:
        trees.append([*second, *reversed(remaining)])
    return trees


def _list_children(own: str, tree: Sequence[str]) -> Sequence[str]:
    if own not in tree:
        return ()
    position = tree.index(own)
    return tree[FAN_OUT * position + 1 : FAN_OUT * (position + 1) + 1]


def _list_next_zone_watchers(
    rank_of_own: int, zone: str, zones: Mapping[str, str]
) -> list[str]:
    # A change that reached one zone before the service became unavailable still reaches
    # the other zones, as each zone forwards it to the next.
    names = sorted(set(zones.values()))
    following = names[(names.index(zone) + 1) % len(names)]
    if following == zone:
        return []
    watchers = rank_zone(following, zones)[:WATCHERS_PER_ZONE]
    return [watchers[min(rank_of_own, len(watchers) - 1)]]

"""Decide what an agent that leads sends to entries, and to which."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

import xxhash

from hyssopvane._internal.policy.load_relays import LoadRelays, Relay
from hyssopvane._internal.state.group import EntryState, RankState
from hyssopvane._internal.state.loads import (
    EntryContact,
    GroupLoad,
    Member,
    MemberLoad,
    Roster,
)
from hyssopvane._internal.state.ranks import RankReport

ROSTER_S = 2.0
"""Pause between two rosters to a relay while nothing changes: entries come and go."""

ROSTER_REPEATS = 3
"""Loads that a new roster goes along with.

An entry can't use a load before it has the roster, and now and then a message is lost.
"""

ROSTER_AGAIN_S = 0.5
"""Pause between two rosters to a zone whose entries complain.

A roster has four times the size of a load. Told again with each load that is lost, it
would fill the link that loses them.
"""

FAR_CONTACTS = 2
"""Entries of other zones that a roster names: beliefs spread to other zones by them."""


@dataclass(frozen=True, slots=True)
class Telling:
    """Send one message to some addresses."""

    message: GroupLoad | Roster
    to: tuple[str, ...]


@dataclass(slots=True)
class _Told:
    """Hold what was told to one zone last."""

    number: int
    times: int = 0
    at: float = float("-inf")
    asked: bool = False
    """Whether an entry of the zone may lack it."""


class LoadTeller:
    """Turn what a leader knows of its group into messages to relays.

    What is sent grows with the zones and with the members of the one group, not with
    members times entries.
    """

    def __init__(self, *, source: int, key: str) -> None:
        self._source = source
        self._sequence = 0
        self._told: dict[str, _Told] = {}
        """By availability zone."""
        self.relays = LoadRelays(key=key)

    def observe(self, state: EntryState, *, now: float) -> bool:
        """Take an entry's word; tell whether the entry is new."""
        is_new = self.relays.observe(state, now=now)
        told = self._told.get(state.availability_zone)
        if told is not None and (is_new or state.lacks_load):
            # It may lack the roster: a load says nothing without it.
            told.asked = True
        return is_new

    def tell(
        self,
        report: RankReport,
        heard: Sequence[tuple[RankState, float]],
        *,
        pass_s: float,
        now: float,
    ) -> list[Telling]:
        """Return the messages that tell the load of the ranks heard of."""
        relays = self.relays.choose(now)
        zones = {relay.availability_zone for relay in relays}
        for gone in self._told.keys() - zones:
            del self._told[gone]
        if not relays:
            return []
        ordered = sorted(heard, key=lambda one: one[0].rank)
        members = tuple(Member(one.replica, one.started_ms) for one, _ in ordered)
        number = digest_members(report.group, members)
        contacts = self.relays.list_entries(now)
        due = {zone for zone in zones if self._is_roster_due(zone, number, now)}
        tellings = [
            self._make_roster(relay, report.group, number, members, contacts)
            for relay in relays
            if relay.availability_zone in due
        ]
        self._sequence += 1
        load = GroupLoad(
            roster=number,
            source=self._source,
            sequence=self._sequence,
            epoch=report.epoch,
            ranks=report.ranks,
            open=report.open,
            step=report.step,
            pass_s=pass_s,
            entries=len(contacts),
            members=tuple(
                MemberLoad(one.active, one.queued, one.pace, age_s)
                for one, age_s in ordered
            ),
            relay=True,
        )
        direct = tuple(relay.entry for relay in relays if not relay.via)
        if direct:
            tellings.append(Telling(load, direct))
        for relay in relays:
            if relay.via:
                tellings.append(
                    Telling(replace(load, forward=relay.entry), (relay.via,))
                )
        return tellings

    def _is_roster_due(self, zone: str, number: int, now: float) -> bool:
        told = self._told.get(zone)
        if told is None or told.number != number:
            told = self._told[zone] = _Told(number)
        pause_s = ROSTER_AGAIN_S if told.asked else ROSTER_S
        if told.times >= ROSTER_REPEATS and now - told.at < pause_s:
            return False
        told.times += 1
        told.at = now
        told.asked = False
        return True

    def _make_roster(
        self,
        relay: Relay,
        group: str,
        number: int,
        members: tuple[Member, ...],
        contacts: Sequence[EntryContact],
    ) -> Telling:
        zone = relay.availability_zone
        near = [one for one in contacts if one.availability_zone == zone]
        far = [one for one in contacts if one.availability_zone != zone]
        turn = self._sequence % max(1, len(far))
        some = (far[turn:] + far[:turn])[:FAR_CONTACTS]
        roster = Roster(number, group, members, (*near, *some), relay=True)
        if relay.via:
            return Telling(replace(roster, forward=relay.entry), (relay.via,))
        return Telling(roster, (relay.entry,))


def digest_members(group: str, members: Sequence[Member]) -> int:
    """Return the number that stands for a group and its members, 64 bits."""
    digest = xxhash.xxh3_64(group.encode())
    for member in members:
        digest.update(f"\0{member.address}\0{member.started_ms}".encode())
    number: int = digest.intdigest()
    return number

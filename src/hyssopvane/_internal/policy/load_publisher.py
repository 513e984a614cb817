"""Build the messages that a leading agent sends to entries."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

import xxhash

from hyssopvane._internal.policy.fleet_demand import DemandSums
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

ROSTER_INTERVAL_S = 2.0
"""Interval of rosters to a relay while nothing changes: entries may join or leave."""

ROSTER_REPEATS = 3
"""Number of loads that a new roster accompanies.

An entry can't use a load before it has the roster, and a message may be lost.
"""

ROSTER_RETRY_S = 0.5
"""Interval of rosters to a zone whose entries report missing loads.

A roster is four times the size of a load. Sending it with each lost load would fill the
link that loses them.
"""

REMOTE_CONTACTS = 2
"""Number of entries of other zones that a roster names. Store snapshots reach other
zones through them.
"""


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """Hold a message and its receivers."""

    message: GroupLoad | Roster
    to: tuple[str, ...]


@dataclass(slots=True)
class _SentRoster:
    """Track the last roster that was sent to one zone."""

    number: int
    sent_count: int = 0
    sent_at: float = float("-inf")
    is_requested: bool = False
    """Whether an entry of the zone may lack the roster."""


class LoadPublisher:
    """Build messages to relays from the leader's state of its group.

    The traffic grows with the number of zones and with the members of the one group,
    not with members times entries.
    """

    def __init__(self, *, source: int, key: str) -> None:
        self._source = source
        self._sequence = 0
        self._sent_rosters: dict[str, _SentRoster] = {}
        """By availability zone."""
        self.relays = LoadRelays(key=key)
        self.demand = DemandSums()

    def observe(self, state: EntryState, *, now: float) -> bool:
        """Apply an entry's state; return whether the entry is new."""
        is_new = self.relays.observe(state, now=now)
        self.demand.observe(state, now)
        sent = self._sent_rosters.get(state.availability_zone)
        if sent is not None and (is_new or state.lacks_load):
            # The entry may lack the roster, without which a load is unusable.
            sent.is_requested = True
        return is_new

    def build_messages(
        self,
        report: RankReport,
        states: Sequence[tuple[RankState, float]],
        *,
        pass_s: float,
        now: float,
    ) -> list[OutgoingMessage]:
        """Return the messages that publish the loads of the known ranks."""
        relays = self.relays.choose(now)
        zones = {relay.availability_zone for relay in relays}
        for gone in self._sent_rosters.keys() - zones:
            del self._sent_rosters[gone]
        if not relays:
            return []
        ordered = sorted(states, key=lambda one: one[0].rank)
        members = tuple(Member(one.replica, one.started_ms) for one, _ in ordered)
        number = digest_members(report.group, members)
        contacts = self.relays.list_entries(now)
        due = {zone for zone in zones if self._is_roster_due(zone, number, now)}
        outgoing = [
            self._make_roster(relay, report.group, number, members, contacts)
            for relay in relays
            if relay.availability_zone in due
        ]
        self._sequence += 1
        waiting = self.demand.take_rows(now)
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
            waiting=waiting,
            reporting=0 if waiting is None else self.demand.count_reporting(now),
        )
        direct = tuple(relay.entry for relay in relays if not relay.via)
        if direct:
            outgoing.append(OutgoingMessage(load, direct))
        for relay in relays:
            if relay.via:
                outgoing.append(
                    OutgoingMessage(replace(load, forward=relay.entry), (relay.via,))
                )
        return outgoing

    def _is_roster_due(self, zone: str, number: int, now: float) -> bool:
        sent = self._sent_rosters.get(zone)
        if sent is None or sent.number != number:
            sent = self._sent_rosters[zone] = _SentRoster(number)
        pause_s = ROSTER_RETRY_S if sent.is_requested else ROSTER_INTERVAL_S
        if sent.sent_count >= ROSTER_REPEATS and now - sent.sent_at < pause_s:
            return False
        sent.sent_count += 1
        sent.sent_at = now
        sent.is_requested = False
        return True

    def _make_roster(
        self,
        relay: Relay,
        group: str,
        number: int,
        members: tuple[Member, ...],
        contacts: Sequence[EntryContact],
    ) -> OutgoingMessage:
        zone = relay.availability_zone
        near = [one for one in contacts if one.availability_zone == zone]
        far = [one for one in contacts if one.availability_zone != zone]
        turn = self._sequence % max(1, len(far))
        some = (far[turn:] + far[:turn])[:REMOTE_CONTACTS]
        roster = Roster(number, group, members, (*near, *some), relay=True)
        if relay.via:
            return OutgoingMessage(replace(roster, forward=relay.entry), (relay.via,))
        return OutgoingMessage(roster, (relay.entry,))


def digest_members(group: str, members: Sequence[Member]) -> int:
    """Return a 64-bit digest that identifies a group and its members."""
    digest = xxhash.xxh3_64(group.encode())
    for member in members:
        digest.update(f"\0{member.address}\0{member.started_ms}".encode())
    number: int = digest.intdigest()
    return number

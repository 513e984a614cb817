"""Choose the entries through which a leader publishes its group's load.

A leader of 64 ranks that sends to each of 35 entries sends 35 copies of each load over
a link of 3 Mbit/s with a queue of 12 KB. Instead it sends one copy to each zone, to an
entry that forwards it within the zone. An entry that receives no load reports this and
becomes the next relay of its zone: an entry that reports is alive and reaches the
leader, so a relay that has failed, is stalled or is cut off is replaced without a
failure detector.
"""

from collections import deque
from dataclasses import dataclass, field

from hyssopvane._internal.policy import rendezvous
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.loads import EntryContact

RELAY_TIMEOUT_S = 2.5
"""Silence after which an entry is no longer used as a relay: it sends its state every
second, and a message may be lost.
"""

ENTRY_EXPIRY_S = 5.0
"""Silence after which an entry no longer counts as one that sends requests."""

MIN_SWITCH_INTERVAL_S = 0.3
"""Time that a new relay gets before another report of a missing load replaces it.

Loads come eight times a second, and an entry reports after 0.35 s without one.
"""

MAX_RELAYS = 2
"""Maximum number of relays in one zone.

The previous relay stays beside the newest one: if the leader can't reach a single entry
and moved the zone's only relay there, all other entries would be cut off. With more
relays, reports of missing loads would increase the leader's traffic just when messages
are lost.
"""

SECOND_RELAY_S = 5.0
"""Time without a report of a missing load after which a zone has one relay again."""


@dataclass(frozen=True, slots=True)
class Relay:
    """Name an entry that forwards loads, and how to reach it."""

    entry: str
    availability_zone: str
    via: str = ""
    """Agent that forwards loads to the entry; empty if the leader sends to it."""


@dataclass(slots=True)
class _KnownEntry:
    availability_zone: str
    seen_at: float
    via: str = ""
    """Agent that forwarded the entry's last report of a missing load."""


@dataclass(slots=True)
class _Zone:
    relays: deque[Relay] = field(default_factory=lambda: deque(maxlen=MAX_RELAYS))
    """Newest first."""
    switched_at: float = float("-inf")
    load_missing_at: float = float("-inf")


class LoadRelays:
    """Track the entries, and choose one relay in each zone, or two if one fails."""

    def __init__(self, *, key: str) -> None:
        self._key = key.encode()
        self._entries: dict[str, _KnownEntry] = {}
        self._zones: dict[str, _Zone] = {}

    def observe(self, state: EntryState, *, now: float) -> bool:
        """Apply an entry's state; return whether the entry is new."""
        zone = state.availability_zone
        known = self._entries.get(state.address)
        is_new = known is None
        if known is None or known.availability_zone != zone:
            self._remove_expired(now)
            known = self._entries[state.address] = _KnownEntry(zone, now)
        known.seen_at = now
        known.via = state.via or known.via
        if state.lacks_load:
            self._handle_missing_load(state.address, known, now)
        return is_new

    def choose(self, now: float) -> list[Relay]:
        """Return the relays to send to now, one or two in each zone with entries."""
        self._remove_expired(now)
        live: dict[str, list[str]] = {}
        for address, known in self._entries.items():
            if now - known.seen_at < RELAY_TIMEOUT_S:
                live.setdefault(known.availability_zone, []).append(address)
        for name in self._zones.keys() - live.keys():
            del self._zones[name]
        chosen: list[Relay] = []
        for name, addresses in live.items():
            zone = self._zones.setdefault(name, _Zone())
            self._refresh(zone, addresses, now)
            chosen += zone.relays
        return chosen

    def describe(self) -> str:
        """Return the relays of each zone, for the log."""
        return ",".join(
            f"{name}={relay.entry}" + (f" via {relay.via}" if relay.via else "")
            for name, zone in sorted(self._zones.items())
            for relay in zone.relays
        )

    def list_entries(self, now: float) -> list[EntryContact]:
        """Return the entries whose state was received recently."""
        self._remove_expired(now)
        return [
            EntryContact(address, known.availability_zone)
            for address, known in self._entries.items()
        ]

    def _handle_missing_load(
        self, address: str, known: _KnownEntry, now: float
    ) -> None:
        zone = self._zones.setdefault(known.availability_zone, _Zone())
        zone.load_missing_at = now
        if now - zone.switched_at < MIN_SWITCH_INTERVAL_S:
            return
        relay = Relay(address, known.availability_zone)
        if relay in zone.relays:
            # The leader's messages do not reach this entry. The only other path is
            # through another agent that the entry reaches.
            if not known.via:
                return
            relay = Relay(address, known.availability_zone, known.via)
        if relay in zone.relays:
            return
        zone.relays.appendleft(relay)
        zone.switched_at = now

    def _refresh(self, zone: _Zone, addresses: list[str], now: float) -> None:
        for relay in [one for one in zone.relays if one.entry not in addresses]:
            zone.relays.remove(relay)
        if len(zone.relays) > 1 and now - zone.load_missing_at > SECOND_RELAY_S:
            zone.relays.pop()
        if zone.relays:
            return
        seeds = {name: rendezvous.hash_name(name) for name in addresses}
        # The order differs by group, so that no entry is the relay of all groups.
        first = rendezvous.rank(self._key, seeds, count=1)[0]
        known = self._entries[first]
        zone.relays.appendleft(Relay(first, known.availability_zone))
        zone.switched_at = now

    def _remove_expired(self, now: float) -> None:
        for address, known in list(self._entries.items()):
            if now - known.seen_at > ENTRY_EXPIRY_S:
                del self._entries[address]

"""Track the evacuated availability zones in the platform's store."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from hyssopvane._internal.coordination.key_value import KeyValue, WatchEvent
from hyssopvane._internal.exceptions import ConfigurationError
from hyssopvane._internal.state.routing import Replica
from hyssopvane._internal.state.store_position import UNKNOWN, StorePosition
from hyssopvane._internal.state.store_snapshot import StoreItem
from hyssopvane._internal.utils.logs import log_event

MAX_ZONES = 256
"""Maximum number of evacuated zones: each is part of the messages between entries."""


class EvacuationFeed:
    """Hold the evacuated zones with the position up to which they are known.

    While the store is unavailable, the last known zones stay evacuated. A listing of a
    new era replaces them, as the store may have been restored from an older copy. A
    value that can't be decoded changes nothing: a zone that was evacuated stays so, and
    no zone is emptied by a key that doesn't name an evacuation.
    """

    def __init__(
        self,
        prefix: str,
        decode: Callable[[str, bytes], str],
        *,
        replicas: Mapping[str, Replica],
        count: Callable[[str], None] = lambda event: None,
    ) -> None:
        self._prefix = prefix
        self._decode = decode
        """Returns the zone of a key and its value; raises `ConfigurationError`."""
        self._replicas = replicas
        """The live replicas, to log how many are affected."""
        self._count = count
        self._items: dict[str, KeyValue] = {}
        """Last readable values of the present keys."""
        self._zones: dict[str, str] = {}
        """Evacuated zones by key."""
        self._rejected: dict[str, int] = {}
        """Revisions of present keys whose values can't be used; each is logged once."""
        self.position = UNKNOWN
        """Position in the store's history up to which the evacuations are known."""
        self.changed_at = UNKNOWN
        """Position of the last change; only a change is worth a query by a peer."""

    @property
    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return frozenset(self._zones.values())

    def load(
        self, items: Iterable[KeyValue], position: StorePosition, *, source: str
    ) -> None:
        """Replace the evacuations by a listing, unless it is older than the known ones.

        Other keys of the operators are ignored.
        """
        if position < self.position:
            return
        is_new_era = position.era > self.position.era
        self.position = position
        if is_new_era:
            # The store reuses revisions in a new era. The listing itself is no change:
            # peers, which list the store at other revisions, need no snapshot of it.
            self.changed_at = StorePosition(position.era, 0)
            self._items = {
                key: replace(item, revision=0) for key, item in self._items.items()
            }
        present = {item.key: item for item in items if self._is_evacuation(item.key)}
        for key in [*self._items, *self._rejected]:
            if key not in present:
                self._remove(key, position.revision, source=source)
        for item in present.values():
            self._put(item, source=source)

    def apply_event(self, event: WatchEvent, *, era: int) -> None:
        """Apply a change that a watch reports."""
        if era != self.position.era or event.revision < self.position.revision:
            return
        if not self._is_evacuation(event.key):
            return
        self.position = StorePosition(era, event.revision)
        known = self._items.get(event.key)
        if known is not None and known.revision > event.revision:
            # A listing is read page by page, so it may be newer than its revision.
            return
        if event.value is None:
            self._remove(event.key, event.revision, source="store")
        else:
            item = KeyValue(event.key, event.value, event.revision, era)
            self._put(item, source="store")

    def merge(self, items: Iterable[StoreItem], position: StorePosition) -> None:
        """Apply another entry's evacuations if they are newer."""
        if position > self.position:
            listed = [
                KeyValue(one.key, one.value, one.revision, position.era)
                for one in items
            ]
            self.load(listed, position, source="peer")

    def export(self) -> tuple[StoreItem, ...]:
        """Return the evacuations to send them to another entry.

        Present keys that this entry can't use are included without their values. The
        receiver may know a readable one, and a key that is missing ends an evacuation.
        """
        unusable = self._rejected.keys() - self._items.keys()
        return (
            *(
                StoreItem(item.key, item.value, item.revision)
                for item in self._items.values()
            ),
            *(StoreItem(key, b"", self._rejected[key]) for key in sorted(unusable)),
        )

    def _is_evacuation(self, key: str) -> bool:
        return key.startswith(self._prefix)

    def _put(self, item: KeyValue, *, source: str) -> None:
        known = self._items.get(item.key)
        if known is not None and known.revision == item.revision:
            return
        try:
            zone = self._decode(item.key, item.value)
            self._check_count(item.key)
        except ConfigurationError as error:
            self._reject(item, error)
            return
        self._rejected.pop(item.key, None)
        self._items[item.key] = item
        if known is None:
            self._zones[item.key] = zone
            self._record_change("zone-evacuated", zone, item.revision, source=source)

    def _check_count(self, key: str) -> None:
        if key not in self._items and len(self._items) >= MAX_ZONES:
            raise ConfigurationError(
                f"more than {MAX_ZONES} zones are evacuated",
                context=key,
                hint="remove the keys of zones that don't exist",
            )

    def _reject(self, item: KeyValue, error: ConfigurationError) -> None:
        self._count("evacuation-unreadable")
        is_known = item.key in self._rejected
        if not is_known and len(self._rejected) >= MAX_ZONES:
            return
        self._rejected[item.key] = item.revision
        if is_known:
            return
        log_event(
            "error",
            "evacuation-unreadable",
            revision=item.revision,
            evacuated=item.key in self._items,
            why=error,
        )

    def _remove(self, key: str, revision: int, *, source: str) -> None:
        self._rejected.pop(key, None)
        if self._items.pop(key, None) is not None:
            zone = self._zones.pop(key)
            self._record_change("zone-returned", zone, revision, source=source)

    def _record_change(
        self, event: str, zone: str, revision: int, *, source: str
    ) -> None:
        position = StorePosition(self.position.era, revision)
        self.changed_at = max(self.changed_at, position)
        self._count(event)
        slots = [
            replica.slots
            for replica in self._replicas.values()
            if replica.availability_zone == zone
        ]
        log_event(
            "warning" if event == "zone-evacuated" else "info",
            event,
            zone=zone,
            revision=revision,
            era=position.era,
            source=source,
            replicas=len(slots),
            slots=sum(slots),
            evacuated=len(self._zones),
        )

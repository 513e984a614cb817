"""Track the configuration and the replicas in the platform's store."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import replace
from random import Random

import trio

from hyssopvane._internal.coordination.evacuation_feed import EvacuationFeed
from hyssopvane._internal.coordination.key_value import (
    KeyValue,
    KeyValueStore,
    Snapshot,
    WatchEvent,
)
from hyssopvane._internal.exceptions import ConfigurationError, KeyValueError
from hyssopvane._internal.policy.departures import Departures
from hyssopvane._internal.state.routing import Replica, RoutingTable
from hyssopvane._internal.state.store_position import UNKNOWN, StorePosition
from hyssopvane._internal.state.store_snapshot import StoreItem, StoreSnapshot
from hyssopvane._internal.utils.logs import log_event

MISSING_GRACE_S = 2.2
"""Seconds after a reconnection to the store during which missing replicas are kept.

Registrations expire during an outage of the store, and live replicas register again
within two seconds. Dropping them at once would leave no replica for any request.
"""

UNCONFIRMED_S = 10.0
"""Seconds after a restore of the store during which some registrations are unconfirmed.

A replica whose registration had ended before the restore is not considered ready
because of a registration in the copy. Registrations of replicas that are gone expire
after three heartbeats. One that remains belongs to a live replica that registered again
before the process checked.
"""

_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0
"""Seconds between tries while the store is unavailable.

An accepted change must be in use within two seconds. A longer pause would use up that
time after the store has recovered; a shorter one in all processes would overload it.
"""


class RoutingFormat(ABC):
    """Define the keys of the store and decode their values."""

    configuration_key: str
    replicas_prefix: str
    operations_prefix: str
    """Prefix of the keys of the configuration and of all evacuations."""
    evacuations_prefix: str

    @abstractmethod
    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Return a configuration; raise `ConfigurationError`."""

    @abstractmethod
    def decode_replica(self, key: str, value: bytes) -> Replica:
        """Return a replica; raise `ConfigurationError`."""

    @abstractmethod
    def decode_evacuation(self, key: str, value: bytes) -> str:
        """Return the zone that is evacuated; raise `ConfigurationError`."""


class RoutingFeed:
    """Hold the newest configuration and the live replicas.

    The configuration never reverts to an older version; operators number the versions.
    Registrations are ordered by the store's revisions, which are valid only within one
    era of the store. After the store is restored from an older copy, the replicas that
    it then lists are used.
    """

    def __init__(
        self,
        store: KeyValueStore,
        format: RoutingFormat,
        *,
        random: Random,
        observe: Callable[[], None],
        count: Callable[[str], None] = lambda event: None,
        follows_evacuations: bool = False,
    ) -> None:
        self._store = store
        self._format = format
        self._random = random
        self._observe = observe
        self._count = count
        """Called with the name of each event that operators may want to monitor."""
        self._was_ready = trio.Event()
        self.table: RoutingTable | None = None
        self.replicas: dict[str, Replica] = {}
        self.evacuations: EvacuationFeed | None = None
        """Evacuated zones; None if they are not followed."""
        self._operations_prefix = format.configuration_key
        if follows_evacuations:
            # One watch of both, since each call of the store has a cost.
            self._operations_prefix = format.operations_prefix
            self.evacuations = EvacuationFeed(
                format.evacuations_prefix,
                format.decode_evacuation,
                replicas=self.replicas,
                count=count,
            )
        self._configuration = KeyValue("", b"", 0, 0)
        self._items: dict[str, KeyValue] = {}
        self._unreadable: dict[str, int] = {}
        """Revisions of the registrations that can't be decoded, by key."""
        self.unreadable_count = 0
        """Number of registrations since the start that could not be decoded."""
        self.replicas_position = StorePosition(0, 0)
        """Position in the store's history up to which the registrations are known."""
        self._departures = Departures()
        self._missing: dict[str, float] = {}
        """Times at which replicas that expired during an outage are dropped, by key."""
        self.connected_at = -MISSING_GRACE_S
        """Time of the first answer of the store since its last outage."""
        self._connected: dict[str, bool] = {}
        self._was_lost = False
        self.returned_at: float | None = None
        """Time at which the last outage of the store ended; None if there was none."""

    def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that watch the store in a nursery."""
        nursery.start_soon(self._track, self._operations_prefix)
        nursery.start_soon(self._track, self._format.replicas_prefix)
        nursery.start_soon(self._drop_missing)

    def is_ready(self) -> bool:
        """Return whether a configuration and replicas are known."""
        return self.table is not None and bool(self.replicas)

    async def wait_until_ready(self) -> None:
        """Wait until a configuration and replicas were known for the first time."""
        await self._was_ready.wait()

    def _notify(self) -> None:
        if self.is_ready():
            self._was_ready.set()
        self._observe()

    @property
    def is_store_lost(self) -> bool:
        """Return whether the store has failed to answer the last read of a prefix."""
        return not all(self._connected.values())

    def export(self) -> StoreSnapshot:
        """Return a snapshot of the known state to send it to another process."""
        known = self.evacuations
        return StoreSnapshot(
            self._configuration.revision,
            self._configuration.value,
            self.replicas_position.revision,
            tuple(
                StoreItem(item.key, item.value, item.revision)
                for item in self._items.values()
                # An expired replica is kept here for a grace time. A peer that has
                # already removed it would add it again, and no later event would
                # remove it.
                if item.key not in self._missing
            ),
            self.replicas_position.era,
            evacuations=() if known is None else known.export(),
            evacuations_position=UNKNOWN if known is None else known.position,
        )

    def merge(self, snapshot: StoreSnapshot) -> None:
        """Apply the parts of another process's snapshot that are newer."""
        if snapshot.configuration:
            key = self._format.configuration_key
            self._apply_configuration(
                KeyValue(
                    key,
                    snapshot.configuration,
                    snapshot.configuration_revision,
                    snapshot.replicas_era,
                ),
                source="peer",
            )
        if snapshot.replicas_position > self.replicas_position:
            items = tuple(
                KeyValue(item.key, item.value, item.revision, snapshot.replicas_era)
                for item in snapshot.replicas
            )
            self._replace_replicas(items, snapshot.replicas_position, source="peer")
        if self.evacuations is not None:
            self.evacuations.merge(snapshot.evacuations, snapshot.evacuations_position)
        self._notify()

    def record_return(self, at: float) -> None:
        """Record the end of an outage of the store that a peer detected.

        Registrations expire while the store is unavailable. A process whose watch
        stayed open throughout would otherwise treat their removal as the end of all
        replicas.
        """
        self.connected_at = max(self.connected_at, at)

    def measure_levels(self) -> dict[str, int]:
        """Return the configuration version and the number of replicas, for metrics."""
        levels = {
            "configuration-version": self.configuration_version,
            "replicas": len(self.replicas),
        }
        if self.evacuations is not None:
            levels["evacuated-zones"] = len(self.evacuations.zones)
        return levels

    def end_watches_before(self, era: int) -> None:
        """End watches when a peer reports that the store was restored from a copy."""
        if era > self.replicas_position.era:
            self._store.end_watches(era)

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, or 0 if there is none."""
        return 0 if self.table is None else self.table.version

    @property
    def evacuations_changed_at(self) -> StorePosition:
        """Return the position of the last change of evacuations; zero if none."""
        known = self.evacuations
        return UNKNOWN if known is None else known.changed_at

    @property
    def replicas_revision(self) -> int:
        """Return the revision up to which the registrations are known."""
        return self.replicas_position.revision

    async def _track(self, prefix: str) -> None:
        retry_s = _MIN_RETRY_DELAY_S
        while True:
            try:
                snapshot = await self._store.get_prefix(prefix)
                self._record_connection(prefix, True, snapshot=snapshot)
                self._load(prefix, snapshot)
                retry_s = _MIN_RETRY_DELAY_S
                await self._watch(prefix, snapshot)
            except KeyValueError as error:
                self._record_connection(prefix, False, why=str(error))
                # Add jitter, because after an outage all processes reconnect at once.
                await trio.sleep(retry_s * self._random.uniform(0.5, 1.0))
                retry_s = min(_MAX_RETRY_DELAY_S, retry_s * 2)

    async def _watch(self, prefix: str, snapshot: Snapshot) -> None:
        start_revision, era = snapshot.revision + 1, snapshot.era
        async with self._store.watch(prefix, start_revision, era=era) as events:
            async for event in events:
                self._apply_event(prefix, event, era=era)

    def _record_connection(
        self,
        prefix: str,
        connected: bool,
        *,
        snapshot: Snapshot | None = None,
        why: str = "",
    ) -> None:
        if self._connected.get(prefix) == connected:
            return
        self._connected[prefix] = connected
        if connected:
            self.connected_at = trio.current_time()
            if self._was_lost:
                self.returned_at = self.connected_at
        self._was_lost = not connected
        event = "store-regained" if connected else "store-lost"
        log_event(
            "info" if connected else "warning",
            event,
            prefix=prefix,
            configuration_revision=self._configuration.revision,
            replicas_revision=self.replicas_revision,
            store_revision=-1 if snapshot is None else snapshot.revision,
            era=-1 if snapshot is None else snapshot.era,
            why=why,
        )

    def _load(self, prefix: str, snapshot: Snapshot) -> None:
        position = snapshot.position
        if prefix == self._operations_prefix:
            if self.evacuations is not None:
                self.evacuations.load(snapshot.items, position, source="store")
            for item in snapshot.items:
                if item.key == self._format.configuration_key:
                    self._apply_configuration(item, source="store")
        elif position >= self.replicas_position:
            self._replace_replicas(snapshot.items, position, source="store")
        self._notify()

    def _apply_event(self, prefix: str, event: WatchEvent, *, era: int = 0) -> None:
        if prefix == self._operations_prefix:
            if self.evacuations is not None:
                self.evacuations.apply_event(event, era=era)
            if event.value is not None and event.key == self._format.configuration_key:
                item = KeyValue(event.key, event.value, event.revision, event.era)
                self._apply_configuration(item, source="store")
        elif era == self.replicas_position.era and event.revision > self._get_revision(
            event.key
        ):
            self._apply_registration(event)
            position = StorePosition(era, event.revision)
            self.replicas_position = max(self.replicas_position, position)
        self._notify()

    def _apply_configuration(self, item: KeyValue, *, source: str) -> None:
        if item.value == self._configuration.value:
            return
        try:
            table = self._format.decode_configuration(item.value)
        except ConfigurationError as error:
            self._count("configuration-unreadable")
            log_event("error", "configuration-unreadable", why=error)
            return
        # A delayed answer, a lagging peer or a store that was restored from a copy must
        # not bring back routes and keys that were removed. Revisions can't be used for
        # this check, because the store reuses them after a restore.
        if self.table is not None and table.version <= self.table.version:
            self._record_ignored(item, table.version, source=source)
            return
        self._configuration = item
        self.table = table
        log_event(
            "info",
            "configuration",
            version=table.version,
            revision=item.revision,
            routes=len(table.routes),
            keys=len(table.customers_by_key),
            source=source,
        )

    def _record_ignored(self, item: KeyValue, version: int, *, source: str) -> None:
        self._count("configuration-left-out")
        log_event(
            "info",
            "configuration-left-out",
            version=version,
            revision=item.revision,
            known_version=self.configuration_version,
            known_revision=self._configuration.revision,
            source=source,
        )

    def list_unreadable(self) -> tuple[str, ...]:
        """Return the keys whose current registrations can't be decoded."""
        return tuple(self._unreadable)

    def _get_revision(self, key: str) -> int:
        item = self._items.get(key)
        read = 0 if item is None else item.revision
        return max(read, self._unreadable.get(key, 0))

    def _apply_registration(self, event: WatchEvent) -> None:
        if event.value is None:
            self._unreadable.pop(event.key, None)
            self._remove(event.key, why="registration removed")
        else:
            self._departures.remove(event.key)
            self._put(KeyValue(event.key, event.value, event.revision, event.era))

    def _replace_replicas(
        self, items: tuple[KeyValue, ...], position: StorePosition, *, source: str
    ) -> None:
        if position.era > self.replicas_position.era:
            self._begin_era(position.era)
        present = {item.key for item in items}
        for item in items:
            if item.revision > self._get_revision(item.key):
                self._put(item)
        for key in self._unreadable.keys() - present:
            del self._unreadable[key]
        for key in self._items.keys() - present:
            self._remove(key, why=f"not listed by the {source}")
        self.replicas_position = position

    def _begin_era(self, era: int) -> None:
        """Reset the known revisions, because the store reuses them in a new era."""
        if self.replicas_position.revision:
            self.connected_at = self.returned_at = trio.current_time()
        self.replicas_position = StorePosition(era, 0)
        self._store.end_watches(era)
        self._items = {
            key: replace(item, revision=0) for key, item in self._items.items()
        }
        self._unreadable = dict.fromkeys(self._unreadable, 0)

    def _put(self, item: KeyValue) -> None:
        try:
            decoded = self._format.decode_replica(item.key, item.value)
        except ConfigurationError as error:
            self._reject_registration(item, error)
            return
        replica = replace(decoded, revision=item.revision)
        known = self.replicas.get(item.key)
        if replica.ignored:
            self._record_ignored_field(replica, known)
        if self._is_replaced(item.key, replica, item.revision):
            return
        replica = self._departures.correct(
            item.key,
            replica,
            era=self.replicas_position.era,
            is_first=self._get_revision(item.key) == 0,
            now=trio.current_time(),
        )
        self._items[item.key] = item
        self._unreadable.pop(item.key, None)
        self._missing.pop(item.key, None)
        self.replicas[item.key] = replica
        if known != replica:
            log_event(
                "info",
                "replica",
                id=replica.id,
                service=replica.service,
                address=replica.address,
                draining=replica.draining,
                started_ms=replica.started_ms,
                revision=item.revision,
            )

    def _record_ignored_field(self, replica: Replica, known: Replica | None) -> None:
        self._count("registration-field-ignored")
        if known is None or known.ignored != replica.ignored:
            # Its writer may repeat it many times a second.
            log_event(
                "error",
                "registration-field-ignored",
                id=replica.id,
                revision=replica.revision,
                why=replica.ignored,
            )

    def _reject_registration(self, item: KeyValue, error: ConfigurationError) -> None:
        """Drop the replica of a key whose registration can't be decoded.

        Any process may write to the store. The earlier replica of the key may be gone,
        and its address may belong to another service. A live replica registers again
        within seconds.
        """
        self.unreadable_count += 1
        self._count("registration-unreadable")
        if item.key not in self._unreadable:
            # Log it only once until the key is readable again, because its writer may
            # repeat it many times a second.
            log_event("error", "replica-unreadable", revision=item.revision, why=error)
        self._drop(item.key, why="its registration can't be decoded")
        self._unreadable[item.key] = item.revision

    def _is_replaced(self, key: str, replica: Replica, revision: int) -> bool:
        # A crashed replica does not deregister. For some seconds its registration
        # remains next to that of the replica that now has its address. The load would
        # be counted twice, and half of the requests would be addressed to the replica
        # that is gone.
        for other, found in list(self.replicas.items()):
            if other == key or found.address != replica.address:
                continue
            if self._get_revision(other) > revision:
                return True
            self._record_departure(other)
            self._drop(other, why=f"its address now belongs to {replica.id}")
        return False

    def _remove(self, key: str, *, why: str) -> None:
        if key not in self._items or key in self._missing:
            return
        now = trio.current_time()
        returned_s = now - self.connected_at
        if self.replicas and returned_s < MISSING_GRACE_S:
            self._missing[key] = self.connected_at + MISSING_GRACE_S
            return
        self._record_departure(key)
        self._drop(key, why=why)

    def _record_departure(self, key: str) -> None:
        self._departures.note(
            key,
            self.replicas[key],
            era=self.replicas_position.era,
            now=trio.current_time(),
        )

    def _drop(self, key: str, *, why: str) -> None:
        self._items.pop(key, None)
        self._missing.pop(key, None)
        self._departures.discard_unconfirmed(key)
        replica = self.replicas.pop(key, None)
        if replica is not None:
            log_event("info", "replica-gone", id=replica.id, why=why)

    async def _drop_missing(self) -> None:
        while True:
            await trio.sleep(_MIN_RETRY_DELAY_S)
            now = trio.current_time()
            for key in [one for one, at in self._missing.items() if at <= now]:
                self._drop(key, why="not registered again after an outage of the store")
                self._notify()
            self._departures.expire(now=now)
            if self._is_settled(now):
                self._accept_unconfirmed()

    def _is_settled(self, now: float) -> bool:
        connected = self._connected.get(self._format.replicas_prefix, False)
        return connected and now - self.connected_at >= UNCONFIRMED_S

    def _accept_unconfirmed(self) -> None:
        for key in self._departures.take_unconfirmed():
            self._put(self._items[key])
            self._notify()

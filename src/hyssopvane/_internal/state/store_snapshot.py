"""Hold what a process has learnt from the store, to pass it on."""

from dataclasses import dataclass

from hyssopvane._internal.state.store_position import StorePosition


@dataclass(frozen=True, slots=True)
class StoreItem:
    """Hold one key of the store as it was at a revision."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Hold the configuration and the registrations of replicas."""

    configuration_revision: int
    configuration: bytes
    replicas_revision: int
    """Revision of the store up to which the registrations are known."""
    replicas: tuple[StoreItem, ...]
    replicas_era: int = 0
    """Era of the store that the registrations and their revisions belong to."""

    @property
    def replicas_position(self) -> StorePosition:
        """Return the point of the store's history up to which they are known."""
        return StorePosition(self.replicas_era, self.replicas_revision)

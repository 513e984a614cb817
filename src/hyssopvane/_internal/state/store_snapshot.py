"""Define the part of the store's content that processes exchange."""

from dataclasses import dataclass

from hyssopvane._internal.state.store_position import UNKNOWN, StorePosition


@dataclass(frozen=True, slots=True)
class StoreItem:
    """Hold one key of the store and its value as of a revision."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Hold the configuration, registrations and evacuations read from the store."""

    configuration_revision: int
    configuration: bytes
    replicas_revision: int
    """Revision of the store up to which the registrations are complete."""
    replicas: tuple[StoreItem, ...]
    replicas_era: int = 0
    """Era of the store in which the registrations and their revisions are valid."""
    evacuations: tuple[StoreItem, ...] = ()
    """Evacuations of availability zones that are in force."""
    evacuations_position: StorePosition = UNKNOWN
    """Store position up to which these are complete; zero if they are not known."""

    @property
    def replicas_position(self) -> StorePosition:
        """Return the store position up to which the registrations are complete."""
        return StorePosition(self.replicas_era, self.replicas_revision)

"""Build the status of all VMs, which shows the table in force on each."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from hyssopvane._internal.state.store_position import StorePosition


class InForce(StrEnum):
    """Compare the table of a VM with the newest table that any VM has."""

    NEWEST = "newest"
    BEHIND = "behind"
    INCOMPLETE = "incomplete"
    """The VM has the newest page, but lacks changes of other pages."""
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class VmReport:
    """Hold the state that a process reports on request or in a heartbeat."""

    vm: str
    revision: int
    digest: int = 0
    """Hash of the revisions of all pages; 0 for an agent, as it has no pages."""
    leaving: bool = False
    running: int = 0
    era: int = 0
    """Era of the service in which the revision is valid."""

    @property
    def position(self) -> StorePosition:
        """Return the position in the service's history that the table reflects."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class ListedVm:
    """Hold a VM as the platform lists it."""

    vm: str
    role: str
    availability_zone: str
    listed_state: str


@dataclass(frozen=True, slots=True)
class VmStatus:
    """Hold the status of one VM."""

    vm: str
    role: str
    availability_zone: str
    listed_state: str
    revision: int
    lag: int
    """Number of revisions behind the newest table; other writes count as well."""
    in_force: InForce
    leaving: bool
    running: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Hold the status of all VMs of a zone, or of the whole list."""

    newest_revision: int
    vms: tuple[VmStatus, ...]


def build_status(vms: Iterable[ListedVm], reports: Iterable[VmReport]) -> FleetStatus:
    """Join the platform's list with the newest report of each VM."""
    known: dict[str, VmReport] = {}
    for report in reports:
        other = known.get(report.vm)
        if other is None or report.position > other.position:
            known[report.vm] = report
    newest = max(
        (report.position for report in known.values()), default=StorePosition(0, 0)
    )
    digest = _find_most_common_digest(known, newest)
    return FleetStatus(
        newest.revision,
        tuple(
            _build_line(one, known.get(one.vm), newest, digest)
            for one in sorted(vms, key=lambda one: (one.availability_zone, one.vm))
        ),
    )


def _find_most_common_digest(
    known: Mapping[str, VmReport], newest: StorePosition
) -> int:
    digests = [
        one.digest for one in known.values() if one.position == newest and one.digest
    ]
    return max(digests, key=digests.count, default=0)


def _build_line(
    listed: ListedVm, report: VmReport | None, newest: StorePosition, digest: int
) -> VmStatus:
    revision = report.revision if report else 0
    return VmStatus(
        vm=listed.vm,
        role=listed.role,
        availability_zone=listed.availability_zone,
        listed_state=listed.listed_state,
        revision=revision,
        # A revision of an earlier era may be higher than the newest one.
        lag=max(0, newest.revision - revision),
        in_force=_compare(report, newest, digest),
        leaving=report.leaving if report else False,
        running=report.running if report else 0,
    )


def _compare(report: VmReport | None, newest: StorePosition, digest: int) -> InForce:
    if report is None:
        return InForce.NO_ANSWER
    if report.position < newest:
        return InForce.BEHIND
    if report.digest and report.digest != digest:
        return InForce.INCOMPLETE
    return InForce.NEWEST

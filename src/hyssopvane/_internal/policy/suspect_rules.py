"""Weigh the evidence that a request crashes the replicas that run it."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from hyssopvane._internal.state.suspects import (
    Crash,
    CrashKey,
    SuspectId,
    SuspectRecord,
)

# Two entries detect one crash within milliseconds of each other, and a target that
# crashed is not back within this time. So reports within it are of the same crash.
SAME_CRASH_S = 2.0

# Difference of two expiries of a record that is not worth a write. The entries learn of
# a crash at slightly different times.
EXPIRY_TOLERANCE_S = 5.0

MAX_VOIDED = 8


@dataclass(frozen=True, slots=True)
class SuspectRules:
    """Define which crashes prove that a body is their cause."""

    crashes_to_quarantine: int = 2
    """Crashes after which a body is quarantined.

    After the first crash, every request that ran at the target may be the cause; a
    second crash with the same suspect is unlikely to be a coincidence.
    """
    crashes_with_rival: int = 2
    """The same while another body was running in all of these crashes."""
    crashes_of_finished: int = 2
    """The same of a body that had lately finished at the time of one of them."""
    min_generations: int = 1
    """Crashes among them that followed each other.

    All targets of a site may end at once, with many copies of one request.
    """
    crashes_to_attribute: int = 1
    """Crashes of a body from which on it is taken for the cause of its next one, and
    the bodies that ran beside it are not accused."""
    crash_ends_incarnation: bool = False
    """Whether an incarnation crashes once and then answers nothing any more.

    If so, an answer of it proves that it has not crashed.
    """
    probation_s: float = 0.0
    """Time after a quarantine in which the next crash starts it again."""
    max_crashes: int = 2
    """Number of crashes of a body that are kept."""
    parts: "SuspectRules | None" = None
    """Rules for parts of prompts, None if these are the same."""

    def select(self, suspect: SuspectId) -> "SuspectRules":
        """Return the rules for a suspect."""
        return self.parts if suspect.is_part and self.parts is not None else self

    def is_same(self, first: Crash, second: Crash) -> bool:
        """Return whether two reports are of the same crash."""
        if first.key != second.key:
            return False
        # Clocks of entries may differ by more than the time between two crashes.
        if self.crash_ends_incarnation:
            return True
        return abs(first.at - second.at) < SAME_CRASH_S


AGENT_REPORTS = SuspectRules()
"""Rules where a live agent reports that its target is broken."""

PARTS_OF_LOST_CONNECTIONS = SuspectRules(
    crashes_of_finished=4,
    min_generations=2,
    crashes_to_attribute=2,
    crash_ends_incarnation=True,
    probation_s=600.0,
    max_crashes=6,
)
"""Rules for a part of prompts where entries lose the connections to a replica.

Requests with a suspect part run one at a time, so one that crashes its replica tells
more than a repeat of a body.
"""

LOST_CONNECTIONS = SuspectRules(
    crashes_to_quarantine=3,
    crashes_with_rival=5,
    crashes_of_finished=6,
    min_generations=2,
    crashes_to_attribute=2,
    crash_ends_incarnation=True,
    probation_s=600.0,
    max_crashes=8,
    parts=PARTS_OF_LOST_CONNECTIONS,
)
"""Rules where entries lose the connections to a replica.

Replicas of a group end together, and a lost connection alone is weak evidence, so one
or two crashes may be coincidence.
"""


def combine(
    first: SuspectRecord, second: SuspectRecord, rules: SuspectRules = AGENT_REPORTS
) -> SuspectRecord:
    """Combine two records of a body; the first one's expiry applies if both agree."""
    voided = limit_voided(first.voided | second.voided)
    crashes: tuple[Crash, ...] = ()
    for crash in (*first.crashes, *second.crashes):
        if crash.key not in voided:
            crashes = add_crash(crashes, crash, rules)
    enough = len(crashes) >= rules.crashes_to_quarantine
    if rules.crash_ends_incarnation:
        quarantined = enough and (first.quarantined or second.quarantined)
        until = max(first.until, second.until)
        has_finished = first.has_finished or second.has_finished
        return SuspectRecord(crashes, quarantined, until, voided, has_finished)
    if first.quarantined:
        return replace(first, crashes=crashes)
    if second.quarantined:
        return replace(second, crashes=crashes)
    return SuspectRecord(crashes, enough, first.until)


def limit_voided(voided: frozenset[CrashKey]) -> frozenset[CrashKey]:
    """Return the crashes to keep as void, the same ones at all entries."""
    if len(voided) <= MAX_VOIDED:
        return voided
    return frozenset(sorted(voided)[-MAX_VOIDED:])


def add_crash(
    crashes: tuple[Crash, ...], crash: Crash, rules: SuspectRules
) -> tuple[Crash, ...]:
    """Return crashes with one more; a second report of a crash changes nothing."""
    if any(rules.is_same(crash, other) for other in crashes):
        return crashes
    if len(crashes) < rules.max_crashes:
        return (*crashes, crash)
    # Later generations tell more than copies that were lost at the same time.
    earliest = min(crashes, key=lambda one: one.generation)
    if earliest.generation >= crash.generation:
        return crashes
    return (*(one for one in crashes if one is not earliest), crash)


def choose_evicted(
    records: Mapping[SuspectId, SuspectRecord], limit: int
) -> set[SuspectId]:
    """Return the records to drop so that at most `limit` remain.

    The customer with the most records loses one at a time, the weakest evidence first.
    So a customer that fills the table with bodies of its own drops only its own. Parts
    belong to no customer, and count as those of one more.
    """
    excess = len(records) - limit
    if excess <= 0:
        return set()
    counts = Counter(_get_owner(body) for body in records)
    by_customer: dict[tuple[str, bool], list[SuspectId]] = {}
    for body in sorted(records, key=lambda one: _rank(records[one]), reverse=True):
        by_customer.setdefault(_get_owner(body), []).append(body)
    evicted = set()
    for _ in range(excess):
        largest = max(counts, key=lambda one: counts[one])
        counts[largest] -= 1
        evicted.add(by_customer[largest].pop())
    return evicted


def tells_more(first: SuspectRecord, second: SuspectRecord) -> bool:
    """Return whether a record tells more than an expiry that is almost the same."""
    return (
        first.crashes != second.crashes
        or first.quarantined != second.quarantined
        or first.voided != second.voided
        or first.has_finished != second.has_finished
        or abs(first.until - second.until) > EXPIRY_TOLERANCE_S
    )


def list_keys(crashes: Iterable[Crash]) -> frozenset[CrashKey]:
    """Return what crashed."""
    return frozenset(crash.key for crash in crashes)


def _get_owner(suspect: SuspectId) -> tuple[str, bool]:
    return suspect.customer, suspect.is_part


def _rank(record: SuspectRecord) -> tuple[bool, int, float]:
    return (record.quarantined, len(record.crashes), record.until)

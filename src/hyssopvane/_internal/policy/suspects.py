"""Find requests that crash their targets, and keep them from other targets."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import replace

from hyssopvane._internal.policy.recent_finishes import FINISH_TTL_S, RecentFinishes
from hyssopvane._internal.policy.suspect_rules import (
    AGENT_REPORTS,
    SuspectRules,
    add_crash,
    choose_evicted,
    combine,
    limit_voided,
    list_keys,
    tells_more,
)
from hyssopvane._internal.state.suspects import (
    Crash,
    CrashKey,
    RequestIdentity,
    SuspectId,
    SuspectRecord,
)

# Seconds for which a body that was running in a crash is a suspect. Callers that repeat
# a request do so within minutes; an unrelated crash after this time must not count
# against the body.
SUSPECT_S = 600.0
# Backoff of a suspect after a crash. Reports of crashes at other entries arrive within
# a tenth of a second; three entries that retried at once would crash three more targets
# to learn what the first three crashes had shown.
SUSPECT_BACKOFF_S = 0.25
# Time for which a cleared body's crashes are remembered as void. The reports of other
# entries arrive within seconds.
VOID_S = 60.0
# Least time for which a record of another entry is kept.
MIN_EXPIRY_S = 30.0
# Crashes of a body after its first quarantine. Each one doubles the next quarantine;
# the one after the last of them lasts for a day.
MAX_TRIALS = 3
LAST_QUARANTINE_S = 86_400.0
# Maximum number of crashes attributed to a known suspect. They are kept while reports
# about other requests that ran at the same target still arrive.
_MAX_ATTRIBUTED = 256
# Time for which a lost target is taken for the reason of further losses there. Its
# registration ends within seconds.
LOST_S = 10.0
# Maximum number of lost targets, and of those that answered after all, that are kept.
_MAX_TARGETS = 1_024
# 32 suspects a crash and 140 crashes on an ordinary day stay far below this. A caller
# that varies its body on each attempt can fill it; then its own suspects are removed.
MAX_RECORDS = 2_048
# The same where records have more crashes: a page of them must fit the store, too.
MAX_LONG_RECORDS = 512


class SuspectTracker:
    """Track suspect and quarantined bodies, as known to one entry.

    With reports of agents, a body can crash these targets, in the whole fleet, while
    its caller keeps sending it: the copies that run when the report of the first crash
    arrives, and at most one more for each entry that gets the body before the report of
    the second crash arrives. A copy through one entry crashes two targets, copies
    through three entries at once crash three, and six at most when the key-value
    service is unavailable. With lost connections, it is one more than that.
    """

    def __init__(
        self,
        *,
        max_records: int = MAX_RECORDS,
        rules: SuspectRules = AGENT_REPORTS,
        observe_quarantine: Callable[[SuspectId, float], None] = lambda body, left_s: (
            None
        ),
    ) -> None:
        self.rules = rules
        self.max_records = max_records
        self._observe_quarantine = observe_quarantine
        """Called with a body that is refused from now on, and for how many seconds."""
        self._records: OrderedDict[SuspectId, SuspectRecord] = OrderedDict()
        self._bodies: dict[CrashKey, set[SuspectId]] = {}
        """Bodies by the crashes that count against them."""
        self._lost_at: OrderedDict[CrashKey, float] = OrderedDict()
        """Times at which this entry learnt that targets were lost."""
        self._alive_at: OrderedDict[CrashKey, float] = OrderedDict()
        """Times at which targets that seemed lost have answered."""
        self._finishes = RecentFinishes()
        self._finished_parts = RecentFinishes()
        self._running: dict[str, Counter[SuspectId]] = {}
        self._changed: set[SuspectId] = set()
        self._attributed: OrderedDict[Crash, None] = OrderedDict()
        self.revision = 0
        """Number of changes of the records."""
        self.repeats = 0
        """Number of crashes that were not the first one of their body or part."""

    def __len__(self) -> int:
        return len(self._records)

    def is_quarantined(self, body: SuspectId, *, now: float) -> bool:
        """Return whether a body must be refused."""
        record = self._find(body, now)
        return record is not None and _is_refused(record, now)

    def measure_quarantine_s(self, body: SuspectId, *, now: float) -> float:
        """Return the seconds until a body is no longer refused."""
        record = self._find(body, now)
        if record is None or not record.quarantined:
            return 0.0
        return max(0.0, record.until - now)

    def is_suspect(self, body: SuspectId, *, now: float) -> bool:
        """Return whether a body was running in a crash and has not finished since."""
        record = self._find(body, now)
        return record is not None and _is_suspect(record, now)

    def count_generations(self, body: SuspectId) -> int:
        """Return the number of a body's crashes that followed each other."""
        record = self._records.get(body)
        if record is None:
            return 0
        return max((crash.generation for crash in record.crashes), default=0)

    def is_refused(self, request: RequestIdentity, *, now: float) -> bool:
        """Return whether a request must be refused."""
        return self.measure_refusal_s(request, now=now) > 0

    def measure_refusal_s(self, request: RequestIdentity, *, now: float) -> float:
        """Return the seconds for which a request must be refused, 0 if it need not be.

        A quarantined part has the request refused unless something that the request
        does not contain was there in all of its crashes: that may be the cause, and a
        request without it tells which one is.
        """
        if not self._records:
            return 0.0
        refused_s = self.measure_quarantine_s(request.body, now=now)
        for part in request.parts:
            left_s = self.measure_quarantine_s(part, now=now)
            if left_s > refused_s and self._may_be_cause(part, request):
                refused_s = left_s
        return refused_s

    def list_unproven(
        self, request: RequestIdentity, *, now: float
    ) -> tuple[SuspectId, ...]:
        """Return the parts of a request of which one request may run at a time.

        A part that had finished before a crash is more likely to be sound, and most
        parts that run at a replica are shared by many requests. So a single crash does
        not slow these down.
        """
        if not self._records or not request.parts:
            return ()
        return tuple(part for part in request.parts if self._is_unproven(part, now))

    def is_running(self, suspects: Iterable[SuspectId]) -> bool:
        """Return whether this entry runs one of some suspects."""
        wanted = set(suspects)
        return any(not wanted.isdisjoint(one) for one in self._running.values())

    def was_lost_since(self, targets: Iterable[CrashKey], since: float) -> bool:
        """Return whether one of some targets was lost after a time."""
        return any(self._lost_at.get(key, since) > since for key in targets)

    def find_excluded(self, body: SuspectId, *, now: float) -> frozenset[str] | None:
        """Return the targets that must not run a body now, None for all targets.

        A target runs at most one suspect at a time, so that the next crash identifies
        the cause. A suspect runs at one target at a time: two copies would crash two
        targets to learn what one crash shows.
        """
        if not self.is_suspect(body, now=now):
            return frozenset()
        retry_at = (
            max(crash.at for crash in self._records[body].crashes) + SUSPECT_BACKOFF_S
        )
        if now < retry_at or any(body in one for one in self._running.values()):
            return None
        return self.list_targets_of_others(body, now=now)

    def list_targets_of_others(self, *own: SuspectId, now: float) -> frozenset[str]:
        """Return the targets at which this entry runs suspects other than its own."""
        if not self._records:
            return frozenset()
        return frozenset(
            target
            for target, bodies in self._running.items()
            if any(
                other not in own and self.is_suspect(other, now=now) for other in bodies
            )
        )

    def start(self, body: SuspectId, target: str) -> None:
        """Record that a body starts to run at a target."""
        self._running.setdefault(target, Counter())[body] += 1

    def stop(self, body: SuspectId, target: str) -> None:
        """Record that a body no longer runs at a target."""
        bodies = self._running.get(target)
        if bodies is None:
            return
        bodies[body] -= 1
        if bodies[body] <= 0:
            del bodies[body]
        if not bodies:
            del self._running[target]

    def clear(self, body: SuspectId, *, now: float = 0.0, customer: str = "") -> None:
        """Hold no crash against a body that has finished."""
        if self.rules.crash_ends_incarnation:
            self._select_finishes(body).add(body, now=now, customer=customer)
        self._void_crashes(body, now)

    def has_finished(self, body: SuspectId, *, since: float) -> bool:
        """Return whether a body has finished at this entry since a time."""
        return self._select_finishes(body).has_finished(body, since=since)

    def record_answer(self, target: CrashKey, *, sent_at: float, now: float) -> None:
        """Hold no crash against any body if its target answers a later request."""
        if not self._lost_at or sent_at <= self._lost_at.get(target, now):
            return
        del self._lost_at[target]
        _remember(self._alive_at, target, now)
        for body in list(self._bodies.get(target, ())):
            record = self._records[body]
            crashes = tuple(one for one in record.crashes if one.key != target)
            self._keep(body, self._weaken(body, record, crashes, {target}, now))
            self._changed.add(body)

    def record_crash(
        self,
        body: SuspectId,
        crash: Crash,
        *,
        quarantine_s: float,
        now: float,
        sent_at: float | None = None,
    ) -> bool:
        """Record a crash of a target that ran a body; return whether it counts."""
        known = self._find(body, now)
        voided: frozenset[CrashKey] = frozenset() if known is None else known.voided
        if crash.key in voided or self._was_lost_before(crash.key, sent_at, now):
            return False
        if crash.key not in self._lost_at:
            _remember(self._lost_at, crash.key, now)
        count = 0 if known is None else len(known.crashes)
        rules = self.rules.select(body)
        if count >= rules.crashes_to_attribute:
            self._mark_attributed(crash)
        elif not count and self._is_attributed(crash, now):
            # The suspect that ran at the same target is the likelier cause. Otherwise
            # the requests next to it would become suspects at each crash that it
            # causes.
            return False
        crashes = add_crash(known.crashes if known else (), crash, rules)
        if known is not None and crashes == known.crashes:
            return False
        has_finished = known is not None and known.has_finished
        has_finished |= self.has_finished(body, since=now - FINISH_TTL_S)
        record = SuspectRecord(
            crashes, False, now + SUSPECT_S, voided, has_finished=has_finished
        )
        quarantined = self._is_proven(body, record, last=crash)
        until = record.until
        if quarantined:
            until = now + self._measure_duration_s(body, crashes, quarantine_s)
        self._keep(body, replace(record, quarantined=quarantined, until=until))
        self._changed.add(body)
        if quarantined:
            self._clear_explained(body, now)
            self._observe_quarantine(body, until - now)
        return True

    def merge(
        self, body: SuspectId, record: SuspectRecord, *, quarantine_s: float, now: float
    ) -> bool:
        """Merge what other entries recorded; return whether crashes were new here."""
        known = self._find(body, now)
        merged = record
        if known is not None:
            merged = self._combine(body, record, known)
        alive = {
            crash.key
            for crash in merged.crashes
            if crash.at < self._alive_at.get(crash.key, crash.at)
        }
        if alive:
            crashes = tuple(one for one in merged.crashes if one.key not in alive)
            merged = self._weaken(body, merged, crashes, alive, now)
        if not merged.quarantined and self._is_proven(body, merged):
            merged = replace(merged, quarantined=True)
        if merged.quarantined and not (
            record.quarantined or (known and known.quarantined)
        ):
            duration_s = self._measure_duration_s(body, merged.crashes, quarantine_s)
            merged = replace(merged, until=now + duration_s)
        for key in list_keys(merged.crashes) - self._lost_at.keys():
            _remember(self._lost_at, key, now)
        was_refused = known is not None and _is_refused(known, now)
        if body.is_part and merged.crashes and not merged.has_finished:
            # The entry that recorded the crash sees a part of all finishes only.
            has_finished = self.has_finished(body, since=now - FINISH_TTL_S)
            merged = replace(merged, has_finished=has_finished)
        if merged != known:
            self._keep(body, merged)
        if tells_more(merged, record):
            self._changed.add(body)
        if _is_refused(merged, now) and not was_refused:
            self._clear_explained(body, now)
            self._observe_quarantine(body, merged.until - now)
        return len(merged.crashes) > (0 if known is None else len(known.crashes))

    def limit_expiry(
        self, body: SuspectId, record: SuspectRecord, *, quarantine_s: float, now: float
    ) -> SuspectRecord:
        """Return a record with an expiry that a wrong clock can't have shifted far.

        The clocks of VMs may be hours apart, and entries exchange times of day.
        """
        most_s = SUSPECT_S
        if record.quarantined:
            most_s = self._measure_duration_s(body, record.crashes, quarantine_s)
        until = min(max(record.until, now + MIN_EXPIRY_S), now + most_s)
        return replace(record, until=until)

    def drop(self, body: SuspectId) -> None:
        """Remove a record that other entries no longer keep."""
        if body not in self._changed:
            self._put(body, None)

    def handle_missing(self, body: SuspectId, *, has_room: bool, now: float) -> None:
        """Remove a record that other entries no longer share, or share it again.

        Where crashes are voided by name, a record leaves the others only by its expiry
        or for want of room. Another one was lost by the store, or by a write that did
        not know it.
        """
        record = self._find(body, now)
        if record is None:
            return
        left_s = record.until + self._get_probation_s(body, record) - now
        if self.rules.crash_ends_incarnation and has_room and left_s > MIN_EXPIRY_S:
            self._changed.add(body)
        else:
            self.drop(body)

    def get_record(self, body: SuspectId) -> SuspectRecord | None:
        """Return the record of a body."""
        return self._records.get(body)

    def list_records(self, *, now: float) -> dict[SuspectId, SuspectRecord]:
        """Return all records that have not expired."""
        for body in list(self._records):
            self._find(body, now)
        return dict(self._records)

    def take_changes(self) -> frozenset[SuspectId]:
        """Return the bodies whose records changed here since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def return_changes(self, bodies: Iterable[SuspectId]) -> None:
        """Put back changes that could not be shared, for the next attempt."""
        self._changed.update(bodies)

    def _was_lost_before(
        self, target: CrashKey, sent_at: float | None, now: float
    ) -> bool:
        """Return whether a target was known to be lost when a body was sent to it."""
        lost_at = self._lost_at.get(target)
        if lost_at is None or sent_at is None or not self.rules.crash_ends_incarnation:
            return False
        return lost_at < sent_at and now - lost_at < LOST_S

    def _combine(
        self, body: SuspectId, record: SuspectRecord, known: SuspectRecord
    ) -> SuspectRecord:
        merged = combine(record, known, self.rules.select(body))
        if (
            self.rules.crash_ends_incarnation
            and merged.quarantined == known.quarantined
            and list_keys(merged.crashes) == list_keys(known.crashes)
        ):
            # Otherwise entries would extend each other's records for ever.
            return replace(merged, until=known.until)
        return merged

    def _is_proven(
        self, body: SuspectId, record: SuspectRecord, *, last: Crash | None = None
    ) -> bool:
        """Return whether nothing but a body explains its crashes.

        The last crash may not be recorded yet for all bodies that ran there.
        """
        rules, crashes = self.rules.select(body), record.crashes
        if len(crashes) < rules.crashes_to_quarantine:
            return False
        if max(crash.generation for crash in crashes) < rules.min_generations:
            return False
        if record.has_finished:
            return len(crashes) >= rules.crashes_of_finished
        if len(crashes) >= rules.crashes_with_rival:
            return True
        return not self._has_rival(body, list_keys(crashes), last)

    def _select_finishes(self, suspect: SuspectId) -> RecentFinishes:
        return self._finished_parts if suspect.is_part else self._finishes

    def _is_unproven(self, part: SuspectId, now: float) -> bool:
        record = self._find(part, now)
        if record is None:
            return False
        crashes = len(self._list_unexplained(part))
        doubted = self.rules.select(part).crashes_of_finished - 1
        return crashes >= (doubted if record.has_finished else 1)

    def _list_unexplained(self, part: SuspectId) -> frozenset[CrashKey]:
        """Return the crashes of a part that no quarantined suspect explains better.

        One that was in crashes without the part caused those with the part, too.
        """
        keys = list_keys(self._records[part].crashes)
        return frozenset(
            key
            for key in keys
            if not any(
                self._records[other].quarantined
                and not list_keys(self._records[other].crashes) <= keys
                for other in self._bodies[key]
            )
        )

    def _may_be_cause(self, part: SuspectId, request: RequestIdentity) -> bool:
        """Return whether nothing but a request explains the crashes of a part of it.

        Something that the request does not contain, but that was in all of them, may
        be the cause.
        """
        keys = list_keys(self._records[part].crashes)
        if len(self._list_unexplained(part)) < len(keys):
            return False
        others = set.intersection(*(self._bodies[key] for key in keys))
        has_finished = self._records[part].has_finished
        return not any(
            has_finished or not self._records[other].has_finished
            for other in others.difference(request.suspects)
        )

    def _has_rival(
        self, body: SuspectId, keys: frozenset[CrashKey], last: Crash | None
    ) -> bool:
        """Return whether another body was running in all crashes of a body.

        A body comes with all of its parts, so a part is no rival of a body.
        """
        running = set() if last is None else set(self._running.get(last.target, ()))
        sets = []
        for key in keys:
            bodies = self._bodies.get(key, set())
            sets.append(bodies | running if last and key == last.key else bodies)
        beside = set.intersection(*sets) - {body}
        return any(not other.is_part for other in beside)

    def _clear_explained(self, cause: SuspectId, now: float) -> None:
        """Hold crashes of a proven cause against no body that explains fewer of them.

        Such a body ran beside the cause; or it was taken for the cause before, and the
        crashes have gone on without it.
        """
        if not self.rules.crash_ends_incarnation or cause.is_part:
            return
        keys = list_keys(self._records[cause].crashes)
        beside = set().union(*(self._bodies.get(key, set()) for key in keys))
        for body in beside - {cause}:
            if body.is_part:
                # Reports of its crashes may still arrive: see `_list_unexplained`.
                continue
            if list_keys(self._records[body].crashes) < keys:
                self._void_crashes(body, now)

    def _void_crashes(self, body: SuspectId, now: float) -> None:
        record = self._records.get(body)
        if record is None or not record.crashes:
            return
        if self.rules.crash_ends_incarnation:
            voided = limit_voided(record.voided | list_keys(record.crashes))
            self._keep(body, SuspectRecord((), False, now + VOID_S, voided))
        elif not record.quarantined:
            self._put(body, None)
        else:
            return
        self._changed.add(body)

    def _weaken(
        self,
        body: SuspectId,
        record: SuspectRecord,
        crashes: tuple[Crash, ...],
        voided: Iterable[CrashKey],
        now: float,
    ) -> SuspectRecord:
        """Return a record with fewer crashes."""
        rules = self.rules.select(body)
        quarantined = record.quarantined and len(crashes) >= rules.crashes_to_quarantine
        until = record.until
        if record.quarantined and not quarantined:
            until = now + SUSPECT_S
        return replace(
            record,
            crashes=crashes,
            quarantined=quarantined,
            until=until,
            voided=limit_voided(record.voided | frozenset(voided)),
        )

    def _measure_duration_s(
        self, body: SuspectId, crashes: tuple[Crash, ...], quarantine_s: float
    ) -> float:
        """Return how long a body is refused after its last crash."""
        excess = max(0, len(crashes) - self.rules.crashes_to_quarantine)
        if body.is_part:
            # Several requests with a part may run when its first crash becomes known.
            generation = max((crash.generation for crash in crashes), default=0)
            excess = max(0, generation - self.rules.select(body).min_generations)
        if excess >= MAX_TRIALS:
            return max(quarantine_s, LAST_QUARANTINE_S)
        return quarantine_s * 2.0**excess

    def _mark_attributed(self, crash: Crash) -> None:
        self._attributed[crash] = None
        if len(self._attributed) > _MAX_ATTRIBUTED:
            self._attributed.popitem(last=False)

    def _is_attributed(self, crash: Crash, now: float) -> bool:
        if any(self.rules.is_same(crash, other) for other in self._attributed):
            return True
        for other in self._running.get(crash.target, ()):
            record = self._find(other, now)
            crashes = 0 if record is None else len(record.crashes)
            if crashes >= self.rules.crashes_to_attribute:
                return True
        return False

    def _keep(self, body: SuspectId, record: SuspectRecord) -> None:
        self._put(body, record)
        for evicted in choose_evicted(self._records, self.max_records):
            self._put(evicted, None)

    def _put(self, body: SuspectId, record: SuspectRecord | None) -> None:
        """Replace the record of a body; None removes it."""
        self.revision += 1
        before = self._records.pop(body, None)
        for key in list_keys(before.crashes) if before is not None else ():
            bodies = self._bodies[key]
            bodies.discard(body)
            if not bodies:
                del self._bodies[key]
        if record is None:
            return
        self._records[body] = record
        known = 0 if before is None else len(before.crashes)
        if len(record.crashes) > max(1, known):
            self.repeats += 1
        for key in list_keys(record.crashes):
            self._bodies.setdefault(key, set()).add(body)

    def _find(self, body: SuspectId, now: float) -> SuspectRecord | None:
        record = self._records.get(body)
        if record is None:
            return None
        if record.until + self._get_probation_s(body, record) <= now:
            self._put(body, None)
            return None
        return record

    def _get_probation_s(self, body: SuspectId, record: SuspectRecord) -> float:
        return self.rules.select(body).probation_s if record.quarantined else 0.0


def _is_refused(record: SuspectRecord, now: float) -> bool:
    return record.quarantined and now < record.until


def _is_suspect(record: SuspectRecord, now: float) -> bool:
    return bool(record.crashes) and not _is_refused(record, now)


def _remember(times: OrderedDict[CrashKey, float], target: CrashKey, at: float) -> None:
    times[target] = at
    times.move_to_end(target)
    if len(times) > _MAX_TARGETS:
        times.popitem(last=False)

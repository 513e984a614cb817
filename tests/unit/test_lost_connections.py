"""Test what lost connections to replicas prove against the requests that ran there."""

import pytest

from hyssopvane._internal.policy.suspect_rules import LOST_CONNECTIONS
from hyssopvane._internal.policy.suspects import (
    MIN_EXPIRY_S,
    SUSPECT_S,
    SuspectTracker,
)
from hyssopvane._internal.state.suspects import Crash, SuspectId

BODY = SuspectId("checks", b"body", "registry")
OTHER = SuspectId("checks", b"other", "registry")
QUARANTINE_S = 60.0


class Account:
    """Play attempts of bodies at replicas, one second after the other."""

    def __init__(self, **options):
        self.tracker = SuspectTracker(rules=LOST_CONNECTIONS, **options)
        self.now = 0.0
        self._replicas = 0

    def crash(self, *bodies, copies=1):
        """End some replicas at once, each with a copy of all bodies."""
        self.now += 1.0
        generations = {
            body: 1 + self.tracker.count_generations(body) for body in bodies
        }
        names = []
        for _ in range(copies):
            self._replicas += 1
            names.append(f"i-{self._replicas}")
        for name in names:
            for body in bodies:
                self.tracker.start(body, name)
        for name in names:
            for body in bodies:
                crash = Crash(name, 0, self.now, generations[body])
                self.tracker.record_crash(
                    body, crash, quarantine_s=QUARANTINE_S, now=self.now
                )
            for body in bodies:
                self.tracker.stop(body, name)

    def finish(self, *bodies):
        """Let a replica run bodies to their end."""
        self.now += 1.0
        for body in bodies:
            self.tracker.clear(body, now=self.now)

    def answer(self, name, *, sent_after_s=0.5):
        """Let a replica answer a request that was sent after its crash."""
        self.now += 1.0
        self.tracker.record_answer(
            (name, 0), sent_at=self.now - 1.0 + sent_after_s, now=self.now
        )

    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    def is_refused(self, body=BODY):
        """Return whether a body is refused."""
        return self.tracker.is_quarantined(body, now=self.now)


@pytest.mark.parametrize(
    ("steps", "refused"),
    [
        ([("crash", BODY)] * 2, False),
        ([("crash", BODY)] * 3, True),
        ([("crash", BODY), ("wait", 300.0)] * 2 + [("crash", BODY)], True),
        ([("crash", BODY), ("crash", BODY), ("finish", BODY), ("crash", BODY)], False),
        ([("crash", BODY)] * 3 + [("finish", BODY)], False),
        ([("crash", BODY)] * 2 + [("answer", "i-2"), ("crash", BODY)], False),
        ([("crash", BODY)] * 3 + [("answer", "i-1")], False),
        ([("crash", BODY)] * 3 + [("answer", "i-9")], True),
        ([("finish", BODY)] + [("crash", BODY)] * 5, False),
        ([("finish", BODY)] + [("crash", BODY)] * 6, True),
        ([("finish", BODY), ("wait", 70.0)] + [("crash", BODY)] * 3, True),
        ([("crash", BODY, OTHER)] * 3, False),
        ([("crash", BODY, OTHER)] * 5, True),
        ([("crash", BODY, OTHER)] + [("crash", BODY)] * 2, True),
        ([("crash", BODY, OTHER)] * 2 + [("finish", OTHER), ("crash", BODY)], True),
    ],
    ids=[
        "two",
        "three",
        "three-in-ten-minutes",
        "finished-between",
        "finished-after",
        "replica-answers",
        "replica-answers-after",
        "other-replica-answers",
        "finished-lately",
        "finished-lately-six-times",
        "finished-long-ago",
        "beside-another-each-time",
        "beside-another-five-times",
        "beside-another-once",
        "other-one-finished",
    ],
)
def test_request_is_refused_when_nothing_else_explains_its_crashes(steps, refused):
    """Guard against a bare count, which refuses what ran beside the cause."""
    account = Account()
    for name, *arguments in steps:
        getattr(account, name)(*arguments)
    assert account.is_refused() is refused


@pytest.mark.parametrize(("repeats", "refused"), [(0, False), (1, True)])
def test_replicas_that_end_at_the_same_time_count_as_one_after_another(
    repeats, refused
):
    """Guard against a power failure that has a request of all callers refused."""
    account = Account()
    account.crash(BODY, copies=8)
    for _ in range(repeats):
        account.crash(BODY)
    assert account.is_refused() is refused


def test_requests_beside_a_known_suspect_are_not_accused():
    account = Account()
    account.crash(BODY)
    account.crash(BODY)
    account.crash(OTHER, BODY)
    assert account.is_refused()
    assert not account.tracker.is_suspect(OTHER, now=account.now)


def test_request_that_was_taken_for_the_cause_is_released():
    """Guard against a request that stays refused although another is the cause."""
    account = Account()
    for _ in range(2):
        account.crash(BODY, OTHER)
    # Another entry, which does not know of the other body, reports the third crash.
    seen = account.tracker.get_record(OTHER)
    account.tracker.drop(OTHER)
    account.tracker.take_changes()
    account.tracker.drop(OTHER)
    account.crash(BODY)
    assert account.is_refused(BODY)
    account.tracker.merge(OTHER, seen, quarantine_s=QUARANTINE_S, now=account.now)
    (third,) = account.tracker.get_record(BODY).crashes[2:]
    for crash in (third, Crash("i-9", 0, account.now, 4)):
        account.tracker.record_crash(
            OTHER, crash, quarantine_s=QUARANTINE_S, now=account.now
        )
    assert account.is_refused(OTHER)
    assert not account.is_refused(BODY)


@pytest.mark.parametrize(
    ("crashes", "wait_s", "has_room", "kept"),
    [
        (1, 0.0, True, True),
        (3, 0.0, True, True),
        (3, 0.0, False, False),
        (1, SUSPECT_S - MIN_EXPIRY_S, True, False),
        (3, QUARANTINE_S, True, True),
    ],
)
def test_record_that_a_page_lacks_is_shared_again(crashes, wait_s, has_room, kept):
    """Guard against a page that was written by an entry which did not know of it."""
    account = Account()
    for _ in range(crashes):
        account.crash(BODY)
    account.tracker.take_changes()
    account.wait(wait_s)
    account.tracker.handle_missing(BODY, has_room=has_room, now=account.now)
    assert (account.tracker.get_record(BODY) is not None) == kept
    assert (BODY in account.tracker.take_changes()) == kept


def test_entry_that_never_saw_a_request_finish_believes_the_others():
    """Guard against a request of all callers that one entry alone has refused."""
    account, other = Account(), Account()
    account.finish(BODY)
    for _ in range(3):
        account.crash(BODY)
    seen = account.tracker.get_record(BODY)
    other.tracker.merge(BODY, seen, quarantine_s=QUARANTINE_S, now=account.now)
    assert not other.tracker.is_quarantined(BODY, now=account.now)


def test_refused_request_gets_three_trials_a_day():
    """Guard against a request that ends a replica each time its refusal ends."""
    account = Account()
    ends = 0
    for _ in range(100):
        account.wait(300.0)
        if not account.is_refused():
            account.crash(BODY)
            ends += 1
    assert ends == 6


def test_requests_that_crashed_with_the_proven_cause_are_cleared():
    account = Account()
    account.crash(BODY, OTHER)
    account.crash(BODY)
    assert account.tracker.is_suspect(OTHER, now=account.now)
    account.crash(BODY)
    assert account.is_refused()
    assert not account.tracker.is_suspect(OTHER, now=account.now)


def test_request_that_is_sent_to_a_lost_replica_is_not_accused():
    """Guard against the next request that meets a replica which has just ended."""
    account = Account()
    account.crash(BODY)
    for number in range(1, 4):
        account.tracker.record_crash(
            OTHER,
            Crash("i-1", 0, account.now + number, number),
            quarantine_s=QUARANTINE_S,
            now=account.now + number,
            sent_at=account.now + number - 0.1,
        )
    assert not account.tracker.is_suspect(OTHER, now=account.now)


def test_replica_that_answered_after_a_loss_can_crash_later():
    account = Account()
    account.crash(OTHER)
    account.answer("i-1")
    account.tracker.record_crash(
        BODY,
        Crash("i-1", 0, account.now + 1.0),
        quarantine_s=QUARANTINE_S,
        now=account.now + 1.0,
        sent_at=account.now,
    )
    assert account.tracker.is_suspect(BODY, now=account.now + 1.0)


def test_answer_to_an_earlier_request_proves_nothing():
    account = Account()
    account.crash(BODY)
    account.answer("i-1", sent_after_s=-0.5)
    account.crash(BODY)
    account.crash(BODY)
    assert account.is_refused()


def test_request_that_crashes_another_replica_later_is_refused_for_longer():
    """Guard against a caller that goes on and gets three replicas each time."""
    account = Account()
    for _ in range(3):
        account.crash(BODY)
    account.wait(QUARANTINE_S + 1.0)
    assert not account.is_refused()
    account.crash(BODY)
    account.wait(1.9 * QUARANTINE_S)
    assert account.is_refused()


def test_late_report_of_a_crash_does_not_accuse_a_finished_request():
    account = Account()
    account.crash(BODY)
    (crash,) = account.tracker.get_record(BODY).crashes
    account.finish(BODY)
    account.tracker.record_crash(
        BODY, crash, quarantine_s=QUARANTINE_S, now=account.now
    )
    assert not account.tracker.is_suspect(BODY, now=account.now)


def test_customer_can_not_push_the_suspects_of_others_out():
    """Guard against a customer that fills the table until its crashes are forgotten."""
    account = Account(max_records=20)
    for _ in range(3):
        account.crash(BODY)
    account.crash(OTHER)
    for number in range(50):
        account.crash(SuspectId("checks", number.to_bytes(4, "big"), "crowd"))
    assert len(account.tracker) == 20
    assert account.is_refused()
    assert account.tracker.is_suspect(OTHER, now=account.now)

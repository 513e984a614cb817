"""Test what lost connections prove against the parts of prompts that ran there."""

import pytest

from hyssopvane._internal.policy.suspect_rules import LOST_CONNECTIONS
from hyssopvane._internal.policy.suspects import (
    LAST_QUARANTINE_S,
    MAX_LONG_RECORDS,
    SuspectTracker,
)
from hyssopvane._internal.state.suspects import Crash, RequestIdentity, SuspectId

QUARANTINE_S = 60.0


def make_part(name):
    return SuspectId("drafting", name.encode(), is_part=True)


def make_request(body, *parts, customer="registry"):
    """Return the identity of a request with a body of its own and shared parts."""
    return RequestIdentity(
        SuspectId("drafting", body.encode(), customer), tuple(map(make_part, parts))
    )


class Account:
    """Play requests at replicas, one second after the other."""

    def __init__(self):
        self.tracker = SuspectTracker(
            rules=LOST_CONNECTIONS, max_records=MAX_LONG_RECORDS
        )
        self.now = 0.0
        self.replicas = 0

    def crash(self, *requests):
        """End a replica that runs some requests."""
        self.crash_at_once(requests)

    def crash_at_once(self, *groups):
        """End several replicas, each with some requests, at the same moment."""
        self.now += 1.0
        runs = []
        for requests in groups:
            self.replicas += 1
            name = f"i-{self.replicas}"
            for request in requests:
                for one in request.suspects:
                    self.tracker.start(one, name)
                    generation = 1 + self.tracker.count_generations(one)
                    runs.append((one, Crash(name, 0, self.now, generation)))
        for one, crash in runs:
            self.tracker.record_crash(
                one, crash, quarantine_s=QUARANTINE_S, now=self.now
            )
        for one, crash in runs:
            self.tracker.stop(one, crash.target)

    def finish(self, request):
        """Let a replica run a request to its end."""
        self.now += 0.01
        for one in request.suspects:
            self.tracker.clear(one, now=self.now, customer=request.body.customer)

    def wait(self, seconds):
        self.now += seconds

    def is_refused(self, request):
        return self.tracker.is_refused(request, now=self.now)

    def needs_trial(self, request):
        return bool(self.tracker.list_unproven(request, now=self.now))


FIRST = make_request("first", "popular", "bad")
SECOND = make_request("second", "popular", "bad")
THIRD = make_request("third", "bad")
SOUND = make_request("sound", "popular")
UNRELATED = make_request("unrelated", "other")


@pytest.mark.parametrize(
    ("steps", "refused", "trials"),
    [
        ([("crash", FIRST)], [], [SECOND, SOUND]),
        ([("finish", SOUND), ("crash", FIRST)], [], [SECOND]),
        ([("crash", FIRST), ("finish", SOUND)], [], [SECOND]),
        ([("crash", FIRST), ("finish", SECOND)], [], []),
        (
            [("finish", SOUND), ("crash", FIRST), ("crash", SECOND)],
            [FIRST, SECOND, THIRD],
            [],
        ),
        ([("crash", FIRST), ("crash", SECOND)], [FIRST, SECOND], [THIRD, SOUND]),
        (
            [("crash", FIRST), ("crash", SECOND), ("finish", SOUND)],
            [FIRST, SECOND, THIRD],
            [],
        ),
        (
            [("crash", FIRST), ("crash", SECOND), ("crash", THIRD)],
            [FIRST, SECOND, THIRD],
            [],
        ),
        ([("crash", FIRST), ("crash", FIRST)], [FIRST], [SECOND, SOUND]),
        (
            [("crash", FIRST), ("crash", FIRST), ("crash", SECOND)],
            [FIRST, SECOND],
            [THIRD, SOUND],
        ),
        ([("crash_at_once", [FIRST], [SECOND])], [], [THIRD, SOUND]),
        ([("crash_at_once", [FIRST], [SECOND]), ("crash", THIRD)], [THIRD], []),
        ([("crash", FIRST, SOUND), ("crash", THIRD)], [FIRST, THIRD], []),
        (
            [("finish", THIRD), ("crash", THIRD), ("crash", SECOND), ("crash", THIRD)],
            [],
            [THIRD],
        ),
        (
            [("finish", THIRD)] + [("crash", THIRD), ("crash", SECOND)] * 2,
            [FIRST, THIRD],
            [],
        ),
    ],
    ids=[
        "one-crash",
        "popular-part-finished-before",
        "popular-part-finished-since",
        "part-finished-since",
        "two-crashes",
        "two-parts-in-both-crashes",
        "one-of-two-parts-finished",
        "one-of-two-parts-in-a-third",
        "same-body-twice",
        "same-body-and-another",
        "same-moment",
        "same-moment-and-another",
        "beside-another",
        "had-finished-before-three",
        "had-finished-before-four",
    ],
)
def test_part_is_refused_when_nothing_else_explains_its_crashes(steps, refused, trials):
    """Guard against popular parts that are refused with the one that crashes."""
    account = Account()
    for name, *arguments in steps:
        getattr(account, name)(*arguments)
    requests = [FIRST, SECOND, THIRD, SOUND, UNRELATED]
    for request in refused:
        assert account.is_refused(request), request.body.digest
    for request in trials:
        assert account.needs_trial(request), request.body.digest
        assert not account.is_refused(request), request.body.digest
    assert not account.is_refused(SOUND)
    assert not account.is_refused(UNRELATED)
    if refused and SOUND not in trials:
        assert not account.needs_trial(SOUND)
    assert not any(account.needs_trial(one) for one in requests[4:])


def test_each_crash_after_a_quarantine_doubles_it():
    """Guard against a part that crashes a replica each minute for the whole day."""
    account = Account()
    account.finish(SOUND)
    account.crash(FIRST)
    account.crash(SECOND)
    for length_s in (60.0, 120.0, 240.0, LAST_QUARANTINE_S):
        left_s = account.tracker.measure_refusal_s(THIRD, now=account.now)
        assert left_s == pytest.approx(length_s)
        account.wait(left_s)
        assert not account.is_refused(THIRD)
        assert account.needs_trial(THIRD)
        account.crash(THIRD)


def test_copies_at_the_same_moment_are_refused_no_longer_than_one():
    """Guard against a part that is refused for a day since many requests had it."""
    account = Account()
    account.crash_at_once(*([make_request(f"copy-{n}", "bad")] for n in range(5)))
    account.crash(THIRD)
    left_s = account.tracker.measure_refusal_s(THIRD, now=account.now)
    assert left_s == pytest.approx(QUARANTINE_S)


def test_parts_that_never_repeat_push_no_evidence_out():
    """Guard against a customer that hides a part behind many others of its own."""
    account = Account()
    account.finish(SOUND)
    account.crash(FIRST)
    flood = [
        make_request(f"f-{n}", *(f"x-{n}-{m}" for m in range(16)), customer="flood")
        for n in range(1_000)
    ]
    for request in flood:
        account.finish(request)
    account.crash(*flood[:8])
    for request in flood[8:16]:
        account.finish(request)
    assert len(account.tracker) <= MAX_LONG_RECORDS
    account.crash(SECOND)
    assert account.is_refused(THIRD)
    assert not account.is_refused(SOUND)

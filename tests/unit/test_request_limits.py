"""Test that entries together keep to the request limit that a replica sets."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.platform.wire import HEADERS
from hyssopvane._internal.policy import limit_shares, limited_replicas
from hyssopvane._internal.policy.limit_shares import EntryCounter, RequestPace
from hyssopvane._internal.policy.limited_replicas import (
    MAX_LIMITS_PER_MESSAGE,
    LimitedReplicas,
)
from hyssopvane._internal.protocol.group_messages import (
    decode_message,
    encode_message,
)
from hyssopvane._internal.protocol.replica_headers import read_request_limit
from hyssopvane._internal.state.limits import LimitReport, ReplicaLimits
from hyssopvane._internal.state.routing import Replica
from tests.lib.limit_model import LimitModel

SETTLED_S = 4.0
"""Seconds after a limit is first set from which it must be kept."""


@pytest.mark.parametrize("entries", [1, 12, 35])
@pytest.mark.parametrize("per_s", [0.0, 0.4, 1.0, 2.5, 8.0, 40.0])
def test_overloaded_replica_gets_no_more_than_its_limit(entries, per_s):
    """Guards against entries that each use the whole limit of a replica.

    A replica near its capacity asks all entries together for fewer requests. Each entry
    only knows its own. If each sent as many as the limit allows in total, the replica
    would fail, and callers would lose the requests that it has begun.
    """
    model = LimitModel(entries, lambda now: per_s)
    model.run(30.0)
    assert model.measure_excess(start_s=SETTLED_S, per_s=per_s) <= 0


@pytest.mark.parametrize("entries", [1, 12, 35])
@pytest.mark.parametrize("per_s", [2.5, 8.0, 40.0])
def test_limit_is_used_while_callers_wait(entries, per_s):
    model = LimitModel(entries, lambda now: per_s)
    model.run(30.0)
    assert model.measure_rate(10.0, 30.0) >= 0.9 * per_s


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    entries=st.sampled_from([1, 5, 12, 35]),
    per_s=st.floats(0, 30),
    seed=st.integers(0, 10**6),
    loss=st.floats(0, 0.5),
    delay_s=st.floats(0, 0.4),
    asleep=st.integers(0, 4),
)
def test_limit_holds_with_lost_and_late_messages_and_stalled_entries(
    entries, per_s, seed, loss, delay_s, asleep
):
    """Guards against excess requests after stalls and lost messages.

    Some entries stall for seconds and resume, while messages between entries are lost.
    An entry that resumes must not send at once what it has missed, and the entries that
    kept running must not have taken its share for good.
    """
    sleeps = {number: (8.0 + number, 12.0 + number) for number in range(asleep)}
    model = LimitModel(
        entries,
        lambda now: per_s,
        seed=seed,
        loss=loss,
        delay_s=delay_s,
        sleeps=sleeps,
    )
    model.run(24.0)
    assert model.measure_excess(start_s=SETTLED_S, per_s=per_s) <= 0


@pytest.mark.parametrize("entries", [1, 12, 35])
def test_falling_limit_is_kept_soon_after(entries):
    model = LimitModel(entries, lambda now: 30.0 if now < 10 else 3.0)
    model.run(30.0)
    assert model.measure_excess(start_s=10 + SETTLED_S, per_s=3.0) <= 0


@pytest.mark.parametrize("entries", [1, 12, 35])
def test_replica_gets_requests_soon_after_its_limit_ends(entries):
    """Guards against a replica that stays idle after its limit has ended.

    A replica has recovered and sets no limit any more. Entries that send it nothing
    can't detect that. If they waited for an answer of their own, the other replicas
    would be full while this one is idle.
    """
    model = LimitModel(entries, lambda now: 0.0 if now < 10 else None)
    model.run(20.0)
    unlimited_per_s = entries / 0.05
    assert model.measure_rate(17.0, 20.0) > 0.5 * unlimited_per_s


class SavingPace(RequestPace):
    """Let an entry send unused requests of the past at once."""

    def take(self, now):
        self._last_at += 1 / self.per_s


def share_evenly(entry_counter, replica, zone, per_s):
    return max(per_s / max(entry_counter._counted, 1), 1 / limit_shares.PROBE_S)


def ignore_others(entry_counter, replica, zone, per_s):
    return per_s


@pytest.mark.parametrize(
    "owner, name, replaced, options",
    [
        # Entries that stalled or had no callers have saved requests.
        (
            limited_replicas,
            "RequestPace",
            SavingPace,
            {"sleeps": {n: (5.0, 14.0) for n in range(12)}},
        ),
        # Many entries with a small share each.
        (EntryCounter, "measure_share", share_evenly, {"entries": 35, "per_s": 1.0}),
        # Each entry uses the whole limit.
        (EntryCounter, "measure_share", ignore_others, {}),
    ],
)
def test_limit_is_exceeded_without_each_protection(
    monkeypatch, owner, name, replaced, options
):
    """Check that the model detects what each protection prevents.

    Each protection is replaced by itself, and the limit must be exceeded.
    """
    entries = options.pop("entries", 12)
    per_s = options.pop("per_s", 3.0)
    monkeypatch.setattr(owner, name, replaced)
    seeds = range(1, 9)
    broken = []
    for seed in seeds:
        model = LimitModel(entries, lambda now: per_s, seed=seed, **options)
        model.run(30.0)
        broken.append(model.measure_excess(start_s=SETTLED_S, per_s=per_s) > 0)
    assert any(broken)


@pytest.mark.parametrize(
    "value, expected",
    [
        (None, None),
        (b"2.5", 2.5),
        (b" 12 ", 12.0),
        (b"0", 0.0),
    ],
)
def test_limit_is_read(value, expected):
    fields = {} if value is None else {HEADERS.request_limit: value}
    assert read_request_limit(fields, HEADERS) == expected


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e9", b"2.5, 2.5", b"x", b"9" * 400, b"1."]
)
def test_limit_that_can_not_be_read_is_an_error(value):
    with pytest.raises(ProtocolError):
        read_request_limit({HEADERS.request_limit: value}, HEADERS)


@pytest.mark.parametrize("per_s", [None, 0.0, 2.5])
def test_limits_survive_encoding(per_s):
    message = ReplicaLimits((LimitReport("10.0.0.1:80", 7, per_s, 1.5),))
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize("per_s", [-1.0, float("nan"), float("inf")])
def test_invalid_limit_in_a_message_is_refused(per_s):
    message = ReplicaLimits((LimitReport("10.0.0.1:80", 7, per_s, 1.5),))
    with pytest.raises(ProtocolError):
        decode_message(encode_message(message))


def make_replica(number, **changes):
    values = {
        "id": f"i-{number}",
        "service": "checks",
        "address": f"10.0.{number // 256}.{number % 256}:80",
        "availability_zone": "zone-a",
        "slots": 6,
        "draining": False,
        "started_ms": 1,
    }
    return Replica(**values | changes)


def make_limits(random):
    entry_counter = EntryCounter(availability_zone="zone-a")
    return LimitedReplicas(random=random, entry_counter=entry_counter)


@pytest.mark.parametrize("replicas", [1, MAX_LIMITS_PER_MESSAGE, 10_000])
def test_updates_fit_a_packet_and_include_all_in_rotation(replicas, rng):
    limits = make_limits(rng)
    for number in range(replicas):
        limits.observe(make_replica(number), 2.0, received_at=0.0, now=0.0)
    published = set()
    for _ in range(replicas // MAX_LIMITS_PER_MESSAGE + 1):
        news = limits.list_updates(1.0)
        assert len(encode_message(ReplicaLimits(tuple(news)))) < 1_400
        published |= {one.replica for one in news}
    assert len(published) == replicas


def test_new_start_of_a_replica_has_no_limit(rng):
    """Guards against the limit of a crashed start that is applied to the next one.

    A replica with a limit crashes, and restarts under its id without overload.
    """
    limits = make_limits(rng)
    limits.observe(make_replica(1), 0.0, received_at=0.0, now=0.0)
    assert limits.get_share(make_replica(1)) is not None
    assert limits.may_send(make_replica(1, started_ms=2), 0.1)
    assert limits.get_share(make_replica(1, started_ms=2)) is None


def test_older_update_does_not_restore_an_ended_limit(rng):
    limits = make_limits(rng)
    limits.observe(make_replica(1), 2.0, received_at=1.0, now=1.0)
    limits.observe(make_replica(1), None, received_at=2.0, now=2.0)
    assert not limits.observe(make_replica(1), 2.0, received_at=1.5, now=2.5)
    assert limits.get_share(make_replica(1)) is None


@pytest.fixture
def rng():
    return Random(1)

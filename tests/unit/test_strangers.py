"""Test that what another writer leaves in the store harms no replica and no process."""

import json

import pytest

from hyssopvane._internal.coordination.key_value import KeyValue, WatchEvent
from hyssopvane._internal.exceptions import ConfigurationError
from hyssopvane._internal.platform.registrations import (
    MAX_REGISTRATION_BYTES,
    decode_replica,
)
from hyssopvane._internal.state.store_snapshot import StoreItem, StoreSnapshot
from tests.unit.test_routing_feed import make_feed, make_registration, run

GOOD = json.loads(make_registration(1))


def without(field):
    return {key: value for key, value in GOOD.items() if key != field}


BAD_DOCUMENTS = [
    *(pytest.param(without(field), id=f"no-{field}") for field in GOOD),
    *(
        pytest.param(GOOD | changes, id="-".join(map(str, *changes.items()))[:40])
        for changes in (
            {"service": ["checks"]},
            {"service": None},
            {"service": ""},
            {"service": {"name": "checks"}},
            {"address": 80},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:70000"},
            {"address": "10.0.0.999:80"},
            {"address": "replica:80"},
            {"address": "10.0.0.1:80\r\nx-tenant: other"},
            {"zone": ["zone-a"]},
            {"zone": None},
            {"slots": "6"},
            {"slots": True},
            {"slots": 6.5},
            {"slots": 0},
            {"slots": -6},
            {"slots": 10**40},
            {"state": "serving"},
            {"state": None},
            {"state": ["ready"]},
            {"state": "READY"},
            {"born": "1700000000000"},
            {"born": 1.5},
            {"born": -1},
            {"born": None},
        )
    ),
    pytest.param([GOOD], id="list"),
    pytest.param("ready", id="text"),
    pytest.param(None, id="null"),
]

BAD_BYTES = {
    "empty": b"",
    "cut": make_registration(1)[:-5],
    "infinite-slots": make_registration(1).replace(b": 6", b": 1e999"),
    "no-number": make_registration(1).replace(b": 6", b": NaN"),
    "not-utf8": b"\xff\xfe\x00" + make_registration(1),
    "lone-surrogate": make_registration(1).replace(b"zone-a", b"\\ud800"),
    "deep-lists": b"[" * 200_000,
    "deep-tables": b'{"service":' * 100_000,
    "deep-field": make_registration(1)[:-1] + b',"x":' + b"[" * 100_000 + b"}",
    "huge": make_registration(1, zone="z" * MAX_REGISTRATION_BYTES),
    "binary": bytes(range(256)) * 16,
}

ALL_BAD = [
    *(
        pytest.param(json.dumps(one.values[0]).encode(), id=one.id)
        for one in BAD_DOCUMENTS
    ),
    *(pytest.param(value, id=name) for name, value in BAD_BYTES.items()),
]


@pytest.mark.parametrize("value", ALL_BAD)
def test_registration_of_a_stranger_is_an_error_with_a_remedy(value):
    with pytest.raises(ConfigurationError) as raised:
        decode_replica("servers/i-1", value)
    assert raised.value.hint
    assert len(str(raised.value)) < 1_000


@pytest.mark.parametrize("key", ["servers/", "servers/a b", "servers/a\r\nx: y"])
def test_id_that_would_break_a_header_names_no_replica(key):
    with pytest.raises(ConfigurationError):
        decode_replica(key, make_registration(1))


@pytest.mark.parametrize("value", ALL_BAD)
def test_bad_entry_takes_its_replica_out_of_use_and_no_other(value):
    """Something writes nonsense over the registration of a replica that served.

    The address that stood there may be anybody's by now, so callers would be sent to a
    stranger. All other replicas go on serving, and the entry's process goes on.
    """

    async def test():
        feed = make_feed()
        for number in (1, 2):
            feed._put(KeyValue(f"servers/{number}", make_registration(number), number))
        feed._apply_event("servers/", WatchEvent("servers/1", value, 9))
        assert set(feed.replicas) == {"servers/2"}
        assert feed.unreadable_count == 1

    run(test)


def test_replica_that_registers_again_after_a_bad_entry_is_used():
    """The owner of the key writes a good registration over the nonsense."""

    async def test():
        feed = make_feed()
        for value, revision in ((b"[", 5), (make_registration(1), 4)):
            feed._apply_event("servers/", WatchEvent("servers/1", value, revision))
        assert not feed.replicas
        event = WatchEvent("servers/1", make_registration(1), 6)
        feed._apply_event("servers/", event)
        assert set(feed.replicas) == {"servers/1"}

    run(test)


def test_peer_does_not_bring_back_what_a_bad_entry_took_out():
    """A peer that lags still believes in the replica whose key holds nonsense now."""

    async def test():
        feed = make_feed()
        feed._put(KeyValue("servers/2", make_registration(2), 3))
        feed._put(KeyValue("servers/1", make_registration(1), 4))
        feed._put(KeyValue("servers/1", b"{}", 8))
        old = (StoreItem("servers/1", make_registration(1), 4),)
        feed.merge(StoreSnapshot(0, b"", 20, old))
        assert "servers/1" not in feed.replicas

    run(test)


def test_each_bad_entry_is_counted_and_logged_once_while_it_stays(capsys):
    """A writer repeats its nonsense many times a second.

    A line for each of them would drown what operators look for.
    """

    async def test():
        feed = make_feed()
        for revision in range(1, 50):
            feed._put(KeyValue("servers/1", b"[" * 100_000, revision))
        assert feed.unreadable_count == 49
        assert len(feed.list_unreadable()) == 1

    run(test)

"""Test that invalid registrations in the store harm no other replica or process."""

import json

import pytest

from hyssopvane._internal.coordination.key_value import KeyValue, WatchEvent
from hyssopvane._internal.exceptions import ConfigurationError
from hyssopvane._internal.platform.configuration import decode_configuration
from hyssopvane._internal.platform.evacuations import decode_evacuation
from hyssopvane._internal.platform.registrations import (
    MAX_REGISTRATION_BYTES,
    decode_replica,
)
from hyssopvane._internal.state.store_snapshot import StoreItem, StoreSnapshot
from hyssopvane._internal.utils.logs import configure_logs
from tests.lib.direct_installation import make_configuration, make_route
from tests.unit.test_routing_feed import encode, make_feed, make_registration, run

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
def test_invalid_registration_is_an_error_with_a_hint(value):
    with pytest.raises(ConfigurationError) as raised:
        decode_replica("servers/i-1", value)
    assert raised.value.hint
    assert len(str(raised.value)) < 1_000


# The other two are objects with a bad number, which no evacuation has a field for.
BAD_EVACUATIONS = [
    value
    for name, value in BAD_BYTES.items()
    if name not in {"infinite-slots", "no-number"}
]


@pytest.mark.parametrize(
    "value", [b"[]", b"null", b'"zone-a"', b"true", b"1e999", *BAD_EVACUATIONS]
)
def test_invalid_evacuation_is_an_error_with_a_hint(value):
    with pytest.raises(ConfigurationError) as raised:
        decode_evacuation("op/evacuate/zone-a", value)
    assert raised.value.hint
    assert len(str(raised.value)) < 1_000


@pytest.mark.parametrize("regions", ["north", [""], [1], {"north": 1}, ["r"] * 257])
@pytest.mark.parametrize("owner", ["route", "tenant"])
def test_invalid_regions_make_the_configuration_invalid(owner, regions):
    """Guard against a wrong list of regions that is read as no limit."""
    limit = {"allowed-regions": regions}
    document = (
        make_configuration(1, routes=[make_route("status", **limit)])
        if owner == "route"
        else make_configuration(1, tenants=[{"name": "a"} | limit])
    )
    with pytest.raises(ConfigurationError):
        decode_configuration(encode(document))


@pytest.mark.parametrize("key", ["servers/", "servers/a b", "servers/a\r\nx: y"])
def test_id_that_is_invalid_in_a_header_is_rejected(key):
    with pytest.raises(ConfigurationError):
        decode_replica(key, make_registration(1))


@pytest.mark.parametrize("value", ALL_BAD)
def test_invalid_registration_removes_only_its_own_replica(value):
    """Guard against requests to an address that may belong to another service.

    An invalid value overwrites the registration of a replica in service. The entry
    drops this replica, keeps all others and continues to run.
    """

    async def test():
        feed = make_feed()
        for number in (1, 2):
            feed._put(
                KeyValue(f"servers/{number}", make_registration(number), number, 0)
            )
        feed._apply_event("servers/", WatchEvent("servers/1", value, 9, 0))
        assert set(feed.replicas) == {"servers/2"}
        assert feed.unreadable_count == 1

    run(test)


def test_replica_that_registers_again_after_an_invalid_value_is_used():
    """Check that a valid registration replaces an invalid one of the same key."""

    async def test():
        feed = make_feed()
        for value, revision in ((b"[", 5), (make_registration(1), 4)):
            feed._apply_event("servers/", WatchEvent("servers/1", value, revision, 0))
        assert not feed.replicas
        event = WatchEvent("servers/1", make_registration(1), 6, 0)
        feed._apply_event("servers/", event)
        assert set(feed.replicas) == {"servers/1"}

    run(test)


def test_peer_does_not_restore_a_replica_with_an_invalid_registration():
    """Guard against a lagging peer that still has the replica of an invalid key."""

    async def test():
        feed = make_feed()
        feed._put(KeyValue("servers/2", make_registration(2), 3, 0))
        feed._put(KeyValue("servers/1", make_registration(1), 4, 0))
        feed._put(KeyValue("servers/1", b"{}", 8, 0))
        old = (StoreItem("servers/1", make_registration(1), 4),)
        feed.merge(StoreSnapshot(0, b"", 20, old))
        assert "servers/1" not in feed.replicas

    run(test)


def test_invalid_registration_is_always_counted_and_logged_once(capsys):
    """Guard against a log line for each of many invalid writes a second.

    They would hide the lines that operators need.
    """

    async def test():
        feed = make_feed()
        for revision in range(1, 50):
            feed._put(KeyValue("servers/1", b"[" * 100_000, revision, 0))
        assert feed.unreadable_count == 49
        assert len(feed.list_unreadable()) == 1

    run(test)


@pytest.mark.parametrize(
    "value",
    [-1, 1e300, 60_001, True, "1500", [1500], {}, float("nan"), float("inf"), 10**400],
    ids=lambda value: str(value)[:8],
)
def test_invalid_cold_time_is_ignored_alone(value, capsys):
    """Guard against a replica that a wrong field makes unusable, or warm.

    The replica stays in use with its other fields, its known cold time stays, and a
    writer that repeats the value causes one line.
    """
    events = []

    async def test():
        feed = make_feed()
        feed._count = events.append
        for revision in (1, 2, 3):
            document = make_registration(1, **{"cold-left-ms": value})
            feed._put(KeyValue("servers/1", document, revision, 0))
        replica = feed.replicas["servers/1"]
        assert replica.cold_left_s is None and replica.revision == 3
        assert replica.slots == GOOD["slots"]
        assert events == ["registration-field-ignored"] * 3

    configure_logs(level="info", role="test", vm="vm")
    run(test)
    assert capsys.readouterr().err.count("event=registration-field-ignored") == 1


@pytest.mark.parametrize("value, left_s", [(0, 0.0), (1500, 1.5), (0.5, 0.0005)])
def test_cold_time_is_read_from_a_registration(value, left_s):
    document = make_registration(1, **{"cold-left-ms": value})
    assert decode_replica("servers/1", document).cold_left_s == left_s

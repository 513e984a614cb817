"""Test that a customer can't make a request with the identity of another one's."""

import zlib
from random import Random
from types import SimpleNamespace

import pytest

from hyssopvane._internal.roles.direct_app import DirectApp
from hyssopvane._internal.state.routing import (
    Customer,
    RequestKind,
    Route,
    SplitPart,
)

ROUTE = Route(
    name="status",
    host="portal.example",
    prefix="/status/",
    kind=RequestKind.IDEMPOTENT,
    split=(SplitPart("checks", 1.0),),
    timeout_s=1.0,
    objective_s=0.5,
    priority=1,
    max_attempts=2,
    public=False,
    resumable=False,
    pause_s=0.0,
)


def identify(customer, path, body):
    """Return the identity of a request as an entry reads it."""
    names = SimpleNamespace(
        token_counts=b"x-token-count", prompt_parts=b"x-prompt-prefix"
    )
    app = DirectApp(
        feed=None,
        dependencies=SimpleNamespace(names=names),
        random=Random(1),
        wait_until_informed=lambda: None,
    )
    scope = {"method": "POST", "path": path, "raw_path": path.encode()}
    request = app._make_request(
        scope, (), {}, "r", ROUTE, Customer(customer), body, 0.0, 0.0, 1.0, 1.0
    )
    return request.identity.body.digest


def forge_suffix(data, wanted):
    """Return four bytes behind which data has a wanted CRC-32."""
    table = [zlib.crc32(bytes([n]), 0xFFFFFFFF) ^ 0xFFFFFFFF for n in range(256)]
    by_top = {entry >> 24: (n, entry) for n, entry in enumerate(table)}
    state, indexes = wanted ^ 0xFFFFFFFF, []
    for _ in range(4):
        index, entry = by_top[state >> 24]
        indexes.append(index)
        state = ((state ^ entry) << 8) & 0xFFFFFFFF
    current, suffix = zlib.crc32(data) ^ 0xFFFFFFFF, b""
    for index in reversed(indexes):
        suffix += bytes([(current ^ index) & 0xFF])
        current = (current >> 8) ^ table[index]
    assert zlib.crc32(data + suffix) == wanted
    return suffix


def test_customer_can_not_forge_the_identity_of_another_ones_request():
    """Guard against a customer that has another one's request refused as crashing."""
    victim = (b"registry", b"/status/7", b"body")
    prefix = b"\0".join((b"attacker", b"/status/9", b"anything"))
    suffix = forge_suffix(prefix, zlib.crc32(b"\0".join(victim)))
    own = identify("registry", "/status/7", b"body")
    assert identify("attacker", "/status/9", b"anything" + suffix) != own


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (("a", "/status/7", b"b\0c"), ("a", "/status/7\0b", b"c")),
        (("a", "/status/7", b""), ("b", "/status/7", b"")),
        (("a", "/status/7", b"1"), ("a", "/status/71", b"")),
    ],
    ids=["separator", "customer", "boundary"],
)
def test_requests_of_other_parts_have_other_identities(first, second):
    assert identify(*first) != identify(*second)
    assert identify(*first) == identify(*first)

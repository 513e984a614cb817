"""Test which parts of a prompt an entry reads from a request."""

import pytest

from hyssopvane._internal.protocol.prompt_parts import (
    MAX_PART_BYTES,
    MAX_PARTS,
    read_prompt_parts,
)

MANY = b",".join(b"%x:1" % number for number in range(10_000))


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, ()),
        (b"", ()),
        (b"5c1e:800", ()),
        (b"5c1e:800,91bd:410,e440:250", (b"5c1e", b"91bd")),
        (b" 5C1E:800 ,5c1e:410,e440:250", (b"5c1e",)),
        (b"5c1e,91bd:,e440:250", (b"5c1e", b"91bd")),
        (b",:800,,\xff:1,e440:250", (b"\xff",)),
        (MANY, tuple(b"%x" % number for number in range(MAX_PARTS))),
    ],
)
def test_shared_parts_are_read_once_each(value, expected):
    """Guard against a header of callers that names too much or fails a request."""
    assert read_prompt_parts(value) == expected


def test_long_ids_differ_and_are_short():
    """Guard against long IDs that fill the memory or stand for each other."""
    first, second = b"a" * 500 + b"1", b"a" * 500 + b"2"
    parts = read_prompt_parts(b"%b:1,%b:1,c:1" % (first, second))
    assert len(set(parts)) == 2
    assert all(len(part) <= MAX_PART_BYTES for part in parts)

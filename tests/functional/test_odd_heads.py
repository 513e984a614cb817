"""Test answers with heads that are not valid, wherever answers are read."""

import pytest

from tests.lib.answer_readers import (
    READERS,
    SERVICES,
    call_entry,
    make_answer,
    make_event_answer,
    read_answer,
)
from tests.lib.direct_replica import make_event
from tests.lib.leaving_callers import Http1Caller, Http2Caller


@pytest.mark.parametrize("name", READERS)
def test_valid_head_is_taken(name):
    """Guard against a check that refuses sound answers, and against void tests."""
    reader = READERS[name]
    for status in (b"200 OK", b"200 ", b"200", b"200 \xc3\x96K"):
        assert read_answer(reader, make_answer(reader, status))
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    assert read_answer(reader, interim + make_answer(reader))
    fields = b"X-A: b\tc \r\nX-Empty:\r\nX-Name: \xd6n\r\n"
    assert read_answer(reader, make_answer(reader, fields=fields))


@pytest.mark.parametrize("path", SERVICES)
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_answer_with_a_valid_head_reaches_a_caller(kind, path):
    """Guard against void tests of heads that are not valid."""
    data = make_event_answer(fields=b"X-Empty:\r\n")
    assert call_entry(data, path=path, kind=kind) == (200, make_event(1))


@pytest.mark.parametrize("status", [b"000", b"000 OK", b"099 OK", b"600 OK", b"999 OK"])
@pytest.mark.parametrize("name", READERS)
def test_answer_with_an_impossible_status_is_refused(name, status):
    """Guard against a status that no client knows (RFC 9110, 15: 100 to 599)."""
    assert not read_answer(READERS[name], make_answer(READERS[name], status))


@pytest.mark.parametrize("status", [b"000 OK", b"600 OK", b"999 OK"])
@pytest.mark.parametrize("path", SERVICES)
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_impossible_status_does_not_reach_a_caller(kind, path, status):
    """Guard against the same through an entry."""
    data = make_event_answer(status)
    assert call_entry(data, path=path, kind=kind)[0] == 502


ODD_LINES = {
    "joined-to-signature": b" X-Odd: b\r\n",
    "joined-by-tab": b"\tX-Odd: b\r\n",
    "joined-length": b"X-A: b\r\n Content-Length: 1\r\n",
    "blank-line-with-a-blank": b"X-A: b\r\n \r\n",
    "blank-in-name": b"X Odd: b\r\n",
    "tab-in-name": b"X\tOdd: b\r\n",
    "blank-before-colon": b"X-Odd : b\r\n",
    "tab-before-colon": b"X-Odd\t: b\r\n",
    "control-before-name": b"\x01X-Odd: b\r\n",
    "control-in-name": b"X-\x01Odd: b\r\n",
    "control-after-name": b"X-Odd\x01: b\r\n",
    "zero-in-name": b"X-\x00Odd: b\r\n",
    "no-name": b": b\r\n",
    "no-colon": b"X-Odd\r\n",
    "zero-in-value": b"X-Odd: a\x00b\r\n",
    "control-in-value": b"X-Odd: a\x01b\r\n",
    "escape-in-value": b"X-Odd: \x1b[2J\r\n",
    "delete-in-value": b"X-Odd: a\x7fb\r\n",
    "bare-return": b"X-Odd: a\rX-More: b\r\n",
    "bare-return-at-the-end": b"X-Odd: a\r\r\n",
}
"""Lines of a head that are not valid (RFC 9110, 5; RFC 9112, 5)."""


@pytest.mark.parametrize("odd", ODD_LINES)
@pytest.mark.parametrize("name", READERS)
def test_answer_with_an_odd_line_in_its_head_is_refused(name, odd):
    """Guard against fields that other readers of the same head see differently."""
    data = make_answer(READERS[name], fields=ODD_LINES[odd])
    assert not read_answer(READERS[name], data)


@pytest.mark.parametrize("odd", ODD_LINES)
@pytest.mark.parametrize("path", SERVICES)
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_odd_line_does_not_reach_a_caller(kind, path, odd):
    """Guard against the same through an entry, whose caller gets the odd field."""
    data = make_event_answer(fields=ODD_LINES[odd])
    assert call_entry(data, path=path, kind=kind)[0] == 502


def test_reason_with_a_control_byte_is_refused():
    """Guard against control bytes in the first line of an answer."""
    data = make_answer(READERS["replica"], b"200 O\x1bK")
    assert not read_answer(READERS["replica"], data)

"""Test encoding and decoding of the messages between processes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.codec import decode_frames, encode_frames
from hyssopvane._internal.protocol.messages import (
    Answer,
    Broken,
    Cancel,
    Chunk,
    Credit,
    End,
    Frame,
    Head,
    Heartbeat,
    Hello,
    Notice,
    Open,
    Question,
    Refused,
)

MESSAGES = [
    Hello(1, "entry", "entry-1", "arima", 2**63 - 1, "secret", "draft"),
    Heartbeat(7, 12, 3, 4_000, True),
    Open(
        request_id="r1",
        attempt=b"\x00" * 16,
        incarnation=5,
        customer="clerks",
        method="POST",
        path=b"/v1/completions?x=%20",
        headers=((b"content-type", b"application/json"), (b"x-odd", b"\xff\x00")),
        deadline_ms=60_000,
        key="0190",
        body_digest=b"d" * 32,
        join=True,
        resume_from=9,
    ),
    Head(200, ((b"content-type", b"text/event-stream"),)),
    Chunk(b"\x00data"),
    End(),
    Broken("why"),
    Refused("leaving", 1_500),
    Cancel(),
    Credit(32_768),
    Notice("topic", b"body"),
    Question("topic", b"body"),
    Answer(b"body"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda one: type(one).__name__)
def test_codec_returns_the_same_message(message):
    frames = [Frame(3, message), Frame(2**40, message)]
    assert decode_frames(encode_frames(frames)) == frames


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_decode_frames_survives_garbage(data):
    """Guard against a crash on bytes that are not a batch.

    They come from a peer of another version or from a truncated frame. A typed error
    must end the connection, not the whole process.
    """
    try:
        decode_frames(data)
    except ProtocolError as error:
        assert error.hint


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, 400), st.integers(0, 255))
def test_decode_frames_survives_a_changed_byte(position, value):
    """Guard against a crash on a corrupted byte, which may decode to other values."""
    data = bytearray(encode_frames([Frame(1, message) for message in MESSAGES]))
    data[position % len(data)] = value
    try:
        decode_frames(bytes(data))
    except ProtocolError as error:
        assert error.hint

"""Test replicas that stop in the head of their answer, wherever answers are read."""

import pytest
import trio

from tests.lib.answer_readers import (
    HEAD,
    READERS,
    SERVICES,
    call_entry,
    make_answer,
    make_event_answer,
)
from tests.lib.direct_installation import HANG_S
from tests.lib.direct_replica import chunk, make_event
from tests.lib.leaving_callers import Http1Caller, Http2Caller
from tests.lib.raw_replica import RawAnswer, serve_raw

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
BLANK_LINE = b"\r\n\r\n"


def make_forms(reader):
    """Return answers by name, with the number of their bytes that have to arrive."""
    length = make_answer(reader)
    head, _, body = length.partition(BLANK_LINE)
    unframed = HEAD % (b"200 OK", b"\r\n")
    fields = b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = HEAD % (b"200 OK", fields) + chunk(body) + chunk(b"")
    line_feeds = head.replace(b"\r\n", b"\n") + b"\n\n" + body
    return {
        "length": (length, len(length)),
        "chunks": (chunks, len(chunks)),
        "unframed": (unframed + body, len(unframed)),
        "interim": (INTERIM + length, len(INTERIM + length)),
        "line-feeds": (line_feeds, len(line_feeds)),
    }


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("form", make_forms(READERS["replica"]))
@pytest.mark.parametrize("name", READERS)
def test_answer_that_stops_early_is_not_taken(name, form, is_reset):
    """Guard against a part of a head, or of a framed body, that is taken for whole."""
    reader = READERS[name]
    data, needed = make_forms(reader)[form]
    # A reset takes longer to show.
    step = 9 if is_reset else 1

    async def main():
        with trio.fail_after(HANG_S):
            async with serve_raw(RawAnswer(data)) as server:
                assert await reader.read(server.address)
                for size in range(0, needed, step):
                    server.answer = RawAnswer(data[:size], is_reset)
                    assert not await reader.read(server.address), data[:size]

    trio.run(main)


WHOLE = make_event_answer()
CUTS = {
    "nothing": b"",
    "in-status": WHOLE[:10],
    "after-status": WHOLE[: WHOLE.index(b"\r\n") + 2],
    "in-name": WHOLE[: WHOLE.index(b"Response-Signature")],
    "in-value": WHOLE[: WHOLE.index(b"\r\nContent-Length") - 1],
    "after-fields": WHOLE[: WHOLE.index(BLANK_LINE) + 2],
    "in-blank-line": WHOLE[: WHOLE.index(BLANK_LINE) + 3],
    "after-interim": INTERIM,
    "unframed": HEAD % (b"200 OK", b"\r"),
    "before-body": WHOLE[: -len(make_event(1))],
}
"""Begins of an answer."""


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("path", SERVICES)
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_caller_gets_no_answer_of_a_replica_that_stops_early(kind, path, cut, is_reset):
    """Guard against a 200 with an empty or short body that is framed as whole."""
    found = call_entry(CUTS[cut], path=path, kind=kind, is_reset=is_reset)
    assert found[0] == 502 and found[1] is not None

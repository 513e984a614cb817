"""Test that decoders raise only errors that their callers handle."""

import json
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.platform.registrations import MAX_SLOTS, decode_replica
from hyssopvane._internal.platform.reports import MAX_RANKS, decode_report
from tests.lib.decoder_fuzz import EXPECTED_ERRORS, fuzz

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@pytest.mark.parametrize("seed", range(4))
def test_damaged_input_raises_only_expected_errors(seed):
    """Guard against an unexpected error from a corrupted or foreign document.

    It would end the task that follows the store, and with it the process: all callers
    of an entry would lose their connections because of one invalid document.
    """
    assert list(fuzz(seed, 300)) == []


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.fixed_dictionaries(
        {},
        optional={
            "service": VALUES,
            "address": VALUES | st.just("10.0.0.1:80"),
            "zone": VALUES,
            "slots": VALUES,
            "state": VALUES | st.sampled_from(["ready", "draining"]),
            "born": VALUES,
        },
    )
)
def test_decoded_replica_is_valid(document):
    try:
        replica = decode_replica("servers/i-1", json.dumps(document).encode())
    except EXPECTED_ERRORS:
        return
    assert replica.service and isinstance(replica.service, str)
    assert 1 <= replica.slots <= MAX_SLOTS
    assert replica.address == "10.0.0.1:80"


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from(["group", "size", "pace", "step"]), VALUES))
def test_numbers_of_a_decoded_report_are_in_range(document):
    try:
        report = decode_report(json.dumps(document).encode())
    except EXPECTED_ERRORS:
        return
    assert 0 <= report.rank < MAX_RANKS and 1 <= report.ranks <= MAX_RANKS
    assert 0 <= report.pace < 2**54


_FATAL_BODIES = (
    "011450010101015003035101020101090360ea11091211090e1111270167110172ffb6302eaf2e302e31"
    "001f3a37333e30510403011101640c803ff100110172ff31302e302e30",
    "010c500101000050e102010301040000110572110972ff31302e302e302e31001f3a37330b30ff31302e"
    "302eb42e31001f3a37333430",
)
"""Damaged messages on which the decoder ended its process."""

_DECODE_CUT_MESSAGES = """
import sys
from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.group_messages import (
    decode_message,
    decode_store_snapshot,
)
from tests.lib.decoder_fuzz import MESSAGE_BYTES, SNAPSHOT_BYTES
cases = [(decode_message, data) for data in MESSAGE_BYTES]
cases.append((decode_store_snapshot, SNAPSHOT_BYTES))
for body in sys.argv[1:]:
    cases.append((decode_message, bytes.fromhex(body) + b"-"))
for decode, data in cases:
    for size in range(len(data)):
        try:
            decode(data[:size])
        except ProtocolError:
            pass
"""


def test_truncated_or_damaged_message_ends_no_process():
    """Guard against a decoder that aborts in C++ on a truncated or damaged datagram.

    No error can be caught there: the process ends, and with it all streams of its
    callers.
    """
    command = [sys.executable, "-c", _DECODE_CUT_MESSAGES, *_FATAL_BODIES]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    assert ended.returncode == 0, ended.stderr[-500:]

"""Test that no input ends a process: decoders raise what their callers know."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.platform.registrations import MAX_SLOTS, decode_replica
from hyssopvane._internal.platform.reports import MAX_RANKS, decode_report
from tests.lib.decoder_fuzz import EXPECTED, fuzz

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@pytest.mark.parametrize("seed", range(4))
def test_damaged_input_raises_only_errors_that_callers_know(seed):
    """Bits flip on the way, or another program writes to the same place.

    An unexpected error ends the task that follows the store, and with it the process:
    all callers of an entry would lose their connections over one bad document.
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
def test_what_is_read_as_a_replica_is_one(document):
    try:
        replica = decode_replica("servers/i-1", json.dumps(document).encode())
    except EXPECTED:
        return
    assert replica.service and isinstance(replica.service, str)
    assert 1 <= replica.slots <= MAX_SLOTS
    assert replica.address == "10.0.0.1:80"


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from(["group", "size", "pace", "step"]), VALUES))
def test_what_is_read_as_a_report_can_be_counted_with(document):
    try:
        report = decode_report(json.dumps(document).encode())
    except EXPECTED:
        return
    assert 0 <= report.rank < MAX_RANKS and 1 <= report.ranks <= MAX_RANKS
    assert 0 <= report.pace < 2**54

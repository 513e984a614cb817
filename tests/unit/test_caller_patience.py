"""Test when a caller is expected to leave."""

import pytest

from hyssopvane._internal.policy.caller_patience import measure_leave_at
from hyssopvane._internal.state.routing import RequestKind, Route


@pytest.mark.parametrize(
    ("kind", "objective_s", "pause_s", "deadline", "expected"),
    [
        (RequestKind.STREAM, 0.4, 0.12, 18.0, 12.0),
        (RequestKind.STREAM, 0.8, 0.12, 18.0, 13.2),
        (RequestKind.STREAM, 0.4, 0.5, 18.0, 14.0),
        (RequestKind.STREAM, 0.4, 0.12, 11.0, 11.0),
        (RequestKind.IDEMPOTENT, 0.4, 0.0, 18.0, 18.0),
    ],
    ids=["least", "objective", "pause", "deadline", "no-stream"],
)
def test_caller_leaves_after_the_longest_of_its_times(
    kind, objective_s, pause_s, deadline, expected
):
    route = Route(
        name="drafts",
        host="h",
        prefix="/drafts/",
        kind=kind,
        split=(),
        timeout_s=8.0,
        objective_s=objective_s,
        priority=1,
        max_attempts=2,
        public=False,
        resumable=True,
        pause_s=pause_s,
    )
    leave_at = measure_leave_at(route, waiting_since=10.0, deadline=deadline)
    assert leave_at == pytest.approx(expected)

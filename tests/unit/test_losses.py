"""Test that the log shows why requests were lost or late."""

import pytest

from bench.losses import read_losses

BASE = {
    "event": "request",
    "outcome": "answered",
    "placed_ms": 2,
    "first_ms": 200,
    "total_ms": 2_000,
    "pause_ms": 70,
    "pause_at_ms": 1_000,
    "objective_ms": 400,
    "allowed_ms": 120,
    "prompt": 800,
}


def make_line(time="2026-08-04T08:00:10.000000", **changes):
    pairs = " ".join(f"{name}={value}" for name, value in (BASE | changes).items())
    return f"time={time} level=info role=direct-entry vm=e {pairs}"


def make_group(*, phase="idle", skews="1.3,1.2"):
    return (
        "time=2026-08-04T08:00:09.300000 level=info role=rank-agent vm=a event=group "
        f"phase={phase} skews={skews}"
    )


@pytest.mark.parametrize(
    ("changes", "group", "cause"),
    [
        ({}, {}, None),
        ({"outcome": "overloaded"}, {}, "overloaded"),
        ({"outcome": "cut"}, {}, "cut"),
        ({"first_ms": 500, "placed_ms": 300}, {}, "waited for a place"),
        ({"first_ms": 500}, {}, "waited at the replica"),
        ({"pause_ms": 130}, {}, "pause, other"),
        ({"pause_ms": 130}, {"skews": "1.2,3.1"}, "pause, map behind the demand"),
        ({"pause_ms": 130}, {"phase": "arming"}, "pause, change arming"),
        ({"pause_ms": 130}, {"phase": "preparing"}, "pause, copying"),
        ({"pause_ms": 130, "allowed_ms": 0}, {}, None),
    ],
)
def test_cause_of_a_loss(changes, group, cause):
    losses, requests = read_losses([make_group(**group), make_line(**changes)])
    assert requests == 1
    assert [one.cause for one in losses] == ([] if cause is None else [cause])


def test_other_log_lines_are_ignored():
    refused_early = "time=2026-08-04T08:00:10 level=info event=request request=r"
    assert read_losses(["nonsense", refused_early]) == ([], 0)

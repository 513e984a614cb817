"""Test the ejection of slow and failing targets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.ejection import (
    FIRST_EJECTION_S,
    MIN_SHARE,
    PROBES_TO_RETURN,
    Ejector,
    HealthState,
)


def make_ejector(count=10, *, percent=30):
    ejector = Ejector(max_ejected_percent=percent)
    for number in range(count):
        ejector.connect(f"t{number}", 1)
    return ejector


def observe_round(ejector, latencies, *, now, failed=()):
    for name, latency_s in latencies.items():
        ejector.observe(
            name, latency_s=latency_s, failed=name in failed, probe=False, now=now
        )


def run_rounds(ejector, latencies, *, rounds=30, start=0.0, failed=()):
    for number in range(rounds):
        observe_round(ejector, latencies, now=start + number, failed=failed)


def get_latencies(count=10, **slow):
    return {f"t{number}": 0.1 for number in range(count)} | slow


@pytest.mark.parametrize(
    ("latencies", "failed", "ejected"),
    [
        (get_latencies(), (), 0),
        (get_latencies(t0=0.14), (), 0),
        (get_latencies(t0=0.5), (), 1),
        (get_latencies(t0=0.5, t1=0.5), (), 2),
        ({f"t{n}": 0.5 for n in range(10)}, (), 0),
        (get_latencies(**{f"t{n}": 0.9 for n in range(5)}), (), 3),
        (get_latencies(), ("t3",), 1),
        (get_latencies(), tuple(f"t{n}" for n in range(10)), 0),
        ({f"t{n}": 0.001 for n in range(10)} | {"t0": 0.009}, (), 0),
    ],
    ids=[
        "all-well",
        "a-little-slow",
        "one-slow",
        "two-slow",
        "all-slow",
        "half-slow-held-by-floor",
        "one-failing",
        "all-failing",
        "slow-by-a-millisecond",
    ],
)
def test_count_of_ejected(latencies, failed, ejected):
    ejector = make_ejector()
    run_rounds(ejector, latencies, failed=failed)
    assert ejector.count_ejected() == ejected


def test_slow_target_gets_a_reduced_share():
    ejector = make_ejector()
    run_rounds(ejector, get_latencies(t0=0.25))
    assert ejector.get_state("t0") is HealthState.IN_SERVICE
    assert MIN_SHARE < ejector.get_share("t0") < 0.7
    assert ejector.get_share("t1") == 1.0


@pytest.mark.parametrize(
    ("count", "percent", "most"),
    [(10, 30, 3), (3, 30, 1), (2, 100, 0), (10, 0, 0), (64, 30, 19)],
)
def test_max_ejected(count, percent, most):
    assert make_ejector(count, percent=percent).get_max_ejected() == most


def test_target_returns_after_good_probes():
    """Guards against a target that stays ejected after it has recovered.

    A rank stalls for some seconds and its whole group answers slowly. After the stall a
    few requests, one at a time, show the recovery, and the group gets its work back.
    Without them its capacity would be missing until a restart.
    """
    ejector = make_ejector()
    run_rounds(ejector, get_latencies(t0=0.5))
    now = 30 + FIRST_EJECTION_S
    assert ejector.get_share("t0") == 0.0
    for _ in range(PROBES_TO_RETURN):
        assert ejector.is_probe_due("t0", now=now)
        assert ejector.start("t0")
        assert not ejector.is_probe_due("t0", now=now)
        ejector.finish_probe("t0")
        ejector.observe("t0", latency_s=0.1, failed=False, probe=True, now=now)
    assert ejector.get_share("t0") == 1.0
    assert ejector.count_ejected() == 0


def test_bad_probe_doubles_the_ejection():
    ejector = make_ejector()
    run_rounds(ejector, get_latencies(t0=0.5))
    now = 30 + FIRST_EJECTION_S
    ejector.start("t0")
    ejector.finish_probe("t0")
    ejector.observe("t0", latency_s=0.5, failed=False, probe=True, now=now)
    assert not ejector.is_probe_due("t0", now=now + 1.9 * FIRST_EJECTION_S)
    assert ejector.is_probe_due("t0", now=now + 2 * FIRST_EJECTION_S)


def test_silent_target_is_ejected_by_deadlines():
    """Guards against a silent target that keeps getting requests.

    The target accepts requests and never answers; it fails none of them either. Its
    callers wait until their deadlines. If these waits were not counted, the target
    would look healthy because of its few earlier answers.
    """
    ejector = make_ejector()
    latencies = get_latencies()
    run_rounds(ejector, latencies)
    for number in range(20):
        ejector.observe_wait("t0", waited_s=10.0, probe=False, now=30 + number)
    assert ejector.get_state("t0") is HealthState.EJECTED


def test_reconnection_keeps_history():
    ejector = make_ejector()
    run_rounds(ejector, get_latencies(t0=0.5))
    ejector.disconnect("t0")
    ejector.connect("t0", 1)
    assert ejector.get_share("t0") == 0.0
    ejector.connect("t0", 2)
    assert ejector.get_share("t0") == 1.0


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["observe", "fail", "wait", "connect", "disconnect", "probe"]),
        st.integers(0, 9),
        st.sampled_from([0.01, 0.1, 1.0, 20.0]),
        st.sampled_from([0.0, 0.3, 20.0]),
    ),
    max_size=300,
)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(_EVENTS, st.sampled_from([0, 10, 30, 100]))
def test_ejections_never_exceed_the_maximum(events, percent):
    ejector = make_ejector(percent=percent)
    now = 0.0
    probes: set[str] = set()
    for action, number, latency_s, wait_s in events:
        now += wait_s
        name = f"t{number}"
        if action == "connect":
            ejector.connect(name, 1)
        elif action == "disconnect":
            ejector.disconnect(name)
        elif action == "probe":
            if ejector.is_probe_due(name, now=now) and ejector.start(name):
                probes.add(name)
        elif action == "wait":
            ejector.observe_wait(name, waited_s=latency_s, probe=False, now=now)
        else:
            probe = name in probes
            probes.discard(name)
            if probe:
                ejector.finish_probe(name)
            ejector.observe(
                name,
                latency_s=latency_s,
                failed=action == "fail",
                probe=probe,
                now=now,
            )
        out = len(ejector.describe())
        assert out == ejector.count_ejected() <= ejector.get_max_ejected()

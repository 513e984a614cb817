"""Test the choice of a target."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.placement import (
    SLOW_START_S,
    SPILL_UTILISATION,
    UNREACHABLE_BACKOFF_S,
    Placer,
)
from hyssopvane._internal.policy.target_load import REPORT_EXPIRY_S, TargetLoad
from hyssopvane._internal.state.table import ServiceRow, Table, TargetRow
from hyssopvane._internal.state.work import (
    AttemptReport,
    AttemptResult,
    LoadReport,
    TargetInfo,
    WorkRequest,
)

WARM = SLOW_START_S + 1
ANSWERED = AttemptReport(AttemptResult.ANSWERED, latency_s=0.1)


def make_request(number, *, tokens=100, affinity=(), service="draft"):
    return WorkRequest(
        request_id=f"r{number}",
        customer="registry",
        service=service,
        tokens=tokens,
        priority=5,
        deadline=1e9,
        affinity=affinity,
    )


def make_placer(names, *, rows=(), service=None, zones=("a",), own_zone="a", seed=1):
    placer = Placer(random=Random(seed), availability_zone=own_zone)
    row = service or ServiceRow("draft")
    placer.update_table(
        Table(services={"draft": row}, targets={one.name: one for one in rows})
    )
    for number, name in enumerate(names):
        zone = zones[number % len(zones)]
        placer.connect(TargetInfo(name, "draft", zone, 1), now=0.0)
    return placer


def place_many(placer, count, *, now=WARM, **details):
    chosen = Counter()
    for number in range(count):
        info = placer.place(make_request(number, **details), now=now)
        chosen[info.name if info else None] += 1
    return chosen


@pytest.mark.parametrize(
    ("row", "leaving"),
    [
        (TargetRow("t0", weight=0), False),
        (TargetRow("t0", in_service=False), False),
        (TargetRow("t0"), True),
    ],
    ids=["weight-0", "not-in-service", "leaving"],
)
def test_closed_target_gets_no_work(row, leaving):
    placer = make_placer(["t0", "t1"], rows=[row])
    placer.observe_load("t0", LoadReport(0, 0, leaving=leaving), now=WARM)
    assert place_many(placer, 40) == {"t1": 32, None: 8}


@pytest.mark.parametrize(
    ("service", "row", "tokens", "places"),
    [
        (ServiceRow("draft", target_concurrency=3), TargetRow("t0"), 1, 3),
        (ServiceRow("draft"), TargetRow("t0", concurrency_limit=2), 1, 2),
        (ServiceRow("draft", target_tokens=250), TargetRow("t0"), 100, 2),
        (ServiceRow("draft", target_tokens=250), TargetRow("t0"), 900, 1),
    ],
    ids=["service", "target", "tokens", "larger-than-limit-runs-alone"],
)
def test_limits_of_target(service, row, tokens, places):
    placer = make_placer(["t0"], rows=[row], service=service)
    assert place_many(placer, 10, tokens=tokens)["t0"] == places


def test_others_requests_count_against_limit():
    placer = make_placer(["t0"], service=ServiceRow("draft", target_concurrency=8))
    placer.observe_load("t0", LoadReport(running=6, tokens_in_flight=600), now=WARM)
    assert place_many(placer, 10)["t0"] == 2


def test_weights_share_the_work():
    placer = make_placer(
        ["light", "heavy"],
        rows=[TargetRow("light", weight=50), TargetRow("heavy", weight=150)],
        service=ServiceRow("draft", target_concurrency=1000),
    )
    chosen = place_many(placer, 400)
    assert chosen["heavy"] == pytest.approx(300, abs=5)


def test_own_zone_comes_first_then_spills():
    placer = make_placer(["t0", "t1", "t2", "t3"], zones=["a", "b"])
    service = ServiceRow("draft", target_concurrency=10)
    placer.update_table(Table(services={"draft": service}))
    assert set(place_many(placer, int(2 * 10 * SPILL_UTILISATION) - 2)) == {"t0", "t2"}
    spilled = place_many(placer, 20)
    assert spilled["t1"] + spilled["t3"] >= 10


def test_entry_without_targets_in_its_zone_uses_the_others():
    placer = make_placer(["t0", "t1"], own_zone="elsewhere")
    assert set(place_many(placer, 20)) == {"t0", "t1"}


def test_same_prefix_goes_to_same_target_until_it_is_loaded():
    placer = make_placer([f"t{number}" for number in range(8)])
    few = place_many(placer, 6, affinity=(11, 12))
    assert len(few) == 1
    for number in range(6):
        placer.release(f"r{number}", ANSWERED, now=WARM)
    many = place_many(placer, 120, affinity=(11, 12))
    assert max(many.values()) <= 2 * 120 / 8


def test_entries_agree_on_target_of_new_prefix():
    names = [f"t{number}" for number in range(8)]
    chosen = {
        next(iter(place_many(make_placer(order, seed=seed), 1, affinity=(77,))))
        for seed, order in enumerate([names, names[::-1]])
    }
    assert len(chosen) == 1


def test_new_target_starts_slowly():
    placer = make_placer(["t0", "t1", "t2"])
    placer.connect(TargetInfo("new", "draft", "a", 5), now=WARM)
    early = place_many(placer, 60, now=WARM + 1)
    for number in range(60):
        placer.release(f"r{number}", ANSWERED, now=WARM + 1)
    late = place_many(placer, 60, now=WARM + SLOW_START_S + 1)
    assert early["new"] <= 5
    assert late["new"] == pytest.approx(15, abs=3)


def test_target_that_is_connected_anew_is_still_warm():
    placer = make_placer(["t0", "t1"])
    placer.connect(TargetInfo("t1", "draft", "a", 1), now=WARM)
    chosen = place_many(placer, 40, now=WARM)
    assert chosen["t1"] == pytest.approx(20, abs=2)


def test_late_report_is_not_counted_twice():
    """A report shows the load as it was half a second ago.

    If an entry adds its own requests to a report that already contains them, it takes
    its busiest target to be twice as busy as it is.
    """
    load = TargetLoad()
    load.add(100, now=0.0)
    load.add(50, now=9.8)
    load.observe(LoadReport(running=3, tokens_in_flight=300), now=10.0)
    assert load.estimate(10.0) == (350, 4)


def test_old_report_loses_weight():
    """A partition keeps a target's reports away for minutes.

    If an entry kept the last report, a target that was busy then would get no work at
    all, and callers would wait while targets are idle.
    """
    placer = make_placer(["busy", "t1"])
    placer.observe_load("busy", LoadReport(30, 90_000), now=WARM)
    assert place_many(placer, 10, now=WARM)["busy"] == 0
    later = WARM + REPORT_EXPIRY_S
    assert place_many(placer, 40, now=later)["busy"] > 15


def test_silent_target_gets_little_new_work():
    """A network device drops a connection's state: nothing fails, nothing arrives.

    Until the silence is long enough to close the connection, each request that is
    placed there keeps its caller waiting in vain.
    """
    names = [f"t{number}" for number in range(4)]
    placer = make_placer(names)
    for step in range(10):
        for name in names if step < 4 else names[1:]:
            placer.observe_load(name, LoadReport(0, 0), now=WARM + step / 2)
    chosen = place_many(placer, 40, now=WARM + 4.6)
    assert chosen["t0"] <= 2


def test_all_silent_targets_share_the_work():
    names = [f"t{number}" for number in range(4)]
    placer = make_placer(names)
    for name in names:
        placer.observe_load(name, LoadReport(0, 0), now=WARM)
    chosen = place_many(placer, 40, now=WARM + 120)
    assert min(chosen[name] for name in names) >= 8


@pytest.mark.parametrize("reason", ["target-unreachable", "leaving"])
def test_target_that_refuses_at_once_does_not_attract_work(reason):
    """An engine dies while its agent keeps running, and the agent refuses at once.

    A target that never holds a request always looks least loaded. Most requests would
    go there first, and use up the retries of a busy service.
    """
    placer = make_placer(["t0", "t1", "t2"])
    refused = AttemptReport(AttemptResult.NOT_STARTED, reason)
    bounced = 0
    for number in range(60):
        info = placer.place(make_request(number), now=WARM + number / 60)
        if info.name == "t0":
            bounced += 1
            placer.release(f"r{number}", refused, now=WARM + number / 60)
    assert 1 <= bounced <= 2


def test_unreachable_target_returns():
    placer = make_placer(["t0"])
    refused = AttemptReport(AttemptResult.NOT_STARTED, "target-unreachable")
    placer.place(make_request(0), now=WARM)
    placer.release("r0", refused, now=WARM)
    assert placer.place(make_request(1), now=WARM) is None
    assert placer.place(make_request(1), now=WARM + UNREACHABLE_BACKOFF_S) is not None


@pytest.mark.parametrize("also", [None, "target-unreachable"])
def test_target_gets_nothing_during_its_back_off(also):
    """Guards against a back-off for one retry only, or one cut by a shorter one."""
    placer = make_placer(["t0"])
    rested = AttemptReport(AttemptResult.NOT_STARTED, "target-full", backoff_s=9.0)
    placer.place(make_request(0), now=WARM)
    placer.place(make_request(1), now=WARM)
    placer.release("r0", rested, now=WARM)
    if also:
        placer.release("r1", AttemptReport(AttemptResult.NOT_STARTED, also), now=WARM)
    assert placer.place(make_request(2), now=WARM + 8.9) is None
    assert placer.place(make_request(2), now=WARM + 9.0) is not None


def test_half_of_the_targets_lost_at_once():
    """A rack fails, and half of the targets are lost at once.

    Callers notice only fuller batches: no request is placed on a lost target, and the
    remaining targets share the work evenly.
    """
    placer = make_placer([f"t{number}" for number in range(12)])
    place_many(placer, 60)
    for number in range(6):
        placer.disconnect(f"t{number}")
    for number in range(60):
        placer.release(f"r{number}", None, now=WARM)
    chosen = place_many(placer, 96)
    assert set(chosen) == {f"t{number}" for number in range(6, 12)}
    assert max(chosen.values()) <= 1.25 * 96 / 6


def test_release_after_reconnection_leaves_the_new_count_alone():
    placer = make_placer(["t0"])
    placer.place(make_request(0), now=WARM)
    placer.connect(TargetInfo("t0", "draft", "a", 2), now=WARM)
    placer.place(make_request(1), now=WARM)
    placer.release("r0", ANSWERED, now=WARM)
    assert placer.describe(now=WARM)[0]["in_flight"] == 1


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["place", "release", "report", "connect", "disconnect"]),
        st.integers(0, 5),
        st.integers(1, 400),
        st.floats(0, 5),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(_STEPS, st.integers(0, 1000))
def test_own_requests_never_exceed_limits(steps, seed):
    service = ServiceRow("draft", target_concurrency=4, target_tokens=1000)
    placer = make_placer(["t0", "t1", "t2"], service=service, seed=seed)
    in_flight: dict[str, tuple[TargetInfo, int]] = {}
    connections = Counter()
    now = 0.0
    for number, (action, index, tokens, wait_s) in enumerate(steps):
        now += wait_s
        name = f"t{index}"
        if action == "place":
            request = make_request(number, tokens=tokens, affinity=(index,))
            info = placer.place(request, now=now)
            if info is not None:
                key = (info.name, connections[info.name])
                in_flight[request.request_id] = (key, tokens)
        elif action == "release" and in_flight:
            request_id = sorted(in_flight)[index % len(in_flight)]
            del in_flight[request_id]
            placer.release(request_id, ANSWERED, now=now)
        elif action == "report":
            placer.observe_load(name, LoadReport(index, tokens), now=now)
        elif action == "connect":
            connections[name] += 1
            info = TargetInfo(name, "draft", "a", connections[name])
            placer.connect(info, now=now)
        elif action == "disconnect":
            placer.disconnect(name)
        running = Counter(key for key, _ in in_flight.values())
        tokens_running = Counter()
        for key, size in in_flight.values():
            tokens_running[key] += size
        assert all(count <= 4 for count in running.values())
        assert all(
            total <= 1000 or running[key] == 1 for key, total in tokens_running.items()
        )

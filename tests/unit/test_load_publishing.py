"""Test how entries learn the load of a group's ranks, without sockets."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy import load_inbox, load_relays
from hyssopvane._internal.policy.load_inbox import LoadInbox
from hyssopvane._internal.policy.load_relays import MAX_RELAYS, LoadRelays
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.loads import GroupLoad, Member, MemberLoad, Roster
from tests.lib.publishing_model import PublishingModel

FRESH_S = 0.25
MAX_REPLACEMENT_S = 1.0
LEADER_BYTES_PER_S = 40_000


def make_model(*, seed=1, settle_s=4.0, **options):
    model = PublishingModel(Random(seed), **options)
    model.play(settle_s)
    return model


def find_relays(model):
    return [
        relay.entry for relay in model.leaders[0].publisher.relays.choose(model.now)
    ]


def get_entry(model, address):
    return next(one for one in model.entries if one.address == address)


@pytest.mark.parametrize(
    ("ranks", "zones", "by_zone"), [(12, 3, 2), (24, 3, 5), (63, 3, 5), (64, 5, 7)]
)
def test_loads_are_fresh_while_nothing_fails(ranks, zones, by_zone):
    """Many entries receive the loads of one group whose leader has a narrow link."""
    model = make_model(ranks=ranks, zones=zones, entries_by_zone=by_zone)
    sent = model.leaders[0].sent_bytes
    ages = []
    for _ in range(80):
        model.play(0.1)
        ages += model.list_ages()
    ages.sort()
    assert ages[int(0.99 * len(ages))] <= FRESH_S
    assert (model.leaders[0].sent_bytes - sent) / 8.0 < LEADER_BYTES_PER_S


@pytest.mark.parametrize("seed", range(4))
def test_failed_relay_is_replaced_within_a_second(seed):
    """The entry that relays a group's loads to its zone loses power.

    The other entries of the zone would have to estimate the load of 64 ranks, and would
    refuse callers or overload the group.
    """
    model = make_model(seed=seed)
    relay = find_relays(model)[0]
    get_entry(model, relay).down_until = model.now + 100.0
    model.play(MAX_REPLACEMENT_S)
    assert max(model.list_ages()) <= FRESH_S + 0.15


@pytest.mark.parametrize("seed", range(4))
def test_entry_that_the_relay_does_not_reach_gets_loads_from_another(seed):
    """Only the link from the relay to one entry of its zone is cut."""
    model = make_model(seed=seed)
    relay = find_relays(model)[0]
    zone = get_entry(model, relay).zone
    cut = next(
        one.address
        for one in model.entries
        if one.zone == zone and one.address != relay
    )
    model.drops = lambda sender, to: float((sender, to) == (relay, cut))
    model.play(1.5)
    worst = []
    for _ in range(20):
        model.play(0.1)
        worst.append(max(model.list_ages()))
    assert max(worst) <= FRESH_S + 0.15


def test_leader_cut_off_from_all_entries_publishes_through_an_agent():
    """The leader's machine reaches the other ranks, but no entry.

    It still leads, so no other agent would publish the load in its place.
    """
    model = make_model()
    leader = model.leaders[0].address
    entries = {one.address for one in model.entries}

    def drop(sender, to):
        return float(
            (sender == leader and to in entries) or (to == leader and sender in entries)
        )

    model.drops = drop
    model.play(3.0)
    assert max(model.list_ages()) <= 2 * FRESH_S


def test_message_rate_falls_while_most_messages_are_lost():
    """A link drops nine messages of ten for a minute.

    If every missing load were queried repeatedly, the queries and their answers would
    cause the loss of the next loads, long after the link has recovered.
    """
    model = make_model()
    calm = count_messages(model, 5.0)
    model.drops = lambda sender, to: 0.9
    first, later = count_messages(model, 10.0), count_messages(model, 10.0)
    assert later <= first
    assert later / 10.0 <= 1.1 * calm / 5.0
    model.drops = lambda sender, to: 0.0
    model.play(3.0)
    assert max(model.list_ages()) <= FRESH_S + 0.15


def count_messages(model, seconds):
    before = model.messages
    model.play(seconds)
    return model.messages - before


def test_queries_of_all_entries_increase_leader_traffic_by_a_bounded_factor():
    """Entries of all zones query for missing loads, whatever they are sent."""
    model = make_model()
    calm = model.leaders[0].sent_bytes
    model.play(4.0)
    calm = model.leaders[0].sent_bytes - calm
    leader = model.leaders[0].address
    model.drops = lambda sender, to: float(sender == leader)
    before = model.leaders[0].sent_bytes
    model.play(4.0)
    assert model.leaders[0].sent_bytes - before <= (MAX_RELAYS + 1.5) * calm


def test_loads_of_the_next_leader_are_accepted_at_once():
    """The leader dies, and the agent of the next rank takes over."""
    model = make_model()
    model.leaders[0].down_until = model.now + 100.0
    model.play(0.8)
    model.leading = (1,)
    model.play(0.5)
    assert max(model.list_ages()) <= FRESH_S + 0.15


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    loss=st.sampled_from([0.0, 0.1, 0.5]),
    late=st.sampled_from([0.0, 0.1, 0.4]),
    doubled=st.sampled_from([0.0, 0.3]),
    events=st.lists(
        st.sampled_from(["rebirth", "epoch", "leaders", "relay", "calm"]), max_size=8
    ),
)
def test_no_older_start_or_epoch_is_accepted_after_a_newer_one(
    seed, loss, late, doubled, events
):
    """Messages are lost, duplicated and late while ranks restart and leaders change.

    If an old load counted as a new one, the requests of a start that has ended, or of
    an earlier epoch of the group, would be counted.
    """
    model = PublishingModel(
        Random(seed),
        zones=2,
        entries_by_zone=2,
        ranks=4,
        drops=lambda sender, to: loss,
        late_share=late,
        doubled_share=doubled,
    )
    model.play(2.0)
    for event in events:
        play_event(model, event)
        check_order(model)
    model.drops = lambda sender, to: 0.0
    model.late_share = 0.0
    model.leading = (0,)
    model.play(5.0)
    for entry in model.entries:
        if model.now >= entry.down_until:
            assert entry.epoch == model.epoch
            assert set(entry.starts.values()) == set(model.starts)


def play_event(model, event):
    match event:
        case "rebirth":
            model.starts[model.random.randrange(model.ranks)] += 5_000
        case "epoch":
            model.epoch += 1
        case "leaders":
            model.leading = model.random.choice([(0,), (1,), (2,)])
        case "relay":
            entry = model.random.choice(model.entries)
            entry.down_until = model.now + 1.0


def check_order(model):
    seen = {}
    for _ in range(30):
        model.play(0.05)
        for entry in model.entries:
            key = entry.address
            newest = (entry.epoch, dict(entry.starts))
            before = seen.get(key, (0, {}))
            assert newest[0] >= before[0]
            for address, start in newest[1].items():
                assert start >= before[1].get(address, 0)
            seen[key] = newest


def make_roster(number=1, **changes):
    roster = Roster(number, "g", (Member("10.0.0.1:80", 5), Member("10.0.0.2:80", 6)))
    return replace(roster, **changes)


def make_load(sequence, **changes):
    member = MemberLoad(1, 0, 1.0, 0.0)
    load = GroupLoad(1, 7, sequence, 1, 2, True, 9, 0.06, 4, (member, member))
    return replace(load, **changes)


@pytest.mark.parametrize(
    ("load", "used"),
    [
        (make_load(11), True),
        (make_load(10), False),
        (make_load(9), False),
        (make_load(1, source=8), True),
        (make_load(11, roster=2), False),
        (make_load(11, members=(MemberLoad(1, 0, 1.0, 0.0),)), False),
    ],
    ids=["next", "doubled", "late", "other-leader", "unknown-roster", "other-size"],
)
def test_load_is_used_once_in_order_and_with_its_own_roster(load, used):
    inbox = LoadInbox(random=Random(1))
    inbox.add_roster(make_roster(), now=0.0)
    assert inbox.accept(make_load(10), now=0.1) is not None
    assert (inbox.accept(load, now=0.2) is not None) == used


def test_queries_during_one_silence_become_rare():
    inbox = LoadInbox(random=Random(1))
    inbox.add_roster(make_roster(), now=0.0)
    inbox.accept(make_load(1), now=0.0)
    queried_at = [at / 10 for at in range(200) if inbox.choose_load_queries(at / 10)]
    assert load_inbox.LOAD_TIMEOUT_S < queried_at[0] < load_inbox.LOAD_TIMEOUT_S + 0.2
    assert len(queried_at) <= 14


def test_replicas_that_no_roster_names_are_queried_a_few_at_a_time():
    inbox = LoadInbox(random=Random(1))
    inbox.add_roster(make_roster(), now=0.0)
    replicas = [f"10.0.0.{number}:80" for number in range(1, 101)]
    queried = [inbox.choose_replica_queries(replicas, at / 10) for at in range(100)]
    assert max(len(some) for some in queried) == load_inbox.MAX_QUERIES
    assert sum(len(some) for some in queried) < 10 * load_inbox.MAX_QUERIES
    assert not {"10.0.0.1:80", "10.0.0.2:80"} & {
        one for some in queried for one in some
    }


def make_entry_state(number, **changes):
    state = EntryState(f"10.0.0.{number}:7000", "", 0, 0, "zone-a")
    return replace(state, **changes)


def test_zone_without_missing_loads_has_one_relay_and_a_silent_one_is_replaced():
    relays = LoadRelays(key="g")
    for number in range(1, 6):
        relays.observe(make_entry_state(number), now=0.0)
    first = relays.choose(0.0)
    assert len(first) == 1
    later = load_relays.RELAY_TIMEOUT_S + 0.5
    for number in range(1, 6):
        if make_entry_state(number).address != first[0].entry:
            relays.observe(make_entry_state(number), now=later - 0.1)
    assert relays.choose(later) != first


def test_missing_loads_switch_the_relay_at_most_every_few_loads():
    relays = LoadRelays(key="g")
    for number in range(1, 8):
        relays.observe(make_entry_state(number), now=0.0)
    seen = set()
    for tick in range(100):
        now = tick * 0.01
        relays.observe(make_entry_state(tick % 7 + 1, lacks_load=True), now=now)
        chosen = relays.choose(now)
        assert len(chosen) <= MAX_RELAYS
        seen.add(tuple(chosen))
    assert len(seen) <= 1.0 / load_relays.MIN_SWITCH_INTERVAL_S + 2

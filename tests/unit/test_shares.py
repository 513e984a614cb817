"""Test that customers' limits hold across entries."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopvane._internal.policy.share_grants import divide_max_min
from hyssopvane._internal.policy.share_limits import (
    ENTRY_RETENTION_S,
    LIST_LAG_S,
    MIN_LEASE_S,
    RESERVE,
)
from hyssopvane._internal.state.shares import EntryId, ShareGrant, ShareRequest
from tests.lib.share_network import CUSTOMER, ROWS, ShareNetwork, ShareNode

_WARM_UP_S = MIN_LEASE_S + LIST_LAG_S + 5


def start_network(rates, *, loss=0.0, delay_s=0.01, seed=1):
    network = ShareNetwork(Random(seed), loss=loss, delay_s=delay_s)
    for number, rate in enumerate(rates):
        network.start(f"entry-{number}").rate = rate
    return network


def list_fractions(network):
    return [
        node.holder.get_fraction(CUSTOMER, now=network.now)
        for node in network.nodes.values()
    ]


@pytest.mark.parametrize(
    ("rates", "fractions"),
    [
        pytest.param([50, 50, 50], [0.333, 0.333, 0.333], id="even"),
        pytest.param([50, 0, 0], [0.866, 0.066, 0.066], id="all at one entry"),
        pytest.param([50, 50, 0], [0.466, 0.466, 0.066], id="one idle"),
        pytest.param([50, 6, 0], [0.633, 0.3, 0.066], id="small demand is met"),
        pytest.param([1, 1, 1], [0.066, 0.066, 0.066], id="below the safe share"),
        pytest.param([50], [1.0], id="a single entry has it all"),
    ],
)
def test_shares_follow_demand(rates, fractions):
    network = start_network(rates)
    network.run(_WARM_UP_S + 20)
    assert list_fractions(network) == pytest.approx(fractions, abs=0.02)


def test_shares_move_within_seconds():
    network = start_network([50, 0, 0])
    network.run(60)
    network.nodes["entry-0"].rate = 0
    network.nodes["entry-1"].rate = 50
    network.run(30)
    assert list_fractions(network)[1] > 0.85


@pytest.mark.parametrize("dead", ["entry-0", "entry-1", "entry-2", "entry-3"])
def test_share_of_a_dead_entry_is_granted_again(dead):
    """Guards against the share of a dead entry that is never granted again.

    An entry VM that had a large share of a customer's limit dies. If its share stayed
    reserved, the customer's callers at the other entries would be refused, though the
    customer is far below its limit.
    """
    network = start_network([50, 50, 50, 50])
    network.run(60)
    network.kill(dead)
    network.run(ENTRY_RETENTION_S + _WARM_UP_S)
    assert network.sum_in_force() == pytest.approx(1.0, abs=0.02)


def test_cut_off_entry_keeps_to_its_safe_share():
    """Guards against a cut-off entry that uses the whole limit, or nothing.

    One entry can reach no other, and the balancer still sends it callers. If it used
    the whole limit, the customer would get it twice, at the cost of other customers. If
    it used nothing, all its callers would be refused.
    """
    network = start_network([50, 50, 50])
    network.run(60)
    cut_off = network.nodes["entry-1"]
    cut_off.cut_off = True
    network.run(MIN_LEASE_S)
    fraction = cut_off.holder.get_fraction(CUSTOMER, now=network.now)
    assert fraction == pytest.approx(RESERVE / 3)


def test_incomplete_first_list_does_not_grant_the_whole_limit():
    """Guards against entries that each use the whole limit at a common start.

    All entries start at once, and the platform's list lags. An entry that finds only
    itself in the list would use the whole limit, as would each of the others.
    """
    network = start_network([50])
    network.run(LIST_LAG_S - 1.5)
    assert network.sum_in_force() <= RESERVE


def list_steps(*kinds):
    step = st.tuples(st.sampled_from(kinds), st.integers(0, 3), st.floats(0.5, 30))
    return st.lists(step, min_size=5, max_size=25)


def take_step(network, step, number, value):
    vm = f"entry-{number}"
    node = network.nodes.get(vm)
    if step == "start" and node is None:
        network.start(vm).rate = 50
    elif step == "kill" and node is not None and len(network.nodes) > 1:
        network.kill(vm)
    elif step == "restart" and node is not None:
        network.start(vm).rate = node.rate
    elif step in ("cut", "heal") and node is not None:
        node.cut_off = step == "cut"
    elif step == "demand" and node is not None:
        node.rate = value * 2


@settings(derandomize=True, max_examples=80, deadline=None)
@given(
    list_steps("start", "kill", "restart", "cut", "heal", "demand", "pass"),
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.2, 0.5]),
    st.sampled_from([0.01, 1.0, 12.0]),
)
def test_grants_never_exceed_the_pool(steps, seed, loss, delay_s):
    """Guards against grants that exceed the pool under faults.

    Entries join, die, restart and are cut off; messages arrive late, twice or never. If
    grants of a dead, cut-off or replaced granter added to new ones, a customer would
    get more than its limit, and callers of other customers would wait.
    """
    network = start_network([50, 50, 50], loss=loss, delay_s=delay_s, seed=seed)
    network.run(30, check_grants(network))
    for step, number, value in steps:
        take_step(network, step, number, value)
        network.run(value, check_grants(network))


@settings(derandomize=True, max_examples=80, deadline=None)
@given(
    list_steps("cut", "heal", "demand", "demand"),
    st.integers(0, 2**32),
    st.sampled_from([0.1, 0.3, 0.6]),
    st.sampled_from([0.5, 4.0, 8.0]),
)
def test_moving_grants_never_exceed_the_pool(steps, seed, loss, delay_s):
    """Guards against grants that exceed the pool while demand moves.

    Demand moves between four entries, and their messages arrive late or never. If an
    entry still used a share that has since been granted to another, a customer would
    get more than its limit.
    """
    network = start_network([50, 0, 50, 0], loss=loss, delay_s=delay_s, seed=seed)
    network.run(30, check_grants(network))
    for step, number, value in steps:
        take_step(network, step, number, value)
        network.run(value / 3, check_grants(network))


def check_grants(network):
    def check():
        assert network.sum_granted() <= 1 - RESERVE + 1e-9

    return check


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(st.floats(0, 1), min_size=1, max_size=20), st.floats(0, 1))
def test_division_meets_needs_up_to_the_total(needs, whole):
    named = {EntryId(str(number), 1): need for number, need in enumerate(needs)}
    shares = divide_max_min(named, whole)
    assert sum(shares.values()) == pytest.approx(min(whole, sum(needs)))
    assert all(shares[key] <= need + 1e-9 for key, need in named.items())
    unmet = [shares[key] for key, need in named.items() if shares[key] < need - 1e-9]
    if unmet:
        assert max(shares.values()) <= min(unmet) + 1e-9


def make_node(vm="entry-0", others=("entry-1",), *, now=0.0):
    node = ShareNode(vm, 1)
    node.view.update(others, now=now)
    node.holder.update_view(now=now)
    return node


def make_granter():
    """Return a granter that is past its warm-up."""
    for name in ("entry-0", "entry-1"):
        others = {"entry-0", "entry-1"} - {name}
        node = make_node(name, others)
        node.granter.update_customers(ROWS, now=0.0)
        if node.view.find_aggregator(CUSTOMER) == name:
            return node.granter
    raise AssertionError("no entry aggregates the customer")


ONE, OTHER = EntryId("entry-0", 1), EntryId("entry-1", 1)
LATER_S = 100.0


def make_request(sequence, need, held=0.0, held_s=0.0):
    return ShareRequest(CUSTOMER, sequence, need, held, held_s)


def test_late_copy_of_a_request_changes_nothing():
    """Guards against a delayed copy of a request.

    The network delivers a request a second time, after the entry got more. If the
    granter assumed that the entry holds nothing, it would grant its share to another
    while the entry still uses it.
    """
    granter = make_granter()
    first = granter.answer(ONE, make_request(1, 0.8), now=LATER_S)
    assert first.amount == pytest.approx(0.8)
    assert granter.answer(ONE, make_request(1, 0.0), now=LATER_S + 1) is None
    assert granter.answer(
        OTHER, make_request(1, 0.8), now=LATER_S + 2
    ).amount == pytest.approx(0)


def test_larger_grant_counts_until_its_end():
    """Guards against a share that is granted again before it has ended.

    An entry requests less, and the answer that reduces its share is lost. The entry
    still uses its earlier share; if another entry got that share meanwhile, it would be
    used twice.
    """
    granter = make_granter()
    granter.answer(ONE, make_request(1, 0.8), now=LATER_S)
    less = make_request(2, 0.1, held=0.8, held_s=9.0)
    assert granter.answer(ONE, less, now=LATER_S + 1).amount == pytest.approx(0.1)
    early = granter.answer(OTHER, make_request(1, 0.8), now=LATER_S + 2)
    assert early.amount == pytest.approx(0.0)
    late = granter.answer(OTHER, make_request(2, 0.8), now=LATER_S + 10.5)
    assert late.amount == pytest.approx(0.7)


def make_requesting_node():
    node = make_node()
    node.rate = 50
    node.ask_for_requests(now=1.0)
    node.holder.measure_demand(ROWS, now=1.0)
    ((request,),) = node.holder.choose_requests(now=1.0).values()
    return node, request


def test_lease_counts_from_the_request():
    """Guards against a lease that starts when its answer arrives.

    An answer is in flight for half of its lease. If the lease began on arrival, the
    entry would use the share for longer than the granter counts it.
    """
    node, request = make_requesting_node()
    answer = ShareGrant(CUSTOMER, request.sequence, 0.5, 10.0, 7.5)
    node.holder.apply([answer], sent_at=1.0)
    assert node.holder.get_fraction(CUSTOMER, now=10.9) == pytest.approx(0.6)
    assert node.holder.get_fraction(CUSTOMER, now=11.0) == pytest.approx(0.1)


def test_answer_to_an_earlier_request_is_ignored():
    """Guards against an answer that arrives after another request of the entry.

    The second request has shown the granter that the first answer was never received,
    so it may have granted the share to another entry.
    """
    node, request = make_requesting_node()
    node.ask_for_requests(now=4.0)
    node.holder.measure_demand(ROWS, now=4.0)
    assert node.holder.choose_requests(now=4.0)
    answer = ShareGrant(CUSTOMER, request.sequence, 0.5, 10.0, 7.5)
    node.holder.apply([answer], sent_at=1.0)
    assert node.holder.get_fraction(CUSTOMER, now=5.0) == pytest.approx(0.1)


def test_entry_that_left_counts_as_known_for_a_while():
    """Guards against the share of a delisted entry that is given away at once.

    An entry that was listed for long is removed from the list and still works. If its
    share were given away at once, it would be used twice.
    """
    node = make_node(others=("entry-1", "entry-2"))
    node.view.update(("entry-1",), now=1_000.0)
    assert node.view.count_known(now=1_000.0 + ENTRY_RETENTION_S) == 3
    assert node.view.count_known(now=1_000.1 + ENTRY_RETENTION_S) == 2

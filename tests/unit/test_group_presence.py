"""Test which agents of a group send messages, and to which agents."""

import pytest

from hyssopvane._internal.policy.group_presence import (
    BACKUP_DELAY_S,
    BACKUP_STAGGER_S,
    FULL_STATE_INTERVAL_S,
    FULL_STATE_REPEATS,
    LEADER_SILENCE_S,
    MEMBER_SILENCE_S,
    PEER_EXPIRY_S,
    PRESENCE_INTERVAL_S,
    PRESENCE_SENDERS,
    UNKNOWN_AGENTS_PER_S,
    GroupPresence,
)
from hyssopvane._internal.state.group import RankState

RANKS = 64


def make_address(rank):
    return f"10.0.0.{rank + 1}:7001"


def make_state(rank, **changes):
    fields = {
        "messages": make_address(rank),
        "replica": f"10.0.0.{rank + 1}:80",
        "group": "g",
        "epoch": 1,
        "rank": rank,
        "ranks": RANKS,
        "open": True,
        "active": 1,
        "queued": 0,
        "step": 5,
        "map_version": 0,
        "prepared": 0,
        "armed_version": 0,
        "armed_step": 0,
        "held_step": 0,
        "started_ms": 7,
    }
    return RankState(**(fields | changes))


def make_short(rank, **changes):
    return make_state(rank, messages="", replica="", group="", **changes)


def make_presence(ranks, *, now=0.0):
    presence = GroupPresence()
    for rank in ranks:
        presence.observe(make_address(rank), rank, now=now)
    return presence


@pytest.mark.parametrize(
    ("own", "heard", "expected"),
    [
        (0, (1, 2, 3), True),
        (2, (0, 1), True),
        (3, (0, 1, 2), False),
        (40, (0, 1), True),
        (40, (0, 1, 2), False),
        (40, (50, 51, 52), True),
    ],
)
def test_only_the_lowest_live_ranks_send_presence_to_all(own, heard, expected):
    presence = make_presence(heard)
    presence.sends_presence(own, 0.0)
    later = BACKUP_DELAY_S + RANKS * BACKUP_STAGGER_S
    for rank in heard:
        presence.observe(make_address(rank), rank, now=later)
    assert presence.sends_presence(own, later) == expected


def test_only_the_lowest_ranks_send_presence_when_all_start_at_once():
    """After a power loss, all agents of a group start at the same moment.

    If each of them sent messages to all others before it has received one, thousands of
    messages would fill the links that callers need.
    """
    agents = {rank: GroupPresence() for rank in range(RANKS)}
    senders = set()
    for tick in range(150):
        now = tick * 0.1
        for rank, presence in agents.items():
            if not presence.sends_presence(rank, now):
                continue
            senders.add(rank)
            # The agent discovers the others one by one, within two seconds.
            reached = int(RANKS * min(1.0, now / 2.0))
            for number in range(reached):
                if number != rank:
                    agents[number].observe(make_address(rank), rank, now=now)
    assert senders == set(range(PRESENCE_SENDERS))


def count_messages(presence, seconds, *, leads, ranks=RANKS, agents=()):
    sent = 0
    for tick in range(int(seconds / PRESENCE_INTERVAL_S)):
        now = tick * PRESENCE_INTERVAL_S
        for rank in range(1, RANKS):
            presence.observe(make_address(rank), rank, now=now)
        sent += len(
            presence.choose_presence_receivers(0, ranks, agents, now, leads=leads)
        )
    return sent


def test_messages_grow_with_the_group_and_not_with_the_fleet():
    unknown_agents = [f"10.1.{n // 200}.{n % 200}:7001" for n in range(10_000)]
    few = count_messages(make_presence(()), 10.0, leads=True)
    many = count_messages(make_presence(()), 10.0, leads=True, agents=unknown_agents)
    assert few == many
    missing = count_messages(
        make_presence(()), 10.0, leads=True, ranks=RANKS + 1, agents=unknown_agents
    )
    assert missing - few <= 10 * UNKNOWN_AGENTS_PER_S


def test_replaced_member_is_searched_for():
    """A replica is replaced by one on another machine, whose agent is unknown."""
    presence = make_presence(range(1, RANKS))
    unknown = "10.9.9.9:7001"
    receivers = set()
    for tick in range(int((MEMBER_SILENCE_S + 1.0) / PRESENCE_INTERVAL_S)):
        now = tick * PRESENCE_INTERVAL_S
        for rank in range(1, RANKS - 1):
            presence.observe(make_address(rank), rank, now=now)
        receivers.update(
            presence.choose_presence_receivers(0, RANKS, [unknown], now, leads=True)
        )
    assert unknown in receivers
    presence.observe(unknown, RANKS - 1, now=MEMBER_SILENCE_S + 1.0)
    receivers = presence.choose_presence_receivers(
        0, RANKS, [], MEMBER_SILENCE_S + 1.0, leads=True
    )
    assert make_address(RANKS - 1) not in receivers


@pytest.mark.parametrize(
    "short",
    [
        make_short(5, started_ms=8),
        make_short(5, epoch=2),
        make_short(6),
        make_short(5, ranks=65),
    ],
    ids=["other-start", "other-epoch", "other-rank", "other-size"],
)
def test_short_state_is_completed_by_the_full_one_of_the_same_start_only(short):
    """A replica restarts, or its group is formed anew, before a full state of it
    arrives.

    The addresses in an earlier full state may belong to another replica by now.
    """
    presence = GroupPresence()
    sender = make_address(5)
    assert presence.complete_state(make_short(5), sender, now=0.0) is None
    presence.complete_state(make_state(5), sender, now=0.0)
    assert presence.complete_state(
        make_short(5, active=3), sender, now=0.1
    ) == make_state(5, active=3)
    assert presence.complete_state(short, sender, now=0.2) is None


def test_full_states_come_first_and_then_periodically():
    presence = make_presence((0, 1, 2))
    full = []
    for tick in range(100):
        now = tick * 0.1
        for rank in (0, 1, 2):
            presence.observe(make_address(rank), rank, now=now)
        to, is_full = presence.choose_state_receivers(make_state(9), 9, now)
        assert to[0] == make_address(0)
        assert len(to) == (PRESENCE_SENDERS if is_full else 1)
        full.append(is_full)
    assert all(full[:FULL_STATE_REPEATS])
    assert sum(full) <= FULL_STATE_REPEATS + 10.0 / FULL_STATE_INTERVAL_S


def test_state_goes_to_the_next_rank_when_the_leader_is_silent():
    presence = make_presence((0, 1, 2))
    assert presence.find_leader(9, 0.0) == make_address(0)
    presence.observe(make_address(1), 1, now=LEADER_SILENCE_S + 0.1)
    assert presence.find_leader(9, LEADER_SILENCE_S + 0.2) == make_address(1)
    to, is_full = presence.choose_state_receivers(
        make_state(9), 9, LEADER_SILENCE_S + 0.2
    )
    assert (to[0], is_full) == (make_address(1), True)


def test_agent_that_left_expires():
    presence = make_presence(range(1, 4))
    assert (
        len(
            presence.choose_presence_receivers(
                0, 4, [], PEER_EXPIRY_S + 1.0, leads=True
            )
        )
        == 0
    )


@pytest.mark.parametrize(
    ("silent_s", "believed"), [(0.1, False), (0.5, False), (0.7, True), (1.2, True)]
)
def test_claim_to_lead_is_accepted_when_the_leader_is_silent(silent_s, believed):
    """The leader fails while it holds its group, and the next agent takes over.

    Until the ranks send it their states, it can't release the pass, and all streams of
    the group pause. If only the link between the two is cut, the ranks still receive
    the leader's messages and stay with it.
    """
    presence = make_presence((0, 1))
    presence.observe(make_address(1), 1, now=silent_s, leads=True)
    expected = make_address(1 if believed else 0)
    assert presence.find_leader(9, silent_s) == expected
    presence.observe(make_address(0), 0, now=silent_s + 0.1)
    assert presence.find_leader(9, silent_s + 0.1) == make_address(0)


def test_new_leader_sends_presence_to_all_at_once():
    presence = make_presence(range(2, RANKS))
    for _ in range(3):
        presence.choose_presence_receivers(1, RANKS, [], 0.0, leads=False)
    assert (
        len(presence.choose_presence_receivers(1, RANKS, [], 0.0, leads=True))
        == RANKS - 2
    )

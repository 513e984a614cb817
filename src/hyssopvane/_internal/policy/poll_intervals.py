"""Define how often the agents of a group poll their ranks."""

MAX_STATE_AGE_S = 0.2
"""Age up to which a rank's state is fresh; agents send it every few hundredths of a
second.
"""

FRESH_POLLS = 2.5
"""The same limit in poll intervals, for groups whose agents poll less often.

The leader of a group must have fresh states of all ranks at one moment, and a message
may be lost: this allows for two polls and the transmission. With the time alone, a
group of more than 40 ranks was never complete, and no change of maps ever began.
"""

POLL_INTERVAL_S = 0.06
"""Least interval at which an agent polls its rank: about one pass."""

POLLS_PER_S = 512
"""Polls a second of all agents of a group, each of which sends the rank's state to the
leader.

The leader receives all of them. Groups of more than 30 ranks poll less often, so that
the work of the leader, and of all agents together, grows only with the number of
groups. With 64 ranks, each agent polls eight times a second: the load that entries know
is at most one poll of the rank's agent plus one of the leader old, a quarter of a
second.
"""


def get_poll_interval_s(ranks: int) -> float:
    """Return the interval at which each agent of a group of `ranks` ranks polls."""
    return max(POLL_INTERVAL_S, ranks / POLLS_PER_S)


def get_max_state_age_s(ranks: int) -> float:
    """Return the age up to which the state of a rank is fresh, in seconds."""
    return max(MAX_STATE_AGE_S, FRESH_POLLS * get_poll_interval_s(ranks))

"""Tell how often the agents of a group look at their ranks."""

MAX_STATE_AGE_S = 0.2
"""Age up to which a rank's state counts; agents tell it every few hundredths."""

FRESH_POLLS = 2.5
"""As above, in looks of the ranks' agents, for groups whose agents look less often.

The leader of a group must see all ranks fresh at one moment, and now and then a message
is lost: two looks and room for the way. With the time alone, a group of more than 40
ranks was never seen whole, and no change of maps ever began.
"""

POLL_INTERVAL_S = 0.06
"""Pause between two looks of an agent at its rank: about a pass."""

POLLS_PER_S = 512
"""Looks of all agents of a group, each of which tells the leader its rank's state.

The leader takes them all. Groups of more than 30 ranks look less often, so that its
work, and that of all agents together, grows with the number of groups only. With 64
ranks each looks eight times a second: what entries believe is at most a look of the
rank's agent and one of the leader old, a quarter of a second.
"""


def get_poll_interval_s(ranks: int) -> float:
    """Return the pause between two looks of an agent in a group of so many ranks."""
    return max(POLL_INTERVAL_S, ranks / POLLS_PER_S)


def get_max_state_age_s(ranks: int) -> float:
    """Return the age up to which the state of a rank counts."""
    return max(MAX_STATE_AGE_S, FRESH_POLLS * get_poll_interval_s(ranks))

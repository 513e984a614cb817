"""Define how often the agents of a group poll their ranks."""

from hyssopvane._internal.state.ranks import RankReport

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


IDLE_POLL_S = 0.2
"""Pause between two polls while the whole group is idle."""


def get_poll_interval_s(ranks: int) -> float:
    """Return the interval at which each agent of a group of `ranks` ranks polls."""
    return max(POLL_INTERVAL_S, ranks / POLLS_PER_S)


def get_max_load_age_s(ranks: int) -> float:
    """Return the age that the load of a rank on a working VM has at most at an entry.

    Its agent may pause while its group is idle, and the leader publishes after a poll.
    """
    return IDLE_POLL_S + 2 * get_poll_interval_s(ranks)


def get_max_state_age_s(ranks: int) -> float:
    """Return the age up to which the state of a rank is fresh, in seconds."""
    return max(MAX_STATE_AGE_S, FRESH_POLLS * get_poll_interval_s(ranks))


def choose_pause_s(report: RankReport, last_step: int | None) -> float:
    """Return the pause between two polls of a rank.

    `last_step` is the pass that the report before this one named, None if there was
    none. A rank without requests in a group that makes passes is polled like the
    others: until entries know of the first new request, all of them choose this rank,
    and as leader it publishes the loads of the whole group.
    """
    has_work = report.active or report.queued or report.held_step
    # All callers wait for the moment at which a closed group opens.
    if report.open and not has_work and report.step == last_step:
        return IDLE_POLL_S
    return get_poll_interval_s(report.ranks)

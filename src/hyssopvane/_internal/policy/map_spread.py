"""Send a new map to the agents of a group along a tree."""

from collections.abc import Mapping, Sequence

FAN_OUT = 3
"""Agents that one agent sends a map to.

A map of 64 ranks has 4 KB, a link of 3 Mbit/s takes 11 ms for it and keeps three of
them waiting: three levels bring it to 13 agents of a zone in about 60 ms.
"""


def split_by_zone(
    agents: Sequence[str], zones: Mapping[str, str]
) -> list[tuple[str, tuple[str, ...]]]:
    """Return one agent of each zone, and the others of its zone that it passes on to.

    Bytes between zones are paid for, and they cross the leader's own link.
    """
    by_zone: dict[str, list[str]] = {}
    for agent in agents:
        by_zone.setdefault(zones.get(agent, ""), []).append(agent)
    return [(first, tuple(others)) for first, *others in by_zone.values()]


def split_among(agents: Sequence[str]) -> list[tuple[str, tuple[str, ...]]]:
    """Return the agents to send to next, and those that each of them passes on to."""
    heads, rest = agents[:FAN_OUT], agents[FAN_OUT:]
    return [(head, tuple(rest[number::FAN_OUT])) for number, head in enumerate(heads)]

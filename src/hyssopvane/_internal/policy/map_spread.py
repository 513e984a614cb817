"""Distribute a new map to the agents of a group along a tree."""

from collections.abc import Mapping, Sequence

FAN_OUT = 3
"""Number of agents that one agent sends a map to.

A map of 64 ranks has 4 KB. A link of 3 Mbit/s takes 11 ms for it and queues three of
them. Three levels deliver it to the 13 agents of a zone in about 60 ms.
"""


def split_by_zone(
    agents: Sequence[str], zones: Mapping[str, str]
) -> list[tuple[str, tuple[str, ...]]]:
    """Return one agent of each zone, with the other agents of the zone to forward to.

    Traffic between zones is charged, and it uses the leader's own link.
    """
    by_zone: dict[str, list[str]] = {}
    for agent in agents:
        by_zone.setdefault(zones.get(agent, ""), []).append(agent)
    return [(first, tuple(others)) for first, *others in by_zone.values()]


def split_among(agents: Sequence[str]) -> list[tuple[str, tuple[str, ...]]]:
    """Return the next agents to send to, each with the agents that it forwards to."""
    heads, rest = agents[:FAN_OUT], agents[FAN_OUT:]
    return [(head, tuple(rest[number::FAN_OUT])) for number, head in enumerate(heads)]

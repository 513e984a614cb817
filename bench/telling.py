"""Measure the cost of publishing a group's load, by ranks, entries and zones."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from random import Random

from bench.output import parse_options, print_table, write_json
from hyssopvane._internal.protocol.group_messages import encode_message
from hyssopvane._internal.state.group import MapChange, Presence, RankState
from tests.lib.publishing_model import PublishingModel

SIZES = ((12, 3, 2), (24, 3, 5), (63, 3, 5), (64, 5, 7), (64, 14, 69))
"""Ranks of a group, zones, entries of a zone; the last one is the target's."""

SETTLE_S = 5.0
PLAY_S = 10.0


@dataclass(frozen=True, slots=True)
class Row:
    """Hold the costs of one size."""

    ranks: int
    entries: int
    zones: int
    leader_kb_per_s: float
    entry_kb_per_s: float
    age_p99_s: float
    short_state_bytes: int
    presence_bytes: int
    map_bytes: int


def main(arguments: Sequence[str]) -> int:
    """Measure each size in the model without sockets."""
    options = parse_options("telling", arguments)
    rows = [_measure(*size, seed=options.seed) for size in SIZES]
    print_table(rows)
    write_json(options.json, [asdict(row) for row in rows])
    return 0


def _measure(ranks: int, zones: int, by_zone: int, *, seed: int) -> Row:
    model = PublishingModel(
        Random(seed), ranks=ranks, zones=zones, entries_by_zone=by_zone
    )
    model.play(SETTLE_S)
    leader, entries = _count_sent(model)
    model.play(PLAY_S)
    leader_after, entries_after = _count_sent(model)
    ages = sorted(model.list_ages())
    return Row(
        ranks,
        zones * by_zone,
        zones,
        round((leader_after - leader) / PLAY_S / 1_000, 1),
        round((entries_after - entries) / PLAY_S / 1_000 / len(model.entries), 1),
        round(ages[int(0.99 * len(ages))], 3),
        *_measure_messages(ranks),
    )


def _count_sent(model: PublishingModel) -> tuple[int, int]:
    entries = sum(one.sent_bytes for one in model.entries)
    return model.leaders[0].sent_bytes, entries


def _measure_messages(ranks: int) -> tuple[int, int, int]:
    state = RankState(
        "", "", "", 3, ranks - 1, ranks, True, 3, 1, 900, 2**21, 2**21, 2**22, 910, 0
    )
    presence = Presence("10.9.0.1:7001", "group-1", 3, 1)
    experts = tuple(
        tuple(
            tuple((rank + place) % 256 for place in range(5)) for rank in range(ranks)
        )
        for _ in range(12)
    )
    change = MapChange("group-1", 3, 2**22, experts)
    return (
        len(encode_message(state)),
        len(encode_message(presence)),
        len(encode_message(change)),
    )

"""Test which answers come in too many parts."""

import pytest
import trio

from hyssopvane._internal.utils.part_meter import (
    MAX_INTERIM_ANSWERS,
    MAX_SMALL_PARTS,
    PARTS_IN_A_ROW,
    PartMeter,
    TooManyParts,
)


@pytest.mark.parametrize(
    ("sizes", "allowed"),
    [
        (MAX_SMALL_PARTS * [1], True),
        ((MAX_SMALL_PARTS + 1) * [1], False),
        (10 * MAX_SMALL_PARTS * [8], True),
        ([100_000] + MAX_SMALL_PARTS * [1], True),
        (2 * MAX_SMALL_PARTS * [7], False),
    ],
)
def test_answer_of_small_parts_fails_beyond_their_number(sizes, allowed):
    """Guard against short answers in single bytes, or long ones, that would fail."""
    meter = PartMeter()
    if allowed:
        for size in sizes:
            meter.record_part(size)
        return
    with pytest.raises(TooManyParts):
        for size in sizes:
            meter.record_part(size)


def test_interim_answers_are_bounded():
    meter = PartMeter()
    for _ in range(MAX_INTERIM_ANSWERS):
        meter.record_interim()
    with pytest.raises(TooManyParts):
        meter.record_interim()


def test_deadline_takes_effect_between_parts_that_need_no_waiting():
    """Guard against a task that passes its deadline while its buffer is not empty."""

    async def main():
        meter, parts = PartMeter(), 0
        with trio.CancelScope() as scope:
            scope.cancel()
            while parts < 10 * PARTS_IN_A_ROW:
                await meter.yield_to_others()
                parts += 1
        assert scope.cancelled_caught
        assert parts < PARTS_IN_A_ROW

    trio.run(main)

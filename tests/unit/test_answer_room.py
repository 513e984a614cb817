"""Test how much an entry holds of the answers that it is reading."""

import pytest

from hyssopvane._internal.policy.answer_room import AnswerRoom

MB = 1_000_000
LIMIT = 80 * MB
"""Of which 40 MB are for reading, 30 MB for a service and 10 MB for a replica."""


def open_answers(room, sizes):
    """Return answers of the given services and replicas, after they have grown."""
    answers = []
    for service, replica, size in sizes:
        answer = room.open(service, replica)
        room.grow(answer, size * MB)
        answers.append(answer)
    return answers


@pytest.mark.parametrize(
    ("sizes", "given_up"),
    [
        ([("a", "1", 16)], []),
        ([("a", "1", 4), ("a", "1", 5)], []),
        ([("a", "1", 5), ("a", "1", 6)], [1]),
        ([("a", "1", 9), ("a", "1", 2)], [0]),
        ([("a", "1", 9), ("a", "2", 9), ("a", "3", 9)], []),
        ([("a", "1", 9), ("a", "2", 10), ("a", "3", 9), ("a", "4", 3)], [1]),
        ([("a", "1", 9), ("b", "2", 10), ("a", "3", 9), ("c", "4", 13)], [3]),
    ],
)
def test_largest_answer_without_length_is_given_up(sizes, given_up):
    answers = open_answers(AnswerRoom(LIMIT), sizes)
    assert [i for i, one in enumerate(answers) if one.is_given_up] == given_up


@pytest.mark.parametrize(
    ("sizes", "announced", "has_room"),
    [
        ([], ("a", "1", 16), True),
        ([], ("a", "1", 90), True),
        ([("a", "1", 2)], ("a", "1", 8), True),
        ([("a", "1", 3)], ("a", "1", 8), False),
        ([("a", "1", 3)], ("a", "1", 0.06), True),
        ([("a", "1", 9), ("a", "2", 9)], ("a", "3", 13), False),
        ([("a", "1", 9), ("a", "2", 9)], ("b", "3", 22), True),
        ([("a", "1", 9), ("a", "2", 9)], ("b", "3", 23), False),
    ],
)
def test_answer_with_a_length_waits_for_room(sizes, announced, has_room):
    room = AnswerRoom(LIMIT)
    answers = open_answers(room, sizes)
    service, replica, size = announced
    answer = room.open(service, replica)
    assert room.reserve(answer, int(size * MB)) == has_room
    for one in answers:
        room.close(one)
    assert room.reserve(answer, int(size * MB))


@pytest.mark.parametrize(
    ("sizes", "announced", "crowded"),
    [
        ([], [16, 16], []),
        ([("a", "1", 9)], [], []),
        ([("a", "1", 9), ("a", "2", 9)], [], ["a"]),
        ([("a", "1", 9), ("b", "2", 9)], [9], []),
    ],
)
def test_new_requests_are_refused_only_for_the_service_that_grows(
    sizes, announced, crowded
):
    room = AnswerRoom(LIMIT)
    open_answers(room, sizes)
    for size in announced:
        room.reserve(room.open("a", "9"), size * MB)
    assert [name for name in ("a", "b") if room.is_crowded(name)] == crowded


def test_answer_with_a_length_is_not_given_up_for_one_without():
    room = AnswerRoom(LIMIT)
    announced, growing = room.open("a", "1"), room.open("a", "1")
    assert room.reserve(announced, 9 * MB)
    assert room.grow(growing, 2 * MB) == [growing]
    assert room.grow(room.open("a", "1"), 50_000) == []

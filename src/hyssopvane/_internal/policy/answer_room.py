"""Bound what an entry holds of the answers that it is still reading.

A plain answer is read whole before it is sent. The bound on each answer does not bound
all of them together, and an answer that grows without end must not take the room of
requests for other services.
"""

from collections.abc import Iterable
from dataclasses import dataclass

READING_SHARE = 0.5
"""Share of the bytes that an entry may hold for the answers that it is reading."""

SERVICE_SHARE = 0.75
"""Share of that for the answers of one service."""

REPLICA_SHARE = 0.25
"""Share of that for the answers of one replica."""

CROWDED_SHARE = 0.5
"""Share of a service's bytes from which its new requests are refused."""

SMALL_ANSWER_BYTES = 64 * 1024
"""Announced length up to which an answer is read without waiting for room."""


@dataclass(slots=True, eq=False)
class GrowingAnswer:
    """Hold the size of an answer that is being read."""

    service: str
    replica: str
    size: int = 0
    """Bytes that were read, or the announced length."""
    is_announced: bool = False
    """Whether its length is announced, so that it can't grow beyond it."""
    is_given_up: bool = False


class AnswerRoom:
    """Share the room for answers among services and replicas.

    One answer of each may always be read, whatever its size. An answer with a length
    waits for room. One without a length takes what it needs, and the largest one is
    given up where there is too much.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = int(limit_bytes * READING_SHARE)
        self._answers: set[GrowingAnswer] = set()

    def open(self, service: str, replica: str) -> GrowingAnswer:
        """Add an answer of which nothing was read yet."""
        answer = GrowingAnswer(service, replica)
        self._answers.add(answer)
        return answer

    def close(self, answer: GrowingAnswer) -> None:
        """Release the room of an answer."""
        self._answers.discard(answer)

    def reserve(self, answer: GrowingAnswer, size: int) -> bool:
        """Take room for an answer of an announced length; return whether there is."""
        if size > SMALL_ANSWER_BYTES:
            for members, limit in self._list_scopes(answer):
                used = sum(one.size for one in members if one is not answer)
                if used and used + size > limit:
                    return False
        answer.size, answer.is_announced = size, True
        return True

    def grow(self, answer: GrowingAnswer, size: int) -> list[GrowingAnswer]:
        """Set the size of an answer without a length; return those to give up."""
        is_small = max(size, answer.size) <= SMALL_ANSWER_BYTES
        answer.size = size
        if is_small:
            return []
        given_up = []
        for members, limit in self._list_scopes(answer):
            growing = [one for one in members if one.size and not one.is_given_up]
            used = sum(one.size for one in growing)
            while used > limit and len(growing) > 1:
                unbounded = [one for one in growing if not one.is_announced]
                if not unbounded:
                    break
                largest = max(unbounded, key=lambda one: one.size)
                largest.is_given_up = True
                given_up.append(largest)
                growing.remove(largest)
                used -= largest.size
        return given_up

    def is_crowded(self, service: str) -> bool:
        """Return whether answers without a length leave a service too little room."""
        limit = self.limit_bytes * SERVICE_SHARE * CROWDED_SHARE
        growing = (
            one.size
            for one in self._answers
            if one.service == service and not one.is_announced
        )
        return sum(growing) > limit

    def _list_scopes(
        self, answer: GrowingAnswer
    ) -> Iterable[tuple[list[GrowingAnswer], float]]:
        """Return the answers that share each bound with an answer, narrowest first."""
        everything = list(self._answers)
        of_service = [one for one in everything if one.service == answer.service]
        of_replica = [one for one in of_service if one.replica == answer.replica]
        return (
            (of_replica, self.limit_bytes * REPLICA_SHARE),
            (of_service, self.limit_bytes * SERVICE_SHARE),
            (everything, self.limit_bytes),
        )

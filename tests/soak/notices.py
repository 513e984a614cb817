"""Remember what replicas said of themselves, and check who went on sending to them."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.callers import Call

HEARD_S = 0.5
"""Time after an answer from which a rest that it asks for is to be kept."""

MOST_IN_REST = 2
"""Requests that an entry may send to a replica within one rest."""

DRAIN_S = 2.0
"""Time after which a replica that said that it leaves gets nothing new."""

LEAVING_HEADER = b"Server-Leaving: 1\r\n"


class LeavingStream:
    """Add to each answer that its replica leaves."""

    def __init__(self, stream: object) -> None:
        self._stream = stream

    def __getattr__(self, name: str) -> object:
        return getattr(self._stream, name)

    async def send_all(self, data: bytes) -> None:
        """Send a part of an answer, with the header behind its first line."""
        if data.startswith(b"HTTP/1.1"):
            line, end, rest = data.partition(b"\r\n")
            data = line + end + LEAVING_HEADER + rest
        await self._stream.send_all(data)  # type: ignore[attr-defined]


@dataclass(frozen=True)
class Seen:
    """Hold a request that reached a replica, or an answer that said something."""

    replica: str
    request_id: str
    at: float
    rest_s: float = 0.0
    """Time for which the answer asks for rest."""


@dataclass
class Notices:
    """Hold what replicas have seen and said over a run."""

    arrivals: list[Seen] = field(default_factory=list)
    rests: list[Seen] = field(default_factory=list)
    leavings: list[Seen] = field(default_factory=list)

    def check(
        self,
        calls: "Iterable[Call]",
        *,
        is_excused: Callable[[str, float, float], bool],
        late_s: float,
    ) -> list[str]:
        """Return what went to replicas against their word.

        `is_excused` tells whether an entry was stopped in a span of time.
        """
        sent = {call.id: call for call in calls}
        reached: dict[str, list[tuple[Seen, Call]]] = defaultdict(list)
        for one in self.arrivals:
            if one.request_id in sent:
                reached[one.replica].append((one, sent[one.request_id]))
        broken = []
        for word in self.rests:
            told = sent.get(word.request_id)
            until = word.at + word.rest_s
            if told is None or is_excused(told.entry, word.at, until):
                continue
            against = [
                one.request_id
                for one, call in reached[word.replica]
                if _is_same_start(told, call)
                and word.at + HEARD_S + late_s < one.at < until
            ]
            if len(against) > MOST_IN_REST:
                broken.append(f"{told.entry} sent {against} into {word}")
        for word in self.leavings:
            told = sent.get(word.request_id)
            if told is None or not told.whole:
                continue
            for one, call in reached[word.replica]:
                if not _is_same_start(told, call) or is_excused(
                    told.entry, word.at, one.at
                ):
                    continue
                if call.sent_at > word.at + DRAIN_S + late_s:
                    broken.append(f"{told.entry} sent {one.request_id} after {word}")
        return broken


def _is_same_start(told: "Call", call: "Call") -> bool:
    return (told.entry, told.starts) == (call.entry, call.starts)

"""Remember what replicas said of themselves, and check who went on sending to them."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.callers import Call

BACKOFF_GRACE_S = 0.5
"""Time after an answer from which a rest that it asks for is to be kept."""

MAX_REQUESTS_IN_BACKOFF = 2
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
class Observation:
    """Hold a request that reached a replica, or an answer that said something."""

    replica: str
    request_id: str
    at: float
    backoff_s: float = 0.0
    """Time for which the answer asks for rest."""


@dataclass
class Notices:
    """Hold what replicas have seen and said over a run."""

    arrivals: list[Observation] = field(default_factory=list)
    backoffs: list[Observation] = field(default_factory=list)
    leaving_reports: list[Observation] = field(default_factory=list)

    def check(
        self,
        calls: "Iterable[Call]",
        *,
        is_excused: Callable[[str, float, float], bool],
        late_tolerance_s: float,
    ) -> list[str]:
        """Return what went to replicas against their word.

        `is_excused` tells whether an entry was stopped in a span of time.
        """
        sent = {call.id: call for call in calls}
        reached: dict[str, list[tuple[Observation, Call]]] = defaultdict(list)
        for arrival in self.arrivals:
            if arrival.request_id in sent:
                reached[arrival.replica].append((arrival, sent[arrival.request_id]))
        violations = []
        for notice in self.backoffs:
            notified = sent.get(notice.request_id)
            until = notice.at + notice.backoff_s
            if notified is None or is_excused(notified.entry, notice.at, until):
                continue
            violating = [
                arrival.request_id
                for arrival, call in reached[notice.replica]
                if _is_same_start(notified, call)
                and notice.at + BACKOFF_GRACE_S + late_tolerance_s < arrival.at < until
            ]
            if len(violating) > MAX_REQUESTS_IN_BACKOFF:
                violations.append(f"{notified.entry} sent {violating} into {notice}")
        for notice in self.leaving_reports:
            notified = sent.get(notice.request_id)
            if notified is None or not notified.whole:
                continue
            for arrival, call in reached[notice.replica]:
                if not _is_same_start(notified, call) or is_excused(
                    notified.entry, notice.at, arrival.at
                ):
                    continue
                if call.sent_at > notice.at + DRAIN_S + late_tolerance_s:
                    violations.append(
                        f"{notified.entry} sent {arrival.request_id} after {notice}"
                    )
        return violations


def _is_same_start(notified: "Call", call: "Call") -> bool:
    return (notified.entry, notified.starts) == (call.entry, call.starts)

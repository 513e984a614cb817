"""Record notices of replicas, and check that entries follow them."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.callers import Call

BACKOFF_GRACE_S = 0.5
"""Time after an answer from which the back-off that it requests must be kept."""

MAX_REQUESTS_IN_BACKOFF = 2
"""Number of requests that an entry may send to a replica within one back-off."""

DRAIN_S = 2.0
"""Time after which a replica that reported leaving gets no new requests."""

LEAVING_HEADER = b"Server-Leaving: 1\r\n"


class LeavingStream:
    """Add the header that reports leaving to each answer."""

    def __init__(self, stream: object) -> None:
        self._stream = stream

    def __getattr__(self, name: str) -> object:
        return getattr(self._stream, name)

    async def send_all(self, data: bytes) -> None:
        """Send a part of an answer; insert the header after the status line."""
        if data.startswith(b"HTTP/1.1"):
            line, end, rest = data.partition(b"\r\n")
            data = line + end + LEAVING_HEADER + rest
        await self._stream.send_all(data)  # type: ignore[attr-defined]


@dataclass(frozen=True)
class Observation:
    """Record a request that reached a replica, or an answer that carried a notice."""

    replica: str
    request_id: str
    at: float
    backoff_s: float = 0.0
    """Length of the back-off that the answer requests."""


@dataclass
class Notices:
    """Record the requests and the notices of all replicas over a run."""

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
        """Return a description of each violation of a notice.

        `is_excused` tells whether an entry was stopped, killed or paused in a span.
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
                violations.append(
                    f"{notified.entry} sent {violating} during the back-off of {notice}"
                )
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

"""Detect requests that crash each replica that runs them."""

from collections import OrderedDict
from dataclasses import dataclass, field

from hyssopvane._internal.state.routing import Incarnation

BAN_AFTER = 3
"""Number of lost replicas after which a request is refused.

A group that fails takes down all requests that run on it, so one or two losses may be
coincidence.
"""

BAN_S = 60.0
WINDOW_S = 30.0
_MAX_KNOWN = 10_000
"""Maximum number of tracked requests; far more than fail at the same time."""


@dataclass(slots=True)
class _Losses:
    replicas: dict[Incarnation, float] = field(default_factory=dict)
    banned_until: float = float("-inf")


class CrashSuspects:
    """Track which requests were running when a replica was lost.

    This stops a request that crashes its replica and that its caller sends again. Each
    repeat goes to another replica and takes down its group and all other requests
    there. The body, path and customer stay the same, so their fingerprint identifies
    the request.
    """

    def __init__(self) -> None:
        self._losses: OrderedDict[bytes, _Losses] = OrderedDict()

    def record_loss(self, fingerprint: bytes, lost: Incarnation, *, now: float) -> int:
        """Record that a replica was lost while it ran a request; return the count.

        A replica that restarts under the same id and is lost again counts again.
        """
        losses = self._losses.setdefault(fingerprint, _Losses())
        self._losses.move_to_end(fingerprint)
        if len(self._losses) > _MAX_KNOWN:
            self._losses.popitem(last=False)
        losses.replicas = {
            one: at for one, at in losses.replicas.items() if now - at < WINDOW_S
        }
        losses.replicas[lost] = now
        if len(losses.replicas) >= BAN_AFTER:
            losses.banned_until = now + BAN_S
        return len(losses.replicas)

    def is_banned(self, fingerprint: bytes, *, now: float) -> bool:
        """Return whether a request is refused."""
        losses = self._losses.get(fingerprint)
        return losses is not None and now < losses.banned_until

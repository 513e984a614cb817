"""Find requests that crash each replica that runs them."""

from collections import OrderedDict
from dataclasses import dataclass, field

from hyssopvane._internal.state.routing import Incarnation

BAN_AFTER = 3
"""Lost replicas after which a request is sent no more.

A group that breaks takes down all that runs on it, so one or two losses may be chance.
"""

BAN_S = 60.0
WINDOW_S = 30.0
_MAX_KNOWN = 10_000
"""Requests that are remembered; far more than fail at once."""


@dataclass(slots=True)
class _Losses:
    replicas: dict[Incarnation, float] = field(default_factory=dict)
    banned_until: float = float("-inf")


class CrashSuspects:
    """Remember which request was running when a replica broke off.

    Made for a request that kills its replica and whose caller sends it again. Each
    repeat takes another replica, and with it a group and the work of all others there.
    Its body, path and customer stay the same, so it is known by them.
    """

    def __init__(self) -> None:
        self._losses: OrderedDict[int, _Losses] = OrderedDict()

    def note_loss(self, fingerprint: int, lost: Incarnation, *, now: float) -> None:
        """Take note that a replica was lost while it ran a request.

        A replica that comes back under its id and is lost again counts again.
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

    def is_banned(self, fingerprint: int, *, now: float) -> bool:
        """Tell whether a request is refused."""
        losses = self._losses.get(fingerprint)
        return losses is not None and now < losses.banned_until

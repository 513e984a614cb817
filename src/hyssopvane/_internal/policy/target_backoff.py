"""Track how long the target of an agent wants no requests."""

from math import inf

from hyssopvane._internal.policy.replica_notices import MAX_BACKOFF_S


class TargetBackoff:
    """Track until when a target has asked for no requests.

    Only this agent sends to the target, so its back-off applies to all entries. A
    restart of the target behind the same agent is not detected.
    """

    def __init__(self) -> None:
        self._until = -inf

    def record(self, backoff_s: float, *, now: float) -> bool:
        """Record the back-off that an answer asks for; return whether one begins.

        A shorter back-off doesn't shorten a longer one.
        """
        is_new = not self.measure_remaining_s(now)
        self._until = max(self._until, now + min(backoff_s, MAX_BACKOFF_S))
        return is_new and self.measure_remaining_s(now) > 0

    def measure_remaining_s(self, now: float) -> float:
        """Return the remaining time of the back-off in seconds, 0 if there is none."""
        return max(0.0, self._until - now)

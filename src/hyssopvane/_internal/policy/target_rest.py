"""Keep the time for which the target beside an agent wants no requests."""

from math import inf

from hyssopvane._internal.policy.replica_notices import MAX_PAUSE_S


class TargetRest:
    """Hold until when a target wants no requests.

    The agent is the only one that sends to the target, so what it keeps to binds all
    entries. A target that starts anew beside the same agent is not told apart.
    """

    def __init__(self) -> None:
        self._until = -inf

    def note(self, rest_s: float, *, now: float) -> bool:
        """Take what an answer asks for; tell whether nothing was asked for before.

        A shorter time takes nothing back from a longer one.
        """
        is_new = not self.measure_left_s(now)
        self._until = max(self._until, now + min(rest_s, MAX_PAUSE_S))
        return is_new and self.measure_left_s(now) > 0

    def measure_left_s(self, now: float) -> float:
        """Return the time for which the target still wants no requests."""
        return max(0.0, self._until - now)

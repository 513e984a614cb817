"""Compute how many requests a group can run before its pauses become too long."""

from math import inf

from hyssopvane._internal.policy.move_worth import COPY_SLOWDOWN
from hyssopvane._internal.state.loads import RankLoad
from hyssopvane._internal.state.routing import EngineModel

PAUSE_SHARE = 0.75
"""Fraction of the allowed pause that a pass may take on average under the current
demand.

Passes vary: reading a long prompt adds a chunk to each step, and an event takes time to
reach its reader. The rest of the pause allows for that.
"""

WORST_PAUSE_SHARE = 0.95
"""Fraction of the allowed pause that a pass may take right after demand has shifted.

A stream lasts for some two dozen passes, and a single pass that is too long makes it
late. Demand shifts to other experts every few seconds. Until the map follows, each
request costs about twice as much, and requests that are already admitted can't be sent
back.
"""

SHIFTED_SKEW = 3.2
"""Busiest rank divided by the mean after a shift of demand. Some of what the last map
has spread is still useful.
"""

REQUEST_SKEW = 1.5
"""Requests of the fullest rank divided by the mean; arrivals are uneven."""

PROMPT_SKEW = 3.0
"""Prompt tokens of the rank that reads the most in a pass, divided by the mean: a pass
reads about one prompt per rank, and entries place prompts without knowing of each
other's.
"""

_LEAST_SHARE = 0.01
"""Share of the experts' work below which their skew can't be derived from a pass."""

_SMOOTHING = 0.25
_MIN_REQUESTS = 12
"""Requests below which a pass says too little about the cost of each request."""


class PassModel:
    """Measure the time that each request adds to a group's pass.

    In each pass, all ranks of a group wait for the slowest one, so the time of a pass
    grows with all requests of the group. The time that a request adds depends on the
    map of the experts and on the callers' prompts; it is measured, not computed.
    """

    def __init__(self) -> None:
        self.pause_s = 0.12
        self.open_share = 1.0
        """Share of the ranks' slots that may be used; above 0."""
        self.pass_s = 0.0
        self._active = 0.0
        self._ranks = 1

    def observe(self, load: RankLoad, *, active: int, members: int = 1) -> None:
        """Apply the pass time measured by `members` ranks, and the requests of all
        ranks.
        """
        self._ranks = load.ranks
        if load.pass_s <= 0:
            return
        if not self.pass_s:
            self.pass_s, self._active = load.pass_s, float(active)
        # Both are smoothed at the same rate. The measured pass still contains requests
        # that have just left, which would make each remaining request look more
        # expensive than it is.
        weight = 1 - (1 - _SMOOTHING / load.ranks) ** members
        self.pass_s += weight * (load.pass_s - self.pass_s)
        self._active += weight * (active - self._active)

    def get_limit(
        self, engine: EngineModel, *, members: int, copies: bool = True
    ) -> float:
        """Return the maximum number of requests of all ranks together.

        It leaves room for passes in which experts are copied, if `copies`.

        Each rank may always have one. While no pass has been measured, the time that a
        request adds is estimated from the engine's figures and a map that does not fit
        the demand. A fixed initial limit would refuse callers of a large group until
        its first passes are seen, and would let the streams of a small group stall.
        """
        ranks = max(self._ranks, members)
        least = max(1.0, ranks * self.open_share)
        shifted_s = self._estimate_shifted(engine, ranks)
        if not shifted_s:
            return inf
        fixed_s = engine.steps_per_pass * engine.step_s
        added_s = self._measure_added(engine) or shifted_s
        current_limit = (self.pause_s * PAUSE_SHARE - fixed_s) / added_s
        # After a shift, the ranks copy experts for the next map while passes are long.
        copies = copies and engine.layout is not None
        slowdown = 1 + COPY_SLOWDOWN if copies else 1.0
        worst_s = self.pause_s * WORST_PAUSE_SHARE / slowdown
        shifted_limit = (worst_s - fixed_s) / shifted_s
        return max(least, min(current_limit, shifted_limit))

    def estimate_added_s(self, engine: EngineModel) -> float:
        """Return the time that a request adds to a pass."""
        measured_s = self._measure_added(engine)
        return measured_s or self._estimate_shifted(engine, self._ranks)

    def measure_read_tokens(self, engine: EngineModel) -> float:
        """Return the prompt tokens that the group may begin to read in a pass.

        Many prompts can arrive at once: after a crash, all streams of a group return
        with their prompts, and a burst or a shift of demand brings prompts while passes
        are long anyway. Reading them makes the pass longer than the pause that the
        readers of running streams accept, for all streams at once. Spread over a few
        passes, the prompts are still in time.

        If passes are longer than the pause anyway, every running stream is already
        late. Holding prompts back would help no stream and only cause their callers to
        be refused.
        """
        if self.pass_s > self.pause_s:
            return inf
        share = 0.0 if engine.layout is None else engine.layout.work_share
        # Prompts that arrive together go to different ranks, which read them in
        # parallel: for the work that a rank does alone, the fullest rank counts.
        alone = (1 - share) * PROMPT_SKEW / self.open_share
        busiest = (alone + share * self._estimate_skew(engine)) / self._ranks
        fixed_s = engine.steps_per_pass * engine.step_s
        left_s = self.pause_s * WORST_PAUSE_SHARE - max(self.pass_s, fixed_s)
        # A minimum is always read, since passes become shorter only as requests start
        # and end.
        left_s = max(left_s, self.pause_s * (1 - WORST_PAUSE_SHARE))
        return left_s * engine.read_tokens_per_s / busiest

    def reset(self) -> None:
        """Discard the measured passes, because the group was formed anew with the first
        map.
        """
        self.pass_s = self._active = 0.0

    def _estimate_skew(self, engine: EngineModel) -> float:
        """Return the skew that explains the measured cost of a request."""
        added_s = self._measure_added(engine)
        if added_s is None or engine.layout is None or not engine.per_request_s:
            return SHIFTED_SKEW
        share = engine.layout.work_share
        even_s = engine.steps_per_pass * engine.per_request_s / self._ranks
        skew = (added_s / even_s - (1 - share) * REQUEST_SKEW) / max(
            share, _LEAST_SHARE
        )
        return min(SHIFTED_SKEW, max(1.0, skew))

    def _measure_added(self, engine: EngineModel) -> float | None:
        fixed_s = engine.steps_per_pass * engine.step_s
        if self.pass_s <= fixed_s or self._active < _MIN_REQUESTS:
            return None
        return (self.pass_s - fixed_s) / self._active

    def _estimate_shifted(self, engine: EngineModel, ranks: int) -> float:
        """Return the time that a request adds while no map follows the demand."""
        share = 0.0 if engine.layout is None else engine.layout.work_share
        alone = (1 - share) * REQUEST_SKEW / self.open_share
        busiest = alone + share * SHIFTED_SKEW
        return engine.steps_per_pass * engine.per_request_s * busiest / ranks

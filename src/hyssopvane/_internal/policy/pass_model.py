"""Tell how many requests a group can work on before its pauses grow too long."""

from math import inf

from hyssopvane._internal.state.loads import RankLoad
from hyssopvane._internal.state.routing import EngineModel

PAUSE_SHARE = 0.75
"""Part of the allowed pause that a pass may take on the mean, as things are now.

Passes vary: reading a long prompt adds a chunk to each step, and an event has to reach
its reader. The rest is room for that.
"""

WORST_PAUSE_SHARE = 0.95
"""Part of the allowed pause that a pass may take when demand has just moved on.

A stream lasts for some two dozen passes, and one that is too long makes it late. Demand
moves to other experts every few seconds; until the map follows, each request costs
about twice as much, and what has been admitted by then can't be sent back.
"""

SHIFTED_SKEW = 3.2
"""Busiest rank against the mean when demand has moved on: some of what the last map has
spread is still of use."""

REQUEST_SKEW = 1.5
"""Requests of the fullest rank against the mean; arrivals are not even."""

PROMPT_SKEW = 3.0
"""Prompt tokens of the rank that reads most in a pass against the mean: a pass reads
about one prompt a rank, and entries place them without knowing of each other's."""

_LEAST_SHARE = 0.01
"""Share of the experts' work below which their skew can't be told from a pass."""

_SMOOTHING = 0.25
_MIN_REQUESTS = 12
"""Requests below which a pass tells too little about what each one adds."""


class PassModel:
    """Learn the time that each request adds to a group's pass.

    All ranks of a group wait for the slowest one in each pass, so the time of a pass
    grows with all requests of the group. What each adds depends on the map of the
    experts and on what callers ask; it is measured, not computed.
    """

    def __init__(self) -> None:
        self.pause_s = 0.12
        self.pass_s = 0.0
        self._active = 0.0
        self._ranks = 1

    def observe(self, load: RankLoad, *, active: int, members: int = 1) -> None:
        """Take ranks' measure of the pass, and the requests of all ranks."""
        self._ranks = load.ranks
        if load.pass_s <= 0:
            return
        if not self.pass_s:
            self.pass_s, self._active = load.pass_s, float(active)
        # Both follow at the same pace: requests that have just left are still in the
        # measured pass, and would make each of the others look dearer than it is.
        weight = 1 - (1 - _SMOOTHING / load.ranks) ** members
        self.pass_s += weight * (load.pass_s - self.pass_s)
        self._active += weight * (active - self._active)

    def get_limit(self, engine: EngineModel, *, members: int) -> float:
        """Return the requests that all ranks together may have.

        Each rank may always have one. While nothing is known of the passes, what a
        request adds follows from the engine's figures and from a map that does not fit
        the demand. A fixed first limit refuses callers of a large group until its first
        passes are seen, and lets a small one stutter.
        """
        ranks = max(self._ranks, members)
        shifted_s = self._estimate_shifted(engine, ranks)
        if not shifted_s:
            return inf
        fixed_s = engine.steps_per_pass * engine.step_s
        added_s = self._measure_added(engine) or shifted_s
        current_limit = (self.pause_s * PAUSE_SHARE - fixed_s) / added_s
        shifted_limit = (self.pause_s * WORST_PAUSE_SHARE - fixed_s) / shifted_s
        return max(float(ranks), min(current_limit, shifted_limit))

    def measure_read_tokens(self, engine: EngineModel) -> float:
        """Return the prompt tokens that the group may begin to read in a pass.

        Made for many prompts at once: after a crash all streams of a group come back
        with their prompts, and a burst or a shift of demand brings them while passes
        are long anyway. Reading them makes the pass longer than the pause that every
        reader of a running stream allows, for all of these at once. Spread over a few
        passes they are still in time.

        Where passes are longer than the pause anyway, every running stream is late.
        Then holding prompts back helps nobody, and their callers are only refused.
        """
        if self.pass_s > self.pause_s:
            return inf
        share = 0.0 if engine.layout is None else engine.layout.work_share
        # Prompts that come together go to different ranks, which read them side by
        # side: what a rank does alone counts for the fullest of them.
        alone = (1 - share) * PROMPT_SKEW
        busiest = (alone + share * self._estimate_skew(engine)) / self._ranks
        fixed_s = engine.steps_per_pass * engine.step_s
        left_s = self.pause_s * WORST_PAUSE_SHARE - max(self.pass_s, fixed_s)
        # A little is always read: passes grow shorter only as requests come and go.
        left_s = max(left_s, self.pause_s * (1 - WORST_PAUSE_SHARE))
        return left_s * engine.read_tokens_per_s / busiest

    def reset(self) -> None:
        """Forget the passes so far: the group was formed anew, with the first map."""
        self.pass_s = self._active = 0.0

    def _estimate_skew(self, engine: EngineModel) -> float:
        """Return the skew that makes requests as dear as they are measured to be."""
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
        """Return what a request adds while no map follows the demand."""
        share = 0.0 if engine.layout is None else engine.layout.work_share
        busiest = (1 - share) * REQUEST_SKEW + share * SHIFTED_SKEW
        return engine.steps_per_pass * engine.per_request_s * busiest / ranks

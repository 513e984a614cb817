"""Simulate how one rank handles orders and switches its expert map."""

from dataclasses import dataclass
from enum import StrEnum

MAX_STAGED_MAPS = 2
"""Maps whose weights fit in memory in addition to those of the map in use."""


class OrderKind(StrEnum):
    """List the kinds of orders to an engine."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    LOAD_VERSION = "load-version"
    CHANGE_ROLE = "change-role"
    STAGE = "stage"
    ARM = "arm"
    DECIDE = "decide"
    ABORT = "abort"


class OrderRefusal(StrEnum):
    """List the reasons for refusing an order."""

    OLD_FENCE = "old-fence"
    NOT_STAGED = "not-staged"
    STEP_PASSED = "step-passed"
    NOT_ARMED = "not-armed"
    OTHER_MAP_ARMED = "other-map-armed"
    ALREADY_DECIDED = "already-decided"
    NO_MEMORY = "no-memory"


@dataclass(frozen=True, slots=True)
class Order:
    """Represent an order to an engine to change what it runs."""

    kind: OrderKind
    fence: int
    value: str
    """Name of the model, adapter, version, role or expert map."""
    weights_bytes: int = 0
    step: int = 0
    """First step that uses the armed map."""


@dataclass(frozen=True, slots=True)
class ArmedMap:
    """Hold the map that is armed and the step from which it is used."""

    map: str
    step: int
    decided: bool = False


class ExpertRank:
    """Count steps and switch the expert map at the decided step.

    A rank that starts without a map, as after a restart, runs no step until it
    receives one with a decision.
    """

    def __init__(self, expert_map: str, *, checks_fence: bool) -> None:
        self.step = 0
        self.map = expert_map
        self.staged: dict[str, int] = {}
        self.armed: ArmedMap | None = None
        self.highest_fence = 0
        self.loaded: dict[OrderKind, str] = {}
        self.accepted: list[Order] = []
        self._checks_fence = checks_fence

    def apply_order(self, order: Order) -> OrderRefusal | None:
        """Apply an order, or return the reason for its refusal."""
        if self._checks_fence and order.fence < self.highest_fence:
            return OrderRefusal.OLD_FENCE
        self.highest_fence = max(self.highest_fence, order.fence)
        refusal = self._apply_by_kind(order)
        if refusal is None:
            self.accepted.append(order)
        return refusal

    def advance_step(self) -> bool:
        """Begin the next step; return false if it must wait for a decision."""
        if self._must_wait(self.step + 1):
            return False
        self.step += 1
        self._switch_map()
        return True

    def skip_steps(self, steps: int) -> None:
        """Advance by several steps, stopping before one that must wait."""
        if not self.map:
            return
        target = self.step + steps
        if self._must_wait(target) and self.armed is not None:
            target = self.armed.step - 1
        self.step = target
        self._switch_map()

    def _must_wait(self, step: int) -> bool:
        if not self.map:
            # A restarted rank runs no step until it receives its map.
            return True
        # Without the wait, this rank would use the old map in a step in which ranks
        # that have received the decision use the new one.
        armed = self.armed
        return armed is not None and not armed.decided and step >= armed.step

    def _switch_map(self) -> None:
        armed = self.armed
        if armed is None or not armed.decided or self.step < armed.step:
            return
        self.map = armed.map
        self.staged.pop(armed.map, None)
        self.armed = None

    def _apply_by_kind(self, order: Order) -> OrderRefusal | None:
        match order.kind:
            case OrderKind.STAGE:
                return self._stage(order)
            case OrderKind.ARM:
                return self._arm(order)
            case OrderKind.DECIDE:
                return self._decide(order)
            case OrderKind.ABORT:
                return self._abort(order)
            case _:
                self.loaded[order.kind] = order.value
                return None

    def _stage(self, order: Order) -> OrderRefusal | None:
        if order.value not in self.staged and len(self.staged) >= MAX_STAGED_MAPS:
            return OrderRefusal.NO_MEMORY
        self.staged[order.value] = order.weights_bytes
        return None

    def _arm(self, order: Order) -> OrderRefusal | None:
        if order.value not in self.staged:
            return OrderRefusal.NOT_STAGED
        if order.step <= self.step:
            return OrderRefusal.STEP_PASSED
        requested = ArmedMap(order.value, order.step)
        if self.armed is not None and self.armed != requested:
            return OrderRefusal.OTHER_MAP_ARMED
        self.armed = requested
        return None

    def _decide(self, order: Order) -> OrderRefusal | None:
        if not self.map and (self.armed is None or self.armed.map != order.value):
            return self._activate(order.value)
        if self.armed is None:
            # Repeating a decision that has been applied is not an error.
            return None if self.map == order.value else OrderRefusal.NOT_ARMED
        if self.armed.map != order.value:
            return OrderRefusal.OTHER_MAP_ARMED
        self.armed = ArmedMap(self.armed.map, self.armed.step, decided=True)
        return None

    def _activate(self, expert_map: str) -> OrderRefusal | None:
        if expert_map not in self.staged:
            return OrderRefusal.NOT_STAGED
        self.map = expert_map
        del self.staged[expert_map]
        return None

    def _abort(self, order: Order) -> OrderRefusal | None:
        if self.armed is not None and self.armed.map == order.value:
            if self.armed.decided:
                return OrderRefusal.ALREADY_DECIDED
            self.armed = None
        self.staged.pop(order.value, None)
        return None

"""Repeat calls of the store whose answers are late, and use the late answers, too."""

from collections.abc import Awaitable, Callable, Sequence
from math import inf
from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class PendingCalls(Generic[T]):
    """Hold the calls that are not answered yet, and return their outcomes in order."""

    def __init__(
        self, nursery: trio.Nursery, *, errors: tuple[type[Exception], ...]
    ) -> None:
        self._nursery = nursery
        self._errors = errors
        """Errors that are returned as an outcome."""
        self._send, self._outcomes = trio.open_memory_channel[T | Exception](inf)
        self.pending = 0
        self.started_at = 0.0
        """Time at which the last call was started."""

    def start(self, call: Callable[[], Awaitable[T]]) -> None:
        """Start a call."""
        self.pending += 1
        self.started_at = trio.current_time()
        self._nursery.start_soon(self._run, call)

    async def receive(self, *, until: float = inf) -> T | None:
        """Return the next answer, None if there is none in time; raise its error."""
        with trio.move_on_at(until):
            outcome = await self._outcomes.receive()
            self.pending -= 1
            if isinstance(outcome, Exception):
                raise outcome
            return outcome
        return None

    async def _run(self, call: Callable[[], Awaitable[T]]) -> None:
        try:
            outcome: T | Exception = await call()
        except self._errors as error:
            outcome = error
        self._send.send_nowait(outcome)


async def read_first(
    call: Callable[[], Awaitable[T]],
    repeats: Sequence[float],
    *,
    errors: tuple[type[Exception], ...],
) -> T:
    """Return the first answer of a call, which is repeated while there is none.

    `repeats` are times after the start. Raise the last error if no call is answered.
    """
    now = trio.current_time()
    due = [now + after_s for after_s in repeats]
    async with trio.open_nursery() as nursery:
        calls = PendingCalls[T](nursery, errors=errors)
        calls.start(call)
        found: T | None = None
        failure: Exception | None = None
        while found is None and calls.pending:
            try:
                found = await calls.receive(until=due[0] if due else inf)
            except errors as error:
                failure = error
                continue
            if found is None:
                del due[0]
                calls.start(call)
        nursery.cancel_scope.cancel()
    if found is None:
        assert failure is not None
        raise failure
    return found

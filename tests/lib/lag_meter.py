"""Measure by how much the event loop of a test is late."""

import time

import trio

_INTERVAL_S = 0.01


class LagMeter:
    """Measure the longest delay of a timer, by which a busy machine delays all."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self._nursery_manager = trio.open_nursery()

    async def __aenter__(self) -> "LagMeter":
        self._nursery = await self._nursery_manager.__aenter__()
        self._nursery.start_soon(self._measure)
        return self

    async def __aexit__(self, *error: object) -> bool | None:
        self._nursery.cancel_scope.cancel()
        return await self._nursery_manager.__aexit__(*error)  # type: ignore[arg-type]

    async def _measure(self) -> None:
        while True:
            due_at = trio.current_time() + _INTERVAL_S
            await trio.sleep_until(due_at)
            self.lag_s = max(self.lag_s, trio.current_time() - due_at)


class StepMeter(trio.abc.Instrument):
    """Measure the most processor time that a task used before others could run.

    Unlike a delay, it does not depend on what else the machine does.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._began_at = 0.0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self._began_at = time.thread_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        self.longest_s = max(self.longest_s, time.thread_time() - self._began_at)

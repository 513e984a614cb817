"""Run a role as a process with signals, graceful shutdown and exit."""

import signal
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable

import trio

from hyssopvane._internal.exceptions import SettingsError
from hyssopvane._internal.models.settings import AnySettings
from hyssopvane._internal.utils.logs import log_event


class Role(ABC):
    """Represent a kind of process, such as an entry or an agent."""

    @abstractmethod
    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""

    @abstractmethod
    async def drain(self) -> None:
        """Refuse new requests and complete those in progress."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections and other resources."""


ReloadSettings = Callable[[], AnySettings]


async def run_until_signal(
    role: Role, settings: AnySettings, *, reload: ReloadSettings
) -> bool:
    """Run until SIGTERM or SIGINT, then drain; return whether all requests ended."""
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        async with trio.open_nursery() as nursery:
            await nursery.start(role.run)
            await _wait_for_end(received, settings, reload)
            nursery.start_soon(_ignore_further_signals, received)
            drained = await _drain(role, settings.drain_limit_s)
            nursery.cancel_scope.cancel()
    await role.close()
    log_event("info", "stopped", drained=drained)
    return drained


async def _wait_for_end(
    received: AsyncIterator[int], settings: AnySettings, reload: ReloadSettings
) -> None:
    async for number in received:
        log_event("info", "signal", number=number)
        if number != signal.SIGHUP:
            return
        settings = _reload(settings, reload)


def _reload(settings: AnySettings, reload: ReloadSettings) -> AnySettings:
    # An invalid settings file must not stop a running process.
    try:
        found = reload()
    except SettingsError as error:
        log_event("error", "reload-failed", why=error)
        return settings
    changed = [
        name
        for name in type(settings).model_fields
        if getattr(found, name, None) != getattr(settings, name)
    ]
    log_event(
        "info",
        "reloaded",
        changed=",".join(changed) or "-",
        applied="at the next start" if changed else "-",
    )
    return found


async def _drain(role: Role, limit_s: float) -> bool:
    # A request that arrives at the end of the shutdown delay still gets its full time.
    with trio.move_on_after(limit_s) as scope:
        await role.drain()
    return not scope.cancelled_caught


async def _ignore_further_signals(signals: AsyncIterator[int]) -> None:
    # A supervisor that repeats its signal must not cut off answers in progress. An
    # unread signal would terminate the process when the receiver closes.
    async for number in signals:
        log_event("warning", "signal-ignored", number=number, why="already draining")

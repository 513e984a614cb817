"""Run a role as a process: signals, graceful shutdown, exit."""

import signal
from collections.abc import AsyncIterator

import trio

from hyssopvane._internal.models.settings import AgentSettings, EntrySettings
from hyssopvane._internal.roles.agent import Agent
from hyssopvane._internal.roles.entry import Entry
from hyssopvane._internal.utils.logs import configure_logs, log_event


def run_process(settings: EntrySettings | AgentSettings) -> bool:
    """Run until SIGTERM or SIGINT, drain, close; tell whether all requests ended."""
    configure_logs(level=settings.log_level, role=settings.role, vm=settings.vm)
    return trio.run(_run_until_signal, settings)


def make_role(settings: EntrySettings | AgentSettings) -> Entry | Agent:
    """Create the role that the settings name."""
    if isinstance(settings, EntrySettings):
        return Entry(settings)
    return Agent(settings)


async def _run_until_signal(settings: EntrySettings | AgentSettings) -> bool:
    role = make_role(settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(role.run)
            log_event("info", "signal", number=await anext(signals))
            nursery.start_soon(_ignore_further, signals)
            drained = await _drain(role, settings)
            nursery.cancel_scope.cancel()
    await role.close()
    log_event("info", "stopped", drained=drained)
    return drained


async def _drain(role: Entry | Agent, settings: EntrySettings | AgentSettings) -> bool:
    # A request that came at the very end of the delay gets its whole time.
    limit_s = settings.shutdown_delay_s + settings.longest_request_s
    with trio.move_on_after(limit_s) as scope:
        await role.drain()
    return not scope.cancelled_caught


async def _ignore_further(signals: AsyncIterator[int]) -> None:
    # A supervisor that repeats its signal must not cut the answers in progress. One
    # that is left unread would end the process when the receiver closes.
    async for number in signals:
        log_event("warning", "signal-ignored", number=number, why="already draining")

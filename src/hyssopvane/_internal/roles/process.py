"""Run a role as a process: signals, graceful shutdown, exit."""

import signal

import trio

from hyssopvane._internal.models.settings import AgentSettings, EntrySettings
from hyssopvane._internal.roles.agent import Agent
from hyssopvane._internal.roles.entry import Entry
from hyssopvane._internal.utils.logs import configure_logs, log_event


def run_process(settings: EntrySettings | AgentSettings) -> None:
    """Run until SIGTERM or SIGINT, then drain and close."""
    configure_logs(level=settings.log_level, role=settings.role, vm=settings.vm)
    trio.run(_run_until_signal, settings)


def make_role(settings: EntrySettings | AgentSettings) -> Entry | Agent:
    """Create the role that the settings name."""
    if isinstance(settings, EntrySettings):
        return Entry(settings)
    return Agent(settings)


async def _run_until_signal(settings: EntrySettings | AgentSettings) -> None:
    role = make_role(settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(role.run)
            async for number in signals:
                log_event("info", "signal", number=number)
                break
            with trio.move_on_after(settings.longest_request_s):
                await role.drain()
            nursery.cancel_scope.cancel()
    await role.close()
    log_event("info", "stopped")

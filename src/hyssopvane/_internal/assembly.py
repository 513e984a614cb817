"""Create the roles from their components and run them.

Imports are local, so that a process loads only the modules of its own role: the memory
of hundreds of processes has a cost.
"""

import gc
import traceback
from collections.abc import Callable
from functools import partial

import trio

from hyssopvane._internal.models.settings import (
    AgentSettings,
    AnySettings,
    DirectEntrySettings,
    EntrySettings,
    RankAgentSettings,
    load_settings,
)
from hyssopvane._internal.roles.process import Role, run_until_signal
from hyssopvane._internal.utils.boot_clock import BootClock
from hyssopvane._internal.utils.deferred_modules import end_deferral
from hyssopvane._internal.utils.logs import (
    configure_logs,
    configure_stdout_logs,
    log_event,
)


def run_process(settings: AnySettings, *, path: str) -> bool:
    """Run until SIGTERM or SIGINT and drain; return whether all requests ended."""
    reload: Callable[[], AnySettings] = partial(load_settings, path)
    level, role, vm = settings.log_level, settings.role, settings.vm
    # Agents detect a suspension themselves, and discard what they were about.
    is_entry = isinstance(settings, EntrySettings | DirectEntrySettings)
    clock = BootClock() if is_entry else None
    if isinstance(settings, EntrySettings | AgentSettings):
        configure_logs(level=level, role=role, vm=vm)
        return trio.run(partial(_run, settings, reload), clock=clock)
    sink = configure_stdout_logs(level=level, role=role, vm=vm)
    try:
        return trio.run(partial(_run, settings, reload), clock=clock)
    except Exception:
        log_event("error", "crashed", traceback=traceback.format_exc())
        raise
    finally:
        sink.close()


async def _run(settings: AnySettings, reload: Callable[[], AnySettings]) -> bool:
    role = make_role(settings)
    end_deferral()
    # Loaded modules live until the process ends, so the collector need not scan them.
    gc.freeze()
    gc.enable()
    return await run_until_signal(role, settings, reload=reload)


def make_role(settings: AnySettings) -> Role:
    """Create the role of the settings."""
    match settings:
        case EntrySettings():
            from hyssopvane._internal.roles.entry import Entry

            return Entry(settings)
        case AgentSettings():
            from hyssopvane._internal.roles.agent import Agent

            return Agent(settings)
        case DirectEntrySettings():
            return _make_direct_entry(settings)
        case RankAgentSettings():
            return _make_rank_agent(settings)


def _make_direct_entry(settings: DirectEntrySettings) -> Role:
    from hyssopvane._internal.platform.store import (
        EVACUATION_LAG_S,
        SUSPECTS_WATCH_PAUSE_S,
        SUSPECTS_WATCH_S,
        PlatformStore,
    )
    from hyssopvane._internal.platform.wire import (
        HEADERS,
        READY_PATH,
        PlatformFormat,
    )
    from hyssopvane._internal.roles.direct_entry import DirectEntry

    platform_format = PlatformFormat()
    bounded_prefix = platform_format.operations_prefix
    if settings.evacuate_s is None:
        bounded_prefix = ""
    return DirectEntry(
        settings,
        store=PlatformStore(
            address=settings.store,
            max_timeout_s=(settings.evacuate_s or 0.0) - EVACUATION_LAG_S,
            bounded_prefix=bounded_prefix,
        ),
        suspects_store=PlatformStore(
            address=settings.store,
            watch_s=SUSPECTS_WATCH_S,
            pause_s=SUSPECTS_WATCH_PAUSE_S,
        ),
        format=platform_format,
        names=HEADERS,
        ready_path=READY_PATH,
    )


def _make_rank_agent(settings: RankAgentSettings) -> Role:
    from hyssopvane._internal.platform.ranks import PlatformRanks
    from hyssopvane._internal.platform.store import (
        AGENT_WATCH_PAUSE_S,
        AGENT_WATCH_S,
        PlatformStore,
    )
    from hyssopvane._internal.platform.wire import PlatformFormat
    from hyssopvane._internal.roles.rank_agent import RankAgent

    return RankAgent(
        settings,
        store=PlatformStore(
            address=settings.store, watch_s=AGENT_WATCH_S, pause_s=AGENT_WATCH_PAUSE_S
        ),
        format=PlatformFormat(),
        ranks=PlatformRanks(),
    )

"""Run a stand-in as a separate process."""

import argparse
import dataclasses
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

import trio

from hyssopvane._internal.standins.asgi import Router
from hyssopvane._internal.standins.journal import Journal, JournalEntry
from hyssopvane._internal.transport.asgi_server import serve_asgi

GRACEFUL_TIMEOUT_S = 30.0
"""Time allowed for requests in progress to finish at shutdown."""

ANY_PORT = "127.0.0.1:0"

Config = TypeVar("Config")


class Serve(Protocol):
    """Serve on an address until shutdown; report "ip:port" once it is bound."""

    async def __call__(
        self,
        *,
        bind: str,
        shutdown: trio.Event,
        task_status: trio.TaskStatus[str],
    ) -> None: ...


@dataclass(frozen=True, slots=True)
class ProcessOptions:
    """Hold the command-line options common to all target stand-ins."""

    bind: str
    print_journal: bool

    def make_journal(self) -> Journal:
        """Return a journal; with `--print-journal`, its entries are also printed."""
        return Journal(_print_entry if self.print_journal else None)


def parse_options(
    config_type: type[Config], arguments: Sequence[str] | None = None
) -> tuple[ProcessOptions, Config]:
    """Parse the common options and one option per field of a data class."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--bind", default=ANY_PORT)
    # Printed lines survive a crash of the process; `GET /journal` does not.
    parser.add_argument("--print-journal", action="store_true")
    for field in dataclasses.fields(config_type):  # type: ignore[arg-type]
        option = "--" + field.name.replace("_", "-")
        if isinstance(field.default, bool):
            parser.add_argument(option, action="store_true")
        else:
            parser.add_argument(option, type=type(field.default), default=field.default)
    values = vars(parser.parse_args(arguments))
    options = ProcessOptions(values.pop("bind"), values.pop("print_journal"))
    return options, config_type(**values)


def _print_entry(entry: JournalEntry) -> None:
    pairs = dataclasses.asdict(entry).items()
    print("journal", *(f"{name}={value}" for name, value in pairs), flush=True)


def parse_bind(description: str) -> str:
    """Parse the address to serve on, for a stand-in without other options."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--bind", default=ANY_PORT, metavar="IP:PORT")
    bind: str = parser.parse_args().bind
    return bind


async def serve_app(
    app: Router, *, bind: str, shutdown: trio.Event, task_status: trio.TaskStatus[str]
) -> None:
    """Serve until shutdown, then wait for requests in progress to finish."""
    await serve_asgi(
        app,
        bind=bind,
        graceful_timeout_s=GRACEFUL_TIMEOUT_S,
        shutdown=shutdown,
        task_status=task_status,
    )


def run_process(serve: Serve, *, bind: str) -> None:
    """Print the bound address and serve until SIGTERM or SIGINT."""
    trio.run(_serve_until_signal, serve, bind)


async def _serve_until_signal(serve: Serve, bind: str) -> None:
    shutdown = trio.Event()

    async def run(*, task_status: trio.TaskStatus[str]) -> None:
        await serve(bind=bind, shutdown=shutdown, task_status=task_status)
        nursery.cancel_scope.cancel()

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(run)
            print(f"listening address={address}", flush=True)
            async for _ in signals:
                shutdown.set()

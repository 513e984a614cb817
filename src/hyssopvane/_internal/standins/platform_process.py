"""Run one stand-in as its own process."""

import argparse
import signal
from collections.abc import Awaitable, Callable

import trio

ServeFunction = Callable[..., Awaitable[None]]


def run_standin(serve: ServeFunction, description: str) -> None:
    """Serve on the address of the command line until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--bind", default="127.0.0.1:0", metavar="IP:PORT")
    trio.run(_serve_until_signal, serve, parser.parse_args().bind)


async def _serve_until_signal(serve: ServeFunction, bind: str) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve, bind)
            print(f"listening address={address}", flush=True)
            async for _ in signals:
                nursery.cancel_scope.cancel()
                return

"""Run a demo installation and print example commands."""

import signal
from collections.abc import Callable
from random import Random

import trio
import uuid6

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.table_import import read_example_edit
from hyssopvane._internal.coordination.table_store import TableEditor
from hyssopvane._internal.standins.installation import (
    TOKEN,
    Installation,
    InstallationPlan,
)
from hyssopvane._internal.utils.logs import configure_logs

DEMO_KEY = "demo-key"
"""API key of the example customer in the printed commands."""

_READY_INTERVAL_S = 0.05


async def run_demo(plan: InstallationPlan, show: Callable[[str], None]) -> None:
    """Run an installation until SIGINT (Ctrl-C) or SIGTERM, then drain it."""
    configure_logs(level="warning", role="demo", vm="loopback")
    installation = Installation(plan)
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:
            await installation.start(nursery)
            await _import_example(installation, nursery)
            await wait_until_ready(installation)
            for line in describe_demo(installation):
                show(line)
            async for _ in signals:
                break
            show("closing: waiting for requests in progress")
            await installation.drain()
            nursery.cancel_scope.cancel()
    await installation.close()
    show("closed")


async def wait_until_ready(installation: Installation) -> None:
    """Wait until each entry has loaded the table and is connected to every target."""
    for entry in installation.entries:
        while not entry.is_ready() or (
            len(entry.scheduler.describe_targets()) < len(installation.agents)
        ):
            await trio.sleep(_READY_INTERVAL_S)


def describe_demo(installation: Installation) -> list[str]:
    """Return the printed lines with the example commands."""
    entry = installation.entries[0]
    service = installation.plan.targets[0].service
    url = f"http://{entry.callers_address}/{service}/v1/completions"
    operators = f"http://{entry.operators_address}"
    return [
        f"{installation.plan.name}: {len(installation.entries)} entries, "
        f"{len(installation.agents)} targets; press Ctrl-C to stop",
        "request a streamed draft:",
        f"  curl -N -i {url} -H 'Authorization: Bearer {DEMO_KEY}' "
        f"-H 'Idempotency-Key: {uuid6.uuid7()}' "
        """-d '{"prompt": "the name Maharaj", "max_tokens": 40, "stream": true}'""",
        "show the configuration in force and the metrics:",
        f"  curl {operators}/in-force -H 'Authorization: Bearer {TOKEN}'",
        f"  curl {operators}/metrics -H 'Authorization: Bearer {TOKEN}'",
        "show the table:",
        f"  hyssopvane table show --platform {installation.platform_address}",
    ]


async def _import_example(installation: Installation, nursery: trio.Nursery) -> None:
    store = EtcdKeyValueStore(installation.platform_address)
    await store.start(nursery)
    editor = TableEditor(store, random=Random(0))
    await editor.commit(read_example_edit(installation.plan.name, key=DEMO_KEY))
    await store.close()

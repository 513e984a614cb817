"""Simulate the platform's list of live and leaving VMs, which updates with a lag."""

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope

from hyssopvane._internal.coordination.vm_list import VmRecord, format_vms, parse_vms
from hyssopvane._internal.exceptions import VmListError
from hyssopvane._internal.standins.asgi import (
    MAX_BODY_BYTES,
    get_route,
    read_json,
)
from hyssopvane._internal.standins.process import parse_bind, run_process
from hyssopvane._internal.transport.asgi_messages import (
    read_body,
    send_json,
    serve_lifespan,
)
from hyssopvane._internal.transport.asgi_server import serve_asgi


@dataclass(frozen=True, slots=True)
class _Pending:
    """Hold a list that readers see from a given clock time on."""

    visible_from: float
    vms: tuple[VmRecord, ...]


class VmListApp:
    """Serve the list of VMs; a new list becomes visible after a configurable lag."""

    def __init__(
        self,
        vms: tuple[VmRecord, ...] = (),
        *,
        lag_s: float = 0.0,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.lag_s = lag_s
        self._clock = clock
        self._visible = vms
        self._pending: deque[_Pending] = deque()

    def replace_vms(self, vms: tuple[VmRecord, ...]) -> None:
        """Replace the list; readers see the new one after the lag."""
        self._pending.append(_Pending(self._clock() + self.lag_s, vms))

    def get_vms(self) -> tuple[VmRecord, ...]:
        """Return the list that is currently visible to readers."""
        while self._pending and self._pending[0].visible_from <= self._clock():
            self._visible = self._pending.popleft().vms
        return self._visible

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        try:
            await self._answer(get_route(scope), receive, send)
        except (VmListError, ValueError, KeyError, TypeError) as error:
            await send_json(send, {"error": str(error)}, status=400)

    async def _answer(
        self, route: str, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        if route == "GET /v1/vms":
            await send_json(send, json.loads(format_vms(self.get_vms())))
        elif route == "PUT /v1/vms":
            content = await read_body(receive, max_bytes=MAX_BODY_BYTES)
            self.replace_vms(parse_vms(content, source="request body"))
            await send_json(send, {})
        elif route == "POST /lag":
            self.lag_s = float((await read_json(receive))["lag_s"])
            await send_json(send, {})
        else:
            await send_json(send, {"error": "unknown path"}, status=404)


async def serve_vm_list(
    bind: str,
    *,
    app: VmListApp | None = None,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the stand-in until shutdown; report the bound address."""
    await serve_asgi(
        app or VmListApp(),
        bind=bind,
        graceful_timeout_s=0,
        shutdown=trio.Event() if shutdown is None else shutdown,
        task_status=task_status,
    )


if __name__ == "__main__":
    run_process(serve_vm_list, bind=parse_bind("Run the stand-in list of VMs."))

"""Stand in for the platform's lagging list of live and leaving VMs."""

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope

from hyssopvane._internal.coordination.vm_list import VmRecord, format_vms, parse_vms
from hyssopvane._internal.exceptions import VmListError
from hyssopvane._internal.standins.platform_asgi import (
    answer_lifespan,
    get_route,
    read_body,
    read_json,
    send_json,
)
from hyssopvane._internal.standins.platform_process import run_standin
from hyssopvane._internal.transport.asgi_server import serve_asgi


@dataclass(frozen=True, slots=True)
class _Pending:
    """Hold a list that becomes visible at a clock value."""

    visible_from: float
    vms: tuple[VmRecord, ...]


class VmListApp:
    """Show each list only after the lag has passed."""

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
        """Replace the list; readers see it after the lag."""
        self._pending.append(_Pending(self._clock() + self.lag_s, vms))

    def get_vms(self) -> tuple[VmRecord, ...]:
        """Return the list that is visible now."""
        while self._pending and self._pending[0].visible_from <= self._clock():
            self._visible = self._pending.popleft().vms
        return self._visible

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        try:
            await self._answer(get_route(scope), receive, send)
        except (VmListError, ValueError, KeyError, TypeError) as error:
            await send_json(send, 400, {"error": str(error)})

    async def _answer(
        self, route: str, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        if route == "GET /v1/vms":
            await send_json(send, 200, json.loads(format_vms(self.get_vms())))
        elif route == "PUT /v1/vms":
            content = await read_body(receive)
            self.replace_vms(parse_vms(content, source="request body"))
            await send_json(send, 200, {})
        elif route == "POST /lag":
            self.lag_s = float((await read_json(receive))["lag_s"])
            await send_json(send, 200, {})
        else:
            await send_json(send, 404, {"error": "unknown path"})


async def serve_vm_list(
    bind: str,
    *,
    app: VmListApp | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the stand-in until cancelled; report its address."""
    await serve_asgi(
        app or VmListApp(),
        bind=bind,
        graceful_timeout_s=0,
        shutdown=trio.Event(),
        task_status=task_status,
    )


if __name__ == "__main__":
    run_standin(serve_vm_list, "Run the stand-in list of VMs.")

"""Simulate the platform's key-value service: a subset of etcd's JSON gateway."""

import json
import secrets
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable
from typing import Any, TypeAlias, TypeVar

import trio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hyssopvane._internal.standins.asgi import get_route, read_json
from hyssopvane._internal.standins.key_value_state import (
    Compare,
    Delete,
    KeyValueState,
    Put,
    StoredEvent,
    StoredItem,
    UnknownLease,
    ValueCompare,
    ValueResult,
)
from hyssopvane._internal.standins.process import parse_bind, run_process
from hyssopvane._internal.transport.asgi_messages import (
    JSON_TYPE,
    send_json,
    serve_lifespan,
)
from hyssopvane._internal.transport.asgi_server import serve_asgi

JsonObject: TypeAlias = dict[str, Any]
_Model = TypeVar("_Model", bound=BaseModel)

MAX_REQUEST_VALUE_BYTES = 1024 * 1024
"""Largest value that the service accepts."""

MAX_TRANSACTION_CHANGES = 128
"""Limit on the compares, and on the changes, of one transaction, as in etcd."""

MAX_IDLE_S = 3600.0

_GRPC_INVALID_ARGUMENT = 3
_GRPC_NOT_FOUND = 5
_GRPC_UNAVAILABLE = 14


class Faults(BaseModel):
    """Select the faults injected into subsequent calls."""

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    """Refuse every call before it takes effect, and end the watches."""
    delay_ms: float = Field(default=0, ge=0)
    """Wait before each call takes effect."""
    lose_next_write_answers: int = Field(default=0, ge=0)
    """Apply this many writes but truncate their responses."""
    stale_reads: bool = False
    """Answer reads with the state at the time when this was switched on."""


class RestoreOptions(BaseModel):
    """Select how the service is restored from the last saved copy."""

    model_config = ConfigDict(extra="forbid")

    new_cluster: bool = True
    """Use a new cluster id, as a cluster restored from a snapshot does."""


class _Refusal(Exception):
    """Report an error in the format of the JSON gateway."""

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


class KeyValueApp:
    """Serve the key-value state over HTTP and inject faults on request."""

    def __init__(self, clock: Callable[[], float] = trio.current_time) -> None:
        self.state = KeyValueState(clock, cluster_id=secrets.randbits(63))
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._clock = clock
        self._stale: KeyValueState | None = None
        self._copy: KeyValueState | None = None
        self._changed = trio.Event()
        self._calls: dict[str, Callable[[JsonObject], JsonObject]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
        }

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        route = get_route(scope)
        try:
            await self._answer(route, receive, send)
        except _Refusal as refusal:
            await send_json(send, _format_refusal(refusal), status=refusal.status)
        except (ValueError, KeyError, TypeError) as error:
            bad = _Refusal(400, _GRPC_INVALID_ARGUMENT, f"bad request: {error!r}")
            await send_json(send, _format_refusal(bad), status=bad.status)

    def set_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        if not faults.stale_reads:
            self._stale = None
        elif self._stale is None:
            self._stale = self.state.copy_items()
        self.faults = faults
        self._wake_watches()

    def save_copy(self) -> None:
        """Save a copy of the complete state for a later restore."""
        self._copy = self.state.copy_all()

    def restore_copy(self, options: RestoreOptions) -> None:
        """Restore the saved copy, losing later writes, and end the watches."""
        if self._copy is None:
            raise _Refusal(400, _GRPC_INVALID_ARGUMENT, "no copy was kept")
        self.state = self._copy.copy_all()
        self._stale = None
        if options.new_cluster:
            self.state.renew_cluster_id()
        self._wake_watches()

    async def _answer(
        self, route: str, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        method, _, path = route.partition(" ")
        if route == "GET /calls":
            await send_json(send, dict(self.calls))
        elif route == "POST /faults":
            self.set_faults(_validate(Faults, await read_json(receive)))
            await send_json(send, self.faults.model_dump())
        elif route == "POST /copy":
            self.save_copy()
            await send_json(send, {"revision": self.state.revision})
        elif route == "POST /return":
            self.restore_copy(_validate(RestoreOptions, await read_json(receive)))
            await send_json(send, {"revision": self.state.revision})
        elif route == "POST /v3/watch":
            await self._watch(await read_json(receive), receive, send)
        elif method == "POST" and path in self._calls:
            await self._answer_call(path, await read_json(receive), send)
        else:
            raise _Refusal(404, _GRPC_NOT_FOUND, "Not Found")

    async def _answer_call(
        self, path: str, request: JsonObject, send: ASGISendCallable
    ) -> None:
        self.calls[path.rpartition("/")[2]] += 1
        await self._apply_delay()
        revision = self.state.revision
        try:
            answer = self._calls[path](request)
        except UnknownLease as error:
            raise _Refusal(
                404, _GRPC_NOT_FOUND, "etcdserver: requested lease not found"
            ) from error
        if self.state.revision != revision:
            self._wake_watches()
        if path != "/v3/kv/range" and self.faults.lose_next_write_answers > 0:
            self.faults.lose_next_write_answers -= 1
            await _send_truncated_answer(send)
            return
        await send_json(send, answer)

    async def _apply_delay(self) -> None:
        self._refuse_when_down()
        await trio.sleep(self.faults.delay_ms / 1000)
        self._refuse_when_down()

    def _refuse_when_down(self) -> None:
        if self.faults.down:
            raise _Refusal(503, _GRPC_UNAVAILABLE, "etcdserver: no leader")

    def _range(self, request: JsonObject) -> JsonObject:
        state = self._stale or self.state
        items = state.get_range(
            _decode(request["key"]),
            _decode(request.get("range_end", "")),
            int(request.get("min_mod_revision", 0)),
        )
        header = _format_header(state)
        return {
            "header": header,
            "kvs": [_format_item(item) for item in items],
            "count": str(len(items)),
        }

    def _txn(self, request: JsonObject) -> JsonObject:
        for part in ("compare", "success", "failure"):
            if len(request.get(part, [])) > MAX_TRANSACTION_CHANGES:
                raise _Refusal(
                    400,
                    _GRPC_INVALID_ARGUMENT,
                    "etcdserver: too many operations in txn request",
                )
        compares = [_parse_compare(item) for item in request.get("compare", [])]
        changes = [_parse_change(item) for item in request.get("success", [])]
        if self.state.commit(compares, changes):
            return {"header": self._format_header(), "succeeded": True}
        responses = [
            {"response_range": self._range(item["request_range"])}
            for item in request.get("failure", [])
        ]
        return {"header": self._format_header(), "responses": responses}

    def _grant(self, request: JsonObject) -> JsonObject:
        ttl_s = int(request["TTL"])
        lease = self.state.grant_lease(ttl_s)
        # Watches wait until the next lease expires, which may be this one.
        self._wake_watches()
        return {
            "header": self._format_header(),
            "ID": str(lease),
            "TTL": str(ttl_s),
        }

    def _keep_alive(self, request: JsonObject) -> JsonObject:
        lease = int(request["ID"])
        result = {"header": self._format_header(), "ID": str(lease)}
        ttl_s = self.state.keep_lease(lease)
        if ttl_s > 0:
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _revoke(self, request: JsonObject) -> JsonObject:
        self.state.revoke_lease(int(request["ID"]))
        return {"header": self._format_header()}

    async def _watch(
        self, request: JsonObject, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        create = request["create_request"]
        self.calls["watch"] += 1
        await self._apply_delay()
        await _start_answer(send)
        await _send_line(send, {**self._make_result(), "created": True})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_changes, create, send, nursery.cancel_scope)
            while (await receive())["type"] != "http.disconnect":
                pass
            nursery.cancel_scope.cancel()

    async def _send_changes(
        self, create: JsonObject, send: ASGISendCallable, scope: trio.CancelScope
    ) -> None:
        key, range_end = _decode(create["key"]), _decode(create.get("range_end", ""))
        start = int(create.get("start_revision", 0)) or self.state.revision + 1
        state = self.state
        while not self.faults.down and self.state is state:
            if start < self.state.oldest_revision:
                await _send_line(send, self._make_compacted_result())
                break
            changed = self._changed
            events = self.state.get_events(start, key, range_end)
            start = max(start, self.state.revision + 1)
            if events:
                line = {**self._make_result(), "events": _format_events(events)}
                await _send_line(send, line)
            else:
                with trio.move_on_after(self._get_wait_s()):
                    await changed.wait()
        await send({"type": "http.response.body", "body": b"", "more_body": False})
        scope.cancel()

    def _get_wait_s(self) -> float:
        expiry = self.state.get_next_expiry()
        return MAX_IDLE_S if expiry is None else max(0, expiry - self._clock())

    def _make_compacted_result(self) -> JsonObject:
        oldest = str(self.state.oldest_revision)
        return {**self._make_result(), "canceled": True, "compact_revision": oldest}

    def _format_header(self) -> JsonObject:
        return _format_header(self.state)

    def _make_result(self) -> JsonObject:
        return {"header": self._format_header(), "watch_id": "0"}

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


async def serve_key_value(
    bind: str,
    *,
    app: KeyValueApp | None = None,
    shutdown: trio.Event | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the stand-in until shutdown; report the bound address."""
    await serve_asgi(
        app or KeyValueApp(),
        bind=bind,
        graceful_timeout_s=0,
        shutdown=trio.Event() if shutdown is None else shutdown,
        task_status=task_status,
    )


async def _send_truncated_answer(send: ASGISendCallable) -> None:
    # The body is shorter than its content length, so the server closes the connection.
    await _start_answer(send, (b"content-length", b"1000000"))
    await send({"type": "http.response.body", "body": b" ", "more_body": True})


async def _start_answer(send: ASGISendCallable, *headers: tuple[bytes, bytes]) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [JSON_TYPE, *headers],
            "trailers": False,
        }
    )


async def _send_line(send: ASGISendCallable, result: JsonObject) -> None:
    line = json.dumps({"result": result}).encode() + b"\n"
    await send({"type": "http.response.body", "body": line, "more_body": True})


def _validate(model: type[_Model], document: JsonObject) -> _Model:
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise _Refusal(400, _GRPC_INVALID_ARGUMENT, str(error)) from error


def _parse_compare(item: JsonObject) -> Compare | ValueCompare:
    key = _decode(item["key"])
    if item.get("target", "MOD") == "VALUE":
        result = ValueResult(item.get("result", ValueResult.EQUAL))
        return ValueCompare(key, result, _decode(item.get("value", "")))
    return Compare(key, int(item.get("mod_revision", 0)))


def _parse_change(item: JsonObject) -> Put | Delete:
    if "request_delete_range" in item:
        return Delete(_decode(item["request_delete_range"]["key"]))
    put = item["request_put"]
    value = _decode(put.get("value", ""))
    if len(value) > MAX_REQUEST_VALUE_BYTES:
        raise _Refusal(400, _GRPC_INVALID_ARGUMENT, "etcdserver: request is too large")
    return Put(_decode(put["key"]), value, int(put.get("lease", 0)))


def _format_events(events: list[StoredEvent]) -> list[JsonObject]:
    return [
        {"type": "DELETE" if event.is_delete else "PUT", "kv": _format_item(event.item)}
        for event in events
    ]


def _format_item(item: StoredItem) -> JsonObject:
    return {
        "key": b64encode(item.key).decode(),
        "value": b64encode(item.value).decode(),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
        "lease": str(item.lease),
    }


def _format_header(state: KeyValueState) -> JsonObject:
    return {
        "cluster_id": str(state.cluster_id),
        "member_id": "1",
        "revision": str(state.revision),
        "raft_term": "2",
    }


def _format_refusal(refusal: _Refusal) -> JsonObject:
    return {
        "error": refusal.message,
        "message": refusal.message,
        "code": refusal.code,
    }


def _decode(text: str) -> bytes:
    return b64decode(text)


if __name__ == "__main__":
    run_process(serve_key_value, bind=parse_bind("Run the stand-in key-value service."))

"""Read reports of ranks and send them orders over HTTP."""

from collections.abc import Callable
from typing import TypeVar

import trio

from hyssopvane._internal.coordination.rank_control import (
    OrderOutcome,
    RankControl,
    RankError,
)
from hyssopvane._internal.exceptions import ConfigurationError
from hyssopvane._internal.platform.reports import (
    COUNTS_PATH,
    MAP_PATH,
    ORDER_PATH,
    REPORT_PATH,
    decode_counts,
    decode_experts,
    decode_report,
    encode_order,
)
from hyssopvane._internal.state.group import Counts, ExpertsBySet
from hyssopvane._internal.state.ranks import RankOrder, RankReport
from hyssopvane._internal.transport.replica_client import (
    ReplicaClient,
    ReplicaFailed,
    ReplicaUnreachable,
)
from hyssopvane._internal.utils.logs import log_event

ANSWER_TIMEOUT_S = 0.15
"""Timeout of a report: a rank answers in a millisecond, or not at all."""

ORDER_TIMEOUT_S = 0.06
"""Timeout of an order, after which it is resent: a pass may be held meanwhile."""

MAX_REPORT_BYTES = 64 * 1024
"""Largest report, or answer to an order, that is read."""

MAX_LISTS_BYTES = 1024 * 1024
"""Largest document of counts or experts that is read; a leader may query all ranks at
once.
"""

_JSON = (b"content-type", b"application/json")
_HOST = (b"host", b"rank")
_OK = 200
_DONE = frozenset({200, 202})


_Kind = TypeVar("_Kind")


class PlatformRanks(RankControl):
    """Call ranks over a pool of persistent connections."""

    def __init__(self) -> None:
        self._client = ReplicaClient()

    async def read_report(self, address: str) -> RankReport:
        return _decode(decode_report, await self._get(address, REPORT_PATH))

    async def read_counts(self, address: str) -> Counts:
        body = await self._get(address, COUNTS_PATH, max_bytes=MAX_LISTS_BYTES)
        return _decode(decode_counts, body).counts

    async def read_experts(self, address: str) -> ExpertsBySet:
        body = await self._get(address, MAP_PATH, max_bytes=MAX_LISTS_BYTES)
        return _decode(decode_experts, body)

    async def send_order(self, address: str, order: RankOrder) -> OrderOutcome:
        body = encode_order(order)
        length = (b"content-length", str(len(body)).encode())
        try:
            status, answer = await self._call(
                address,
                "POST",
                ORDER_PATH,
                (_HOST, _JSON, length),
                body,
                timeout_s=ORDER_TIMEOUT_S,
            )
        except RankError as error:
            log_event("warning", "order-unanswered", rank=address, why=error)
            return OrderOutcome.UNKNOWN
        if status in _DONE:
            return OrderOutcome.DONE
        log_event("info", "order-refused", rank=address, status=status, why=answer)
        return OrderOutcome.REFUSED

    async def close(self) -> None:
        await self._client.close()

    async def _get(
        self, address: str, path: bytes, *, max_bytes: int = MAX_REPORT_BYTES
    ) -> bytes:
        status, body = await self._call(
            address, "GET", path, (_HOST,), b"", max_bytes=max_bytes
        )
        if status != _OK:
            raise RankError(f"{path.decode()}: status {status}")
        return body

    async def _call(
        self,
        address: str,
        method: str,
        path: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        *,
        timeout_s: float = ANSWER_TIMEOUT_S,
        max_bytes: int = MAX_REPORT_BYTES,
    ) -> tuple[int, bytes]:
        try:
            with trio.fail_after(timeout_s):
                async with self._client.call(
                    address, method=method, target=path, headers=headers, body=body
                ) as response:
                    answer = await response.read(max_bytes=max_bytes)
                    return response.status, answer
        except (ReplicaUnreachable, ReplicaFailed, trio.TooSlowError) as error:
            raise RankError(repr(error)) from error


def _decode(decode: Callable[[bytes], _Kind], body: bytes) -> _Kind:
    try:
        return decode(body)
    except ConfigurationError as error:
        raise RankError(str(error)) from error

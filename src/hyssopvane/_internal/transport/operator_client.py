"""Read pages of the operators' listener of a process."""

from typing import Any

import httpcore
import trio

from hyssopvane._internal.exceptions import OperatorRequestError
from hyssopvane._internal.utils.bounded_backend import (
    AnswerTooLarge,
    make_bounded_pool,
    read_body,
)
from hyssopvane._internal.utils.json_documents import (
    UnreadableDocument,
    parse_document,
)

TIMEOUT_S = 30.0
MAX_PAGE_BYTES = 64 * 1024 * 1024
_UNAUTHORIZED = 401
_OK = 200


def read_operators_page(address: str, path: str, *, token: str) -> Any:
    """Return the JSON document of a page; raise `OperatorRequestError`."""
    try:
        status, content = trio.run(_fetch, address, path, token)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
        AnswerTooLarge,
    ) as error:
        raise OperatorRequestError(
            "the operators' listener does not answer",
            context=address,
            hint="give the address that the entry logs as operators= at its start, "
            "or ask another entry",
        ) from error
    return _parse_answer(status, content, address)


async def _fetch(address: str, path: str, token: str) -> tuple[int, bytes]:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    async with (
        make_bounded_pool() as pool,
        pool.stream(
            "GET",
            f"http://{address}{path}",
            headers={"Authorization": f"Bearer {token}"},
            extensions={"timeout": timeouts},
        ) as response,
    ):
        return response.status, await read_body(response, max_bytes=MAX_PAGE_BYTES)


def _parse_answer(status: int, content: bytes, address: str) -> Any:
    try:
        document: Any = parse_document(content)
    except UnreadableDocument as error:
        raise OperatorRequestError(
            "the address is not that of an operators' listener",
            context=address,
            hint="give the address that the entry logs as operators= at its start",
        ) from error
    if status == _UNAUTHORIZED:
        raise OperatorRequestError(
            "the token is wrong",
            context=address,
            hint="give the settings file of that VM with --settings, or its token in "
            "HYSSOPVANE_TOKEN",
        )
    if status != _OK:
        raise OperatorRequestError(
            str(document.get("error", f"status {status}")),
            context=str(document.get("context") or address),
            hint=str(document.get("hint", "")),
        )
    return document

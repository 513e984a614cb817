"""Call HTTP servers from tests."""

from dataclasses import dataclass

import httpcore


@dataclass(frozen=True)
class Response:
    """Hold a whole response."""

    status: int
    headers: dict[str, str]
    body: bytes


def request(
    method: str,
    address: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Response:
    """Send one request on a connection of its own."""
    with httpcore.ConnectionPool() as pool:
        answer = pool.request(
            method,
            f"http://{address}{path}",
            headers=[("Host", address), *(headers or {}).items()],
            content=body,
            extensions={"timeout": {"connect": 5, "read": 30, "write": 5, "pool": 5}},
        )
    return Response(
        answer.status,
        {name.decode().lower(): value.decode() for name, value in answer.headers},
        answer.content,
    )

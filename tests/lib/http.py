"""Send HTTP requests in tests."""

import socket
from dataclasses import dataclass

import httpcore


@dataclass(frozen=True)
class Response:
    """Hold a complete response."""

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
    """Send one request on a new connection."""
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


class OpenRequest:
    """Hold a sent request, and read its answer as raw HTTP/1.1 bytes."""

    def __init__(self, address: str, head: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=30)
        self._socket.sendall(head)

    def read(self, size: int) -> bytes:
        """Read up to `size` bytes; return an empty result at the end."""
        return self._socket.recv(size)

    def read_to_end(self) -> bytes:
        """Read until the server closes the connection."""
        parts = []
        while data := self._socket.recv(65536):
            parts.append(data)
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def open_request(
    method: str, address: str, path: str, *, headers: dict[str, str], body: bytes = b""
) -> OpenRequest:
    """Send a request without reading its answer."""
    fields = {"Host": address, "Content-Length": str(len(body)), **headers}
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
    return OpenRequest(address, "\r\n".join([*lines, "", ""]).encode() + body)

"""HTTP/1.1 for the stand-ins, on asyncio and without other packages."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class Message:
    """A request or an answer that was read whole."""

    start: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the last value of a header."""
        found = default
        for key, value in self.headers:
            if key.lower() == name.lower():
                found = value
        return found

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


class Ended(Exception):
    """The connection ended before a message was complete."""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Ended(repr(error)) from error
    start, *lines = head.decode("latin1").rstrip("\r\n").split("\r\n")
    pairs = [line.split(":", 1) for line in lines]
    return Message(start, [(key.strip(), value.strip()) for key, value in pairs])


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read a body that has a length or comes in chunks."""
    try:
        if message.get("transfer-encoding").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            length = int(message.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Ended(repr(error)) from error


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole request or answer."""
    message = await read_head(reader)
    await read_body(reader, message)
    return message


def format_head(start: str, headers: list[tuple[str, str]]) -> bytes:
    """Return a start line and headers as bytes."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode("latin1")


def format_answer(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return an answer with a length as bytes."""
    fields = [*headers, ("Content-Length", str(len(body)))]
    return format_head(f"HTTP/1.1 {status} Status", fields) + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    found = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Answer:
    """What a client got: an answer, or the end of its connection."""

    status: int
    """0 if there was no whole answer."""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    why: str = ""

    def get(self, name: str) -> str:
        """Return a header of the answer."""
        return Message("", self.headers).get(name)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Answer:
    """Send a request on a new connection, and read its answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            fields = list(headers)
            if body or method == "POST":
                fields.append(("Content-Length", str(len(body))))
            writer.write(format_head(f"{method} {target} HTTP/1.1", fields) + body)
            answer = await read_message(reader)
            return Answer(answer.status, answer.headers, answer.body)
    except TimeoutError:
        return Answer(0, why="deadline")
    except (Ended, OSError) as error:
        return Answer(0, why=f"closed: {error!r}")
    finally:
        if writer is not None:
            writer.close()

"""Send requests over raw connections, and leave before the answer in various ways."""

import array
import fcntl
import socket
import struct
import termios
from abc import ABC, abstractmethod
from enum import StrEnum

import h2.config
import h2.connection
import h2.events
import h2.settings
import h11
import trio

MAX_WINDOW = 2**31 - 1


class Departure(StrEnum):
    """Name the ways in which a caller leaves."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"
    """Close for sending only; the caller could still read."""
    CANCEL = "cancel"
    """Reset the HTTP/2 stream, and keep the connection open."""


class RawCaller(ABC):
    """Hold one connection to an entry."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream

    @classmethod
    async def open(cls, address: str) -> "RawCaller":
        """Connect to an entry at "ip:port"."""
        host, _, port = address.rpartition(":")
        caller = cls(await trio.open_tcp_stream(host, int(port)))
        await caller.start()
        return caller

    @abstractmethod
    async def start(self) -> None:
        """Send what the protocol requires before the first request."""

    @abstractmethod
    async def send_request(
        self,
        path: str,
        *,
        headers: tuple[tuple[str, str], ...],
        body: bytes = b"body",
        sent_bytes: int | None = None,
    ) -> None:
        """Send a request, with only the first `sent_bytes` of its body if given."""

    @abstractmethod
    async def cancel(self) -> None:
        """Cancel the last request, and keep the connection open."""

    @abstractmethod
    async def read_answer(self) -> tuple[int, bytes | None]:
        """Return status and body of the last request's answer.

        The status is 0 without an answer, and the body None if it is not whole.
        """

    async def leave(self, departure: Departure) -> None:
        """Leave in the given way."""
        if departure is Departure.CANCEL:
            await self.cancel()
        elif departure is Departure.HALF_CLOSE:
            await self.stream.send_eof()
        else:
            if departure is Departure.RESET:
                linger = struct.pack("ii", 1, 0)
                self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await trio.aclose_forcefully(self.stream)

    @property
    def is_open(self) -> bool:
        """Return whether the connection is not closed by this end."""
        return self.stream.socket.fileno() >= 0

    async def wait_until_received(self) -> None:
        """Wait until the kernel of the other end has acknowledged all bytes."""
        count = array.array("i", [1])
        while count[0]:
            fcntl.ioctl(self.stream.socket.fileno(), termios.TIOCOUTQ, count)
            await trio.sleep(0.001)

    async def read_until(self, text: bytes) -> bytes:
        """Read until the received bytes contain `text`, or the connection ends."""
        received = b""
        while text not in received:
            part = await self.stream.receive_some(65_536)
            if not part:
                break
            received += part
        return received


class Http1Caller(RawCaller):
    """Send requests over HTTP/1.1."""

    async def start(self) -> None:
        """Send nothing: HTTP/1.1 has no preface."""

    async def send_request(
        self,
        path: str,
        *,
        headers: tuple[tuple[str, str], ...],
        body: bytes = b"body",
        sent_bytes: int | None = None,
    ) -> None:
        head = make_head(path, headers=headers, body=body)
        await self.stream.send_all(head + body[:sent_bytes])

    async def cancel(self) -> None:
        raise NotImplementedError("HTTP/1.1 has no way to cancel a request")

    async def read_answer(self) -> tuple[int, bytes | None]:
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        parser.send(h11.EndOfMessage())
        status, body = 0, b""
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await self.stream.receive_some(65_536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return status, body
                elif isinstance(event, h11.ConnectionClosed):
                    return 0, None
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return status, None


class Http2Caller(RawCaller):
    """Send requests over HTTP/2, with windows that never limit the answers."""

    def __init__(self, stream: trio.SocketStream) -> None:
        super().__init__(stream)
        config = h2.config.H2Configuration(client_side=True)
        self.connection = h2.connection.H2Connection(config=config)
        self.number = -1
        """Number of the stream of the last request."""

    async def start(self) -> None:
        codes = h2.settings.SettingCodes
        self.connection.initiate_connection()
        self.connection.update_settings({codes.INITIAL_WINDOW_SIZE: MAX_WINDOW})
        self.connection.increment_flow_control_window(MAX_WINDOW - 65_535)
        await self.flush()

    async def send_request(
        self,
        path: str,
        *,
        headers: tuple[tuple[str, str], ...],
        body: bytes = b"body",
        sent_bytes: int | None = None,
    ) -> None:
        self.number = self.connection.get_next_available_stream_id()
        fields = [(name.lower(), value) for name, value in headers]
        authority = dict(fields).get("host", "portal.example")
        self.connection.send_headers(
            self.number,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":authority", authority),
                (":path", path),
                *(one for one in fields if one[0] != "host"),
            ],
        )
        size = self.connection.max_outbound_frame_size
        rest = body[:sent_bytes]
        while len(rest) > size:
            self.connection.send_data(self.number, rest[:size])
            rest = rest[size:]
        self.connection.send_data(self.number, rest, end_stream=sent_bytes is None)
        await self.flush()

    async def cancel(self) -> None:
        self.connection.reset_stream(self.number)
        await self.flush()

    async def read_answer(self) -> tuple[int, bytes | None]:
        status, body = 0, b""
        while data := await self.stream.receive_some(65_536):
            for event in self.connection.receive_data(bytes(data)):
                if isinstance(event, h2.events.ResponseReceived):
                    status = int(dict(event.headers)[b":status"])
                elif isinstance(event, h2.events.DataReceived):
                    body += event.data
                elif isinstance(event, h2.events.StreamEnded):
                    return status, body
                elif isinstance(event, h2.events.StreamReset):
                    return status, None
        return status, None

    async def ping(self) -> None:
        """Send a frame that the entry has to acknowledge."""
        self.connection.ping(b"no-reply")
        await self.flush()

    async def receive_frames(self) -> None:
        """Receive what the entry has sent, and wait for it if there is nothing."""
        self.connection.receive_data(bytes(await self.stream.receive_some(65_536)))

    async def flush(self) -> None:
        """Send the frames that are queued."""
        await self.stream.send_all(self.connection.data_to_send())


def make_head(
    path: str, *, headers: tuple[tuple[str, str], ...], body: bytes = b"body"
) -> bytes:
    """Return the head of an HTTP/1.1 request for a body."""
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode()

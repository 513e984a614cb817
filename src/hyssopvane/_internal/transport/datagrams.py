"""Exchange datagrams between processes of the system."""

import socket
from collections.abc import Callable

import trio

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.group_messages import (
    GroupMessage,
    decode_message,
    encode_message,
)
from hyssopvane._internal.transport.addresses import format_address, parse_address
from hyssopvane._internal.utils.logs import log_event
from hyssopvane._internal.utils.token_bucket import TokenBucket

MAX_BYTES = 65_507
"""Largest payload of a datagram over IPv4."""

MAX_LOG_LINES_PER_S = 2.0
"""Rate limit of log lines on malformed datagrams; a sender may send thousands."""

ReceiveMessage = Callable[[GroupMessage, str], None]
"""Handles a message and the address of its sender."""


class DatagramPort:
    """Send and receive messages on one UDP socket.

    Each message holds a state that is sent again soon. A connection would retransmit
    lost messages, but over a silent link they would arrive late, when they are useless.
    """

    def __init__(
        self, address: str, *, count: Callable[[str], None] = lambda event: None
    ) -> None:
        self.address = address
        self._count_event = count
        """Counts an event, given by its name, in the metrics."""
        self._log_limiter = TokenBucket(
            per_s=MAX_LOG_LINES_PER_S, burst=MAX_LOG_LINES_PER_S
        )
        self._datagrams = socket.socket(type=socket.SOCK_DGRAM)
        self._socket = trio.socket.from_stdlib_socket(self._datagrams)

    async def start(self, nursery: trio.Nursery, receive: ReceiveMessage) -> None:
        """Bind the address and pass received messages to `receive`."""
        await self._socket.bind(parse_address(self.address))
        self.address = format_address(self._socket.getsockname())
        nursery.start_soon(self._receive, receive)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def send(self, message: GroupMessage, *addresses: str) -> int:
        """Send a message to each address, and return its size in bytes.

        Datagrams that can't be sent are counted and dropped.
        """
        data = encode_message(message)
        for address in addresses:
            try:
                await self._send_datagram(data, parse_address(address))
            except OSError:
                # The queue is full or there is no route. The next message replaces this
                # one.
                self._count_event("datagram-unsent")
        await trio.lowlevel.checkpoint()
        return len(data)

    async def _send_datagram(self, data: bytes, to: tuple[str, int]) -> None:
        # Trio looks up the address and runs other tasks for each datagram, which costs
        # more than to send it.
        try:
            self._datagrams.sendto(data, to)
        except BlockingIOError:
            await self._socket.sendto(data, to)

    async def _receive(self, receive: ReceiveMessage) -> None:
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_BYTES)
            except OSError as error:
                # Linux reports here that an earlier datagram reached no listener.
                log_event("debug", "datagram-refused", why=repr(error))
                continue
            try:
                message = decode_message(data)
            except ProtocolError as error:
                self._count_event("datagram-malformed")
                if self._log_limiter.take(trio.current_time()):
                    log_event("warning", "datagram-malformed", sender=sender, why=error)
                continue
            receive(message, f"{sender[0]}:{sender[1]}")

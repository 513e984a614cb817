"""Limit uploads over HTTP/2 by what the applications take, stream by stream."""

from collections import deque

from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.http_stream import HTTPStream


class UploadWindows:
    """Acknowledge uploaded bytes once the application of their stream takes them.

    Hypercorn acknowledges them at once, and bounds its memory by a queue for each
    application; a full one blocked the reader of the connection, and so hid cancelled
    requests. With the flow control of HTTP/2 as the bound, the queue needs none.
    """

    def __init__(self, protocol: H2Protocol) -> None:
        self._protocol = protocol
        self._acknowledge = protocol.connection.acknowledge_received_data
        self._untaken: dict[int, deque[int]] = {}
        """Sizes of the parts in the queues of applications, by stream."""

    def start(self) -> None:
        """Take the place of the acknowledgements of the protocol."""
        self._protocol.connection.acknowledge_received_data = (  # type: ignore[method-assign]
            self._defer
        )

    def take(self, stream: int) -> None:
        """Acknowledge the oldest part of a stream, which its application has taken."""
        sizes = self._untaken.get(stream)
        if sizes:
            self._acknowledge(sizes.popleft(), stream)

    def close(self, stream: int) -> None:
        """Acknowledge what the application of a stream has left."""
        for size in self._untaken.pop(stream, ()):
            self._acknowledge(size, stream)

    def _defer(self, acknowledged_size: int, stream_id: int) -> None:
        found = self._protocol.streams.get(stream_id)
        if isinstance(found, HTTPStream) and not found.closed:
            self._untaken.setdefault(stream_id, deque()).append(acknowledged_size)
        else:
            self._acknowledge(acknowledged_size, stream_id)

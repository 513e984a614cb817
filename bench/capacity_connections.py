"""Measure processor time, memory and traffic of idle internal connections."""

import os
import sys
import time

import trio

from bench.processes import read_usage, run_in_new_process
from bench.slopes import Point, Slope, fit_slope
from hyssopvane._internal.protocol.codec import encode_frames
from hyssopvane._internal.protocol.messages import Frame, Heartbeat
from hyssopvane._internal.transport.framing import LENGTH_BYTES
from hyssopvane._internal.transport.peer_connection import (
    ConnectionTimes,
    PeerConnection,
)
from tests.lib.peers import RecordingHandler, make_hello

_HEARTBEAT_S = 0.5
_SECONDS = 4.0
_KIBIBYTE = 1024
_MICROSECONDS = 1e6
_SIZES = (20, 40, 80, 160)
# IPv4 and TCP headers with the timestamp option. Each heartbeat needs them twice: for
# its segment and for the acknowledgement.
_SEGMENT_BYTES = 52


def measure_heartbeats() -> Slope:
    """Measure the processor time of both ends by the number of idle connections."""
    points = [
        Point(size, trio.run(_run_idle, size)[0] * _MICROSECONDS) for size in _SIZES
    ]
    return fit_slope(
        "heartbeats",
        points,
        size_unit="connection, both ends, a second",
        value_unit="us",
    )


def measure_connection_memory() -> Slope:
    """Measure the memory of both ends by the number of idle connections."""
    points = [
        Point(size, run_in_new_process(__spec__.name, size) / _KIBIBYTE)
        for size in (50, 100, 200, 400)
    ]
    return fit_slope(
        "connection-memory", points, size_unit="connection, both ends", value_unit="KiB"
    )


def measure_heartbeat_bytes() -> Slope:
    """Count the bytes on the wire by the number of heartbeats from one end."""
    payload = encode_frames(
        [Frame(0, Heartbeat(1_000, 2**40, running=12, tokens_in_flight=40_000))]
    )
    size = LENGTH_BYTES + len(payload) + 2 * _SEGMENT_BYTES
    points = [Point(count, float(count * size)) for count in (1, 2, 4)]
    return fit_slope(
        "heartbeat-bytes", points, size_unit="heartbeat", value_unit="bytes"
    )


def _measure_memory(connections: int) -> float:
    # A few connections first load the modules and memory that all connections share.
    trio.run(_run_idle, 5, _HEARTBEAT_S)
    return float(trio.run(_run_idle, connections, _HEARTBEAT_S)[1])


async def _run_idle(connections: int, seconds: float = _SECONDS) -> tuple[float, int]:
    """Return processor seconds per second and the memory growth in bytes."""
    memory_before = read_usage(os.getpid()).resident_bytes
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]

        async def accept(stream: trio.SocketStream) -> None:
            await _make_connection(stream, "b", opener=False).run()

        nursery.start_soon(trio.serve_listeners, accept, listeners)
        for _ in range(connections):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await nursery.start(_make_connection(stream, "a", opener=True).run)
        await trio.sleep(_HEARTBEAT_S)
        memory = read_usage(os.getpid()).resident_bytes - memory_before
        started_at = time.process_time()
        await trio.sleep(seconds)
        spent_s = time.process_time() - started_at
        nursery.cancel_scope.cancel()
    return spent_s / seconds, memory


def _make_connection(
    stream: trio.SocketStream, vm: str, *, opener: bool
) -> PeerConnection:
    return PeerConnection(
        stream,
        hello=make_hello(vm),
        handler=RecordingHandler(),
        times=ConnectionTimes(heartbeat_s=_HEARTBEAT_S, silence_s=10.0),
        opener=opener,
    )


MEASURES = {
    "heartbeats": measure_heartbeats,
    "connection-memory": measure_connection_memory,
    "heartbeat-bytes": measure_heartbeat_bytes,
}

if __name__ == "__main__":
    print(_measure_memory(int(sys.argv[1])))

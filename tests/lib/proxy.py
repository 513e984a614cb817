"""Simulate a network device that drops data of open connections."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

import trio

_READ_BYTES = 65_536


class Proxy:
    """Forward TCP connections to one address, until they are silenced."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._silent: set[trio.SocketStream] = set()
        self._open: set[trio.SocketStream] = set()
        self._started = threading.Event()
        self._stopped = trio.Event()
        self.address = ""
        self.accepted = 0

    def silence_open(self) -> None:
        """Drop all further data of the open connections without closing them."""
        self._silent |= self._open

    async def run(self) -> None:
        """Serve until stopped."""
        self._token = trio.lowlevel.current_trio_token()
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._started.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()

    def wait_started(self) -> None:
        """Wait until the address is known."""
        self._started.wait()

    def stop(self) -> None:
        """End the proxy and its connections."""
        self._token.run_sync_soon(self._stopped.set)

    async def _serve(self, near: trio.SocketStream) -> None:
        self.accepted += 1
        try:
            far = await trio.open_tcp_stream(*self._target)
        except OSError:
            await near.aclose()
            return
        self._open.add(near)
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._forward, near, far, near)
            await self._forward(far, near, near)
            nursery.cancel_scope.cancel()
        self._open.discard(near)

    async def _forward(self, source, sink, connection) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                if connection not in self._silent:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        if connection in self._silent:
            # A device that lost the connection's state does not forward its end either.
            await trio.sleep_forever()


@contextmanager
def run_proxy(target: str) -> Iterator[Proxy]:
    """Run a proxy in a separate thread."""
    proxy = Proxy(target)
    thread = threading.Thread(target=trio.run, args=(proxy.run,))
    thread.start()
    proxy.wait_started()
    try:
        yield proxy
    finally:
        proxy.stop()
        thread.join()

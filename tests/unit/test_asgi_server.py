"""Test serving of ASGI applications."""

import os
import socket

import httpcore
import pytest
import trio
from hypercorn.config import Config

from hyssopvane._internal.exceptions import SettingsError
from hyssopvane._internal.transport.addresses import parse_address
from hyssopvane._internal.transport.asgi_server import serve_asgi
from hyssopvane._internal.transport.http_server import ConnectionPolicy, HttpServer


async def answer(scope, receive, send):
    if scope["type"] == "lifespan":
        await receive()
        await send({"type": "lifespan.startup.complete"})
        await receive()
        await send({"type": "lifespan.shutdown.complete"})
        return
    body = scope["http_version"].encode()
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": body})


@pytest.mark.parametrize(
    ("http1", "http2", "version"), [(True, False, b"1.1"), (False, True, b"2")]
)
def test_serve_asgi_answers_both_versions(http1, http2, version):
    async def run():
        shutdown = trio.Event()
        async with trio.open_nursery() as nursery:

            async def start(task_status):
                await serve_asgi(
                    answer,
                    bind="127.0.0.1:0",
                    graceful_timeout_s=5,
                    shutdown=shutdown,
                    task_status=task_status,
                )

            address = await nursery.start(start)
            async with httpcore.AsyncConnectionPool(http1=http1, http2=http2) as pool:
                response = await pool.request("GET", f"http://{address}/")
            shutdown.set()
        return response.content

    assert trio.run(run) == version


def test_serve_asgi_reports_an_address_in_use():
    async def run():
        taken = trio.socket.socket()
        await taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        with pytest.raises(SettingsError) as error:
            await serve_asgi(
                answer, bind=address, graceful_timeout_s=0, shutdown=trio.Event()
            )
        taken.close()
        assert address in str(error.value)

    trio.run(run)


@pytest.mark.parametrize("address", ["localhost:80", "10.0.0.7", "10.0.0.7:x", ""])
def test_parse_address_refuses(address):
    with pytest.raises(SettingsError):
        parse_address(address)


async def answer_truncated(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"half", "more_body": True})
    raise RuntimeError("the rest is lost")


@pytest.mark.parametrize("http2", [False, True])
def test_incomplete_answer_is_reported_as_broken(http2):
    """Guard against a caller that waits forever after a target failed within an answer.

    Over HTTP/2 hypercorn only removes the stream and sends no reset.
    """

    async def run():
        shutdown = trio.Event()
        async with trio.open_nursery() as nursery:

            async def start(task_status):
                await serve_asgi(
                    answer_truncated,
                    bind="127.0.0.1:0",
                    graceful_timeout_s=5,
                    shutdown=shutdown,
                    task_status=task_status,
                )

            address = await nursery.start(start)
            async with httpcore.AsyncConnectionPool(
                http1=not http2, http2=http2
            ) as pool:
                with pytest.raises(httpcore.RemoteProtocolError):
                    await pool.request(
                        "GET",
                        f"http://{address}/",
                        extensions={"timeout": {"read": 20}},
                    )
            shutdown.set()

    trio.run(run)


class LateListener(socket.socket):
    """Simulate a caller that connects between the last accept and the close."""

    late = None

    def dup(self):
        return socket.socket(fileno=os.dup(self.fileno()))

    def accept(self):
        try:
            return super().accept()
        except BlockingIOError:
            self.late = socket.socket()
            self.late.setblocking(False)
            self.late.connect_ex(self.getsockname())
            raise


def test_no_caller_connects_while_the_listener_closes():
    """Guard against connections established during a shutdown and reset immediately."""

    async def run():
        listener = LateListener()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        server = HttpServer(
            answer,
            config=Config(),
            policy=ConnectionPolicy(),
            leaving=trio.Event(),
            shutdown=trio.Event(),
            graceful_timeout_s=0,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run, listener)
            server._shutdown.set()
        return listener.late

    late = trio.run(run)
    with pytest.raises(OSError, match="not connected"):
        late.getpeername()
    # A pending reset would show here.
    assert late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    late.close()

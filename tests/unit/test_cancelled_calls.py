"""Test what a replica receives of a call that was cancelled."""

import socket

import pytest
import trio

from hyssopvane._internal.transport.replica_client import ReplicaClient

HANG_S = 20.0
BODY = 10_000 * b"x"
HEADERS = ((b"host", b"x"), (b"content-length", b"10000"))


def open_listener():
    """Return a listener whose connections take few bytes until they are read."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return trio.socket.from_stdlib_socket(listener)


async def read_all(connection):
    received = b""
    while part := await connection.recv(65_536):
        received += part
    return received


def test_replica_that_reads_late_does_not_get_a_cancelled_request():
    """Guard against a request that reaches its replica after its caller has left.

    After an orderly close the kernel goes on to send what the replica did not take.
    """

    async def main():
        client = ReplicaClient()
        listener = open_listener()
        address = "{}:{}".format(*listener.getsockname())
        async with trio.open_nursery() as nursery:
            sent = trio.Event()

            async def call():
                async with client.call(
                    address,
                    method="POST",
                    target=b"/",
                    headers=HEADERS,
                    body=BODY,
                    may_send=lambda abort: sent.set() or True,
                ):
                    raise AssertionError("the replica sent no answer")

            nursery.start_soon(call)
            connection, _ = await listener.accept()
            await sent.wait()
            for _ in range(100):
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
        with pytest.raises(ConnectionResetError), trio.fail_after(HANG_S):
            await read_all(connection)
        connection.close()
        listener.close()

    trio.run(main)

"""Test the responses of the stand-ins' ASGI applications."""

import pytest
import trio
import trio.testing

from hyssopvane._internal.standins.asgi import Responder


@pytest.mark.parametrize("ends", [True, False])
def test_only_an_unfinished_answer_is_cancelled(ends):
    """A disconnect is reported while a part of a response is being sent.

    If sending the last part is cancelled, the server leaves the connection between
    two requests, and a shutdown waits for it until the timeout.
    """
    trio.run(_disconnect_while_sending, ends)


async def _disconnect_while_sending(ends):
    disconnected, sent = trio.Event(), []

    async def receive():
        await disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        disconnected.set()
        await trio.testing.wait_all_tasks_blocked()
        sent.append(message["body"])

    responder = Responder(receive, send)

    async def work():
        await responder.send_chunk(b"part", more=not ends)

    assert await responder.run_while_connected(work) is ends
    assert sent == ([b"part"] if ends else [])

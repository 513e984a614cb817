"""Test the answers of small ASGI applications."""

import pytest
import trio
import trio.testing

from hyssopvane._internal.standins.asgi import Responder


@pytest.mark.parametrize("ends", [True, False])
def test_only_an_unfinished_answer_is_cancelled(ends):
    """Report a disconnect while a part of an answer is being sent.

    If that was the last part and its sending is cancelled, the server leaves the
    connection half way between two requests, and a shutdown waits for it in vain.
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

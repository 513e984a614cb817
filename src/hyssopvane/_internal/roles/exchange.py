"""Send one request to an agent and relay the answer to the caller."""

from dataclasses import dataclass
from functools import partial

import trio

from hyssopvane._internal.exceptions import PeerLost
from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.protocol.messages import (
    Broken,
    Chunk,
    End,
    Head,
    Message,
    Open,
    Refused,
)
from hyssopvane._internal.roles.call import ReplyWriter
from hyssopvane._internal.transport.caller_presence import CallerPresence
from hyssopvane._internal.transport.peer_connection import (
    PeerConnection,
    PeerStream,
)


@dataclass(frozen=True, slots=True)
class Answered:
    """Report that the caller received the complete answer."""

    latency_s: float
    """Time to the first message of the answer."""


@dataclass(frozen=True, slots=True)
class NotStarted:
    """Report why the agent did not start the attempt."""

    reason: AgentRefusal
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """Report why an attempt that started has no complete answer."""

    why: str


@dataclass(frozen=True, slots=True)
class Lost:
    """Report that the connection was lost and the attempt's outcome is unknown."""

    why: str


@dataclass(frozen=True, slots=True)
class TooLate:
    """Report that the deadline passed before the answer was complete."""


ExchangeEnd = Answered | NotStarted | Failed | Lost | TooLate

_REASONS = frozenset(AgentRefusal)


async def exchange(
    connection: PeerConnection,
    opening: Open,
    *,
    body: bytes,
    reply: ReplyWriter,
    presence: CallerPresence,
    deadline: float,
) -> ExchangeEnd:
    """Open a stream, send the body, relay the answer, and close the stream.

    Nothing is sent before the presence of the caller is known.

    A caller that already received part of the answer gets only the remaining part.
    """
    started_at = trio.current_time()
    with trio.move_on_at(deadline) as waiting:
        await presence.wait_until_known()
    if waiting.cancelled_caught:
        # Nothing was sent.
        return NotStarted(AgentRefusal.CANCELLED)
    if connection.peer_leaving and not opening.join:
        # The agent reported that it is leaving after this target was chosen. An attempt
        # sent now could be lost when the connection closes. An answer that the agent
        # holds may still be fetched.
        return NotStarted(AgentRefusal.LEAVING)
    try:
        stream = connection.open_stream(opening)
    except PeerLost:
        # Nothing was sent: the connection was already lost.
        return NotStarted(AgentRefusal.NOT_CONNECTED)
    finished = False
    try:
        with trio.move_on_at(deadline):
            end = await _exchange_messages(stream, body, reply, started_at)
            finished = True
            return end
        return TooLate()
    finally:
        if not finished:
            stream.cancel()
        stream.close()


async def _exchange_messages(
    stream: PeerStream, body: bytes, reply: ReplyWriter, started_at: float
) -> ExchangeEnd:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(_send_body, stream, body))
        end: ExchangeEnd
        try:
            first = await stream.receive()
            latency_s = trio.current_time() - started_at
            if isinstance(first, Head):
                if not reply.started:
                    await reply.send_head(first)
                end = await _relay_body(stream, reply, latency_s)
            else:
                end = _read_end(first)
        except PeerLost as error:
            end = Lost(str(error))
        nursery.cancel_scope.cancel()
        return end
    raise AssertionError("the nursery suppresses no exception")


async def _relay_body(
    stream: PeerStream, reply: ReplyWriter, latency_s: float
) -> ExchangeEnd:
    while True:
        message = await stream.receive()
        if isinstance(message, Chunk):
            await reply.send_data(message.data)
        elif isinstance(message, End):
            await reply.send_end()
            return Answered(latency_s)
        else:
            return _read_end(message)


def _read_end(message: Message) -> ExchangeEnd:
    if isinstance(message, Refused) and message.reason in _REASONS:
        return NotStarted(AgentRefusal(message.reason), message.retry_after_ms / 1_000)
    if isinstance(message, Broken):
        return Failed(message.reason)
    return Failed("the agent sent an unexpected message")


async def _send_body(stream: PeerStream, body: bytes) -> None:
    try:
        await stream.send_data(body)
        stream.send(End())
    except PeerLost:
        # The receiving task gets the same error and reports it.
        return

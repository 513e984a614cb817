"""Run one attempt without an idempotency key at the target."""

import time
from collections.abc import AsyncIterator

from hyssopvane._internal.exceptions import PeerLost
from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.policy.target_backoff import TargetBackoff
from hyssopvane._internal.protocol import headers
from hyssopvane._internal.protocol.messages import (
    Broken,
    Chunk,
    End,
    Head,
    Open,
    Refused,
)
from hyssopvane._internal.roles.target_refusal import observe_backoff
from hyssopvane._internal.state.attempts import AttemptRegister
from hyssopvane._internal.state.decisions import DecisionLog, DecisionRecord
from hyssopvane._internal.transport.peer_connection import PeerStream
from hyssopvane._internal.transport.target_client import (
    TargetAnswer,
    TargetClient,
    TargetFailed,
    TargetUnreachable,
)


class Attempt:
    """Relay one request to the target and its answer to the entry."""

    def __init__(
        self,
        stream: PeerStream,
        opening: Open,
        *,
        target: TargetClient,
        decision_log: DecisionLog,
        register: AttemptRegister,
        backoff: TargetBackoff,
    ) -> None:
        self._stream = stream
        self._opening = opening
        self._target = target
        self._decision_log = decision_log
        self._register = register
        self._backoff = backoff

    async def run(self) -> None:
        """Run the attempt; the last message on the stream reports how it ended."""
        self._record("started", "the agent takes new work")
        opening = self._opening
        await self._stream.connection.wait_until_current()
        try:
            async with self._target.call(
                method=opening.method,
                path=opening.path,
                headers=opening.headers,
                body=self._receive_body(),
            ) as response:
                await self._relay(response)
        except TargetUnreachable as error:
            # No connection was established, so the target never received the request.
            self._register.revert_start(opening.attempt)
            self._record("refused", f"target unreachable: {error}")
            self._stream.send(Refused(AgentRefusal.TARGET_UNREACHABLE.value))
        except TargetFailed as error:
            self._record("broken", str(error))
            self._stream.send(Broken(str(error)))
        else:
            self._record("answered", "the target's answer is whole")

    async def _relay(self, response: TargetAnswer) -> None:
        observe_backoff(self._backoff, response)
        self._stream.send(
            Head(response.status, headers.select_for_caller(tuple(response.headers)))
        )
        async for data in response.aiter_stream():
            await self._stream.send_data(data)
        self._stream.send(End())

    async def _receive_body(self) -> AsyncIterator[bytes]:
        while True:
            message = await self._stream.receive()
            if isinstance(message, End):
                return
            if not isinstance(message, Chunk):
                raise PeerLost("the entry sent another message instead of the body")
            await self._stream.connection.wait_until_current()
            yield message.data

    def _record(self, decision: str, why: str) -> None:
        self._decision_log.record(
            self._opening.request_id, DecisionRecord(time.time(), decision, why)
        )

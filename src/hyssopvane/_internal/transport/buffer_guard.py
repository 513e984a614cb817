"""Count what is buffered for callers and replicas, and cut stalled readers."""

from collections.abc import Callable, Hashable
from typing import Any

import trio

from hyssopvane._internal.policy.answer_room import AnswerRoom, GrowingAnswer
from hyssopvane._internal.policy.entry_pressure import (
    BufferAccount,
    BufferLedger,
    BufferLimits,
    ReaderKind,
)
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event

SLICE_BYTES = 16 * 1024
"""Largest part that is sent at once, so that the progress of a reader is seen: the
slowest reader that keeps up takes four seconds for it."""

REVIEW_INTERVAL_S = 0.25
"""Pause between two searches for stalled readers."""

MIN_PAUSE_S = 0.25
"""Delay of a review from which the process counts as having stood still."""

MIN_GAP_S = 0.1
"""Shortest time to send a part after which the reader's progress is recorded; shorter
ones are far below the time that a reader may stall."""


class ReaderStalled(Exception):
    """Make the server discard an answer whose caller does not read it."""


class BuffersFull(Exception):
    """Report that a request body exceeds the bytes that the entry may hold."""


class BufferGuard:
    """Keep the buffers of an entry within their bounds."""

    def __init__(self, limits: BufferLimits, metrics: DeferredMetrics) -> None:
        self.ledger = BufferLedger(limits)
        self._room = AnswerRoom(limits.total_bytes)
        self._room_freed = trio.Event()
        self._aborts: dict[GrowingAnswer, Callable[[], None]] = {}
        self._metrics = metrics
        self._sent = 0
        self._received = 0
        self._cuts: dict[BufferAccount, Callable[[], None]] = {}

    async def run(self) -> None:
        """Cut stalled readers until cancelled."""
        while True:
            due_at = trio.current_time() + REVIEW_INTERVAL_S
            await trio.sleep(REVIEW_INTERVAL_S)
            late_s = trio.current_time() - due_at
            if late_s > MIN_PAUSE_S:
                self.ledger.forgive(late_s)
            self.review()

    def open(
        self, kind: ReaderKind, connection: Hashable, cut: Callable[[], None]
    ) -> BufferAccount:
        """Open an account; `cut` ends its request or call."""
        account = self.ledger.open(kind, connection)
        self._cuts[account] = cut
        return account

    def close(self, account: BufferAccount) -> None:
        """Close an account whose request or call has ended."""
        self.ledger.close(account)
        del self._cuts[account]

    def open_answer(
        self, service: str, replica: str, abort: Callable[[], None]
    ) -> GrowingAnswer:
        """Open the account of an answer to be read; `abort` ends its call."""
        answer = self._room.open(service, replica)
        self._aborts[answer] = abort
        return answer

    def close_answer(self, answer: GrowingAnswer) -> None:
        """Release the room of an answer."""
        if answer in self._aborts:
            del self._aborts[answer]
            self._room.close(answer)
            self._room_freed.set()
            self._room_freed = trio.Event()

    async def wait_for_room(self, answer: GrowingAnswer, size: int) -> None:
        """Wait until there is room for an answer of a length."""
        if self._room.reserve(answer, size):
            return
        self._metrics.count_event("answer-waited-for-room")
        while not self._room.reserve(answer, size):
            await self._room_freed.wait()

    def grow_answer(self, answer: GrowingAnswer, size: int) -> None:
        """Record the size of an answer without a length; end calls for which there is
        no room.
        """
        for one in self._room.grow(answer, size):
            self._metrics.count_event("answer-given-up")
            log_event(
                "warning",
                "answer-given-up",
                service=one.service,
                replica=one.replica,
                size=one.size,
                limit=self._room.limit_bytes,
            )
            self._aborts[one]()

    def is_crowded(self, service: str) -> bool:
        """Return whether growing answers leave a service no room for new requests."""
        return self._room.is_crowded(service)

    def record_traffic(self, *, sent: int = 0, received: int = 0) -> None:
        """Count bytes that pass the network link."""
        self._sent += sent
        self._received += received

    def get_traffic(self) -> tuple[int, int]:
        """Return the bytes of bodies sent and received since the start."""
        return self._sent, self._received

    def review(self) -> None:
        """Cut the stalled readers that the bounds require to cut."""
        now = trio.current_time()
        self._metrics.set_level("held-bytes", self.ledger.total)
        for account in self.ledger.choose_cuts(now):
            self._metrics.count_event(f"slow-{account.kind.value}-cut")
            log_event(
                "info",
                "slow-reader-cut",
                reader=account.kind.value,
                connection=_format_connection(account.connection),
                held=account.size,
                stalled_s=round(account.measure_stall_s(now), 3),
                longest_gap_s=round(account.longest_gap_s, 3),
                resumable=account.resumable,
                total=self.ledger.total,
                limit=self.ledger.limits.total_bytes,
            )
            self._cuts[account]()


class GuardedExchange:
    """Count what one request of a caller holds, from its body to its answer."""

    def __init__(self, guard: BufferGuard, scope: Any, receive: Any, send: Any) -> None:
        self._guard = guard
        self._receive = receive
        self._send = send
        self._cutting = trio.CancelScope()
        self._receiving = trio.CancelScope()
        self._body_ended = False
        """Whether the caller has sent its whole request."""
        self._kept = 0
        """Bytes of the answer that is kept to be sent."""
        self.account = guard.open(ReaderKind.CALLER, scope["client"], self._cut)

    async def run(self, serve: Callable[..., Any], scope: Any) -> None:
        """Serve the request; raise `ReaderStalled` if its caller was cut."""
        try:
            with self._cutting:
                await serve(scope, self.receive, self.send, self)
        finally:
            self._guard.close(self.account)
        if self._cutting.cancelled_caught:
            raise ReaderStalled

    def is_refused(self) -> bool:
        """Return whether a bound leaves no room for the request."""
        return self._guard.ledger.refuses(self.account.connection)

    def is_service_refused(self, service: str) -> bool:
        """Return whether the answers of a service leave no room for the request."""
        return self._guard.is_crowded(service)

    def keep_answer(self, size: int) -> None:
        """Count an answer that was read whole until it is sent or replaced.

        Otherwise its bytes would not be counted until they are sent, and others would
        be let in for whom there is no room.
        """
        self._guard.ledger.hold(self.account, size - self._kept)
        self._kept = size

    def release_body(self) -> None:
        """Stop to count a request body that is given up."""
        self.account.receiving = False
        self._guard.ledger.hold(self.account, -self.account.held)

    async def receive(self) -> Any:
        """Return the next message; raise `BuffersFull` at a body without room."""
        if not self.account.receiving:
            message = await self._receive()
            self._record_message(message)
            return message
        message = None
        with trio.CancelScope() as self._receiving:
            message = await self._receive()
        if message is not None:
            self._record_message(message)
        if self.account.is_cut:
            # A part may have been delivered when the cut was decided.
            self.release_body()
            raise BuffersFull
        return message

    def _record_message(self, message: Any) -> None:
        if message["type"] == "http.request":
            size, more = len(message.get("body", b"")), message.get("more_body", False)
            self._body_ended = not more
            self._record_received(size, more=more)

    def _record_received(self, size: int, *, more: bool) -> None:
        ledger, now = self._guard.ledger, trio.current_time()
        ledger.record_received(self.account, size, more=more, now=now)
        self._guard.record_traffic(received=size)
        if size and self.is_refused():
            ledger.record_refusal(self.account.held, now=now)
            self.release_body()
            raise BuffersFull

    def _cut(self) -> None:
        # While the body is received, the request has not run and can be refused.
        if self.account.receiving:
            self._receiving.cancel()
        else:
            self._cutting.cancel()

    async def send(self, message: Any) -> None:
        """Send a message, a large body in slices."""
        body = message.get("body", b"")
        if not body:
            await self._send(message)
            return
        if message.get("more_body", False) or self._body_ended:
            await self._send_body(message, body)
            return
        # At the end of an answer the server waits for the end of the request. A caller
        # that uploads slowly would count as stalled, and lose the refusal it is sent.
        await self._send_body({**message, "more_body": True}, body)
        await self._send({**message, "body": b""})

    async def _send_body(self, message: Any, body: bytes) -> None:
        ledger, account, size = self._guard.ledger, self.account, len(body)
        if self._kept:
            self.keep_answer(0)
        began_at = trio.current_time()
        ledger.hold(account, size)
        ledger.begin_sending(account, size, now=began_at)
        try:
            if size > SLICE_BYTES:
                await self._send_slices(message, body)
            else:
                await self._send(message)
                now = trio.current_time()
                if now - began_at >= MIN_GAP_S:
                    ledger.record_sent(account, size, now=now)
                self._guard.record_traffic(sent=size)
        finally:
            ledger.end_sending(account)
            ledger.hold(account, -size)

    async def _send_slices(self, message: Any, body: bytes) -> None:
        ledger, rest = self._guard.ledger, memoryview(body)
        while rest:
            part, rest = rest[:SLICE_BYTES], rest[SLICE_BYTES:]
            more = bool(rest) or message.get("more_body", False)
            await self._send({**message, "body": part, "more_body": more})
            ledger.record_sent(self.account, len(part), now=trio.current_time())
            # A large answer takes seconds, in each of which it uses the link.
            self._guard.record_traffic(sent=len(part))


class GuardedCall:
    """Count what one call of a replica holds: the unsent body, and a whole answer."""

    def __init__(
        self,
        guard: BufferGuard,
        address: str,
        cut: Callable[[], None],
        *,
        service: str = "",
        abort: Callable[[], None] = lambda: None,
    ) -> None:
        self._guard = guard
        self._account = guard.open(ReaderKind.REPLICA, address, cut)
        self._answer = guard.open_answer(service, address, abort)

    @property
    def is_cut(self) -> bool:
        """Return whether the call was ended as the replica read too slowly."""
        return self._account.is_cut

    @property
    def is_given_up(self) -> bool:
        """Return whether the call was ended as there is no room for its answer."""
        return self._answer.is_given_up

    async def wait_for_room(self, size: int) -> None:
        """Wait until there is room for an answer of a length."""
        await self._guard.wait_for_room(self._answer, size)

    def record_unfinished(self, size: int) -> None:
        """Record how much of an answer without a length is held until it is complete.

        This call, or another one, may be ended for it.
        """
        self._guard.grow_answer(self._answer, size)

    def end_reading(self) -> None:
        """Release the room of an answer that is read whole."""
        self._guard.close_answer(self._answer)

    def begin_sending(self, size: int) -> None:
        """Record the body of the request, which counts with the caller's account."""
        now = trio.current_time()
        self._guard.ledger.begin_sending(self._account, size, now=now)

    def record_sent(self, size: int) -> None:
        """Record that the kernel has taken bytes."""
        self._guard.record_traffic(sent=size)
        now = trio.current_time()
        self._guard.ledger.record_sent(self._account, size, now=now)

    def end_sending(self) -> None:
        """Record that the replica answers, even if it has not read the whole body."""
        self._guard.ledger.end_sending(self._account)

    def record_received(self, size: int) -> None:
        """Record that a part of the answer was received."""
        self._guard.record_traffic(received=size)

    def hold(self, size: int) -> None:
        """Add bytes of an answer that is read whole, or release them."""
        self._guard.ledger.hold(self._account, size)

    def close(self) -> None:
        """Release everything when the call has ended."""
        self._guard.close(self._account)
        self._guard.close_answer(self._answer)


def _format_connection(connection: Hashable) -> str:
    if isinstance(connection, tuple):
        return ":".join(map(str, connection))
    return str(connection)

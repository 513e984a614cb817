"""Keep answers so that a repeat of a request gets the complete answer."""

from collections import OrderedDict

import trio

from hyssopvane._internal.protocol.messages import (
    ANSWER_DROPPED,
    Broken,
    End,
    Head,
    Refused,
)
from hyssopvane._internal.transport.peer_connection import PeerStream

MAX_ANSWER_BYTES = 1024 * 1024
"""Largest part of one answer that is kept; a draft has about 10 kB.

A longer answer still reaches the connected callers, at the speed at which they read. A
repeat can then no longer get it from its start.
"""

MAX_KEPT_BYTES = 24 * 1024 * 1024
"""Bytes of all kept answers; with this limit the agent stays below its 128 MB."""

_READ_BYTES = 64 * 1024

AnswerEnd = End | Broken | Refused


class _Reader:
    def __init__(self, position: int) -> None:
        self.position = position


class KeptAnswer:
    """Hold one answer, complete or still being received, for any number of readers."""

    def __init__(self, budget: "AnswerBudget") -> None:
        self._budget = budget
        self._head: Head | None = None
        self._data = bytearray()
        self._start = 0
        """Number of bytes dropped from the start of the body."""
        self._end: AnswerEnd | None = None
        self._readers: set[_Reader] = set()
        self._changed = trio.Event()

    @property
    def size(self) -> int:
        """Return the number of bytes that are kept."""
        return len(self._data)

    @property
    def ended(self) -> bool:
        """Return whether the end of the answer was received."""
        return self._end is not None

    @property
    def is_being_read(self) -> bool:
        """Return whether the answer is being relayed to a caller."""
        return bool(self._readers)

    def begin(self, head: Head) -> None:
        """Set the status and headers of the answer."""
        self._head = head
        self._wake()

    async def append(self, data: bytes) -> None:
        """Append bytes of the body; above the limit, wait for slow readers."""
        while self.size + len(data) > MAX_ANSWER_BYTES and self._readers:
            self._trim(min(one.position for one in self._readers))
            if self.size + len(data) <= MAX_ANSWER_BYTES:
                break
            await self._wait()
        if self.size + len(data) > MAX_ANSWER_BYTES:
            self.drop()
        if self._start and not self._data and not self._readers:
            # There is no reader, and a repeat can't get the answer from its start.
            self._start += len(data)
            return
        self._data += data
        self._budget.enforce_limit()
        self._wake()

    def finish(self, end: AnswerEnd) -> None:
        """Set the message that ends the answer."""
        self._end = end
        self._wake()

    def drop(self) -> None:
        """Drop the kept bytes of the body; readers that need them get `Broken`."""
        self._trim(self._start + self.size)

    async def relay(self, stream: PeerStream, *, resume_from: int) -> None:
        """Send the answer to a stream from byte `resume_from` of its body on."""
        reader = _Reader(resume_from)
        self._readers.add(reader)
        try:
            while self._head is None and self._end is None:
                await self._wait()
            if self._head is not None:
                stream.send(self._head)
                await self._relay_body(stream, reader)
            else:
                assert self._end is not None
                stream.send(self._end)
        finally:
            self._readers.discard(reader)
            self._wake()

    async def _relay_body(self, stream: PeerStream, reader: _Reader) -> None:
        while reader.position >= self._start:
            offset = reader.position - self._start
            data = bytes(self._data[offset : offset + _READ_BYTES])
            if data:
                await stream.send_data(data)
                reader.position += len(data)
                self._wake()
            elif self._end is not None:
                stream.send(self._end)
                return
            else:
                await self._wait()
        stream.send(Broken(ANSWER_DROPPED))

    def _trim(self, position: int) -> None:
        count = max(0, min(position - self._start, self.size))
        del self._data[:count]
        self._start += count

    async def _wait(self) -> None:
        await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class AnswerBudget:
    """Limit the bytes of all kept answers of an agent."""

    def __init__(self, *, max_bytes: int = MAX_KEPT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._answers: OrderedDict[bytes, KeptAnswer] = OrderedDict()

    def add(self, attempt: bytes) -> KeptAnswer:
        """Create an answer that counts against the budget."""
        answer = self._answers[attempt] = KeptAnswer(self)
        return answer

    def remove(self, attempt: bytes) -> None:
        """Remove the answer of an attempt."""
        self._answers.pop(attempt, None)

    def enforce_limit(self) -> None:
        """Drop the oldest answers without a reader, ended ones first.

        Without this limit, a burst of long answers whose callers don't return would use
        up the agent's memory, and the agent would die with all answers in progress.
        Answers being read are never dropped: `MAX_ANSWER_BYTES` bounds each of them.
        """
        over = self.count_bytes() - self._max_bytes
        if over <= 0:
            return
        unread = [one for one in self._answers.values() if not one.is_being_read]
        for answer in sorted(unread, key=lambda one: not one.ended):
            over -= answer.size
            answer.drop()
            if over <= 0:
                return

    def count_bytes(self) -> int:
        """Return the number of bytes kept of all answers."""
        return sum(answer.size for answer in self._answers.values())

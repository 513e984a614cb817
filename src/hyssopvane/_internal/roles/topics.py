"""Route questions and notices of peers by their topic."""

from collections.abc import Awaitable, Callable

from hyssopvane._internal.transport.peer_connection import PeerConnection

QuestionHandler = Callable[[PeerConnection, bytes], Awaitable[bytes]]
NoticeHandler = Callable[[PeerConnection, bytes], None]


class TopicRouter:
    """Hold a handler for each topic; questions of unknown topics get empty answers."""

    def __init__(self) -> None:
        self._question_handlers: dict[str, QuestionHandler] = {}
        self._notice_handlers: dict[str, NoticeHandler] = {}

    def add_question(self, topic: str, answer: QuestionHandler) -> None:
        """Register the handler for the questions of a topic."""
        self._question_handlers[topic] = answer

    def add_notice(self, topic: str, receive: NoticeHandler) -> None:
        """Register the handler for the notices of a topic."""
        self._notice_handlers[topic] = receive

    async def answer(self, peer: PeerConnection, topic: str, body: bytes) -> bytes:
        """Answer a question; one of an unknown topic, from a newer peer, gets `b""`."""
        answer = self._question_handlers.get(topic)
        return b"" if answer is None else await answer(peer, body)

    def receive(self, peer: PeerConnection, topic: str, body: bytes) -> None:
        """Pass a notice to its handler; ignore one of an unknown topic."""
        receive = self._notice_handlers.get(topic)
        if receive is not None:
            receive(peer, body)

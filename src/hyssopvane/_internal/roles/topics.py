"""Route questions and notices of peers by their topic."""

from collections.abc import Awaitable, Callable

from hyssopvane._internal.transport.peer_connection import PeerConnection

AnswerQuestion = Callable[[PeerConnection, bytes], Awaitable[bytes]]
ReceiveNotice = Callable[[PeerConnection, bytes], None]


class TopicRouter:
    """Hold a handler for each topic; questions of unknown topics get empty answers."""

    def __init__(self) -> None:
        self._answers: dict[str, AnswerQuestion] = {}
        self._notices: dict[str, ReceiveNotice] = {}

    def add_question(self, topic: str, answer: AnswerQuestion) -> None:
        """Register the handler for the questions of a topic."""
        self._answers[topic] = answer

    def add_notice(self, topic: str, receive: ReceiveNotice) -> None:
        """Register the handler for the notices of a topic."""
        self._notices[topic] = receive

    async def answer(self, peer: PeerConnection, topic: str, body: bytes) -> bytes:
        """Answer a question; one of an unknown topic, from a newer peer, gets `b""`."""
        answer = self._answers.get(topic)
        return b"" if answer is None else await answer(peer, body)

    def receive(self, peer: PeerConnection, topic: str, body: bytes) -> None:
        """Pass a notice to its handler; ignore one of an unknown topic."""
        receive = self._notices.get(topic)
        if receive is not None:
            receive(peer, body)

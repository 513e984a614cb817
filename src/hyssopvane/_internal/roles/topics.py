"""Route questions and notices of peers by their topic."""

from collections.abc import Awaitable, Callable

from hyssopvane._internal.transport.peer_connection import PeerConnection

AnswerQuestion = Callable[[PeerConnection, bytes], Awaitable[bytes]]
ReceiveNotice = Callable[[PeerConnection, bytes], None]


class TopicRouter:
    """Hold one function for each topic; an unknown topic is answered by nothing."""

    def __init__(self) -> None:
        self._answers: dict[str, AnswerQuestion] = {}
        self._notices: dict[str, ReceiveNotice] = {}

    def add_question(self, topic: str, answer: AnswerQuestion) -> None:
        """Answer the questions of a topic by a function."""
        self._answers[topic] = answer

    def add_notice(self, topic: str, receive: ReceiveNotice) -> None:
        """Pass the notices of a topic to a function."""
        self._notices[topic] = receive

    async def answer(self, peer: PeerConnection, topic: str, body: bytes) -> bytes:
        """Answer a question; a peer of a later version may ask an unknown one."""
        answer = self._answers.get(topic)
        return b"" if answer is None else await answer(peer, body)

    def receive(self, peer: PeerConnection, topic: str, body: bytes) -> None:
        """Pass a notice on; one of an unknown topic is ignored."""
        receive = self._notices.get(topic)
        if receive is not None:
            receive(peer, body)

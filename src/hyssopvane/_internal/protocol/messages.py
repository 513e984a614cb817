"""Define the messages on a connection between two processes of the system."""

from dataclasses import dataclass

from hyssopvane._internal.state.store_position import StorePosition

PROTOCOL_VERSION = 1

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Hello:
    """Identify this process to the peer; the first message in each direction."""

    version: int
    role: str
    vm: str
    availability_zone: str
    incarnation: int
    """Random number drawn at each start of the process."""
    token: str
    service: str = ""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show that the process is alive, and report its load and table position."""

    sequence: int
    table_revision: int = 0
    running: int = 0
    tokens_in_flight: int = 0
    leaving: bool = False
    table_era: int = 0
    """Era of the key-value service that `table_revision` belongs to."""

    @property
    def table_position(self) -> StorePosition:
        """Return the position of the table in the history of the key-value service."""
        return StorePosition(self.table_era, self.table_revision)


@dataclass(frozen=True, slots=True)
class Open:
    """Request an attempt at an agent's target, or join a running one by its key."""

    request_id: str
    attempt: bytes
    incarnation: int
    """Incarnation of the agent that the attempt is addressed to."""
    customer: str
    method: str
    path: bytes
    """Path with the query."""
    headers: Headers
    deadline_ms: int
    key: str = ""
    body_digest: bytes = b""
    join: bool = False
    """Whether to deliver the answer of this attempt without starting it."""
    resume_from: int = 0
    """Bytes of the answer's body that the caller has already received."""
    key_window_s: int = 0
    """Age in seconds after which a request with this key is not run."""


@dataclass(frozen=True, slots=True)
class Head:
    """Carry the status and headers of an answer."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class Chunk:
    """Carry bytes of a body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """Mark the end of a complete body."""


ANSWER_DROPPED = "answer-dropped"
"""Reason of a `Broken` for a finished attempt whose answer is not stored."""


@dataclass(frozen=True, slots=True)
class Broken:
    """Report that an attempt started and its answer can't be completed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that an attempt did not start and never will."""

    reason: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Report that the answer is no longer needed."""


@dataclass(frozen=True, slots=True)
class Credit:
    """Allow the peer to send `size` more bytes of a body."""

    size: int


@dataclass(frozen=True, slots=True)
class Notice:
    """Send the peer information that needs no answer."""

    topic: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Question:
    """Query the peer, which replies with an `Answer` on the same stream."""

    topic: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """Carry the reply to a `Question`."""

    body: bytes


Message = (
    Hello
    | Heartbeat
    | Open
    | Head
    | Chunk
    | End
    | Broken
    | Refused
    | Cancel
    | Credit
    | Notice
    | Question
    | Answer
)


@dataclass(frozen=True, slots=True)
class Frame:
    """Address a message to a stream; stream 0 is the connection itself."""

    stream: int
    message: Message

"""Define the messages on a connection between two processes of the system."""

from dataclasses import dataclass

from hyssopvane._internal.state.store_position import StorePosition

PROTOCOL_VERSION = 1

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Hello:
    """Greet the peer; the first message each way."""

    version: int
    role: str
    vm: str
    availability_zone: str
    incarnation: int
    """Random number of this start of the process."""
    token: str
    service: str = ""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show that the process lives, with what its peer should know of it."""

    sequence: int
    table_revision: int = 0
    running: int = 0
    tokens_in_flight: int = 0
    leaving: bool = False
    table_era: int = 0
    """Era of the key-value service that the table's revision belongs to."""

    @property
    def table_position(self) -> StorePosition:
        """Return the point of the service's history that the table is of."""
        return StorePosition(self.table_era, self.table_revision)


@dataclass(frozen=True, slots=True)
class Open:
    """Ask an agent to run a request at its target, or to join one by its key."""

    request_id: str
    attempt: bytes
    incarnation: int
    """Incarnation of the agent that the attempt is meant for."""
    customer: str
    method: str
    path: bytes
    """Path with the query."""
    headers: Headers
    deadline_ms: int
    key: str = ""
    body_digest: bytes = b""
    join: bool = False
    """Whether to give the answer of this attempt and start nothing."""
    resume_from: int = 0
    """Bytes of the answer's body that the caller already has."""
    key_window_s: int = 0
    """Age in seconds after which the key is no longer run."""


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
    """Tell that a body is whole."""


ANSWER_DROPPED = "answer-dropped"
"""Reason of a `Broken` for an attempt that ended and whose answer is not kept."""


@dataclass(frozen=True, slots=True)
class Broken:
    """Tell that an attempt began and its answer can't be completed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Tell that an attempt did not begin and never will."""

    reason: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tell that nobody waits for the answer any more."""


@dataclass(frozen=True, slots=True)
class Credit:
    """Allow the peer to send more bytes of a body."""

    size: int


@dataclass(frozen=True, slots=True)
class Notice:
    """Tell the peer something that needs no answer."""

    topic: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Question:
    """Ask the peer something; it replies with an `Answer` on the same stream."""

    topic: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a `Question`."""

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
    """Address a message to a stream of the connection; 0 is the connection."""

    stream: int
    message: Message

"""Encode messages as Cap'n Proto and decode them."""

from collections.abc import Callable, Iterator, Sequence
from functools import cache
from pathlib import Path
from typing import Any

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.messages import (
    Answer,
    Broken,
    Cancel,
    Chunk,
    Credit,
    End,
    Frame,
    Head,
    Headers,
    Heartbeat,
    Hello,
    Message,
    Notice,
    Open,
    Question,
    Refused,
)

_SCHEMA_FILE = Path(__file__).with_name("peer.capnp")


@cache
def load_schema(path: Path) -> Any:
    """Load a schema file once; import pycapnp lazily, as it costs memory."""
    import capnp

    capnp.remove_import_hook()
    return capnp.load(str(path))


def encode_frames(frames: Sequence[Frame]) -> bytes:
    """Encode frames as one batch."""
    batch = load_schema(_SCHEMA_FILE).Batch.new_message()
    builders = batch.init("frames", len(frames))
    for builder, frame in zip(builders, frames, strict=True):
        builder.stream = frame.stream
        _WRITERS[type(frame.message)](builder, frame.message)
    encoded: bytes = batch.to_bytes()
    return encoded


def decode_frames(data: bytes) -> list[Frame]:
    """Decode one batch; raise `ProtocolError` when the bytes are not a valid batch."""
    import capnp

    try:
        with load_schema(_SCHEMA_FILE).Batch.from_bytes(data) as batch:
            return list(_read_frames(batch))
    except (capnp.KjException, KeyError, ValueError) as error:
        raise ProtocolError(
            "a frame from the peer can't be decoded",
            context=str(error).splitlines()[0][:200],
            hint="run the same version on both ends; the connection is reopened",
        ) from error


def _read_frames(batch: Any) -> Iterator[Frame]:
    for reader in batch.frames:
        yield Frame(reader.stream, _READERS[reader.which()](reader))


def _write_headers(builder: Any, headers: Headers) -> None:
    items = builder.init("headers", len(headers))
    for item, (name, value) in zip(items, headers, strict=True):
        item.name = name
        item.value = value


def _read_headers(reader: Any) -> Headers:
    return tuple((bytes(item.name), bytes(item.value)) for item in reader.headers)


def _write_hello(builder: Any, message: Hello) -> None:
    hello = builder.init("hello")
    hello.version = message.version
    hello.role = message.role
    hello.vm = message.vm
    hello.availabilityZone = message.availability_zone
    hello.incarnation = message.incarnation
    hello.token = message.token
    hello.service = message.service


def _read_hello(reader: Any) -> Hello:
    hello = reader.hello
    return Hello(
        version=hello.version,
        role=hello.role,
        vm=hello.vm,
        availability_zone=hello.availabilityZone,
        incarnation=hello.incarnation,
        token=hello.token,
        service=hello.service,
    )


def _write_heartbeat(builder: Any, message: Heartbeat) -> None:
    heartbeat = builder.init("heartbeat")
    heartbeat.sequence = message.sequence
    heartbeat.tableRevision = message.table_revision
    heartbeat.running = message.running
    heartbeat.tokensInFlight = message.tokens_in_flight
    heartbeat.leaving = message.leaving
    heartbeat.tableEra = message.table_era


def _read_heartbeat(reader: Any) -> Heartbeat:
    heartbeat = reader.heartbeat
    return Heartbeat(
        sequence=heartbeat.sequence,
        table_revision=heartbeat.tableRevision,
        running=heartbeat.running,
        tokens_in_flight=heartbeat.tokensInFlight,
        leaving=heartbeat.leaving,
        table_era=heartbeat.tableEra,
    )


def _write_open(builder: Any, message: Open) -> None:
    opening = builder.init("open")
    opening.requestId = message.request_id
    opening.attempt = message.attempt
    opening.incarnation = message.incarnation
    opening.customer = message.customer
    opening.method = message.method
    opening.path = message.path
    _write_headers(opening, message.headers)
    opening.deadlineMs = message.deadline_ms
    opening.key = message.key
    opening.bodyDigest = message.body_digest
    opening.join = message.join
    opening.resumeFrom = message.resume_from
    opening.keyWindowS = message.key_window_s


def _read_open(reader: Any) -> Open:
    opening = reader.open
    return Open(
        request_id=opening.requestId,
        attempt=bytes(opening.attempt),
        incarnation=opening.incarnation,
        customer=opening.customer,
        method=opening.method,
        path=bytes(opening.path),
        headers=_read_headers(opening),
        deadline_ms=opening.deadlineMs,
        key=opening.key,
        body_digest=bytes(opening.bodyDigest),
        join=opening.join,
        resume_from=opening.resumeFrom,
        key_window_s=opening.keyWindowS,
    )


def _write_head(builder: Any, message: Head) -> None:
    head = builder.init("head")
    head.status = message.status
    _write_headers(head, message.headers)


def _read_head(reader: Any) -> Head:
    return Head(status=reader.head.status, headers=_read_headers(reader.head))


def _write_chunk(builder: Any, message: Chunk) -> None:
    builder.chunk = message.data


def _write_end(builder: Any, message: End) -> None:
    builder.end = None


def _write_broken(builder: Any, message: Broken) -> None:
    builder.broken = message.reason


def _write_refused(builder: Any, message: Refused) -> None:
    refused = builder.init("refused")
    refused.reason = message.reason
    refused.retryAfterMs = message.retry_after_ms


def _read_refused(reader: Any) -> Refused:
    return Refused(reader.refused.reason, reader.refused.retryAfterMs)


def _write_cancel(builder: Any, message: Cancel) -> None:
    builder.cancel = None


def _write_credit(builder: Any, message: Credit) -> None:
    builder.credit = message.size


def _write_notice(builder: Any, message: Notice) -> None:
    notice = builder.init("notice")
    notice.topic = message.topic
    notice.body = message.body


def _write_question(builder: Any, message: Question) -> None:
    question = builder.init("question")
    question.topic = message.topic
    question.body = message.body


def _write_answer(builder: Any, message: Answer) -> None:
    builder.answer = message.body


_WRITERS: dict[type[Message], Callable[[Any, Any], None]] = {
    Hello: _write_hello,
    Heartbeat: _write_heartbeat,
    Open: _write_open,
    Head: _write_head,
    Chunk: _write_chunk,
    End: _write_end,
    Broken: _write_broken,
    Refused: _write_refused,
    Cancel: _write_cancel,
    Credit: _write_credit,
    Notice: _write_notice,
    Question: _write_question,
    Answer: _write_answer,
}

_READERS: dict[str, Callable[[Any], Message]] = {
    "hello": _read_hello,
    "heartbeat": _read_heartbeat,
    "open": _read_open,
    "head": _read_head,
    "chunk": lambda reader: Chunk(bytes(reader.chunk)),
    "end": lambda reader: End(),
    "broken": lambda reader: Broken(reader.broken),
    "refused": _read_refused,
    "cancel": lambda reader: Cancel(),
    "credit": lambda reader: Credit(reader.credit),
    "notice": lambda reader: Notice(reader.notice.topic, bytes(reader.notice.body)),
    "question": lambda reader: Question(
        reader.question.topic, bytes(reader.question.body)
    ),
    "answer": lambda reader: Answer(bytes(reader.answer)),
}

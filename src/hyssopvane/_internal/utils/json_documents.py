"""Read JSON documents that other processes have written."""

import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

MAX_NUMBER = 2**63 - 1
"""Largest number that is read; those that processes write are far smaller."""

_UNREADABLE = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)

_Kind = TypeVar("_Kind")


class UnreadableDocument(ValueError):
    """Report a document that is malformed, whatever is wrong with it."""


@contextmanager
def reading_document() -> Iterator[None]:
    """Raise only `UnreadableDocument` for what is wrong with a document."""
    try:
        yield
    except _UNREADABLE as error:
        raise UnreadableDocument(f"{type(error).__name__}: {error}"[:500]) from error


def parse_document(
    content: bytes | str, build: Callable[[Any], _Kind] = lambda document: document
) -> _Kind:
    """Return what is built of a JSON document; raise `UnreadableDocument`."""
    with reading_document():
        return build(json.loads(content))


def read_number(value: object) -> int:
    """Return a whole number of a document; raise `ValueError` if it is too large."""
    number = int(value)  # type: ignore[call-overload]
    if abs(number) > MAX_NUMBER:
        raise ValueError("a number is too large")
    return int(number)

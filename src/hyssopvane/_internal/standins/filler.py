"""Generate body content for responses of which only the length matters."""

from collections.abc import Iterator

CHUNK = b"0123456789abcdef" * 4096


def generate_filler(length: int) -> Iterator[bytes]:
    """Yield chunks with a total of `length` bytes."""
    for start in range(0, length, len(CHUNK)):
        yield CHUNK[: length - start]

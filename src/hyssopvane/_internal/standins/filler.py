"""Make bodies whose length alone matters."""

from collections.abc import Iterator

CHUNK = b"0123456789abcdef" * 4096


def generate_filler(length: int) -> Iterator[bytes]:
    """Yield chunks that add up to a length."""
    for start in range(0, length, len(CHUNK)):
        yield CHUNK[: length - start]

"""Read the list of parts that a request's prompt is made of."""

import hashlib

MAX_PARTS = 16
"""Number of parts of a prompt that are read, from the first one on."""

MAX_PART_BYTES = 32
"""Length of a part's ID from which on its digest stands for it."""

_MAX_HEADER_BYTES = 4_096


def read_prompt_parts(value: bytes | None) -> tuple[bytes, ...]:
    """Return the IDs of the parts that requests share, each once.

    The value lists ID:TOKENS entries, separated by commas. The last one belongs to the
    request alone and is left out; entries without an ID are ignored.
    """
    if not value:
        return ()
    listed = value[:_MAX_HEADER_BYTES].split(b",", MAX_PARTS)
    ids = (entry.partition(b":")[0].strip().lower() for entry in listed[:-1])
    return tuple(dict.fromkeys(_shorten(one) for one in ids if one))


def _shorten(part: bytes) -> bytes:
    if len(part) <= MAX_PART_BYTES:
        return part
    return hashlib.blake2b(part, digest_size=MAX_PART_BYTES).digest()

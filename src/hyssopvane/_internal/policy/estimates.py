"""Estimate a request's work from its body."""

import xxhash

# English text runs at about four bytes a token; the engines' reports correct the rest.
_BYTES_PER_TOKEN = 4
# The answer of a draft, when nothing else is known of it.
_DEFAULT_ANSWER_TOKENS = 256
_PREFIX_BLOCK_BYTES = 1024
# Long enough to tell system prompts apart, short enough to hash in microseconds.
_MAX_PREFIX_BLOCKS = 8


def estimate_tokens(body: bytes) -> int:
    """Estimate prompt and answer tokens of a request."""
    return len(body) // _BYTES_PER_TOKEN + _DEFAULT_ANSWER_TOKENS


def hash_prefixes(body: bytes) -> tuple[int, ...]:
    """Hash ever longer prefixes of a body, in blocks."""
    digest = xxhash.xxh3_64()
    hashes: list[int] = []
    for start in range(0, len(body) - _PREFIX_BLOCK_BYTES + 1, _PREFIX_BLOCK_BYTES):
        digest.update(body[start : start + _PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest())
        if len(hashes) == _MAX_PREFIX_BLOCKS:
            break
    return tuple(hashes)

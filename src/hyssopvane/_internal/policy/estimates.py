"""Estimate a request's work from its body."""

import xxhash

# English text has about four bytes per token; reports from the engines correct the
# rest.
_BYTES_PER_TOKEN = 4
# Length of a draft's answer, when nothing else is known about it.
_DEFAULT_ANSWER_TOKENS = 256
_PREFIX_BLOCK_BYTES = 1024
# Long enough to distinguish system prompts, short enough to hash in microseconds.
_MAX_PREFIX_BLOCKS = 8


def estimate_tokens(body: bytes) -> int:
    """Estimate the number of prompt and answer tokens of a request."""
    return len(body) // _BYTES_PER_TOKEN + _DEFAULT_ANSWER_TOKENS


def hash_prefixes(body: bytes) -> tuple[int, ...]:
    """Hash the prefixes of a body that end at block boundaries, the shortest first."""
    digest = xxhash.xxh3_64()
    hashes: list[int] = []
    for start in range(0, len(body) - _PREFIX_BLOCK_BYTES + 1, _PREFIX_BLOCK_BYTES):
        digest.update(body[start : start + _PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest())
        if len(hashes) == _MAX_PREFIX_BLOCKS:
            break
    return tuple(hashes)

"""Identify requests that are the same for a replica."""

import hashlib

DIGEST_BYTES = 16

_LENGTH_BYTES = 8


def make_request_digest(*parts: bytes) -> bytes:
    """Return a digest that only requests with the same parts have.

    It has to resist collisions made on purpose: a customer that finds another body with
    the digest of somebody else's request can have that request refused.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        # The lengths keep a byte from counting to one part or to the next.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()

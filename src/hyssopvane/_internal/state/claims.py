"""Describe which attempt may run for an idempotency key."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

BUCKET_COUNT = 8
"""Pages of one time slice.

Each is written by one compare-and-swap at a time, so this and the interval between
batches bound the writes a second, whatever the number of entries and requests.
"""

SLICE_S = 8
"""Seconds of keys that share the pages of one slice.

A page is rewritten whole for each batch: at 870 claims a second a page of 8 s holds
870 claims at its end (about 21 kB), where one of the whole window of 600 s would hold
65,000 (1.6 MB, above the service's limit).
"""

MAX_WINDOW_S = 3600
"""Widest window that the table allows, in seconds."""

ATTEMPT_BYTES = 8
NO_ATTEMPT = 0
_MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Name a claim: the hash of customer and key, and where its page is."""

    key_hash: int
    slice: int
    bucket: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Say which attempt may run for a key; a void one says that none may."""

    attempt: int
    """Number of the attempt; it stays after the claim is void."""
    body_digest: int
    target: str = ""
    incarnation: int = 0
    """Incarnation of the agent that the attempt is meant for."""
    void: bool = False


@dataclass(frozen=True, slots=True)
class ClaimChange:
    """Ask for a claim to be written if the present attempt is the expected one."""

    key: ClaimKey
    expected_attempt: int
    """Attempt of the claim to replace; `NO_ATTEMPT` where there must be none."""
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimPage:
    """Hold the claims of one slice and bucket."""

    claims: Mapping[int, Claim] = field(default_factory=dict)

    def apply(self, changes: Iterable[ClaimChange]) -> "ClaimPage":
        """Return the page with each change made whose expectation holds.

        Whoever asked finds out by looking for its own claim; so a change that was made
        already, and whose confirmation was lost, may be applied again.
        """
        claims = dict(self.claims)
        for change in changes:
            present = claims.get(change.key.key_hash)
            attempt = NO_ATTEMPT if present is None else present.attempt
            if present is not None and present.void:
                # An earlier caller was told that the key never ran and never will.
                continue
            if attempt == change.expected_attempt:
                claims[change.key.key_hash] = change.claim
        return replace(self, claims=claims)


def restore_claims(page: ClaimPage, lost: ClaimPage, *, prefer_lost: bool) -> ClaimPage:
    """Return a page with the claims that the service has lost of it."""
    if prefer_lost:
        return ClaimPage({**page.claims, **lost.claims})
    return ClaimPage({**lost.claims, **page.claims})


def make_claim_key(customer: str, key: str, created_at: float) -> ClaimKey:
    """Return the name of a key's claim."""
    # A hash of 64 bits: two keys of one slice that meet are told as a mismatch of the
    # body, and the agent compares the whole key; nothing runs twice and no answer
    # reaches another caller.
    digest = hashlib.blake2b(f"{customer}\0{key}".encode(), digest_size=8).digest()
    key_hash = int.from_bytes(digest)
    return ClaimKey(key_hash, get_slice(created_at), key_hash % BUCKET_COUNT)


def get_slice(time_s: float) -> int:
    """Return the number of the slice that a time belongs to."""
    return int(time_s * _MILLISECONDS) // (SLICE_S * _MILLISECONDS)


def truncate_digest(body_digest: bytes) -> int:
    """Return the part of a body's digest that a claim keeps."""
    return int.from_bytes(body_digest[:4])

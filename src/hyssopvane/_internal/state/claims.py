"""Define claims, which record the attempt that may run for an idempotency key."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

BUCKET_COUNT = 8
"""Number of pages of one time slice.

Each page is written by one compare-and-swap at a time. This number and the interval
between batches therefore limit the writes a second, regardless of the number of entries
and requests.
"""

SLICE_S = 8
"""Length of a slice in seconds; keys created in one slice share its pages.

Each batch rewrites the whole page. At 870 claims a second, a page of 8 s holds 870
claims when the slice ends (about 21 kB). A page of the whole 600 s window would hold
65,000 claims (1.6 MB), which exceeds the service's limit.
"""

MAX_WINDOW_S = 3600
"""Maximum idempotency window that the table allows, in seconds."""

ATTEMPT_BYTES = 8
NO_ATTEMPT = 0
_MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identify a claim by the hash of customer and key, and locate its page."""

    key_hash: int
    slice: int
    bucket: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Record which attempt may run for a key; if the claim is void, none may run."""

    attempt: int
    """Number of the attempt; it is kept when the claim becomes void."""
    body_digest: int
    target: str = ""
    incarnation: int = 0
    """Incarnation of the agent that the attempt is sent to."""
    void: bool = False


@dataclass(frozen=True, slots=True)
class ClaimChange:
    """Request to write a claim if the present attempt is the expected one."""

    key: ClaimKey
    expected_attempt: int
    """Attempt of the claim to replace; `NO_ATTEMPT` if no claim may exist."""
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimPage:
    """Hold the claims of one slice and bucket."""

    claims: Mapping[int, Claim] = field(default_factory=dict)

    def apply(self, changes: Iterable[ClaimChange]) -> "ClaimPage":
        """Return the page with every change applied whose expected attempt matches.

        A requester detects success by looking for its own claim in the page. A change
        that was already applied may therefore be applied again, as happens when its
        confirmation is lost.
        """
        claims = dict(self.claims)
        for change in changes:
            present = claims.get(change.key.key_hash)
            attempt = NO_ATTEMPT if present is None else present.attempt
            if present is not None and present.void:
                # An earlier caller was answered that the key did not run and will not
                # run.
                continue
            if attempt == change.expected_attempt:
                claims[change.key.key_hash] = change.claim
        return replace(self, claims=claims)


def restore_claims(page: ClaimPage, lost: ClaimPage, *, prefer_lost: bool) -> ClaimPage:
    """Merge claims that the service lost into a page."""
    if prefer_lost:
        return ClaimPage({**page.claims, **lost.claims})
    return ClaimPage({**lost.claims, **page.claims})


def make_claim_key(customer: str, key: str, created_at: float) -> ClaimKey:
    """Build the claim key of a customer's idempotency key."""
    # If two keys of one slice collide in this 64-bit hash, the second is rejected as a
    # body mismatch, and the agent compares the whole key. No request runs twice and no
    # answer reaches another caller.
    digest = hashlib.blake2b(f"{customer}\0{key}".encode(), digest_size=8).digest()
    key_hash = int.from_bytes(digest)
    return ClaimKey(key_hash, get_slice(created_at), key_hash % BUCKET_COUNT)


def get_slice(time_s: float) -> int:
    """Return the number of the slice that contains a time in seconds since 1970."""
    return int(time_s * _MILLISECONDS) // (SLICE_S * _MILLISECONDS)


def truncate_digest(body_digest: bytes) -> int:
    """Return the first 32 bits of a body's digest, which a claim stores."""
    return int.from_bytes(body_digest[:4])

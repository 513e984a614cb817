"""Generate idempotency keys like those of callers."""

from uuid import UUID

import uuid6


def make_key(*, age_s: float = 0.0) -> str:
    """Return a new UUIDv7 that is `age_s` old; a negative age is in the future."""
    fresh = uuid6.uuid7().int
    shifted = (fresh >> 80) - int(age_s * 1_000)
    return str(UUID(int=(shifted << 80) | (fresh & ((1 << 80) - 1))))

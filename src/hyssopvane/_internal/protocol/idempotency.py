"""Parse and check idempotency keys of requests that must not run twice."""

from dataclasses import dataclass
from uuid import RFC_4122, UUID

from hyssopvane._internal.models.refusals import Outcome, Refusal, RefusalReason
from hyssopvane._internal.protocol import headers
from hyssopvane._internal.protocol.messages import Headers

MAX_CLOCK_SKEW_S = 120.0
"""How far a caller's clock may run ahead of this process's clock, in seconds.

Callers' clocks are off by up to a minute, and clocks of entries by a little. A key that
is ahead by more than twice that comes from a clock with which the age of every later
key is meaningless.
"""

_UUID_VERSION = 7
_UUID_TEXT_LENGTH = 36
_TIMESTAMP_SHIFT = 80
_MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Hold a caller's key and its creation time."""

    text: str
    created_at: float
    """Seconds since 1970, by the caller's clock."""

    def get_age(self, now: float) -> float:
        """Return the age in seconds, negative when the caller's clock runs ahead."""
        return now - self.created_at


def read_key(found: Headers) -> IdempotencyKey | Refusal | None:
    """Return the key of a request, a refusal of an invalid key, None without a key."""
    values = [value for name, value in found if name == headers.IDEMPOTENCY_KEY]
    if not values:
        return None
    text = values[0].decode("ascii", errors="replace")
    key = parse_key(text) if len(values) == 1 else None
    if key is not None:
        return key
    # Every entry refuses a malformed key, so the request can't have run anywhere.
    return Refusal(RefusalReason.KEY_MALFORMED, Outcome.NOT_RUN)


def check_key(
    key: IdempotencyKey | None, *, required: bool, window_s: float, now: float
) -> Refusal | None:
    """Return the refusal of a request with this key, None when it is acceptable."""
    if key is None:
        if required:
            return Refusal(RefusalReason.KEY_MISSING, Outcome.NOT_RUN)
        return None
    age_s = key.get_age(now)
    if age_s > window_s:
        detail = f"the key is {age_s:.0f} s old; the window is {window_s:.0f} s"
        return Refusal(RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN, detail=detail)
    if age_s < -MAX_CLOCK_SKEW_S:
        detail = f"the key is {-age_s:.0f} s ahead; {MAX_CLOCK_SKEW_S:.0f} s are let"
        # An entry with another clock may have accepted the key, so the request may
        # have run.
        return Refusal(RefusalReason.KEY_FROM_FUTURE, Outcome.UNKNOWN, detail=detail)
    return None


def parse_key(text: str) -> IdempotencyKey | None:
    """Parse a UUIDv7 (RFC 9562), bare or as a quoted string; None for other text."""
    text = text.strip()
    if len(text) > 1 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if len(text) != _UUID_TEXT_LENGTH:
        return None
    try:
        parsed = UUID(text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION or parsed.variant != RFC_4122:
        return None
    created_at = (parsed.int >> _TIMESTAMP_SHIFT) / _MILLISECONDS
    return IdempotencyKey(str(parsed), created_at)

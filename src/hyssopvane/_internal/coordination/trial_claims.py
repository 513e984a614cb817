"""Claim suspect parts of prompts, so that one request in the fleet runs with them."""

import json
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    KeyValue,
    KeyValueStore,
    Swap,
    Swapped,
    get_value_prefix,
)
from hyssopvane._internal.exceptions import HyssopvaneError, KeyValueError
from hyssopvane._internal.state.suspects import SuspectId

CLAIMS_KEY = "trials/page"

CLAIM_S = 5.0
"""Time after which a claim has expired, as its holder may have ended.

A replica that crashes under a request does so when it begins to answer.
"""

MAX_CLAIMS = 1_024

_FORMAT = 1
_TOKEN_BYTES = 8
_RELEASE_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class _Claim:
    service: str
    part: str
    """ID of the part, in hexadecimal."""
    token: str


class TrialClaims:
    """Hold claims on a page of the store that entries change one at a time.

    The clocks of entries may be hours apart, so each one measures the age of a claim
    from the moment at which it first reads it.
    """

    def __init__(
        self, store: KeyValueStore, *, report: Callable[[HyssopvaneError], None]
    ) -> None:
        self._store = store
        self._report = report
        self._first_read_at: dict[str, float] = {}
        """Times at which this entry first read claims, by token."""

    async def acquire(self, parts: Iterable[SuspectId]) -> str | None:
        """Claim parts; return the claim's token, None if another claim has one.

        Raise `KeyValueError` if the store does not answer.
        """
        token = secrets.token_hex(_TOKEN_BYTES)
        wanted = [_Claim(one.service, one.digest.hex(), token) for one in parts]
        item = await self._store.get(CLAIMS_KEY)
        claims = self._list_valid(item)
        held = {(one.service, one.part) for one in claims}
        if any((one.service, one.part) in held for one in wanted):
            return None
        if len(claims) + len(wanted) > MAX_CLAIMS:
            return None
        if not await self._write(item, [*claims, *wanted]):
            return None
        return token

    async def release(self, token: str) -> None:
        """End a claim; one that can't be ended expires."""
        try:
            for _ in range(_RELEASE_ATTEMPTS):
                item = await self._store.get(CLAIMS_KEY)
                claims = self._list_valid(item)
                left = [one for one in claims if one.token != token]
                if len(left) == len(claims) or await self._write(item, left):
                    return
        except KeyValueError as error:
            self._report(error)

    def _list_valid(self, item: KeyValue | None) -> list[_Claim]:
        """Return the claims of a page that have not expired."""
        if item is None:
            return []
        try:
            claims = _parse_claims(item.value)
        except ValueError as error:
            # The next write replaces the page.
            self._report(
                HyssopvaneError(
                    "the page of claimed trials can't be decoded",
                    context=f"{item.key} at revision {item.revision}: {error}",
                    hint="no action is needed unless this error repeats",
                )
            )
            return []
        now = trio.current_time()
        before = self._first_read_at
        self._first_read_at = {one.token: before.get(one.token, now) for one in claims}
        return [one for one in claims if now - self._first_read_at[one.token] < CLAIM_S]

    async def _write(self, item: KeyValue | None, claims: list[_Claim]) -> bool:
        """Replace a page; return whether no other entry has done so before."""
        if item is not None and item.era != self._store.era:
            # The store assigns the revision of the page again to other values.
            return False
        document = {
            "format": _FORMAT,
            "claims": [[one.service, one.part, one.token] for one in claims],
        }
        # The number makes a page unlike those that a restored store may hold.
        document["number"] = secrets.token_hex(_TOKEN_BYTES)
        content = json.dumps(document, separators=(",", ":")).encode()
        revision = ABSENT if item is None else item.revision
        prefix = b"" if item is None else get_value_prefix(item.value)
        swap = Swap(CLAIMS_KEY, content, revision, expected_prefix=prefix)
        return isinstance(await self._store.compare_and_swap([swap]), Swapped)


def _parse_claims(content: bytes) -> list[_Claim]:
    """Decode a page; raise `ValueError` when it is malformed."""
    try:
        document = json.loads(content)
        if document["format"] != _FORMAT:
            raise ValueError(f"unknown format {document['format']}")
        claims = [_Claim(*one) for one in document["claims"]]
    except (LookupError, TypeError, RecursionError) as error:
        raise ValueError(f"unreadable page: {error!r}") from error
    if len(claims) > MAX_CLAIMS:
        raise ValueError(f"{len(claims)} claims")
    for one in claims:
        if not all(
            isinstance(value, str) for value in (one.service, one.part, one.token)
        ):
            raise ValueError("a claim holds other values than strings")
    return claims

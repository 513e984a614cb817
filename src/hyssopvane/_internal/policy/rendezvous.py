"""Rank names for a key so that a join or leave moves few keys."""

from collections.abc import Iterable

import xxhash


def hash_name(name: str) -> int:
    """Return the seed that stands for a name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def score(key: bytes, seed: int) -> int:
    """Return the rank of a seed for a key; the highest comes first."""
    return xxhash.xxh3_64_intdigest(key, seed=seed)


def rank(key: bytes, names: Iterable[str], *, count: int) -> list[str]:
    """Return the names that rank highest for a key, the highest first."""
    scored = sorted((score(key, hash_name(name)), name) for name in names)
    return [name for _, name in reversed(scored[-count:])] if count else []

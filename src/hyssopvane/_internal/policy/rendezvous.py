"""Rendezvous hashing: rank names for a key so that a join or leave moves few keys."""

import heapq
from collections.abc import Mapping

import xxhash

SCORES = 2**64
"""Number of different scores."""


def hash_name(name: str) -> int:
    """Return the seed that represents a name in scores."""
    return xxhash.xxh3_64_intdigest(name.encode())


def score(key: bytes, seed: int) -> int:
    """Return the score of a seed for a key; the highest comes first."""
    return xxhash.xxh3_64_intdigest(key, seed=seed)


def rank(key: bytes, seeds: Mapping[str, int], *, count: int) -> list[str]:
    """Return the names with the highest scores for a key, the highest first."""
    scored = heapq.nlargest(
        count, ((score(key, seed), name) for name, seed in seeds.items())
    )
    return [name for _, name in scored]

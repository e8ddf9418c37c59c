"""Choices that all members make alike, by rendezvous hashing."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Name = TypeVar('Name', bound=str)


def rank_by_hash(key: str, name: str) -> int:
    """Return how high a name ranks for a key.

    >>> rank_by_hash('key', 'a') == rank_by_hash('key', 'a')
    True
    """
    return xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())


def choose_by_hash(key: str, names: Iterable[Name]) -> Name | None:
    """Return the name that ranks first for a key, None where there is none.

    >>> choose_by_hash('key', ('a',))
    'a'
    """
    best: Name | None = None
    best_score = -1
    for name in names:
        score = rank_by_hash(key, name)
        if score > best_score:
            best = name
            best_score = score
    return best

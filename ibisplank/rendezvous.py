"""Rendezvous hashing: members agree on a choice without communicating."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Name = TypeVar('Name', bound=str)


def score_by_hash(key: str, name: str) -> int:
    """Return the score of a name for a key; the highest score wins.

    >>> score_by_hash('key', 'a') == score_by_hash('key', 'a')
    True
    """
    return xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())


def choose_by_hash(key: str, names: Iterable[Name]) -> Name | None:
    """Return the name with the highest score, or None if there are no names.

    >>> choose_by_hash('key', ('a',))
    'a'
    """
    best: Name | None = None
    best_score = -1
    for name in names:
        score = score_by_hash(key, name)
        if score > best_score:
            best = name
            best_score = score
    return best

"""Choices that all members make alike, by rendezvous hashing."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Name = TypeVar('Name', bound=str)


def choose_by_hash(key: str, names: Iterable[Name]) -> Name | None:
    """Return the name that ranks first for a key, None where there is none.

    >>> choose_by_hash('key', ('a',))
    'a'
    """
    best: Name | None = None
    top = -1
    for name in names:
        score = xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())
        if score > top:
            best = name
            top = score
    return best

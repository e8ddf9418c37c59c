"""Holders of slots, derived from the roster alone by rendezvous hashing."""

import functools
from dataclasses import dataclass

import xxhash

from ibisplank.ids import MemberId, ServerId

HOLDER_CACHE_SIZE = 65536


@dataclass(frozen=True, slots=True, order=True)
class SlotId:
    """Identifies one slot: a unit of a backend server's concurrency."""

    server: ServerId
    index: int


@functools.lru_cache(maxsize=HOLDER_CACHE_SIZE)
def find_holder(slot: SlotId, members: tuple[MemberId, ...]) -> MemberId | None:
    """Return the member that holds a slot, or None if there are no members.

    >>> find_holder(SlotId('s', 0), ('a',))
    'a'
    """
    best: MemberId | None = None
    best_score = -1
    for member in members:
        score = xxhash.xxh3_64_intdigest(
            f'{member}/{slot.server}/{slot.index}'.encode(),
        )
        if score > best_score:
            best = member
            best_score = score
    return best

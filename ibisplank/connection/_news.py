"""Messages of the gateways: signs of life, and load on backend servers."""

import msgspec

from ibisplank.ids import ServerId
from ibisplank.store import Reading


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='pi'):
    """Asks for a sign of life on the same stream."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag='po'):
    """Sign of life."""


class ServerLoads(msgspec.Struct, frozen=True, array_like=True, tag='sl'):
    """Calls that the sender has in flight, by server; 0 where not named."""

    counts: dict[ServerId, int]


NewsMessage = Ping | Pong | ServerLoads | Reading

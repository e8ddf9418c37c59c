"""Messages among gateways, and the pings of all peer streams."""

import zlib
from typing import Self

import msgspec

from ibisplank.figures import CallCount, Rate, Seconds, Slowdown, Wait
from ibisplank.ids import MemberId, ServerId
from ibisplank.store import TableUpdate

#: Uncompressed size above which an update is not decoded. The entries of 28,000
#: servers take half of it, at 300 bytes each.
MAX_UPDATE_BYTES = 16777216
#: Fastest level, as compression blocks the event loop.
COMPRESSION_LEVEL = 1

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(TableUpdate).decode


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='pi'):
    """Liveness check; the receiver replies with a `Pong` on the same stream."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag='po'):
    """Response to a `Ping`."""


class UnknownMessage(msgspec.Struct, frozen=True, array_like=True, tag='uk'):
    """A message that this build cannot decode, never sent.

    Attributes
    ----------
    reason : str
        What could not be decoded.
    """

    reason: str


class ServerLoads(msgspec.Struct, frozen=True, array_like=True, tag='sl'):
    """Calls that the sender has in flight, by server; no entry means 0."""

    counts: dict[ServerId, CallCount]


class ServerReport(msgspec.Struct, frozen=True, array_like=True, tag='rp'):
    """Result of a gateway's probe of a backend server.

    Attributes
    ----------
    born_ms : int
        Start time of the server, as known to the prober.
    slots : int
        Its slots, 0 if it does not report its load.
    pace : float
        Current duration of work relative to the usual one.
    cold_s : float
        Remaining cold time that the server reports, in seconds.
    reachable : bool
        Whether it accepted a connection.
    answers : bool
        Whether it answered in time.
    healthy : bool
        Whether it reports itself healthy.
    rate_limit : float or None
        Calls per second that it accepts from all gateways together, None if
        it states no limit.
    """

    server: ServerId
    born_ms: int
    running: CallCount = 0
    waiting: CallCount = 0
    slots: CallCount = 0
    pace: Slowdown = 1.0
    cold_s: Seconds = 0.0
    reachable: bool = True
    answers: bool = True
    healthy: bool = True
    rate_limit: Rate | None = None


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='tkq'):
    """Request for a token to send one call to a rate-limited server.

    Attributes
    ----------
    number : int
        Number that the reply repeats.
    """

    server: ServerId
    number: int


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag='tkr'):
    """Reply to a `TokenRequest`.

    Attributes
    ----------
    wait_s : float
        0 if a token is granted, else the time until there may be one.
    """

    number: int
    wait_s: Wait


class ServerLeaving(msgspec.Struct, frozen=True, array_like=True, tag='lv'):
    """A backend server has said in an answer that it leaves.

    Attributes
    ----------
    born_ms : int
        Start time of the server.
    """

    server: ServerId
    born_ms: int


class CallCrashes(msgspec.Struct, frozen=True, array_like=True, tag='cc'):
    """Evidence that a call crashes the backend servers that run it.

    Attributes
    ----------
    digest : str
        Identifies the call by its content.
    crashed : tuple of str
        Runs of servers that crashed while they ran it.
    cleared : tuple of str
        Those of them that crashed before it was answered.
    """

    digest: str
    crashed: tuple[str, ...]
    cleared: tuple[str, ...] = ()


class CompressedTableUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag='pk'
):
    """A `TableUpdate`, compressed once for all receivers.

    Uncompressed, a configuration of 1,500 routes is 331 KB, which a relay on
    a link of 10 Mbit/s would take 1.9 s to forward to seven others.

    Attributes
    ----------
    reader : MemberId
        The gateway that read the store.
    content : bytes
        The update as MessagePack, compressed with zlib.
    """

    reader: MemberId
    content: bytes

    @classmethod
    def compress(cls, reader: MemberId, update: TableUpdate) -> Self:
        """Return the message for an update."""
        return cls(reader, zlib.compress(_encode(update), COMPRESSION_LEVEL))

    def decompress(self) -> TableUpdate:
        """Return the decompressed update.

        Raises
        ------
        ValueError
            The content cannot be decoded.
        """
        unpacker = zlib.decompressobj()
        try:
            content = unpacker.decompress(self.content, MAX_UPDATE_BYTES)
        except zlib.error as error:
            raise ValueError(f'not compressed: {error}') from error
        if not unpacker.eof:
            raise ValueError('incomplete, or too large when decompressed')
        try:
            return _decode(content)
        except RecursionError as error:
            raise ValueError('nested too deeply') from error


GatewayMessage = (
    Ping
    | Pong
    | UnknownMessage
    | ServerLoads
    | ServerReport
    | TokenRequest
    | TokenReply
    | ServerLeaving
    | CallCrashes
    | CompressedTableUpdate
)

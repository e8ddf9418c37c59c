"""Decoded rows of the platform's store."""

from dataclasses import dataclass
from typing import Protocol

from ibisplank.gateway._model import RoutingConfig, ServerEntry
from ibisplank.ids import MemberId, ServerId, ZoneId
from ibisplank.store import Topic, VersionedRow


@dataclass(frozen=True, slots=True)
class DecodedConfig:
    """A config that operators have published."""

    config: RoutingConfig


@dataclass(frozen=True, slots=True)
class DecodedZone:
    """Whether an availability zone is out of service."""

    zone: ZoneId
    out: bool


@dataclass(frozen=True, slots=True)
class DecodedServer:
    """The entry of a backend server, None if it was deleted."""

    server: ServerId
    entry: ServerEntry | None


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Address and location of one gateway process.

    Attributes
    ----------
    peer : str
        Address on which it accepts streams from its peers.
    link_mbps : float
        Bandwidth of its network link, 0 if unknown.
    """

    member: MemberId
    peer: str
    zone: ZoneId
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class DecodedMember:
    """The gateway process on a VM, None if its row was deleted."""

    vm: str
    record: MemberRecord | None


@dataclass(frozen=True, slots=True)
class InvalidRow:
    """A row that cannot be decoded.

    Attributes
    ----------
    reason : str
        The invalid field and what it should contain.
    server : ServerId or None
        Backend server of the row; it gets no calls.
    """

    key: str
    reason: str
    server: ServerId | None = None


DecodedRow = (
    DecodedConfig | DecodedZone | DecodedServer | DecodedMember | InvalidRow
)


class Decoder(Protocol):
    """Decodes rows of the store."""

    def __call__(self, topic: Topic, row: VersionedRow) -> DecodedRow | None:
        """Return the decoded row, None if the gateway does not use it."""

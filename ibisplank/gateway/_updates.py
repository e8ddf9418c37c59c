"""What one row of the platform's store says."""

from dataclasses import dataclass
from typing import Protocol

from ibisplank.gateway._model import RoutingConfig, ServerEntry
from ibisplank.ids import MemberId, ServerId, ZoneId
from ibisplank.store import Topic, VersionedRow


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """The newest config."""

    config: RoutingConfig


@dataclass(frozen=True, slots=True)
class ZoneUpdate:
    """Whether an availability zone is out of service."""

    zone: ZoneId
    out: bool


@dataclass(frozen=True, slots=True)
class ServerUpdate:
    """A backend server's entry, None where it has none."""

    server: ServerId
    entry: ServerEntry | None


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Address of one gateway process.

    Attributes
    ----------
    peer : str
        Where it takes streams of its peers.
    link_mbps : float
        What its network link bears, 0 where it doesn't say.
    """

    member: MemberId
    peer: str
    zone: ZoneId
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The gateway process of a VM, None where it has left."""

    vm: str
    record: MemberRecord | None


@dataclass(frozen=True, slots=True)
class InvalidRow:
    """A row that can't be decoded.

    Attributes
    ----------
    reason : str
        Names the field and what it should hold.
    server : ServerId or None
        Backend server that the row would name; it gets no calls.
    """

    key: str
    reason: str
    server: ServerId | None = None


Update = ConfigUpdate | ZoneUpdate | ServerUpdate | MemberUpdate | InvalidRow


class Decoder(Protocol):
    """Turns rows into facts."""

    def __call__(self, topic: Topic, row: VersionedRow) -> Update | None:
        """Return what a row says, None where it concerns nobody here."""

"""Messages of the agents: heartbeats, roster, configuration, servers."""

import msgspec

from ibisplank.ids import MemberId, ServerId, StartId
from ibisplank.version import Change, ConfigState, Roster, VmList


class Hello(msgspec.Struct, frozen=True, array_like=True, tag='hi'):
    """First message on a stream, in both directions.

    Attributes
    ----------
    address : str
        Where the sender takes streams, empty where it takes none.
    """

    member: MemberId
    address: str = ''


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag='be'):
    """Heartbeat between agents.

    Attributes
    ----------
    sent_at : float
        Sender's clock, in seconds.
    echo : float
        Latest `sent_at` that the sender has from the receiver.
    revision : int
        Configuration revision that the sender has in force.
    """

    epoch: int
    sent_at: float
    echo: float
    revision: int
    serial: int


class RosterUpdate(msgspec.Struct, frozen=True, array_like=True, tag='ro'):
    """A roster and how long ago it was fenced against its past.

    Attributes
    ----------
    fenced_s : float or None
        Seconds since no past member can be confirmed, None while it can.
    """

    roster: Roster
    fenced_s: float | None = None


class DispatchLease(msgspec.Struct, frozen=True, array_like=True, tag='ri'):
    """Time until which a member may dispatch on its own slots.

    Attributes
    ----------
    until : float
        Seconds on the boot-time clock that the processes of a VM share.
    probes : int
        Probes that the agent has sent since it started.
    probe_s : float
        Time that these took of backend servers, in seconds.
    """

    epoch: int
    until: float
    probes: int = 0
    probe_s: float = 0


class ConfigChanges(msgspec.Struct, frozen=True, array_like=True, tag='co'):
    """Changes that follow a revision."""

    changes: tuple[Change, ...]


class ConfigSnapshot(msgspec.Struct, frozen=True, array_like=True, tag='cf'):
    """A whole configuration, for a process that has none."""

    state: ConfigState


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag='ca'):
    """Request for the changes after a revision."""

    after: int


class ServerUpdate(msgspec.Struct, frozen=True, array_like=True, tag='se'):
    """What a probe showed of a backend server, sent when it changed."""

    server: ServerId
    start: StartId
    leaving: bool


class VmListUpdate(msgspec.Struct, frozen=True, array_like=True, tag='vm'):
    """The platform's list as last read."""

    listing: VmList


ControlMessage = (
    Hello
    | Heartbeat
    | RosterUpdate
    | DispatchLease
    | ConfigChanges
    | ConfigSnapshot
    | ConfigRequest
    | ServerUpdate
    | VmListUpdate
)

"""Messages of agents: heartbeats, roster, configuration and servers."""

import msgspec

from ibisplank.ids import MemberId, ServerId, StartId
from ibisplank.version import Change, ConfigState, Roster, VmList


class Hello(msgspec.Struct, frozen=True, array_like=True, tag='hi'):
    """First message on a stream, in both directions.

    Attributes
    ----------
    address : str
        Where the sender accepts streams; empty if it accepts none.
    """

    member: MemberId
    address: str = ''


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag='be'):
    """Heartbeat between agents.

    Attributes
    ----------
    sent_at : float
        Time of sending on the sender's clock, in seconds.
    echo : float
        Latest `sent_at` that the sender received from the receiver.
    revision : int
        Revision of the sender's configuration.
    serial : int
        Serial of the sender's copy of the VM list.
    """

    epoch: int
    sent_at: float
    echo: float
    revision: int
    serial: int


class RosterUpdate(msgspec.Struct, frozen=True, array_like=True, tag='ro'):
    """A roster, and how long ago the last of its past epochs was fenced.

    Attributes
    ----------
    fenced_s : float or None
        Seconds since all past epochs are known to be fenced; None while a
        member can still be confirmed in one of them.
    """

    roster: Roster
    fenced_s: float | None = None


class DispatchLease(msgspec.Struct, frozen=True, array_like=True, tag='ri'):
    """Lease that allows a member to dispatch on its own slots.

    Attributes
    ----------
    until : float
        Expiry on the boot-time clock, which the processes of a VM share, in
        seconds.
    probes : int
        Number of probes that the agent has sent since it started.
    probe_s : float
        Estimated time that backend servers spent on these probes, in seconds:
        a fixed cost for each probe.
    """

    epoch: int
    until: float
    probes: int = 0
    probe_s: float = 0


class ConfigChanges(msgspec.Struct, frozen=True, array_like=True, tag='co'):
    """Changes of the configuration that follow the receiver's revision."""

    changes: tuple[Change, ...]


class ConfigSnapshot(msgspec.Struct, frozen=True, array_like=True, tag='cf'):
    """The whole configuration, for a process that has none or is far behind."""

    state: ConfigState


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag='ca'):
    """Request for the configuration changes after a revision."""

    after: int


class ServerUpdate(msgspec.Struct, frozen=True, array_like=True, tag='se'):
    """State of a backend server as an agent probed it, sent when it changes."""

    server: ServerId
    start: StartId
    leaving: bool


class VmListUpdate(msgspec.Struct, frozen=True, array_like=True, tag='vm'):
    """The platform's VM list as last read."""

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

"""The platform's list of backend servers and VMs."""

import msgspec

from ibisplank.ids import ServerId, ServiceId, VmId, VmState, ZoneId


class Server(msgspec.Struct, frozen=True):
    """One backend server.

    Attributes
    ----------
    address : str
        IP address and port, joined by a colon.
    slots : int
        Calls that a warm server can run at the same time.
    """

    server: ServerId
    vm: VmId
    zone: ZoneId
    service: ServiceId
    address: str
    slots: int
    state: VmState = VmState.LIVE


class VmList(msgspec.Struct, frozen=True):
    """Copy of the platform's list.

    Attributes
    ----------
    serial : int
        Increases with every change of the list.
    vms : tuple of VmId
        Live VMs that run ibisplank's own processes.
    """

    serial: int = 0
    servers: tuple[Server, ...] = ()
    vms: tuple[VmId, ...] = ()

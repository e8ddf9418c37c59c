"""Settings of the daemons, validated before start-up."""

import ipaddress
from dataclasses import dataclass

from ibisplank.connection import TlsFiles
from ibisplank.errors import SettingError
from ibisplank.ids import CellId, VmId, ZoneId
from ibisplank.process.placing._baselines import Policy

MAX_PORT = 65535
DEFAULT_BODY_LIMIT = 8388608


@dataclass(frozen=True, slots=True)
class Location:
    """Cell, VM and availability zone in which a process runs."""

    cell: CellId
    vm: VmId
    zone: ZoneId


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes
    ----------
    listen : str
        IP address and port on which callers are served.
    peer : str
        IP address and port on which peers and the agent connect.
    platform : str
        Address of the platform's table and object store.
    body_limit : int
        Maximum size of a request body in bytes.
    """

    location: Location
    listen: str
    peer: str
    platform: str
    body_limit: int = DEFAULT_BODY_LIMIT
    policy: Policy = Policy.SHARED
    tls: TlsFiles | None = None


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes
    ----------
    entry : str
        Peer address of the entry on the same VM.
    peer : str
        IP address and port on which other agents connect.
    seeds : tuple of str
        Agent addresses to connect to besides those in the roster.
    """

    location: Location
    entry: str
    peer: str
    platform: str
    seeds: tuple[str, ...] = ()
    tls: TlsFiles | None = None


def split_address(address: str, name: str) -> tuple[str, int]:
    """Return the host and port of an address.

    Raises
    ------
    SettingError
        The address is not an IP address and a port.

    Examples
    --------
    >>> split_address('127.0.0.1:80', 'listen')
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise SettingError(
            f'{name}: {address!r}: give an IP number and a port, '
            'such as 127.0.0.1:8080',
        ) from error
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingError(f'{name}: {address!r}: port must be 1 to {MAX_PORT}')
    return host, int(port)

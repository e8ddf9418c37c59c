"""Settings of a gateway process, and the platform that it runs on."""

from collections.abc import Callable
from dataclasses import dataclass

from ibisplank.gateway._budget import RetryLimits
from ibisplank.gateway._decoding import Decoder, MemberRecord
from ibisplank.gateway._headers import HeaderNames
from ibisplank.ids import VmId, ZoneId
from ibisplank.store import RowStore

#: Memory that is assumed if the settings state none.
DEFAULT_MEMORY_MB = 200.0
BYTES_PER_MB = 1000000


def share_memory(memory_mb: float, share: float) -> int:
    """Return a part of the memory of a VM in bytes.

    >>> share_memory(300.0, 0.1)
    30000000
    """
    return int((memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB * share)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway process.

    Attributes
    ----------
    callers, readiness, peer, metrics : str
        Addresses to listen on, as IP address and port.
    seeds : tuple of str
        Peer addresses of a few gateways, which may be outdated.
    grace_s : float
        Grace period from the stop signal until the process is killed.
    retry : RetryLimits
        Limit on retries over all gateways.
    link_mbps : float
        Bandwidth of the network link of the VM, 0 if unknown.
    memory_mb : float
        Memory limit of the process, 0 if unknown.
    """

    vm: VmId
    zone: ZoneId
    callers: str
    readiness: str
    peer: str
    metrics: str
    store: str
    seeds: tuple[str, ...]
    grace_s: float
    retry: RetryLimits
    link_mbps: float = 0.0
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Platform:
    """Interface to the platform that a gateway runs on.

    Attributes
    ----------
    encode_member : callable
        Returns the content of the row of a gateway.
    reload : callable
        Reads the settings file again.
    """

    store: RowStore
    decode: Decoder
    encode_member: Callable[[MemberRecord], bytes]
    header_names: HeaderNames
    reload: Callable[[], GatewaySettings]

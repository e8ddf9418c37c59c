"""Settings of a gateway process."""

from dataclasses import dataclass

from ibisplank.gateway._budget import RetryLimits
from ibisplank.ids import VmId, ZoneId

#: Part of the stop's grace after which the process exits whatever still runs.
DRAIN_SHARE = 0.93


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a process learns at its start.

    Attributes
    ----------
    callers, readiness, peer, metrics : str
        Addresses it listens on: IP number and port, joined by a colon.
    seeds : tuple of str
        Peer addresses of a few gateways, which may be stale.
    grace_s : float
        Time from the signal to stop until the process is killed.
    retry : RetryLimits
        Bound on retries over all gateways.
    link_mbps : float
        What the VM's network link bears, 0 where it is not said.
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

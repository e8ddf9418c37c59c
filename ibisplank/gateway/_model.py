"""Routing configuration and server entries that the gateway acts on."""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NewType

from ibisplank.ids import ServerId, ServiceId, ZoneId

RouteName = NewType('RouteName', str)


class DeliverySemantics(Enum):
    """Whether a call of a route may be executed more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """Weight of one service in the traffic split of a route."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """Handling of the calls whose host and path prefix match.

    Attributes
    ----------
    timeout_s : float
        Longest time from arrival to the final answer.
    target_s : float
        Target latency; later answers are worth less to the caller.
    priority : int
        Priority among waiting calls; 0 is the highest.
    max_attempts : int
        Maximum number of attempts of one call that may run.
    """

    name: RouteName
    host: str
    prefix: str
    semantics: DeliverySemantics
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[TrafficShare, ...]
    max_attempts: int

    @property
    def idempotent(self) -> bool:
        """Whether a call that may have run may be sent again."""
        return self.semantics is DeliverySemantics.IDEMPOTENT

    def limit_attempts(self, most: int) -> 'RouteConfig':
        """Return the route with a lower maximum of attempts."""
        return replace(self, max_attempts=min(most, self.max_attempts))


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Settings of all backend servers of one service.

    Attributes
    ----------
    warmup_s : float
        Time for which a backend server is cold after its start.
    warmup_rate : float
        Calls per second that a cold backend server can handle.
    """

    service: ServiceId
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_rate: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    header_bytes: int = 16384
    body_bytes: int = 1048576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class OmittedEntry:
    """An entry of a config that can't be decoded.

    Attributes
    ----------
    part : str
        Part of the config that contains it.
    reason : str
        The invalid field and what it should contain.
    host, prefix : str
        Calls of the route, empty if they can't be decoded.
    """

    part: str
    reason: str
    host: str = ''
    prefix: str = ''


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the operators' configuration.

    Attributes
    ----------
    omitted : tuple of OmittedEntry
        Entries that can't be decoded; the others hold.
    """

    version: int = 0
    routes: tuple[RouteConfig, ...] = ()
    services: dict[ServiceId, ServiceConfig] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    omitted: tuple[OmittedEntry, ...] = ()


#: Id and start time of a server, as a restarted server keeps its id.
ServerKey = tuple[ServerId, int]


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """Entry of a backend server in the platform's store.

    Attributes
    ----------
    draining : bool
        Whether the server accepts no new calls.
    warmup_left_s : float
        Remaining warm-up time when the entry was written.
    born_ms : int
        Start time. A restarted server keeps its id, but has another start
        time and none of its earlier state.
    """

    server: ServerId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    draining: bool
    warmup_left_s: float
    born_ms: int

    @property
    def key(self) -> ServerKey:
        """Id and start time, which identify one run of the server."""
        return self.server, self.born_ms

    @property
    def slice_key(self) -> tuple[ServiceId, ZoneId]:
        """Service and zone, by which servers are divided into slices."""
        return self.service, self.zone

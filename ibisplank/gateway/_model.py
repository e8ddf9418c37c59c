"""What operators and backend servers say, as the gateway's decisions use it."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from ibisplank.ids import ServerId, ServiceId, ZoneId

RouteName = NewType('RouteName', str)


class DeliverySemantics(Enum):
    """Whether the calls of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """Part of a route's calls that goes to one service."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """How the calls below one prefix of one host are handled.

    Attributes
    ----------
    timeout_s : float
        Longest time from arrival to the final answer.
    target_s : float
        Time within which an answer is worth most to the caller.
    priority : int
        Rank among waiting calls; 0 goes first.
    max_attempts : int
        Backend servers that one call may be sent to.
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
        """Whether a call may be sent again after it may have run."""
        return self.semantics is DeliverySemantics.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """What holds for all backend servers of a service.

    Attributes
    ----------
    warmup_s : float
        Time for which a backend server stays cold after its start.
    warmup_rate : float
        Calls a second that a cold backend server bears.
    """

    service: ServiceId
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_rate: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 1048576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Everything that operators have decided, at one version."""

    version: int = 0
    routes: tuple[RouteConfig, ...] = ()
    services: dict[ServiceId, ServiceConfig] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """What a backend server says of itself in the platform's store.

    Attributes
    ----------
    draining : bool
        Whether it takes no new work.
    warmup_left_s : float
        How much longer it stays cold, counted from the entry's writing.
    born_ms : int
        Time of its start; a new one under the same id has forgotten all.
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
    def slice_key(self) -> tuple[ServiceId, ZoneId]:
        """Where it counts among the servers."""
        return self.service, self.zone

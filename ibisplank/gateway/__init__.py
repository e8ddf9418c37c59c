"""The gateway: one process per VM that proxies calls to backend servers."""

from ibisplank.gateway._budget import RetryLimits
from ibisplank.gateway._gateway import Gateway, Platform
from ibisplank.gateway._headers import HeaderNames
from ibisplank.gateway._model import (
    CallerLimits,
    DeliverySemantics,
    RouteConfig,
    RouteName,
    RoutingConfig,
    ServerEntry,
    ServiceConfig,
    TrafficShare,
)
from ibisplank.gateway._settings import GatewaySettings
from ibisplank.gateway._updates import (
    ConfigUpdate,
    Decoder,
    InvalidRow,
    MemberRecord,
    MemberUpdate,
    ServerUpdate,
    Update,
    ZoneUpdate,
)

__all__ = (
    'CallerLimits',
    'ConfigUpdate',
    'Decoder',
    'DeliverySemantics',
    'Gateway',
    'GatewaySettings',
    'HeaderNames',
    'InvalidRow',
    'MemberRecord',
    'MemberUpdate',
    'Platform',
    'RetryLimits',
    'RouteConfig',
    'RouteName',
    'RoutingConfig',
    'ServerEntry',
    'ServerUpdate',
    'ServiceConfig',
    'TrafficShare',
    'Update',
    'ZoneUpdate',
)

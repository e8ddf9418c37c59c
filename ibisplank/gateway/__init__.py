"""The gateway: one process per VM that proxies calls to backend servers."""

from ibisplank.gateway._budget import RetryLimits
from ibisplank.gateway._decoding import (
    DecodedConfig,
    DecodedMember,
    DecodedRow,
    DecodedServer,
    DecodedZone,
    Decoder,
    InvalidRow,
    MemberRecord,
)
from ibisplank.gateway._gateway import Gateway
from ibisplank.gateway._headers import HeaderNames
from ibisplank.gateway._model import (
    CallerLimits,
    DeliverySemantics,
    OmittedEntry,
    RouteConfig,
    RouteName,
    RoutingConfig,
    ServerEntry,
    ServiceConfig,
    TrafficShare,
)
from ibisplank.gateway._settings import GatewaySettings, Platform

__all__ = (
    'CallerLimits',
    'DecodedConfig',
    'Decoder',
    'DeliverySemantics',
    'Gateway',
    'GatewaySettings',
    'HeaderNames',
    'InvalidRow',
    'MemberRecord',
    'DecodedMember',
    'OmittedEntry',
    'Platform',
    'RetryLimits',
    'RouteConfig',
    'RouteName',
    'RoutingConfig',
    'ServerEntry',
    'DecodedServer',
    'ServiceConfig',
    'TrafficShare',
    'DecodedRow',
    'DecodedZone',
)

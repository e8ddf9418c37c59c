"""The gateway: one process a VM that answers callers from backend servers."""

from ibisplank.gateway._budget import RetryTerms
from ibisplank.gateway._dialect import Dialect
from ibisplank.gateway._facts import (
    ConfigFact,
    Decoder,
    Fact,
    MemberFact,
    MemberRecord,
    ServerFact,
    Unreadable,
    ZoneFact,
)
from ibisplank.gateway._gateway import Gateway, Platform
from ibisplank.gateway._model import (
    CallerLimits,
    Repeat,
    RouteName,
    RouteTerms,
    RoutingConfig,
    ServerEntry,
    ServiceRules,
    Share,
)
from ibisplank.gateway._settings import GatewaySettings

__all__ = (
    'CallerLimits',
    'ConfigFact',
    'Decoder',
    'Dialect',
    'Fact',
    'Gateway',
    'GatewaySettings',
    'MemberFact',
    'MemberRecord',
    'Platform',
    'Repeat',
    'RetryTerms',
    'RouteName',
    'RouteTerms',
    'RoutingConfig',
    'ServerEntry',
    'ServerFact',
    'ServiceRules',
    'Share',
    'Unreadable',
    'ZoneFact',
)

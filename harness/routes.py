"""Routing configurations of a single service."""

from ibisplank.gateway import (
    CallerLimits,
    DeliverySemantics,
    RouteConfig,
    RouteName,
    RoutingConfig,
    ServiceConfig,
    TrafficShare,
)
from ibisplank.ids import ServiceId

SERVICE = ServiceId('lookups')
HOST = 'host.example'


def make_route(
    prefix: str = '/a/',
    *,
    semantics: DeliverySemantics = DeliverySemantics.IDEMPOTENT,
    shares: tuple[TrafficShare, ...] = (TrafficShare(SERVICE, 1.0),),
    max_attempts: int = 2,
    timeout_s: float = 1.0,
) -> RouteConfig:
    """Return a route to the service."""
    return RouteConfig(
        RouteName(f'r{prefix}'),
        HOST,
        prefix,
        semantics,
        timeout_s,
        0.3,
        1,
        shares,
        max_attempts,
    )


def make_config(version: int, *routes: RouteConfig) -> RoutingConfig:
    """Return a configuration with the service and the given routes."""
    service_config = ServiceConfig(SERVICE, '/health', 100, 3.0, 4.0)
    return RoutingConfig(
        version, routes, {SERVICE: service_config}, CallerLimits()
    )

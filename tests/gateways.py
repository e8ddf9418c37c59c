"""Values that the gateway's tests share."""

from ibisplank.gateway import (
    CallerLimits,
    Repeat,
    RouteName,
    RouteTerms,
    RoutingConfig,
    ServerEntry,
    ServiceRules,
    Share,
)
from ibisplank.ids import ServerId, ServiceId, ZoneId

SERVICE = ServiceId('lookups')


def make_route(
    prefix: str = '/a/',
    *,
    repeat: Repeat = Repeat.IDEMPOTENT,
    shares: tuple[Share, ...] = (Share(SERVICE, 1.0),),
    max_attempts: int = 2,
    timeout_s: float = 1.0,
) -> RouteTerms:
    return RouteTerms(
        RouteName(f'r{prefix}'),
        'host.example',
        prefix,
        repeat,
        timeout_s,
        0.3,
        1,
        shares,
        max_attempts,
    )


def make_config(version: int, *routes: RouteTerms) -> RoutingConfig:
    rules = ServiceRules(SERVICE, '/health', 100, 3.0, 4.0)
    return RoutingConfig(version, routes, {SERVICE: rules}, CallerLimits())


def make_entry(
    name: str,
    *,
    zone: str = 'z1',
    slots: int = 2,
    leaving: bool = False,
    warmup_left_s: float = 0.0,
    born_ms: int = 1,
    address: str = '127.0.0.1:1',
) -> ServerEntry:
    return ServerEntry(
        ServerId(name),
        SERVICE,
        address,
        ZoneId(zone),
        slots,
        leaving,
        warmup_left_s,
        born_ms,
    )

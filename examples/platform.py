"""Demo of the gateway, with a stand-in store, stand-in servers and faults."""

import logging
import sys

import anyio
from loguru import logger

from harness.site import Site, run_site
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
from ibisplank.load import Plan, Report, Stream, drive
from ibisplank.platform import HEADER_NAMES
from ibisplank.standin import StoreFault

HOST = 'catalogues.example'
ZONES = ('zone-a', 'zone-b')
SERVERS_PER_ZONE = 3
#: Service, path prefix, whether calls may run more than once, priority.
ROUTES = (
    ('lookups', '/lookups/', DeliverySemantics.IDEMPOTENT, 1),
    ('presses', '/presses/', DeliverySemantics.AT_MOST_ONCE, 0),
)
DURATION_S = 8.0


def make_config(version: int) -> RoutingConfig:
    """Return a config with the routes and services of the site."""
    routes = tuple(
        RouteConfig(
            RouteName(name),
            HOST,
            prefix,
            semantics,
            timeout_s=1.0,
            target_s=0.2,
            priority=priority,
            shares=(TrafficShare(ServiceId(name), 1.0),),
            max_attempts=2,
        )
        for name, prefix, semantics, priority in ROUTES
    )
    services = {
        ServiceId(name): ServiceConfig(
            ServiceId(name), '/health', 100, 3.0, 4.0
        )
        for name, _, _, _ in ROUTES
    }
    return RoutingConfig(version, routes, services, CallerLimits())


def make_plan(site: Site) -> Plan:
    """Return a plan with calls of both routes to all gateways."""
    streams = [
        Stream(
            customer='catalogues',
            klass=name,
            path=f'{prefix}1',
            method='POST'
            if semantics is DeliverySemantics.AT_MOST_ONCE
            else 'GET',
            rate_per_s=25,
            body_bytes=32 if semantics is DeliverySemantics.AT_MOST_ONCE else 0,
            deadline_ms=1000,
            host=HOST,
        )
        for name, prefix, semantics, _ in ROUTES
    ]
    targets = [settings.callers for settings in site.settings]
    return Plan(targets=targets, streams=streams, duration_s=DURATION_S)


async def inject_faults(site: Site) -> None:
    """Slow down a server, lose answers of another, and make the store fail."""
    slow, losing, *_ = site.upstreams.values()
    await anyio.sleep(DURATION_S / 4)
    print('one server runs calls four times slower')
    slow.faults.slow_factor = 4.0
    await anyio.sleep(DURATION_S / 4)
    print('another server loses 30% of its answers; the store is down')
    losing.faults.lose_share = 0.3
    site.store.fault = StoreFault.BUSY
    await anyio.sleep(DURATION_S / 4)
    print('all faults removed')
    slow.faults.slow_factor = 1.0
    losing.faults.lose_share = 0.0
    site.store.fault = StoreFault.NONE


async def run() -> Report:
    """Start the site, send the calls, and return their report."""
    async with run_site() as site:
        site.put_config(make_config(1))
        for zone in ZONES:
            for name, _, _, _ in ROUTES:
                for number in range(SERVERS_PER_ZONE):
                    await site.add_upstream(
                        f'{name}-{zone}-{number}',
                        ServiceId(name),
                        zone,
                    )
            for number in range(2):
                await site.add_gateway(f'vm-{zone}-{number}', zone)
        await site.wait_for_servers(len(site.upstreams))
        async with anyio.create_task_group() as group:
            group.start_soon(inject_faults, site)
            report = await drive(make_plan(site), HEADER_NAMES)
        ran = [name for each in site.upstreams.values() for name in each.ran]
        print(f'{site.store.calls} store calls, {len(ran)} runs on servers')
        return report


def main() -> int:
    """Run the demo; return the exit code."""
    logger.remove()
    # At the end of the run servers log each call that is still in flight.
    logging.getLogger('uvicorn.error').disabled = True
    report = anyio.run(run)
    print(report.render())
    answered = all(row.answered for row in report.rows)
    print('every route was answered' if answered else 'a route had no answer')
    return 0 if answered else 1


if __name__ == '__main__':
    sys.exit(main())

"""Functions and constants shared by the tests of the gateway."""

from harness.routes import SERVICE, make_config, make_route
from ibisplank.gateway import ServerEntry
from ibisplank.ids import ServerId, ZoneId

__all__ = ('SERVICE', 'make_config', 'make_entry', 'make_route')


def make_entry(
    name: str,
    *,
    zone: str = 'z1',
    slots: int = 2,
    draining: bool = False,
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
        draining,
        warmup_left_s,
        born_ms,
    )

"""Health checks of backend servers."""

from ibisplank.connection import Exchange
from ibisplank.gateway._model import RoutingConfig, ServerEntry

#: A health check that is not answered within this time has failed.
PROBE_TIMEOUT_S = 0.3
#: A longer answer has failed too.
MAX_HEALTH_BYTES = 65536
DEFAULT_HEALTH_PATH = '/health'


def make_health_check(entry: ServerEntry, config: RoutingConfig) -> Exchange:
    """Return the health check of a server."""
    service_config = config.services.get(entry.service)
    path = service_config.health_path if service_config else DEFAULT_HEALTH_PATH
    return Exchange(
        b'GET',
        path.encode(),
        [(b'host', entry.address.encode())],
        b'',
        first_byte_s=PROBE_TIMEOUT_S,
        proven=False,
        unsized=True,
        most_bytes=MAX_HEALTH_BYTES,
    )

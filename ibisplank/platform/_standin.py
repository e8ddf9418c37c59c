"""Server side of the store's formats, for the stand-in store."""

import base64
from types import MappingProxyType
from urllib.parse import parse_qs

import msgspec

from ibisplank.gateway import (
    CallerLimits,
    DeliverySemantics,
    RouteConfig,
    RoutingConfig,
    ServerEntry,
    ServiceConfig,
)
from ibisplank.platform._client import GONE, OK, RowBody, RowsBody
from ibisplank.platform._names import (
    CONFIG_KEY,
    ERA_HEADER,
    EVACUATE_PREFIX,
    FEED_PATH,
    LIST_PATH,
    MEMBER_TABLE,
    OPERATOR_TABLE,
    SERVER_TABLE,
    WRITE_PATH,
)
from ibisplank.platform._rows import (
    ConfigBody,
    LimitsBody,
    RouteBody,
    ServerBody,
    ServiceBody,
    SplitBody,
)
from ibisplank.store import TableUpdate, Topic, VersionedRow

MS_PER_S = 1000.0
_ROUTE_TYPES = MappingProxyType(
    {
        DeliverySemantics.IDEMPOTENT: 'idempotent',
        DeliverySemantics.AT_MOST_ONCE: 'non_idempotent',
    },
)
_TOPICS = MappingProxyType(
    {
        OPERATOR_TABLE: Topic.OPERATOR,
        SERVER_TABLE: Topic.SERVERS,
        MEMBER_TABLE: Topic.MEMBERS,
    },
)


class ListRequest(msgspec.Struct, frozen=True):
    """A request for all rows of a table."""

    topic: Topic


class FeedRequest(msgspec.Struct, frozen=True):
    """A long poll for the changes after a version.

    Attributes
    ----------
    wait_s : float
        Longest time to wait for a change.
    """

    topic: Topic
    after: int
    wait_s: float


class WriteRequest(msgspec.Struct, frozen=True):
    """A request that writes rows.

    Attributes
    ----------
    rows : tuple
        Table, key and content of each row; content None deletes the row.
    """

    rows: tuple[tuple[Topic, str, bytes | None], ...]


class PutBody(msgspec.Struct):
    """One row in the body of a write request."""

    table: str
    key: str
    value: str = ''
    part: str = ''


class WriteBody(msgspec.Struct):
    """Body of a write request."""

    puts: list[PutBody] = []
    delete: list[PutBody] = []


StoreRequest = ListRequest | FeedRequest | WriteRequest


def parse_request(path: str, query: bytes, body: bytes) -> StoreRequest | None:
    """Return the parsed request, or None if it is unknown.

    A request is unknown if its path is, or if it reads an unknown table.

    Raises
    ------
    KeyError
        The request writes to an unknown table.
    """
    fields = {
        name: texts[0] for name, texts in parse_qs(query.decode()).items()
    }
    topic = _TOPICS.get(fields.get('table', ''))
    if path == WRITE_PATH:
        return _parse_write(body)
    if topic is None:
        return None
    if path == LIST_PATH:
        return ListRequest(topic)
    if path == FEED_PATH:
        wait_s = int(fields.get('waitMs', '0')) / MS_PER_S
        return FeedRequest(topic, int(fields.get('after', '0')), wait_s)
    return None


def encode_table_update(update: TableUpdate) -> tuple[int, bytes]:
    """Return the HTTP status and body of an answer that holds an update."""
    rows = [_make_row_body(row) for row in update.rows]
    body = RowsBody(update.version, update.store_s, rows)
    return OK, msgspec.json.encode(body)


def encode_history_gone() -> tuple[int, bytes]:
    """Return the HTTP status and body for a truncated history."""
    return GONE, b'{}'


def encode_era(era: int) -> tuple[bytes, bytes]:
    """Return the header of an answer that names the era of the store."""
    return ERA_HEADER, str(era).encode()


def encode_config(config: RoutingConfig) -> tuple[str, bytes]:
    """Return the key and content of the row that holds a config."""
    body = ConfigBody(
        f'r{config.version}',
        [_encode_entry(_make_route_body(route)) for route in config.routes],
        [
            _encode_entry(_make_service_body(service_config))
            for service_config in config.services.values()
        ],
        _encode_entry(_make_limits_body(config.limits)),
    )
    return CONFIG_KEY, msgspec.json.encode(body)


def encode_server(entry: ServerEntry, sequence: int = 0) -> tuple[str, bytes]:
    """Return the key and content of the row that holds a backend server.

    Parameters
    ----------
    sequence : int
        Number of the server's reports since its start.
    """
    body = ServerBody(
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        'draining' if entry.draining else 'ready',
        entry.warmup_left_s,
        entry.born_ms,
        sequence,
    )
    return entry.server, msgspec.json.encode(body)


def make_evacuation_key(zone: str) -> str:
    """Return the key of the row that takes a zone out of service.

    >>> make_evacuation_key('z')
    'evacuate/z'
    """
    return f'{EVACUATE_PREFIX}{zone}'


def _parse_write(body: bytes) -> WriteRequest:
    decoded = msgspec.json.decode(body, type=WriteBody)
    rows: list[tuple[Topic, str, bytes | None]] = []
    for put in decoded.puts:
        content = base64.b64decode(put.value)
        rows.append((_TOPICS[put.table], put.key, content))
    for deletion in decoded.delete:
        rows.append((_TOPICS[deletion.table], deletion.key, None))
    return WriteRequest(tuple(rows))


def _make_row_body(row: VersionedRow) -> RowBody:
    text = base64.b64encode(row.content).decode()
    return RowBody(row.key, text, row.version, row.deleted)


def _encode_entry(body: msgspec.Struct) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(body))


def _make_service_body(service_config: ServiceConfig) -> ServiceBody:
    return ServiceBody(
        service_config.service,
        service_config.health_path,
        service_config.max_connections,
        service_config.warmup_s,
        service_config.warmup_rate,
    )


def _make_limits_body(limits: CallerLimits) -> LimitsBody:
    return LimitsBody(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )


def _make_route_body(route: RouteConfig) -> RouteBody:
    return RouteBody(
        name=route.name,
        hostname=route.host,
        prefix=route.prefix,
        route_type=_ROUTE_TYPES[route.semantics],
        timeout_s=route.timeout_s,
        target_latency_s=route.target_s,
        priority=route.priority,
        max_attempts=route.max_attempts,
        traffic_split=[
            SplitBody(share.service, share.weight) for share in route.shares
        ],
    )

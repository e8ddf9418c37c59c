"""The store's side of its formats, for the project's own emulator."""

import base64
from types import MappingProxyType
from urllib.parse import parse_qs

import msgspec

from ibisplank.gateway import RouteConfig, RoutingConfig, ServerEntry
from ibisplank.platform._decode import (
    KIND_NAMES,
    ConfigBody,
    LimitsBody,
    RouteBody,
    ServerBody,
    ServiceBody,
    SplitBody,
)
from ibisplank.platform._names import (
    CONFIG_KEY,
    EVACUATE_PREFIX,
    FEED_PATH,
    LIST_PATH,
    MEMBER_TABLE,
    OPERATOR_TABLE,
    SERVER_TABLE,
    WRITE_PATH,
)
from ibisplank.platform._store import GONE, OK, RowBody, RowsBody
from ibisplank.store import Reading, Topic, VersionedRow

MS_PER_S = 1000.0
_TOPICS = MappingProxyType(
    {
        OPERATOR_TABLE: Topic.OPERATOR,
        SERVER_TABLE: Topic.SERVERS,
        MEMBER_TABLE: Topic.MEMBERS,
    },
)


class ListCall(msgspec.Struct, frozen=True):
    """A call for all rows of a table."""

    topic: Topic


class FeedCall(msgspec.Struct, frozen=True):
    """A call for the changes after a version."""

    topic: Topic
    after: int
    wait_s: float


class WriteCall(msgspec.Struct, frozen=True):
    """A call that writes rows; None drops one."""

    rows: tuple[tuple[Topic, str, bytes | None], ...]


class PutBody(msgspec.Struct):
    """One row that a call writes."""

    table: str
    key: str
    value: str = ''
    part: str = ''


class WriteBody(msgspec.Struct):
    """Body of a writing call."""

    puts: list[PutBody] = []
    delete: list[PutBody] = []


Call = ListCall | FeedCall | WriteCall


def parse_call(path: str, query: bytes, body: bytes) -> Call | None:
    """Return what a call to the store asks, None where it isn't known."""
    fields = {
        name: texts[0] for name, texts in parse_qs(query.decode()).items()
    }
    topic = _TOPICS.get(fields.get('table', ''))
    if path == WRITE_PATH:
        return _parse_write(body)
    if topic is None:
        return None
    if path == LIST_PATH:
        return ListCall(topic)
    if path == FEED_PATH:
        wait_s = int(fields.get('waitMs', '0')) / MS_PER_S
        return FeedCall(topic, int(fields.get('after', '0')), wait_s)
    return None


def render_reading(reading: Reading) -> tuple[int, bytes]:
    """Return the status and body that tell a reading."""
    rows = [_render_row(row) for row in reading.rows]
    body = RowsBody(reading.version, reading.store_s, rows)
    return OK, msgspec.json.encode(body)


def render_gone() -> tuple[int, bytes]:
    """Return the status and body for history that is gone."""
    return GONE, b'{}'


def render_config(config: RoutingConfig) -> tuple[str, bytes]:
    """Return the key and content of a config's row."""
    body = ConfigBody(
        f'r{config.version}',
        [_render_route(route) for route in config.routes],
        [
            ServiceBody(
                rules.service,
                rules.health_path,
                rules.max_connections,
                rules.warmup_s,
                rules.warmup_rate,
            )
            for rules in config.services.values()
        ],
        LimitsBody(
            config.limits.header_bytes,
            config.limits.body_bytes,
            config.limits.header_timeout_s,
            config.limits.idle_timeout_s,
        ),
    )
    return CONFIG_KEY, msgspec.json.encode(body)


def render_entry(entry: ServerEntry) -> tuple[str, bytes]:
    """Return the key and content of a backend server's row."""
    body = ServerBody(
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        'draining' if entry.draining else 'ready',
        entry.warmup_left_s,
        entry.born_ms,
    )
    return entry.server, msgspec.json.encode(body)


def name_evacuation(zone: str) -> str:
    """Return the key of the row that takes a zone out of service.

    >>> name_evacuation('z')
    'evacuate/z'
    """
    return f'{EVACUATE_PREFIX}{zone}'


def _parse_write(body: bytes) -> WriteCall:
    decoded = msgspec.json.decode(body, type=WriteBody)
    rows: list[tuple[Topic, str, bytes | None]] = []
    for put in decoded.puts:
        content = base64.b64decode(put.value)
        rows.append((_TOPICS[put.table], put.key, content))
    for drop in decoded.delete:
        rows.append((_TOPICS[drop.table], drop.key, None))
    return WriteCall(tuple(rows))


def _render_row(row: VersionedRow) -> RowBody:
    text = base64.b64encode(row.content).decode()
    return RowBody(row.key, text, row.version, row.deleted)


def _render_route(route: RouteConfig) -> RouteBody:
    return RouteBody(
        name=route.name,
        hostname=route.host,
        prefix=route.prefix,
        route_type=KIND_NAMES[route.semantics],
        timeout_s=route.timeout_s,
        target_latency_s=route.target_s,
        priority=route.priority,
        max_attempts=route.max_attempts,
        traffic_split=[
            SplitBody(share.service, share.weight) for share in route.shares
        ],
    )

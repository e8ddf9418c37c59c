"""Decodes rows of the platform's store, and encodes those of gateways.

The `*Body` structs keep the platform's field names. A comment explains a
field whose name suggests another meaning.
"""

import contextlib
from dataclasses import dataclass, field
from types import MappingProxyType

import msgspec

from ibisplank.errors import UndecodableRow
from ibisplank.figures import Counter, Seconds
from ibisplank.gateway import (
    CallerLimits,
    DecodedConfig,
    DecodedMember,
    DecodedRow,
    DecodedServer,
    DecodedZone,
    DeliverySemantics,
    InvalidRow,
    MemberRecord,
    OmittedEntry,
    RouteConfig,
    RouteName,
    RoutingConfig,
    ServerEntry,
    ServiceConfig,
    TrafficShare,
)
from ibisplank.ids import MemberId, ServerId, ServiceId, ZoneId
from ibisplank.platform._fields import (
    DECODE_ERRORS,
    HeaderText,
    Slots,
    WarmupSeconds,
    check_address,
)
from ibisplank.platform._names import CONFIG_KEY, EVACUATE_PREFIX
from ibisplank.platform._stamps import parse_version
from ibisplank.store import Topic, VersionedRow

_DRAINING_BY_STATE = MappingProxyType({'ready': False, 'draining': True})
_SEMANTICS_BY_TYPE = MappingProxyType(
    {
        'idempotent': DeliverySemantics.IDEMPOTENT,
        'non_idempotent': DeliverySemantics.AT_MOST_ONCE,
        # Large bodies, otherwise as `non_idempotent`.
        'upload': DeliverySemantics.AT_MOST_ONCE,
    },
)


class SplitBody(msgspec.Struct):
    """One service and its weight in a route's `trafficSplit`."""

    service: str
    weight: float


class RouteBody(msgspec.Struct, rename='camel'):
    """One element of `routes` in the config."""

    name: str
    hostname: str
    prefix: str
    route_type: str
    timeout_s: Seconds
    target_latency_s: Seconds
    priority: int
    max_attempts: int
    service: str | None = None
    traffic_split: list[SplitBody] = []


class RouteKeyBody(msgspec.Struct, rename='camel'):
    """The fields of a route that name its calls, decoded on their own."""

    hostname: str
    prefix: str
    name: str = ''


class ServiceBody(msgspec.Struct, rename='camel'):
    """One element of `services` in the config."""

    name: str
    health_path: str
    max_connections: int
    warmup_s: Seconds = 0.0
    # Calls per second that a cold server can handle, not a warm-up speed.
    warmup_per_s: float = 1.0


class LimitsBody(msgspec.Struct, rename='camel'):
    """The `limits` of the config."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: Seconds
    idle_timeout_s: Seconds


class ConfigBody(msgspec.Struct, rename='camel'):
    """Content of row `config` in the operator's table `op`.

    The entries are decoded one by one, as a later version of the format may
    hold some that this build can't read.
    """

    config_version: str
    routes: list[msgspec.Raw]
    services: list[msgspec.Raw]
    limits: msgspec.Raw


class ServerBody(msgspec.Struct, rename='camel'):
    """Content of a row in table `servers`."""

    service: str
    address: str
    zone: str
    slots: Slots
    state: str
    warmup_left_s: WarmupSeconds = 0.0
    # Start time of the server in milliseconds.
    born: Counter = 0
    sequence: Counter = 0


class MemberBody(msgspec.Struct):
    """Content of a row in the table that gateways register in."""

    member: str
    peer: str
    zone: str
    link_mbps: float = 0.0


def decode_row(topic: Topic, row: VersionedRow) -> DecodedRow | None:
    """Return the decoded row, or None if gateways do not use it.

    A row that cannot be decoded gives `InvalidRow` with the reason.
    """
    try:
        match topic:
            case Topic.OPERATOR:
                return _decode_operator(row)
            case Topic.SERVERS:
                return _decode_server(row)
            case Topic.MEMBERS:
                return _decode_member(row)
    except DECODE_ERRORS as error:
        server = ServerId(row.key) if topic is Topic.SERVERS else None
        return InvalidRow(row.key, str(error), server)


def encode_member(record: MemberRecord) -> bytes:
    """Return the content of the row that registers a gateway."""
    body = MemberBody(
        record.member,
        record.peer,
        record.zone,
        record.link_mbps,
    )
    return msgspec.json.encode(body)


def decode_config(content: bytes) -> RoutingConfig:
    """Return the decoded routing config.

    Entries that can't be decoded are left out, and named in the config.

    Raises
    ------
    UndecodableRow
        The config as a whole can't be decoded, or none of its routes.
    """
    try:
        body = msgspec.json.decode(content, type=ConfigBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise UndecodableRow(CONFIG_KEY, str(error)) from error
    decoded = _decode_entries(body)
    config = RoutingConfig(
        parse_version(body.config_version),
        tuple(decoded.routes),
        decoded.services,
        decoded.limits,
        tuple(decoded.omitted),
    )
    if body.routes and not config.routes:
        reason = '; '.join(each.reason for each in config.omitted)
        raise UndecodableRow('routes', reason)
    return config


@dataclass(slots=True)
class _ConfigEntries:
    """Entries of a config, decoded so far."""

    routes: list[RouteConfig] = field(default_factory=list)
    services: dict[ServiceId, ServiceConfig] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    omitted: list[OmittedEntry] = field(default_factory=list)

    def omit(self, part: str, entry: msgspec.Raw, error: Exception) -> None:
        """Record an entry that can't be decoded, and which calls it names."""
        key = RouteKeyBody('', '')
        with contextlib.suppress(*DECODE_ERRORS):
            key = msgspec.json.decode(entry, type=RouteKeyBody)
        reason = f'{part}: {key.name or "unnamed"}: {error}'
        self.omitted.append(
            OmittedEntry(part, reason, key.hostname.lower(), key.prefix)
        )


def _decode_entries(body: ConfigBody) -> _ConfigEntries:
    """Return the entries of a config that can be decoded."""
    decoded = _ConfigEntries()
    for service_entry in body.services:
        try:
            service = _make_service(
                msgspec.json.decode(service_entry, type=ServiceBody)
            )
        except DECODE_ERRORS as error:
            decoded.omit('services', service_entry, error)
            continue
        decoded.services[service.service] = service
    for route_entry in body.routes:
        try:
            route = _make_route(
                msgspec.json.decode(route_entry, type=RouteBody),
                decoded.services,
            )
        except DECODE_ERRORS as error:
            decoded.omit('routes', route_entry, error)
            continue
        decoded.routes.append(route)
    try:
        decoded.limits = _decode_limits(body.limits)
    except DECODE_ERRORS as error:
        decoded.omit('limits', body.limits, error)
    return decoded


def _decode_limits(entry: msgspec.Raw) -> CallerLimits:
    limits = msgspec.json.decode(entry, type=LimitsBody)
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )


def _decode_operator(row: VersionedRow) -> DecodedRow | None:
    if row.key.startswith(EVACUATE_PREFIX):
        zone = ZoneId(row.key[len(EVACUATE_PREFIX) :])
        return DecodedZone(zone, not row.deleted)
    if row.key != CONFIG_KEY or row.deleted:
        return None
    return DecodedConfig(decode_config(row.content))


def _decode_server(row: VersionedRow) -> DecodedRow:
    server = ServerId(row.key)
    if row.deleted:
        return DecodedServer(server, None)
    body = msgspec.json.decode(row.content, type=ServerBody)
    if body.state not in _DRAINING_BY_STATE:
        raise UndecodableRow('state', f'unknown state {body.state!r}')
    msgspec.convert(row.key, type=HeaderText)
    entry = ServerEntry(
        server,
        ServiceId(body.service),
        check_address(body.address),
        ZoneId(body.zone),
        max(1, body.slots),
        _DRAINING_BY_STATE[body.state],
        body.warmup_left_s,
        body.born,
    )
    return DecodedServer(server, entry)


def _decode_member(row: VersionedRow) -> DecodedRow:
    if row.deleted:
        return DecodedMember(row.key, None)
    body = msgspec.json.decode(row.content, type=MemberBody)
    record = MemberRecord(
        MemberId(body.member),
        check_address(body.peer),
        ZoneId(body.zone),
        body.link_mbps,
    )
    return DecodedMember(row.key, record)


def _make_service(body: ServiceBody) -> ServiceConfig:
    return ServiceConfig(
        ServiceId(body.name),
        body.health_path,
        body.max_connections,
        body.warmup_s,
        body.warmup_per_s,
    )


def _make_route(
    body: RouteBody,
    services: dict[ServiceId, ServiceConfig],
) -> RouteConfig:
    semantics = _SEMANTICS_BY_TYPE.get(body.route_type)
    if semantics is None:
        raise UndecodableRow(
            'routeType', f'unknown route type {body.route_type!r}'
        )
    shares = tuple(
        TrafficShare(ServiceId(part.service), part.weight)
        for part in body.traffic_split
        if part.weight > 0
    )
    if body.service is not None:
        shares = (TrafficShare(ServiceId(body.service), 1.0),)
    if not shares:
        raise UndecodableRow('service', f'route {body.name} names no service')
    for share in shares:
        if share.service not in services:
            raise UndecodableRow(
                'service', f'unknown service {share.service!r}'
            )
    return RouteConfig(
        RouteName(body.name),
        body.hostname.lower(),
        body.prefix,
        semantics,
        body.timeout_s,
        body.target_latency_s,
        body.priority,
        shares,
        body.max_attempts,
    )

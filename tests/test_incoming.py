"""Parsing of calls: forwarded headers, rejections and deadlines."""

import pytest

from ibisplank.gateway import CallerLimits
from ibisplank.gateway._incoming import (
    Rejection,
    find_deadline,
    find_route,
    parse_head,
)
from ibisplank.gateway._routing import RouteTable
from ibisplank.platform import HEADER_NAMES
from tests.gateways import make_config, make_route

ID = (b'x-request-id', b'id')
HOST = (b'host', b'Host.Example:8080')
TABLE = RouteTable(make_config(1, make_route()))


def make_scope(*headers: tuple[bytes, bytes], path: bytes = b'/a/x') -> object:
    return {
        'method': 'GET',
        'raw_path': path,
        'query_string': b'q=%20',
        'headers': list(headers),
    }


def test_target_and_end_to_end_headers_are_forwarded_unchanged() -> None:
    scope = make_scope(
        HOST,
        ID,
        (b'connection', b'close, x-hop'),
        (b'x-hop', b'1'),
        (b'x-kept', b'2'),
        (b'x-target-instance', b'forged'),
        (b'x-request-deadline', b'500'),
        (b'transfer-encoding', b'chunked'),
    )
    head = parse_head(scope, HEADER_NAMES)  # type: ignore[arg-type]
    assert head.target == b'/a/x?q=%20'
    assert head.forwarded == [HOST, ID, (b'x-kept', b'2')]
    assert head.host == 'host.example'
    assert head.deadline_s == 0.5


def test_connection_header_cannot_remove_the_request_id() -> None:
    scope = make_scope(HOST, ID, (b'connection', b'x-request-id, host'))
    head = parse_head(scope, HEADER_NAMES)  # type: ignore[arg-type]
    assert head.forwarded == [HOST, ID]


@pytest.mark.parametrize(
    ('headers', 'status'),
    [
        ([HOST], 400),
        ([(b'host', b'other'), ID], 404),
        ([ID], 404),
        ([HOST, ID, (b'x-big', b'x' * 20000)], 431),
    ],
)
def test_rejections(headers: list[tuple[bytes, bytes]], status: int) -> None:
    head = parse_head(make_scope(*headers), HEADER_NAMES)  # type: ignore[arg-type]
    found = find_route(head, TABLE, CallerLimits())
    assert isinstance(found, Rejection)
    assert found.status == status


@pytest.mark.parametrize(
    ('text', 'allowed_s'),
    [(b'500', 0.5), (b'5000', 1.0), (b'soon', 1.0), (b'-1', 1.0), (b'', 1.0)],
)
def test_earlier_of_deadline_and_timeout_applies(
    text: bytes,
    allowed_s: float,
) -> None:
    scope = make_scope(HOST, ID, (b'x-request-deadline', text))
    head = parse_head(scope, HEADER_NAMES)  # type: ignore[arg-type]
    assert find_deadline(head, make_route(), 10.0) == 10.0 + allowed_s

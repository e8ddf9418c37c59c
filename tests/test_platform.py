"""Tests of the platform adapter: settings file, rows and store client."""

import json
from collections.abc import Callable
from typing import Any

import anyio
import pytest

from harness.site import run_site
from ibisplank.errors import (
    HistoryGone,
    OutcomeUnknown,
    SettingError,
    StoreDown,
    UndecodableRow,
)
from ibisplank.gateway import (
    DecodedConfig,
    DecodedServer,
    DecodedZone,
    DeliverySemantics,
    InvalidRow,
    TrafficShare,
)
from ibisplank.ids import ServiceId
from ibisplank.platform import (
    HttpRowStore,
    decode_config,
    decode_row,
    encode_config,
    encode_server,
    encode_settings,
    make_evacuation_key,
    parse_settings,
)
from ibisplank.standin import StoreFault
from ibisplank.store import Topic, VersionedRow
from tests.gateways import make_config, make_entry, make_route

SETTINGS = b"""
[self]
nodeName = "edge-1"
ip = "10.0.0.1"
zone = "z1"
newField = true
[network]
seedNodes = ["10.0.0.2:8649"]
[network.listenAddrs]
frontend = "10.0.0.1:8641"
readiness = "10.0.0.1:8640"
controlPlane = "10.0.0.1:8649"
[provider.provider]
address = "10.9.0.1:8642"
[timers.bounds]
graceS = 6
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
"""


def test_settings_round_trip() -> None:
    settings = parse_settings(SETTINGS)
    assert settings.vm == 'edge-1'
    assert settings.callers == '10.0.0.1:8641'
    assert settings.retry.slack == 58
    assert parse_settings(encode_settings(settings)) == settings


@pytest.mark.parametrize(
    ('old', 'new', 'field'),
    [
        (b'nodeName = "edge-1"', b'', 'nodeName'),
        (b'frontend = "10.0.0.1:8641"', b'', 'frontend'),
        (b'graceS = 6', b'graceS = "long"', 'graceS'),
        (b'budgetSlack = 58', b'budgetSlack = -1', 'budgetSlack'),
        (b'[self]', b'[self', 'settings'),
    ],
)
def test_invalid_settings_report_the_field(
    old: bytes,
    new: bytes,
    field: str,
) -> None:
    with pytest.raises(SettingError, match=field) as caught:
        parse_settings(SETTINGS.replace(old, new))
    assert 'correct that field' in str(caught.value)


def test_config_round_trip() -> None:
    shares = (TrafficShare(ServiceId('lookups'), 90.0),)
    config = make_config(
        7,
        make_route('/a/', shares=shares),
        make_route('/b/', semantics=DeliverySemantics.AT_MOST_ONCE),
    )
    key, content = encode_config(config)
    assert decode_config(content) == config
    row = VersionedRow(key, content, 3)
    assert decode_row(Topic.OPERATOR, row) == DecodedConfig(config)


def encode_edited_config(edit: Callable[[Any], None]) -> bytes:
    body = json.loads(encode_config(make_config(7, make_route()))[1])
    edit(body)
    return json.dumps(body).encode()


@pytest.mark.parametrize(
    ('edit', 'field'),
    [
        (lambda body: body.pop('limits'), 'limits'),
        (lambda body: body.update(configVersion='7'), 'configVersion'),
        (lambda body: body['routes'][0].pop('timeoutS'), 'timeoutS'),
        (lambda body: body['routes'][0].update(routeType='odd'), 'routeType'),
        (
            lambda body: body['routes'][0].update(
                trafficSplit=[{'service': 'none', 'weight': 1}],
            ),
            'service',
        ),
        (lambda body: body['routes'][0].update(trafficSplit=[]), 'service'),
    ],
)
def test_undecodable_config_reports_the_field(
    edit: Callable[[Any], None],
    field: str,
) -> None:
    content = encode_edited_config(edit)
    with pytest.raises(UndecodableRow, match=field):
        decode_config(content)
    decoded = decode_row(Topic.OPERATOR, VersionedRow('config', content, 1))
    assert isinstance(decoded, InvalidRow)
    assert field in decoded.reason


@pytest.mark.parametrize(
    'content',
    [
        b'\xff',
        b'[]',
        b'{"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready"}',
        b'{"service":"s","address":"name:5","zone":"z","slots":2,'
        b'"state":"ready"}',
        b'{"service":"s","address":"1.2.3.4:5","zone":"z","slots":2,'
        b'"state":"odd"}',
        b'{"service":7,"address":"1.2.3.4:5","zone":"z","slots":2,'
        b'"state":"ready"}',
    ],
)
def test_undecodable_server_row_is_invalid_and_names_server(
    content: bytes,
) -> None:
    decoded = decode_row(Topic.SERVERS, VersionedRow('s1', content, 1))
    assert isinstance(decoded, InvalidRow)
    assert decoded.server == 's1'


def test_server_and_evacuation_rows_are_decoded() -> None:
    entry = make_entry('s1', draining=True, warmup_left_s=1.5, born_ms=9)
    key, content = encode_server(entry)
    decoded = decode_row(Topic.SERVERS, VersionedRow(key, content, 1))
    assert decoded == DecodedServer(entry.server, entry)
    gone = VersionedRow(key, b'', 2, deleted=True)
    assert decode_row(Topic.SERVERS, gone) == DecodedServer(entry.server, None)
    out = VersionedRow(make_evacuation_key('z1'), b'{}', 3)
    assert decode_row(Topic.OPERATOR, out) == DecodedZone('z1', out=True)
    assert decode_row(Topic.OPERATOR, VersionedRow('other', b'', 4)) is None


def test_client_lists_rows_and_awaits_changes() -> None:
    async def scenario() -> None:
        async with run_site() as site:
            rows = HttpRowStore(site.store_address)
            await rows.put_row(Topic.MEMBERS, 'a', b'1', 1.0)
            first = await rows.list_rows(Topic.MEMBERS, 1.0)
            assert [row.content for row in first.rows] == [b'1']
            site.store.rows.write(Topic.MEMBERS, 'b', b'2')
            site.store.rows.write(Topic.MEMBERS, 'a', None)
            later = await rows.await_changes(
                Topic.MEMBERS,
                first.version,
                1.0,
                2.0,
            )
            assert [(row.key, row.deleted) for row in later.rows] == [
                ('b', False),
                ('a', True),
            ]
            assert later.after == first.version
            site.store.rows.truncate_history()
            with pytest.raises(HistoryGone):
                await rows.await_changes(Topic.MEMBERS, 0, 0.1, 1.0)

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('fault', 'on_read', 'on_write'),
    [
        (StoreFault.BUSY, StoreDown, StoreDown),
        (StoreFault.MANY, StoreDown, StoreDown),
        (StoreFault.SILENT, StoreDown, OutcomeUnknown),
        (StoreFault.RESET, StoreDown, (StoreDown, OutcomeUnknown)),
        (StoreFault.LOST_WRITES, None, OutcomeUnknown),
    ],
)
def test_client_maps_store_faults_to_errors(
    fault: StoreFault,
    on_read: type[Exception] | None,
    on_write: type[Exception] | tuple[type[Exception], ...],
) -> None:
    async def scenario() -> None:
        async with run_site() as site:
            site.store.fault = fault
            rows = HttpRowStore(site.store_address)
            if on_read is None:
                await rows.list_rows(Topic.MEMBERS, 0.3)
            else:
                with pytest.raises(on_read):
                    await rows.list_rows(Topic.MEMBERS, 0.3)
            with pytest.raises(on_write):
                await rows.put_row(Topic.MEMBERS, 'a', b'1', 0.3)

    anyio.run(scenario)

"""Rows of other writers that no gateway can use."""

import anyio
import httpcore
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.site import run_site
from ibisplank.connection import CompressedTableUpdate
from ibisplank.errors import StoreDown
from ibisplank.gateway import InvalidRow
from ibisplank.ids import MemberId, ServerId
from ibisplank.platform import decode_row
from ibisplank.platform._client import RowBody, _decode, _make_row
from ibisplank.platform._names import ERA_HEADER
from ibisplank.store import TableUpdate, Topic, VersionedRow
from tests.gateways import SERVICE, make_config, make_route

#: Required limit on the time until a new entry takes effect.
CHANGE_S = 2.0
VALID = {
    'service': SERVICE,
    'address': '127.0.0.1:9',
    'zone': 'z1',
    'slots': 2,
    'state': 'ready',
    'warmupLeftS': 0.0,
    'born': 1,
    'sequence': 1,
}
DEEP = b'[' * 20000 + b']' * 20000
HUGE = b'1' + b'0' * 30


def encode(**fields: object) -> bytes:
    return msgspec.json.encode({**VALID, **fields})


def insert(name: str, text: bytes) -> bytes:
    """Return an entry with the text in place of the content of a field."""
    marked = encode(**{name: 'MARK'})
    return marked.replace(b'"MARK"', text)


ODD = {
    'nested in an unknown field': insert('x', DEEP),
    'nested in a known field': insert('address', DEEP),
    'nested without end': b'{"x":' * 20000,
    'start time too large': insert('born', HUGE),
    'start time too small': insert('born', b'-' + HUGE),
    'start time out of any range': insert('born', b'1e400'),
    'sequence number too large': insert('sequence', HUGE),
    'slots too large': insert('slots', HUGE),
    'warm-up too long': insert('warmupLeftS', b'1e300'),
    'port out of range': encode(address='127.0.0.1:99999'),
    'port 0': encode(address='127.0.0.1:0'),
    'no IP address': encode(address='999.0.0.1:80'),
    'other digits': encode(address='\u0661.0.0.1:80'),
    'no text': b'\xff\xfe',
    'nothing': b'',
}


@pytest.mark.parametrize('name', ODD)
def test_odd_entry_names_no_server(name: str) -> None:
    row = VersionedRow('odd', ODD[name], 5, deleted=False)
    assert isinstance(decode_row(Topic.SERVERS, row), InvalidRow)


@pytest.mark.parametrize('key', ['a\r\nb', 'a b', '\u00e4', '\x00'])
def test_id_that_is_no_header_names_no_server(key: str) -> None:
    row = VersionedRow(key, encode(), 5, deleted=False)
    assert isinstance(decode_row(Topic.SERVERS, row), InvalidRow)


@pytest.mark.parametrize('topic', Topic)
@given(content=st.binary(max_size=200))
def test_no_content_raises(topic: Topic, content: bytes) -> None:
    row = VersionedRow('config', content, 5, deleted=False)
    decode_row(topic, row)


@pytest.mark.parametrize('topic', Topic)
@pytest.mark.parametrize('name', ODD)
def test_odd_row_can_be_forwarded(topic: Topic, name: str) -> None:
    """A row goes to the other gateways whether it can be used or not."""
    key = 'config' if topic is Topic.OPERATOR else 'odd'
    content = ODD[name]
    body = msgspec.to_builtins(content)
    row = _make_row(topic, RowBody(key, body, 5), 0)
    assert row.content == content
    assert msgspec.msgpack.encode(row)
    decode_row(topic, row)


ODD_PAGES = (
    b'{"rowVersion": %s, "nowS": 1.0}' % HUGE,
    b'{"rowVersion": -1, "nowS": 1.0}',
    b'{"rowVersion": 5, "nowS": 1e999}',
    b'{"rowVersion": 5, "nowS": 1.0, "rows": [{"key": "a", "rowVersion": %s}]}'
    % HUGE,
)


@pytest.mark.parametrize('content', ODD_PAGES)
def test_answer_of_the_store_that_cannot_be_sent_on_is_none(
    content: bytes,
) -> None:
    """A reader would encode its numbers for the other gateways."""
    response = httpcore.Response(200, content=content)
    response.read()
    with pytest.raises(StoreDown):
        _decode(response)


@pytest.mark.parametrize('era', [b'9' * 5000, HUGE, b'-1', b'\xb2', b'x', b''])
def test_era_that_is_no_number_ends_no_gateway(era: bytes) -> None:
    content = b'{"rowVersion": 5, "nowS": 1.0}'
    response = httpcore.Response(
        200, headers=[(ERA_HEADER, era)], content=content
    )
    response.read()
    assert _decode(response).era == 0


@given(st.sampled_from(sorted(ODD)), st.integers(0, 200), st.integers(0, 255))
def test_entry_with_a_wrong_byte_can_be_sent_on(
    name: str, at: int, value: int
) -> None:
    for content in (ODD[name], encode()):
        odd = content[:at] + bytes([value]) + content[at + 1 :]
        body = RowBody('odd', msgspec.to_builtins(odd), 5)
        row = _make_row(Topic.SERVERS, body, 0)
        update = TableUpdate(Topic.SERVERS, (row,), False, 5, 1.0)
        sent = CompressedTableUpdate.compress(MemberId('m'), update)
        assert sent.decompress() == update
        decode_row(Topic.SERVERS, row)


def test_row_that_is_not_encoded_is_left_out() -> None:
    row = _make_row(Topic.SERVERS, RowBody('odd', 'YWJjZ', 5), 0)
    assert isinstance(decode_row(Topic.SERVERS, row), InvalidRow)


@pytest.mark.parametrize('peer', ['127.0.0.1:99999', 'host:1', ''])
def test_gateway_without_an_address_is_left_out(peer: str) -> None:
    content = msgspec.json.encode(
        {'member': 'm', 'peer': peer, 'zone': 'z1', 'link_mbps': 1.0}
    )
    row = VersionedRow('vm', content, 5, deleted=False)
    assert isinstance(decode_row(Topic.MEMBERS, row), InvalidRow)


def test_gateways_follow_the_servers_beside_odd_entries() -> None:
    async def scenario() -> None:
        async with run_site() as site:
            site.put_config(make_config(1, make_route()))
            await site.add_upstream('s0', SERVICE)
            for number in range(3):
                await site.add_gateway(f'vm-{number}')
            await site.wait_for_servers(1)
            for number, content in enumerate(ODD.values()):
                site.store.rows.write(Topic.SERVERS, f'odd{number}', content)
            await anyio.sleep(CHANGE_S)
            await site.add_upstream('s1', SERVICE)
            await anyio.sleep(CHANGE_S)
            for number, gateway in enumerate(site.gateways):
                directory = gateway.cluster.directory
                known = {state.entry.server for state in directory.list_all()}
                assert known == {ServerId('s0'), ServerId('s1')}
                got = await site.send_call(f'id{number}', gateway=number)
                assert got.status == 200

    anyio.run(scenario)

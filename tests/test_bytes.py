"""HTTP: truncated, corrupted, smuggled and pipelined messages, extra bytes."""

import contextlib

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.proxy import DISCONNECT_ERRORS
from harness.site import Site, run_site
from ibisplank.connection import Answer, ConnectionPool, Exchange
from ibisplank.connection._backend import MAX_ANSWER_BYTES, MAX_HEAD_BYTES
from ibisplank.errors import BackendError
from ibisplank.gateway import DeliverySemantics
from ibisplank.platform import HEADER_NAMES
from ibisplank.process import read_clock
from tests.gateways import SERVICE, make_config, make_route
from tests.serving import serving_stream

BODY = b'whole body'
HEAD = b'HTTP/1.1 200 OK\r\n' + HEADER_NAMES.request_id + b': id1\r\n'
SIZED = HEAD + b'content-length: 10\r\n\r\n' + BODY
CHUNKED = (
    HEAD + b'transfer-encoding: chunked\r\n\r\n'
    b'6\r\nwhole \r\n4\r\nbody\r\n0\r\n\r\n'
)
TIMEOUT_S = 0.2
#: Longest time that callers wait for an answer today.
ENDLESS_TIMEOUT_S = 2.0


#: Stands for the id of the call in a reply.
OWN = b'id1'


def make_exchange(request_id: bytes = OWN) -> Exchange:
    return Exchange(
        b'GET',
        b'/',
        [(b'host', b'h')],
        b'',
        first_byte_s=TIMEOUT_S,
        proven=False,
        unsized=True,
        echo=(HEADER_NAMES.request_id, request_id),
    )


async def exchange_all(
    replies: list[bytes], *, close: bool
) -> list[Answer | None]:
    """Return the answer to one exchange per scripted reply, None on failure.

    Each call has an id of its own, which takes the place of `OWN` in its reply.
    """
    request_ids = [b'%03x' % (0x100 + number) for number in range(len(replies))]
    remaining = [
        reply.replace(OWN, request_id)
        for reply, request_id in zip(replies, request_ids, strict=True)
    ]
    answers: list[Answer | None] = []

    async def serve(stream: anyio.abc.SocketStream) -> None:
        with contextlib.suppress(*DISCONNECT_ERRORS):
            while True:
                await stream.receive()
                await stream.send(remaining.pop(0))
                if close:
                    await stream.aclose()
                    return

    async with serving_stream(serve) as address:
        pool = ConnectionPool(address, read_clock)
        for request_id in request_ids:
            exchange = make_exchange(request_id)
            try:
                with anyio.fail_after(TIMEOUT_S):
                    answers.append(await pool.exchange(exchange))
            except (BackendError, TimeoutError):
                answers.append(None)
        await pool.close_idle()
    return answers


@pytest.mark.parametrize('reply', [SIZED, CHUNKED])
def test_an_answer_truncated_at_any_byte_is_rejected(reply: bytes) -> None:
    truncated = [reply[:count] for count in range(1, len(reply))]
    answers = anyio.run(lambda: exchange_all(truncated, close=True))
    assert [each for each in answers if each is not None] == []
    full = anyio.run(lambda: exchange_all([reply], close=True))
    assert full[0] is not None
    assert full[0].body == BODY


@given(st.binary(min_size=1, max_size=40))
def test_extra_bytes_never_reach_a_later_call(extra: bytes) -> None:
    """A connection with extra bytes after an answer is not reused."""
    replies = [SIZED + extra, SIZED, SIZED]
    answers = anyio.run(lambda: exchange_all(replies, close=False))
    assert all(each is None or each.body == BODY for each in answers)
    assert answers[-1] is not None


@given(st.integers(0, len(SIZED) - 1), st.integers(0, 255))
def test_a_corrupted_byte_never_yields_a_body_of_wrong_length(
    index: int,
    value: int,
) -> None:
    """A body whose length differs from the content-length is never returned."""
    reply = SIZED[:index] + bytes([value]) + SIZED[index + 1 :]
    answers = anyio.run(lambda: exchange_all([reply], close=True))
    answer = answers[0]
    if answer is None:
        return
    fields = {name.lower(): text for name, text in answer.headers}
    declared = fields.get(b'content-length')
    assert declared is None or int(declared) == len(answer.body)


REFUSED = (
    b'HTTP/1.1 503 Busy\r\n'
    + HEADER_NAMES.not_run
    + b': 1\r\ncontent-length: 0\r\n'
)
OWN_ID = HEADER_NAMES.request_id + b': id1\r\n'


@pytest.mark.parametrize('status', [b'408', b'421', b'429', b'503'])
@pytest.mark.parametrize('named', [b'', OWN_ID.replace(b'id1', b'id0')])
def test_earlier_refusal_that_comes_again_refuses_no_later_call(
    status: bytes, named: bytes
) -> None:
    """The server runs the second call and then repeats the first answer."""
    refused = REFUSED.replace(b'503', status)
    first = refused + OWN_ID + b'\r\n'
    again = refused + named + b'\r\n'
    answers = anyio.run(lambda: exchange_all([first, again], close=False))
    assert answers[0] is not None
    assert answers[1] is None


def test_refusal_on_a_new_connection_needs_no_id() -> None:
    answers = anyio.run(lambda: exchange_all([REFUSED + b'\r\n'], close=False))
    assert answers[0] is not None
    assert answers[0].status == 503


@pytest.mark.parametrize('status', [b'600', b'999'])
def test_status_that_no_caller_can_get_is_no_answer(status: bytes) -> None:
    reply = SIZED.replace(b'200', status)
    answers = anyio.run(lambda: exchange_all([reply, SIZED], close=False))
    assert answers[0] is None
    assert answers[1] is not None


#: Heads that state a success, by how their lines end and their body is framed.
SIGNED = HEAD + HEADER_NAMES.signature + b': s\r\n'
SUCCESSES = (
    SIGNED + b'\r\n',
    SIGNED + b'connection: close\r\n\r\n',
    SIGNED + b'content-length: 0\r\n\r\n',
    SIGNED.replace(b'\r\n', b'\n') + b'content-length: 0\n\n',
    b'HTTP/1.1 100 Continue\r\n\r\n' + SIGNED + b'\r\n',
    SIGNED + b'x-long: a\r\n b\r\n\r\n',
)


@pytest.mark.parametrize('head', SUCCESSES)
def test_server_that_closes_within_the_head_gives_no_answer(
    head: bytes,
) -> None:
    truncated = [head[:count] for count in range(1, len(head))]
    answers = anyio.run(lambda: exchange_all(truncated, close=True))
    assert [each for each in answers if each is not None] == []


ENDLESS_HEADS = (b'garbage ', b'HTTP/1.1 100 Continue\r\n\r\n', HEAD)
ENDLESS_BODIES = (
    HEAD + b'\r\n',
    HEAD + b'content-length: 999999999999\r\n\r\n',
    HEAD + b'transfer-encoding: chunked\r\n\r\nffffffff\r\n',
)
#: The script stops after this, should the caller never close.
MOST_SENT = 64 * MAX_ANSWER_BYTES
#: What sockets may buffer in addition to what the caller reads.
SOCKET_BUFFERS = 16 * 1024 * 1024


async def count_until_closed(first: bytes, repeated: bytes) -> int:
    """Return how many bytes of an endless answer a server can send."""
    sent = 0

    async def serve(stream: anyio.abc.SocketStream) -> None:
        nonlocal sent
        await stream.receive()
        block = repeated * (65536 // len(repeated))
        with contextlib.suppress(*DISCONNECT_ERRORS):
            await stream.send(first)
            while sent < MOST_SENT:
                await stream.send(block)
                sent += len(block)

    async with serving_stream(serve) as address:
        pool = ConnectionPool(address, read_clock)
        with anyio.fail_after(ENDLESS_TIMEOUT_S), pytest.raises(BackendError):
            await pool.exchange(make_exchange())
    return sent


@pytest.mark.parametrize('line', ENDLESS_HEADS)
def test_endless_bytes_in_a_head_end_the_connection(line: bytes) -> None:
    repeated = line if line != HEAD else b'x-name: value\r\n'
    first = HEAD if line == HEAD else line
    sent = anyio.run(count_until_closed, first, repeated)
    assert sent <= MAX_HEAD_BYTES + SOCKET_BUFFERS


@pytest.mark.parametrize('head', ENDLESS_BODIES)
def test_endless_bytes_in_a_body_end_the_connection(head: bytes) -> None:
    sent = anyio.run(count_until_closed, head, b'no answer')
    assert sent <= MAX_ANSWER_BYTES + SOCKET_BUFFERS


SMUGGLED = b'GET /a/evil HTTP/1.1\r\nhost: host.example\r\n'
SMUGGLED += HEADER_NAMES.request_id + b': evil\r\n\r\n'


def render_post(*lines: bytes, body: bytes) -> bytes:
    head = b'POST /a/x HTTP/1.1\r\nhost: host.example\r\n'
    head += HEADER_NAMES.request_id + b': asked\r\n'
    return head + b''.join(line + b'\r\n' for line in lines) + b'\r\n' + body


@pytest.mark.parametrize(
    'request_bytes',
    [
        render_post(
            b'content-length: %d' % len(SMUGGLED),
            b'transfer-encoding: chunked',
            body=b'0\r\n\r\n' + SMUGGLED,
        ),
        render_post(
            b'content-length: 0',
            b'content-length: %d' % len(SMUGGLED),
            body=SMUGGLED,
        ),
        render_post(b'content-length: +4', body=b'body' + SMUGGLED),
        render_post(b'content-length : 4', body=b'body'),
        render_post(
            b'transfer-encoding: xchunked',
            body=b'0\r\n\r\n' + SMUGGLED,
        ),
        render_post(
            b'transfer-encoding: chunked',
            body=b'%x\r\n' % len(SMUGGLED) + SMUGGLED + b'\r\n0\r\n\r\n',
        ),
        render_post(b'content-length: %d' % len(SMUGGLED), body=SMUGGLED),
        render_post(
            b'transfer-encoding: chunked',
            body=b'-1\r\n' + SMUGGLED,
        ),
    ],
)
def test_a_smuggled_request_is_never_run(request_bytes: bytes) -> None:
    async def scenario() -> None:
        async with run_site() as site:
            await start(site)
            await send_raw(site, request_bytes)
            ran = site.upstreams['s0'].ran
            assert 'evil' not in ran
            assert ran.count('asked') <= 1
            assert (await site.send_call('after', '/a/x')).status == 200

    anyio.run(scenario)


@pytest.mark.parametrize('size', [1, 7, 64])
def test_pipelined_calls_are_answered_in_order_for_any_segment_size(
    size: int,
) -> None:
    async def scenario() -> None:
        async with run_site() as site:
            await start(site)
            calls = b''.join(
                b'GET /a/%d HTTP/1.1\r\nhost: host.example\r\n' % number
                + HEADER_NAMES.request_id
                + b': id%d\r\n\r\n' % number
                for number in range(3)
            )
            received = await send_raw(site, calls, size)
            positions = [
                received.find(b'/a/%d ' % number) for number in range(3)
            ]
            assert -1 not in positions
            assert positions == sorted(positions)
            assert sorted(site.upstreams['s0'].ran) == ['id0', 'id1', 'id2']

    anyio.run(scenario)


async def start(site: Site) -> None:
    routes = (
        make_route(),
        make_route('/once/', semantics=DeliverySemantics.AT_MOST_ONCE),
    )
    site.put_config(make_config(1, *routes))
    await site.add_upstream('s0', SERVICE)
    await site.add_gateway()
    await site.wait_for_servers(1)


async def send_raw(site: Site, content: bytes, size: int = 4096) -> bytes:
    """Send bytes in segments of a size; return all received within a second."""
    host, _, port = site.settings[0].callers.rpartition(':')
    received = b''
    async with await anyio.connect_tcp(host, int(port)) as stream:
        with contextlib.suppress(*DISCONNECT_ERRORS):
            for begin in range(0, len(content), size):
                await stream.send(content[begin : begin + size])
                await anyio.sleep(0)
        with anyio.move_on_after(1.0), contextlib.suppress(*DISCONNECT_ERRORS):
            while True:
                received += await stream.receive()
    return received

"""Exchanges with backend servers: connection reuse and failures."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketStream

from harness.processes import LOOPBACK, pick_port
from harness.proxy import DISCONNECT_ERRORS
from ibisplank.connection import Answer, ConnectionPool, Exchange
from ibisplank.connection._backend import DEFAULT_IDLE_LIMIT_S
from ibisplank.errors import (
    AttemptUnknown,
    BackendError,
    ConnectFailed,
    RestartSuspected,
    SilentConnection,
    TornAnswer,
)
from tests.serving import serving_stream

RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull'
#: More than the buffers of a connection hold.
LONG_BODY = 32 * 1024 * 1024
Scenario = Callable[[ConnectionPool, list[SocketStream]], Awaitable[None]]


def make_exchange(
    *,
    proven: bool = False,
    cold: bool = True,
    fresh: bool = False,
) -> Exchange:
    return Exchange(
        b'GET',
        b'/',
        [(b'host', b'h')],
        b'',
        0.2,
        proven,
        cold,
        fresh,
    )


def run_scenario(
    replies: list[bytes | None],
    scenario: Scenario,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Run a scenario against a server that sends scripted replies.

    Each request gets the next reply, `RESPONSE` once the list is used up; None
    sends nothing. The server closes the connection after any reply other than
    `RESPONSE`.
    """

    async def run() -> None:
        connections: list[SocketStream] = []
        remaining = list(replies)

        async def serve(stream: SocketStream) -> None:
            connections.append(stream)
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.ClosedResourceError):
                    return
                reply = remaining.pop(0) if remaining else RESPONSE
                if reply is None:
                    await anyio.sleep_forever()
                await stream.send(reply)
                if reply != RESPONSE:
                    await stream.aclose()
                    return

        async with serving_stream(serve) as address:
            pool = ConnectionPool(address, clock)
            with anyio.fail_after(10):
                await scenario(pool, connections)

    anyio.run(run)


def check_error(reply: bytes, error: type[Exception]) -> None:
    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        with pytest.raises(error):
            await pool.exchange(make_exchange())
        answer = await pool.exchange(make_exchange())
        assert answer.body == b'full'
        assert len(connections) == 2

    run_scenario([reply], scenario)


@pytest.mark.parametrize(
    ('reply', 'error'),
    [
        (RESPONSE[:-1], TornAnswer),
        (RESPONSE[:-4], TornAnswer),
        (b'HTTP/1.1 200 OK\r\n\r\nno length', TornAnswer),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull',
            TornAnswer,
        ),
        (RESPONSE[:20], AttemptUnknown),
        (b'', AttemptUnknown),
        (b'not http at all\r\n\r\n', AttemptUnknown),
    ],
)
def test_incomplete_or_malformed_answers_raise(
    reply: bytes, error: type[Exception]
) -> None:
    check_error(reply, error)


def test_silence_closes_idle_connections_of_the_same_age() -> None:
    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        answers: list[Answer] = []

        async def call() -> None:
            answers.append(await pool.exchange(make_exchange()))

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            group.start_soon(call)
        assert len(connections) == 2
        with pytest.raises(SilentConnection):
            await pool.exchange(make_exchange())
        await pool.exchange(make_exchange())
        assert len(connections) == 3

    run_scenario([RESPONSE, RESPONSE, None], scenario)


def test_a_proven_exchange_uses_a_recent_or_new_connection() -> None:
    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        await pool.exchange(make_exchange())
        await pool.exchange(make_exchange(proven=True))
        assert len(connections) == 1
        await anyio.sleep(0.6)
        await pool.exchange(make_exchange(proven=True))
        assert len(connections) == 2

    run_scenario([], scenario)


def test_an_early_close_raises_restart_suspected() -> None:
    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        await pool.exchange(make_exchange())
        await connections[0].aclose()
        await anyio.sleep(0.05)
        with pytest.raises(RestartSuspected):
            await pool.exchange(make_exchange(cold=False))
        await pool.exchange(make_exchange(cold=True))

    run_scenario([], scenario)


def test_a_refused_connection_raises_connect_failed() -> None:
    async def run() -> None:
        pool = ConnectionPool(f'{LOOPBACK}:{pick_port()}', time.monotonic)
        with pytest.raises(ConnectFailed):
            await pool.exchange(make_exchange())
        assert not await pool.can_connect()

    anyio.run(run)


def test_a_cancelled_exchange_closes_its_connection() -> None:
    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        with anyio.move_on_after(0.05):
            await pool.exchange(make_exchange())
        answer = await pool.exchange(make_exchange())
        assert answer.body == b'full'
        assert len(connections) == 2

    run_scenario([None], scenario)


def test_closing_a_long_idle_connection_is_no_sign_of_a_restart() -> None:
    now = [100.0]

    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        await pool.exchange(make_exchange())
        await connections[0].aclose()
        await anyio.sleep(0.05)
        now[0] += 3.0
        answer = await pool.exchange(make_exchange(cold=False))
        assert answer.body == b'full'

    run_scenario([], scenario, lambda: now[0])


def test_a_fresh_exchange_opens_a_connection_and_keeps_idle_ones() -> None:
    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        await pool.exchange(make_exchange())
        await pool.exchange(make_exchange(fresh=True))
        assert len(connections) == 2
        await pool.exchange(make_exchange())
        assert len(connections) == 2

    run_scenario([], scenario)


def test_an_early_close_raises_on_a_fresh_exchange() -> None:
    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        await pool.exchange(make_exchange())
        await connections[0].aclose()
        await anyio.sleep(0.05)
        with pytest.raises(RestartSuspected):
            await pool.exchange(make_exchange(cold=False, fresh=True))

    run_scenario([], scenario)


def test_server_that_answers_and_reads_no_further_is_heard_at_once() -> None:
    """The rest of the body never reaches it, nor does another request."""
    received = 0

    async def serve(stream: SocketStream) -> None:
        nonlocal received
        received += len(await stream.receive())
        await stream.send(RESPONSE)
        await anyio.sleep(1.0)
        with contextlib.suppress(*DISCONNECT_ERRORS):
            while True:
                received += len(await stream.receive())

    async def run() -> None:
        async with serving_stream(serve) as address:
            pool = ConnectionPool(address, time.monotonic)
            body = b'x' * LONG_BODY
            length = (b'content-length', str(LONG_BODY).encode())
            exchange = Exchange(
                b'POST',
                b'/',
                [(b'host', b'h'), length],
                body,
                first_byte_s=1.0,
                proven=False,
            )
            with anyio.fail_after(0.8):
                answer = await pool.exchange(exchange)
            assert answer.body == b'full'
            await pool.exchange(make_exchange())
            await anyio.sleep(1.2)

    anyio.run(run)
    assert 0 < received < LONG_BODY


def test_fresh_exchanges_keep_no_connection_beyond_its_idle_time() -> None:
    """Only they use the pool, so that none of them takes an idle one out."""
    now = 0.0

    async def scenario(
        pool: ConnectionPool, connections: list[SocketStream]
    ) -> None:
        nonlocal now
        for _ in range(20):
            await pool.exchange(make_exchange(fresh=True))
            now += 1.0
        assert len(connections) == 20
        assert len(pool._idle) <= DEFAULT_IDLE_LIMIT_S + 1
        now += DEFAULT_IDLE_LIMIT_S
        await pool.close_expired()
        assert not pool._idle

    run_scenario([], scenario, lambda: now)


def reset_connections(listener: socket.socket) -> None:
    """Reset each connection as it is accepted, until the listener is closed."""
    linger = struct.pack('ii', 1, 0)
    with contextlib.suppress(OSError):
        while True:
            stream, _ = listener.accept()
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.close()


def test_connection_that_is_reset_at_once_is_a_failure_of_the_backend() -> None:
    """On the event loop of gateways the call ended with another exception."""

    async def exchange_often(pool: ConnectionPool) -> None:
        for _ in range(100):
            with pytest.raises(BackendError):
                await pool.exchange(make_exchange(fresh=True))

    async def scenario() -> None:
        listener = socket.create_server((LOOPBACK, 0), backlog=128)
        port = listener.getsockname()[1]
        thread = threading.Thread(target=reset_connections, args=(listener,))
        thread.start()
        try:
            async with anyio.create_task_group() as group:
                pool = ConnectionPool(f'{LOOPBACK}:{port}', time.monotonic)
                for _ in range(10):
                    group.start_soon(exchange_often, pool)
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
            thread.join()

    anyio.run(scenario, backend_options={'use_uvloop': True})

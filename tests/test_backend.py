"""Answers of backend servers: whole, or an error that tells what is known."""

import time
from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketStream

from harness.processes import LOOPBACK, pick_port
from ibisplank.connection import Answer, ConnectionPool, Exchange
from ibisplank.errors import (
    AttemptUnknown,
    ConnectFailed,
    RestartSuspected,
    SilentConnection,
    TornAnswer,
)
from tests.serving import serving_stream

WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull'
Act = Callable[[ConnectionPool, list[SocketStream]], Awaitable[None]]


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


def run_with(
    replies: list[bytes | None],
    act: Act,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Serve each connection its replies; None keeps silent."""

    async def run() -> None:
        seen: list[SocketStream] = []
        left = list(replies)

        async def serve(stream: SocketStream) -> None:
            seen.append(stream)
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.ClosedResourceError):
                    return
                reply = left.pop(0) if left else WHOLE
                if reply is None:
                    await anyio.sleep_forever()
                await stream.send(reply)
                if reply != WHOLE:
                    await stream.aclose()
                    return

        async with serving_stream(serve) as address:
            route = ConnectionPool(address, clock)
            with anyio.fail_after(10):
                await act(route, seen)

    anyio.run(run)


def expect(reply: bytes, kind: type[Exception]) -> None:
    async def act(route: ConnectionPool, seen: list[SocketStream]) -> None:
        with pytest.raises(kind):
            await route.exchange(make_exchange())
        answer = await route.exchange(make_exchange())
        assert answer.body == b'full'
        assert len(seen) == 2

    run_with([reply], act)


@pytest.mark.parametrize(
    ('reply', 'kind'),
    [
        (WHOLE[:-1], TornAnswer),
        (WHOLE[:-4], TornAnswer),
        (b'HTTP/1.1 200 OK\r\n\r\nno length', TornAnswer),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull',
            TornAnswer,
        ),
        (WHOLE[:20], AttemptUnknown),
        (b'', AttemptUnknown),
        (b'not http at all\r\n\r\n', AttemptUnknown),
    ],
)
def test_broken_answers(reply: bytes, kind: type[Exception]) -> None:
    expect(reply, kind)


def test_a_silent_connection_and_its_like_are_dropped() -> None:
    async def act(route: ConnectionPool, seen: list[SocketStream]) -> None:
        answers: list[Answer] = []

        async def call() -> None:
            answers.append(await route.exchange(make_exchange()))

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            group.start_soon(call)
        assert len(seen) == 2
        with pytest.raises(SilentConnection):
            await route.exchange(make_exchange())
        await route.exchange(make_exchange())
        assert len(seen) == 3

    run_with([WHOLE, WHOLE, None], act)


def test_a_call_that_runs_once_takes_a_proven_or_new_connection() -> None:
    async def act(route: ConnectionPool, seen: list[SocketStream]) -> None:
        await route.exchange(make_exchange())
        await route.exchange(make_exchange(proven=True))
        assert len(seen) == 1
        await anyio.sleep(0.6)
        await route.exchange(make_exchange(proven=True))
        assert len(seen) == 2

    run_with([], act)


def test_a_closed_connection_hints_at_a_restart() -> None:
    async def act(route: ConnectionPool, seen: list[SocketStream]) -> None:
        await route.exchange(make_exchange())
        await seen[0].aclose()
        await anyio.sleep(0.05)
        with pytest.raises(RestartSuspected):
            await route.exchange(make_exchange(cold=False))
        await route.exchange(make_exchange(cold=True))

    run_with([], act)


def test_a_refused_connection_was_not_sent() -> None:
    async def run() -> None:
        route = ConnectionPool(f'{LOOPBACK}:{pick_port()}', time.monotonic)
        with pytest.raises(ConnectFailed):
            await route.exchange(make_exchange())
        assert not await route.is_open()

    anyio.run(run)


def test_a_cancelled_exchange_leaves_no_answer_behind() -> None:
    async def act(route: ConnectionPool, seen: list[SocketStream]) -> None:
        with anyio.move_on_after(0.05):
            await route.exchange(make_exchange())
        answer = await route.exchange(make_exchange())
        assert answer.body == b'full'
        assert len(seen) == 2

    run_with([None], act)


def test_an_idle_connection_that_the_server_closed_hints_at_nothing() -> None:
    now = [100.0]

    async def act(route: ConnectionPool, seen: list[SocketStream]) -> None:
        await route.exchange(make_exchange())
        await seen[0].aclose()
        await anyio.sleep(0.05)
        now[0] += 3.0
        answer = await route.exchange(make_exchange(cold=False))
        assert answer.body == b'full'

    run_with([], act, lambda: now[0])


def test_a_fresh_exchange_leaves_idle_connections_alone() -> None:
    async def act(route: ConnectionPool, seen: list[SocketStream]) -> None:
        await route.exchange(make_exchange())
        await route.exchange(make_exchange(fresh=True))
        assert len(seen) == 2
        await route.exchange(make_exchange())
        assert len(seen) == 2

    run_with([], act)


def test_a_fresh_exchange_is_told_of_a_restart() -> None:
    async def act(route: ConnectionPool, seen: list[SocketStream]) -> None:
        await route.exchange(make_exchange())
        await seen[0].aclose()
        await anyio.sleep(0.05)
        with pytest.raises(RestartSuspected):
            await route.exchange(make_exchange(cold=False, fresh=True))

    run_with([], act)

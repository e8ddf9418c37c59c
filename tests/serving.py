"""Servers that run in the process of the test."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
from anyio.abc import SocketStream

from harness.processes import LOOPBACK, pick_port
from ibisplank.connection import App, make_server
from ibisplank.standin import PlatformStandin

STARTED_POLL_S = 0.005


@contextlib.asynccontextmanager
async def serving(app: App) -> AsyncIterator[str]:
    """Serve an ASGI application; yield its address."""
    port = pick_port()
    server = make_server(app, LOOPBACK, port)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(STARTED_POLL_S)
        yield f'{LOOPBACK}:{port}'
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def serving_stream(
    handle: Callable[[SocketStream], Awaitable[None]],
) -> AsyncIterator[str]:
    """Handle TCP connections with a function; yield the address."""
    port = pick_port()
    listener = await anyio.create_tcp_listener(
        local_host=LOOPBACK,
        local_port=port,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle)
        yield f'{LOOPBACK}:{port}'
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def serving_platform() -> AsyncIterator[tuple[str, PlatformStandin]]:
    """Serve the platform stand-in; yield its address and the stand-in."""
    standin = PlatformStandin()
    async with serving(standin) as address:
        yield address, standin

"""Runs stand-ins until SIGTERM or SIGINT."""

import random
import signal
from collections.abc import Callable, Sequence

import anyio

from ibisplank.connection import App, HttpServer, make_server
from ibisplank.standin._backend import BackendStandin
from ibisplank.standin._platform import PlatformStandin


async def serve_platform(host: str, port: int) -> None:
    """Serve the stand-in platform."""
    await _serve([make_server(PlatformStandin(), host, port)])


async def serve_backends(
    host: str,
    ports: Sequence[int],
    slots: int,
    seed: int,
) -> None:
    """Serve one stand-in backend server on each port."""
    servers: list[HttpServer] = []
    for number, port in enumerate(ports):
        terminate = _make_terminator(servers, number)
        app: App = BackendStandin(
            slots, random.Random(seed + number), terminate
        )
        servers.append(make_server(app, host, port))
    await _serve(servers)


def _make_terminator(
    servers: list[HttpServer], number: int
) -> Callable[[], None]:
    def terminate() -> None:  # noqa: WPS430
        server = servers[number]
        for listener in server.servers:
            listener.close()
        for connection in list(server.server_state.connections):
            connection.transport.abort()

    return terminate


async def _serve(servers: list[HttpServer]) -> None:
    async with anyio.create_task_group() as group:
        for server in servers:
            group.start_soon(server.serve)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
        for server in servers:
            server.should_exit = True

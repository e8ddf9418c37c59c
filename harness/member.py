"""A gateway as a process of its own, signalled from outside."""

import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import anyio
import httpcore
from anyio.abc import Process

from harness.proxy import Proxy
from ibisplank.gateway import GatewaySettings
from ibisplank.platform import encode_settings

PROGRAM = (sys.executable, '-m', 'harness.program', 'gateway')


@dataclass
class Member:
    """A gateway's process, its settings and its link to the store."""

    settings: GatewaySettings
    path: Path
    link: Proxy
    log: IO[bytes]
    process: Process | None = None
    busy: bool = False

    async def start(self) -> None:
        """Start the process."""
        self.path.write_bytes(encode_settings(self.settings))
        self.process = await anyio.open_process(
            [*PROGRAM, '--settings', str(self.path)],
            stdout=self.log,
            stderr=self.log,
        )

    def send(self, number: signal.Signals) -> None:
        """Signal the process that this soak has started."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)


async def is_ready(settings: GatewaySettings) -> bool:
    """Tell whether a gateway says that it is ready."""
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            url = f'http://{settings.readiness}/ready'
            return (await pool.request('GET', url)).status == 200
    except httpcore.NetworkError:
        return False


async def is_listening(settings: GatewaySettings) -> bool:
    """Tell whether a gateway takes connections of callers."""
    host, _, port = settings.callers.rpartition(':')
    try:
        stream = await anyio.connect_tcp(host, int(port))
    except OSError:
        return False
    await stream.aclose()
    return True

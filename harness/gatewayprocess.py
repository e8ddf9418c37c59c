"""A gateway in a process of its own, controlled by signals."""

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
class GatewayProcess:
    """Process of a gateway.

    Attributes
    ----------
    settings : GatewaySettings
        Settings of the gateway.
    settings_path : Path
        File that the settings are written to.
    store_link : Proxy
        Proxy between the gateway and the store.
    log : file
        Receives the output of the process.
    process : Process or None
        The process, None before the first start.
    under_fault : bool
        Whether a fault has paused or ended the process, until it is resumed or
        started again.
    """

    settings: GatewaySettings
    settings_path: Path
    store_link: Proxy
    log: IO[bytes]
    process: Process | None = None
    under_fault: bool = False

    async def start(self) -> None:
        """Write the settings file and start the process."""
        self.settings_path.write_bytes(encode_settings(self.settings))
        self.process = await anyio.open_process(
            [*PROGRAM, '--settings', str(self.settings_path)],
            stdout=self.log,
            stderr=self.log,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)


async def is_ready(settings: GatewaySettings) -> bool:
    """Return whether the readiness endpoint of a gateway reports ready."""
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            url = f'http://{settings.readiness}/ready'
            return (await pool.request('GET', url)).status == 200
    except httpcore.NetworkError:
        return False


async def is_listening(settings: GatewaySettings) -> bool:
    """Return whether a gateway accepts connections from callers."""
    host, _, port = settings.callers.rpartition(':')
    try:
        stream = await anyio.connect_tcp(host, int(port))
    except OSError:
        return False
    await stream.aclose()
    return True

"""TCP proxy on the loopback interface that injects network faults."""

import contextlib
import socket
from dataclasses import dataclass, field
from enum import Enum

import anyio
from anyio.abc import ByteStream, SocketStream, TaskGroup

from harness.processes import LOOPBACK, pick_port

CHUNK_BYTES = 65536
#: Connections that fill the queue of a listener which accepts none.
FILLING_CONNECTIONS = 4
#: Delay of each chunk under `LinkFault.DELAY`.
DELAY_S = 0.1
#: Exceptions that a lost connection raises.
DISCONNECT_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
)


class LinkFault(Enum):
    """Faults of the connections through a proxy.

    Attributes
    ----------
    NONE
        No fault.
    DELAY
        Each chunk is delayed.
    RESET
        Connections are closed, and new ones are closed on arrival.
    ONE_WAY
        Bytes from the server are discarded.
    SILENT
        Bytes in both directions are discarded.
    CUT
        Bytes in both directions are discarded, and new connections hang.
    REFUSED
        Open connections live on, and new ones are refused.
    """

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    ONE_WAY = 'one way'
    SILENT = 'silent'
    CUT = 'cut'
    REFUSED = 'refused'


@dataclass
class Proxy:
    """Forwards connections to one address.

    Attributes
    ----------
    target : str
        IP address and port, joined by a colon.
    port : int
        Port on which the proxy listens.
    fault : LinkFault
        Fault of all connections, including those already open.
    """

    target: str
    port: int = field(default_factory=pick_port)
    fault: LinkFault = LinkFault.NONE
    _clients: set[SocketStream] = field(default_factory=set)
    _changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def address(self) -> str:
        """Address on which the proxy listens."""
        return f'{LOOPBACK}:{self.port}'

    async def run(self) -> None:
        """Serve connections until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                changed = self._changed
                match self.fault:
                    case LinkFault.CUT:
                        await self._hang(changed)
                    case LinkFault.REFUSED:
                        await changed.wait()
                    case _:
                        await self._listen(group, changed)

    async def set_fault(self, fault: LinkFault) -> None:
        """Set the fault; a reset closes all open connections."""
        self.fault = fault
        self._changed.set()
        self._changed = anyio.Event()
        if fault is LinkFault.RESET:
            for stream in list(self._clients):
                await stream.aclose()

    async def _listen(self, group: TaskGroup, changed: anyio.Event) -> None:
        """Accept connections until the fault changes."""
        async with await anyio.create_tcp_listener(
            local_host=LOOPBACK, local_port=self.port
        ) as listener:

            async def accept() -> None:
                # Connections outlive the listener.
                await listener.serve(self._serve, group)

            async with anyio.create_task_group() as accepting:
                accepting.start_soon(accept)
                await changed.wait()
                accepting.cancel_scope.cancel()

    async def _hang(self, changed: anyio.Event) -> None:
        """Let new connections hang until the fault changes."""
        with contextlib.ExitStack() as stack:
            queue = stack.enter_context(socket.socket())
            queue.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            queue.bind((LOOPBACK, self.port))
            queue.listen(0)
            for _ in range(FILLING_CONNECTIONS):
                filling = stack.enter_context(socket.socket())
                filling.setblocking(False)
                filling.connect_ex((LOOPBACK, self.port))
            await changed.wait()

    async def _serve(self, client: SocketStream) -> None:
        if self.fault is LinkFault.RESET:
            await client.aclose()
            return
        host, _, port = self.target.rpartition(':')
        self._clients.add(client)
        with contextlib.suppress(*DISCONNECT_ERRORS):
            async with await anyio.connect_tcp(host, int(port)) as server:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._forward, client, server, False)
                    await self._forward(server, client, True)
                    group.cancel_scope.cancel()
        self._clients.discard(client)
        await client.aclose()

    async def _forward(
        self,
        source: ByteStream,
        sink: ByteStream,
        is_response: bool,
    ) -> None:
        """Forward bytes in one direction until either side is closed."""
        with contextlib.suppress(*DISCONNECT_ERRORS):
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if self.fault is LinkFault.DELAY:
                    await anyio.sleep(DELAY_S)
                if not self._discards(is_response):
                    await sink.send(chunk)
        with contextlib.suppress(*DISCONNECT_ERRORS):
            await sink.aclose()

    def _discards(self, is_response: bool) -> bool:
        if self.fault is LinkFault.ONE_WAY:
            return is_response
        return self.fault in {LinkFault.SILENT, LinkFault.CUT}

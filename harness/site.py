"""Gateways, the store stand-in and backend servers in one process."""

import contextlib
import dataclasses
import functools
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from harness.processes import LOOPBACK, pick_port
from harness.proxy import LinkFault, Proxy
from ibisplank.connection import (
    Answer,
    App,
    ConnectionPool,
    Exchange,
    HttpServer,
    make_server,
)
from ibisplank.errors import ConnectTimeout
from ibisplank.gateway import (
    DecodedRow,
    DecodedServer,
    Gateway,
    GatewaySettings,
    Platform,
    RetryLimits,
    RoutingConfig,
    ServerEntry,
)
from ibisplank.ids import ServerId, ServiceId, VmId, ZoneId
from ibisplank.platform import (
    HEADER_NAMES,
    HttpRowStore,
    decode_row,
    encode_config,
    encode_member,
    encode_server,
)
from ibisplank.process import LogBuffer, read_clock
from ibisplank.standin import StoreStandin, UpstreamStandin
from ibisplank.store import Topic, VersionedRow

POLL_S = 0.01
READY_S = 10.0
#: Time within which callers want a connection, by the platform's pages.
CALLER_CONNECT_S = 1.0
#: Time after which a crashed backend server is back.
RESTART_S = 2.0
#: Time within which a gateway must exit after SIGTERM.
GRACE_S = 6.0
RETRY = RetryLimits(ratio=0.2, slack=60.0, window_s=10.0)


def make_settings(
    vm: str,
    zone: str,
    store: str,
    seeds: tuple[str, ...] = (),
    host: str = LOOPBACK,
) -> GatewaySettings:
    """Return settings of a gateway that listens on free ports."""
    addresses = [f'{host}:{pick_port()}' for _ in range(4)]
    return GatewaySettings(
        VmId(vm),
        ZoneId(zone),
        addresses[0],
        addresses[1],
        addresses[2],
        addresses[3],
        store,
        seeds,
        GRACE_S,
        RETRY,
    )


def _make_server_entry(
    name: str,
    service: ServiceId,
    address: str,
    zone: str,
) -> ServerEntry:
    return ServerEntry(
        ServerId(name),
        service,
        address,
        ZoneId(zone),
        slots=2,
        draining=False,
        warmup_left_s=0.0,
        born_ms=1,
    )


async def serve(
    app: App, group: TaskGroup, port: int = 0
) -> tuple[str, HttpServer]:
    """Serve an ASGI application; return its address and the server.

    Parameters
    ----------
    port : int
        Port to listen on, 0 for any free one.
    """
    port = port or pick_port()
    server = make_server(app, LOOPBACK, port, http='httptools')
    group.start_soon(server.serve)
    while not server.started:
        await anyio.sleep(POLL_S)
    return f'{LOOPBACK}:{port}', server


@dataclass
class ServerLinks:
    """Links of one gateway to the backend servers, with faults.

    Attributes
    ----------
    group : TaskGroup
        Runs the proxies.
    """

    group: TaskGroup
    fault: LinkFault = LinkFault.NONE
    _proxies: dict[str, Proxy] = field(default_factory=dict)

    def decode(self, topic: Topic, row: VersionedRow) -> DecodedRow | None:
        """Decode a row; backend servers get the address of their proxy."""
        decoded = decode_row(topic, row)
        if not isinstance(decoded, DecodedServer) or decoded.entry is None:
            return decoded
        address = self._find_proxy(decoded.entry.address).address
        entry = dataclasses.replace(decoded.entry, address=address)
        return DecodedServer(decoded.server, entry)

    async def set_fault(self, fault: LinkFault) -> None:
        """Set the fault of the links to all backend servers."""
        self.fault = fault
        for proxy in self._proxies.values():
            await proxy.set_fault(fault)

    def _find_proxy(self, address: str) -> Proxy:
        proxy = self._proxies.get(address)
        if proxy is None:
            proxy = Proxy(address, fault=self.fault)
            self._proxies[address] = proxy
            self.group.start_soon(proxy.run)
        return proxy


@dataclass
class Site:
    """Gateways and backend servers on one store, in the same event loop.

    Attributes
    ----------
    group : TaskGroup
        Runs the servers and gateways.
    store : StoreStandin
        Store that the gateways read.
    store_address : str
        Address of the store.
    gateways : list of Gateway
        Gateways in the order of their start.
    settings : list of GatewaySettings
        Settings of the gateways, in the same order.
    scopes : list of CancelScope
        Scopes that the gateways run in, in the same order.
    upstreams : dict of str to UpstreamStandin
        Backend servers by name.
    addresses : dict of str to str
        Addresses of the backend servers by name.
    crashes : list of float
        Times of the event loop at which backend servers crashed.
    """

    group: TaskGroup
    store: StoreStandin = field(default_factory=StoreStandin)
    store_address: str = ''
    gateways: list[Gateway] = field(default_factory=list)
    settings: list[GatewaySettings] = field(default_factory=list)
    scopes: list[anyio.CancelScope] = field(default_factory=list)
    upstreams: dict[str, UpstreamStandin] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    crashes: list[float] = field(default_factory=list)

    def put_config(self, config: RoutingConfig) -> None:
        """Write a routing configuration to the store, as an operator does."""
        key, content = encode_config(config)
        self.store.rows.write(Topic.OPERATOR, key, content)

    def put_server_entry(self, entry: ServerEntry, sequence: int = 0) -> None:
        """Write the entry of a backend server to the store."""
        key, content = encode_server(entry, sequence)
        self.store.rows.write(Topic.SERVERS, key, content)

    async def add_upstream(
        self,
        name: str,
        service: ServiceId,
        zone: str = 'z1',
    ) -> UpstreamStandin:
        """Start a backend server and write its entry to the store."""
        entry = _make_server_entry(name, service, '', zone)
        upstream = UpstreamStandin(entry, HEADER_NAMES, random.Random(name))
        await self._start_upstream(upstream)
        return upstream

    async def _start_upstream(
        self, upstream: UpstreamStandin, port: int = 0
    ) -> None:
        name = upstream.entry.server
        address, server = await serve(upstream, self.group, port)
        upstream.crash = functools.partial(self._crash, upstream, server)
        self.add_server_entry(
            name, upstream.entry.service, address, upstream.entry.zone
        )
        self.upstreams[name] = upstream
        self.addresses[name] = address

    def _crash(self, upstream: UpstreamStandin, server: HttpServer) -> None:
        """End a backend server; it is back later under another id."""
        self.crashes.append(anyio.current_time())
        self.group.start_soon(self._restart, upstream)
        if upstream.faults.crash_silently:
            upstream.silent = True
            return
        for listener in server.servers:
            listener.close()
        for connection in list(server.server_state.connections):
            connection.transport.abort()
        server.force_exit = True
        server.should_exit = True

    async def _restart(self, crashed: UpstreamStandin) -> None:
        await anyio.sleep(RESTART_S)
        old = crashed.entry.server
        self.store.rows.write(Topic.SERVERS, old, None)
        entry = _make_server_entry(
            f'{old}+', crashed.entry.service, '', crashed.entry.zone
        )
        started = UpstreamStandin(
            entry,
            HEADER_NAMES,
            random.Random(entry.server),
            faults=crashed.faults,
        )
        port = int(self.addresses[old].rpartition(':')[2])
        await self._start_upstream(started, 0 if crashed.silent else port)

    def add_server_entry(
        self,
        name: str,
        service: ServiceId,
        address: str,
        zone: str = 'z1',
    ) -> ServerEntry:
        """Write the entry of a backend server that listens on an address."""
        entry = _make_server_entry(name, service, address, zone)
        self.put_server_entry(entry)
        return entry

    async def add_gateway(
        self,
        vm: str = 'vm-1',
        zone: str = 'z1',
        links: ServerLinks | None = None,
    ) -> Gateway:
        """Start a gateway; the first gateway is the seed of later ones.

        Parameters
        ----------
        links : ServerLinks or None
            Links through which it reaches the backend servers.
        """
        seeds = tuple(each.peer for each in self.settings[:1])
        settings = make_settings(vm, zone, self.store_address, seeds)
        platform = Platform(
            HttpRowStore(self.store_address),
            decode_row if links is None else links.decode,
            encode_member,
            HEADER_NAMES,
            lambda: settings,
        )
        gateway = Gateway(settings, platform, LogBuffer(1, read_clock))
        self.gateways.append(gateway)
        self.settings.append(settings)
        scope = anyio.CancelScope()
        self.scopes.append(scope)
        self.group.start_soon(self._run_gateway, gateway, scope)
        return gateway

    def cancel_gateway(self, number: int) -> None:
        """End a gateway without a drain."""
        self.scopes[number].cancel()

    async def _run_gateway(
        self, gateway: Gateway, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await gateway.run()

    async def wait_for_servers(self, count: int) -> None:
        """Wait until each gateway has a configuration and `count` servers."""
        with anyio.fail_after(READY_S):
            for gateway in self.gateways:
                cluster = gateway.cluster
                while not cluster.config.version:
                    await anyio.sleep(POLL_S)
                while len(cluster.directory.list_all()) != count:
                    await anyio.sleep(POLL_S)

    async def send_call(
        self,
        request_id: str,
        path: str = '/a/x',
        *,
        method: str = 'GET',
        body: bytes = b'',
        deadline_ms: int = 1000,
        gateway: int = 0,
    ) -> Answer:
        """Send one call to a gateway and return its answer."""
        pool = ConnectionPool(self.settings[gateway].callers, read_clock)
        headers = [
            (b'host', b'host.example'),
            (HEADER_NAMES.request_id, request_id.encode()),
            (HEADER_NAMES.deadline_ms, str(deadline_ms).encode()),
        ]
        if body or method != 'GET':
            headers.append((b'content-length', str(len(body)).encode()))
        exchange = Exchange(
            method.encode(),
            path.encode(),
            headers,
            body,
            first_byte_s=5.0,
            proven=False,
            fresh=True,
        )
        answer = await _exchange_as_caller(pool, exchange)
        await pool.close_idle()
        return answer


async def _exchange_as_caller(
    pool: ConnectionPool, exchange: Exchange
) -> Answer:
    """Send a request; callers wait longer for a connection than gateways do."""
    gives_up_at = anyio.current_time() + CALLER_CONNECT_S
    while True:
        try:
            return await pool.exchange(exchange)
        except ConnectTimeout:
            if anyio.current_time() > gives_up_at:
                raise


@contextlib.asynccontextmanager
async def run_site() -> AsyncIterator[Site]:
    """Run a site and its store; cancel all tasks on exit."""
    async with anyio.create_task_group() as group:
        site = Site(group)
        site.store_address, _ = await serve(site.store, group)
        yield site
        group.cancel_scope.cancel()

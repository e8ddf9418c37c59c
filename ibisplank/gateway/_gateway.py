"""The gateway daemon: one process a VM, in front of all backend servers."""

import random
import signal
from collections.abc import Callable

import anyio
import uvicorn
from anyio.abc import TaskGroup
from loguru import logger

from ibisplank.connection import HttpServer, Receive, Scope, Send, answer, make_server
from ibisplank.gateway._dialect import Dialect
from ibisplank.gateway._facts import Decoder
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._forwarder import Forwarder
from ibisplank.gateway._front import Front
from ibisplank.gateway._knowledge import Knowledge
from ibisplank.gateway._placing import Placer
from ibisplank.gateway._settings import EXIT_SHARE, GatewaySettings
from ibisplank.gateway._watcher import Watcher
from ibisplank.process import make_member, read_clock, split_address
from ibisplank.store import Reading, RowStore, Topic

#: After this, readiness has reached the platform's balancer.
LINGER_S = 2.6
DRAIN_POLL_S = 0.05
TIDY_S = 1.0
OK = 200
UNAVAILABLE = 503


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: RowStore,
        decode: Decoder,
        dialect: Dialect,
    ) -> None:
        self.member = make_member(settings.vm)
        self._settings = settings
        self._store = store
        self._dialect = dialect
        luck = random.Random(self.member)
        self._luck = luck
        self.knowledge = Knowledge(decode)
        self._fleet = Fleet(self.member, self.knowledge, read_clock)
        self._forwarder = Forwarder(
            self._fleet,
            Placer(settings.zone, luck),
            dialect,
            settings.retry,
            read_clock,
        )
        self._front = Front(
            self.knowledge,
            self._forwarder,
            dialect,
            read_clock,
        )
        self._stopping = False
        self._servers: list[HttpServer] = []

    def is_ready(self) -> bool:
        """Tell whether the platform's balancer should send calls here."""
        return bool(self.knowledge.config.version) and not self._stopping

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then let calls in flight finish."""
        logger.info('gateway {} starts', self.member)
        async with anyio.create_task_group() as group:
            await self._listen()
            self._start_tasks(group)
            await self._await_signals()
            await self._drain()
            group.cancel_scope.cancel()
        logger.info('gateway {} stopped', self.member)

    async def _listen(self) -> None:
        """Open the addresses of callers and of the balancer."""
        addresses = (
            (self._settings.callers, self._front),
            (self._settings.readiness, self._answer_readiness),
        )
        for address, app in addresses:
            host, port = split_address(address, 'address')
            server = make_server(app, host, port, http='httptools')
            server.config.load()
            server.lifespan = server.config.lifespan_class(server.config)
            await server.startup()
            self._servers.append(server)

    def _start_tasks(self, group: TaskGroup) -> None:
        for topic in (Topic.OPERATOR, Topic.SERVERS):
            group.start_soon(self._make_watcher(topic).run)
        group.start_soon(self._tidy)

    def _make_watcher(self, topic: Topic) -> Watcher:
        freshness = self.knowledge.freshness[topic]
        return Watcher(
            topic,
            self._store,
            self._take,
            lambda: True,
            lambda: freshness.find_age(read_clock()),
            self._luck,
        )

    def _take(self, reading: Reading) -> None:
        self.knowledge.learn(reading, read_clock())
        self._adopt_limits()

    def _adopt_limits(self) -> None:
        limits = self.knowledge.config.limits
        for server in self._servers:
            server.config.timeout_keep_alive = limits.idle_timeout_s

    async def _tidy(self) -> None:
        while True:
            await anyio.sleep(TIDY_S)
            await self._fleet.forget_gone()

    async def _answer_readiness(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        await answer(send, OK if self.is_ready() else UNAVAILABLE, b'')

    async def _await_signals(self) -> None:
        """Return at the signal to stop; the settings are read again before."""
        watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*watched) as seen:
            async for number in seen:
                if number != signal.SIGHUP:
                    return
                logger.info('settings may have changed')

    async def _drain(self) -> None:
        """Leave the balancer's rotation, then let all calls finish."""
        self._stopping = True
        self._front.closing = True
        logger.info('gateway {} drains', self.member)
        with anyio.move_on_after(self._settings.grace_s * EXIT_SHARE):
            await anyio.sleep(LINGER_S)
            while self._front.in_flight:
                await anyio.sleep(DRAIN_POLL_S)
        logger.info('{} calls left', self._front.in_flight)

"""The gateway daemon: one process a VM, in front of all backend servers."""

import math
import random
import signal
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import (
    HttpServer,
    Receive,
    Scope,
    Send,
    make_server,
    send_answer,
)
from ibisplank.errors import SettingError, StoreError
from ibisplank.gateway._dialect import Dialect
from ibisplank.gateway._facts import Decoder, MemberRecord
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._forwarder import Forwarder
from ibisplank.gateway._front import Front
from ibisplank.gateway._knowledge import Knowledge
from ibisplank.gateway._mesh import Mesh
from ibisplank.gateway._metrics import GatewayMetrics
from ibisplank.gateway._outage import StoreOutage
from ibisplank.gateway._placing import Placer
from ibisplank.gateway._prober import Prober
from ibisplank.gateway._settings import EXIT_SHARE, GatewaySettings
from ibisplank.gateway._sharing import Sharing
from ibisplank.gateway._watcher import Watcher
from ibisplank.ids import ServerId
from ibisplank.process import (
    LogBuffer,
    log_event,
    make_member_id,
    read_clock,
    split_address,
)
from ibisplank.store import Reading, RowStore, Topic

JOIN_ANSWER_S = 0.5
JOIN_PAUSE_S = (0.3, 0.8)
#: After this, readiness has reached the platform's balancer.
LINGER_S = 2.6
TIDY_S = 1.0
#: Signals that are waited for from the start to the end of a process, so that
#: none of them ends it while calls are in flight.
WATCHED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
OK = 200
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Platform:
    """What a gateway needs of the platform that it runs on.

    Attributes
    ----------
    encode_member : callable
        Returns the content of a gateway's own row.
    reload : callable
        Reads the settings again.
    """

    store: RowStore
    decode: Decoder
    encode_member: Callable[[MemberRecord], bytes]
    dialect: Dialect
    reload: Callable[[], GatewaySettings]


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        platform: Platform,
        lines: LogBuffer,
    ) -> None:
        self.member = make_member_id(settings.vm)
        self._settings = settings
        self._lines = lines
        self._metrics = GatewayMetrics()
        self._platform = platform
        self._store = platform.store
        dialect = platform.dialect
        luck = random.Random(self.member)
        self._luck = luck
        self.knowledge = Knowledge(platform.decode)
        self._own = MemberRecord(
            self.member,
            settings.peer,
            settings.zone,
            settings.link_mbps,
        )
        self._fleet = Fleet(
            self.member,
            self.knowledge,
            Sharing(self._own, self.knowledge.directory),
            read_clock,
        )
        self._forwarder = Forwarder(
            self._fleet,
            Placer(settings.zone, luck),
            dialect,
            settings.retry,
            self._metrics,
            read_clock,
        )
        self._front = Front(
            self.knowledge,
            self._forwarder,
            dialect,
            read_clock,
        )
        self._mesh = Mesh(
            self._own,
            settings.seeds,
            self.knowledge,
            self._fleet,
            self._learn,
            read_clock,
        )
        self._prober = Prober(
            self.member,
            self._fleet,
            dialect,
            read_clock,
            self._mesh.list_alive,
            self._mesh.send_report,
        )
        self._outage = StoreOutage()
        self._stopping = False
        self._servers: list[HttpServer] = []

    def is_ready(self) -> bool:
        """Tell whether the platform's balancer should send calls here."""
        return bool(self.knowledge.config.version) and not self._stopping

    def is_reader(self) -> bool:
        """Tell whether it reads the store for the others."""
        return self._mesh.is_reader()

    def list_loads(self) -> dict[ServerId, int]:
        """Return its calls in flight by backend server."""
        return self._fleet.list_loads()

    def render_metrics(self) -> bytes:
        """Return all metrics in the text format."""
        self._show_gauges()
        return self._metrics.render()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then let calls in flight finish."""
        log_event(
            'start',
            member=self.member,
            zone=self._settings.zone,
            callers=self._settings.callers,
        )
        with anyio.open_signal_receiver(*WATCHED) as signals:
            async with anyio.create_task_group() as group:
                await self._listen()
                self._start_tasks(group)
                await self._await_stop(signals)
                await self._drain()
                group.cancel_scope.cancel()
        log_event('stop', member=self.member)
        self._lines.flush()

    async def _listen(self) -> None:
        """Open the addresses of callers and of the balancer."""
        addresses = (
            (self._settings.callers, self._front),
            (self._settings.readiness, self._answer_readiness),
            (self._settings.metrics, self._answer_metrics),
        )
        for address, app in addresses:
            host, port = split_address(address, 'address')
            server = make_server(app, host, port, http='httptools')
            server.config.load()
            server.lifespan = server.config.lifespan_class(server.config)
            await server.startup()
            self._servers.append(server)

    def _start_tasks(self, group: TaskGroup) -> None:
        group.start_soon(self._lines.run)
        group.start_soon(self._mesh.run)
        group.start_soon(self._join)
        for topic in Topic:
            group.start_soon(self._make_watcher(topic).run)
        group.start_soon(self._prober.run)
        group.start_soon(self._tidy)

    def _make_watcher(self, topic: Topic) -> Watcher:
        freshness = self.knowledge.freshness[topic]
        rows = self.knowledge.rows[topic]
        return Watcher(
            topic,
            self._store,
            self._take,
            self._mesh.is_reader,
            lambda: freshness.find_age(read_clock()),
            lambda: rows.version,
            self._luck,
            self._metrics.note_event,
            self._outage,
            read_clock,
        )

    def _take(self, reading: Reading) -> None:
        """Take in what this gateway has read."""
        self._learn(reading)
        self._mesh.send_reading(reading)

    def _learn(self, reading: Reading) -> None:
        """Take in a reading, whoever took it."""
        self.knowledge.learn(reading, read_clock())
        if reading.topic is Topic.MEMBERS:
            self._mesh.regroup()
        self._adopt_limits()

    async def _join(self) -> None:
        """Write this gateway's row, until the store has it."""
        content = self._platform.encode_member(self._own)
        while True:
            try:
                await self._store.put_row(
                    Topic.MEMBERS,
                    self._settings.vm,
                    content,
                    JOIN_ANSWER_S,
                )
            except StoreError as error:
                log_event('own row not written', error=str(error))
                await anyio.sleep(self._luck.uniform(*JOIN_PAUSE_S))
                continue
            log_event('joined', member=self.member)
            return

    def _adopt_limits(self) -> None:
        idle_s = self.knowledge.config.limits.idle_timeout_s
        for server in self._servers:
            server.config.timeout_keep_alive = math.ceil(idle_s)

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
        await send_answer(send, OK if self.is_ready() else UNAVAILABLE, b'')

    async def _answer_metrics(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        await send_answer(send, OK, self.render_metrics())

    def _show_gauges(self) -> None:
        now = read_clock()
        knowledge = self.knowledge
        loads = self._fleet.list_loads()
        shown = (
            ('config_version', 'Config in force', knowledge.config.version),
            (
                'picture_age_seconds',
                'Age of the picture',
                knowledge.find_age(now),
            ),
            ('members', 'Gateways known', len(knowledge.members)),
            ('servers', 'Servers known', len(knowledge.directory.list_all())),
            ('reader', 'Whether it reads for others', self._mesh.is_reader()),
            ('calls_in_flight', 'Calls unanswered', self._front.in_flight),
            ('attempts_in_flight', 'Attempts running', sum(loads.values())),
            ('log_lines_dropped', 'Log lines dropped', self._lines.dropped),
        )
        for name, help_text, amount in shown:
            self._metrics.show(name, help_text, float(amount))

    async def _await_stop(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Return at the signal to stop; the settings are read again before."""
        async for number in signals:
            if number != signal.SIGHUP:
                return
            self._reload()

    def _reload(self) -> None:
        """Read the settings again; keep those in force if they are bad."""
        try:
            settings = self._platform.reload()
        except SettingError as error:
            log_event('settings kept as they were', error=str(error))
            return
        self._settings = settings
        self._forwarder.learn_retry(settings.retry)
        log_event('settings read again')

    async def _drain(self) -> None:
        """Leave the balancer's rotation, then let all calls finish."""
        self._stopping = True
        self._front.closing = True
        log_event('drain', in_flight=self._front.in_flight)
        with anyio.move_on_after(self._settings.grace_s * EXIT_SHARE):
            await anyio.sleep(LINGER_S)
            for server in self._servers:
                await server.shutdown()
        log_event('drained', in_flight=self._front.in_flight)

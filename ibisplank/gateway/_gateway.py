"""The gateway daemon, one process per VM."""

import math
import random
import signal
from collections.abc import AsyncIterator

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import (
    AnswerMemory,
    HttpServer,
    Receive,
    Scope,
    Send,
    make_server,
    send_answer,
)
from ibisplank.errors import SettingError
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._decoding import MemberRecord
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._forwarder import Forwarder
from ibisplank.gateway._frontend import Frontend
from ibisplank.gateway._gauges import GatewayGauges
from ibisplank.gateway._handover import Handover
from ibisplank.gateway._handoverserver import HandoverServer
from ibisplank.gateway._mesh import Mesh
from ibisplank.gateway._metrics import GatewayMetrics
from ibisplank.gateway._partition import ServerPartition
from ibisplank.gateway._pathchecker import PathChecker
from ibisplank.gateway._placing import ServerSelector
from ibisplank.gateway._prober import Prober
from ibisplank.gateway._registration import Registration
from ibisplank.gateway._settings import (
    GatewaySettings,
    Platform,
    share_memory,
)
from ibisplank.gateway._suspects import SuspectCalls
from ibisplank.gateway._watcher import make_watchers
from ibisplank.ids import ServerId
from ibisplank.process import (
    LogBuffer,
    log_event,
    make_member_id,
    read_clock,
    split_address,
)
from ibisplank.store import TableUpdate, Topic

#: Time after which the platform's balancer has seen that this process is no
#: longer ready.
READINESS_DELAY_S = 2.6
CLEANUP_S = 1.0
#: Part of the VM's memory that incomplete answers of servers may take. Each of
#: their bytes is held once, and twice while the last one is joined.
ANSWER_MEMORY_SHARE = 0.1
#: Signals that are handled from the start to the end of a process, so that none
#: of them kills it while calls are in flight.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
OK = 200
UNAVAILABLE = 503


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
        header_names = platform.header_names
        rng = random.Random(self.member)
        self._rng = rng
        self.cluster = ClusterState(platform.decode)
        self._own = MemberRecord(
            self.member,
            settings.peer,
            settings.zone,
            settings.link_mbps,
        )
        self._registration = Registration(
            self.member,
            settings.vm,
            platform.encode_member(self._own),
            platform.store,
            self.cluster,
            rng,
        )
        self._fleet = Fleet(
            self.member,
            self.cluster,
            ServerPartition(self._own, self.cluster.directory),
            read_clock,
            rng,
            answers=AnswerMemory(
                share_memory(settings.memory_mb, ANSWER_MEMORY_SHARE)
            ),
        )
        self.suspects = SuspectCalls(read_clock)
        self.cluster.on_server_end = self.suspects.record_end
        self._handover = Handover(self._fleet, header_names, rng)
        self._forwarder = Forwarder(
            self._fleet,
            ServerSelector(settings.zone, rng),
            self.suspects,
            self._handover,
            header_names,
            settings.retry,
            self._metrics,
        )
        self._frontend = Frontend(
            self.cluster,
            self._forwarder,
            header_names,
            read_clock,
            settings.memory_mb,
        )
        self._handover_server = HandoverServer(
            self.cluster, self._forwarder.run, read_clock
        )
        self._mesh = Mesh(
            self._own,
            settings.seeds,
            self.cluster,
            self._fleet,
            self.suspects,
            self._handover,
            self._handover_server,
            self._apply_update,
            read_clock,
        )
        self._prober = Prober(
            self.member,
            self._fleet,
            header_names,
            read_clock,
            self._mesh.list_alive,
            self._mesh.send_report,
        )
        self._path_checker = PathChecker(
            self._fleet,
            self._fleet.own_paths,
            rng,
            read_clock,
            self._handle_path_change,
        )
        self._gauges = GatewayGauges(
            self._fleet,
            self.suspects,
            self._frontend,
            self._mesh,
            lines,
        )
        self._servers: list[HttpServer] = []

    def is_ready(self) -> bool:
        """Return whether the platform's balancer should send calls here."""
        return (
            bool(self.cluster.config.version)
            and not self._frontend.shutdown.begun
        )

    def is_reader(self) -> bool:
        """Return whether this gateway reads the store for the others."""
        return self._mesh.is_reader()

    def list_loads(self) -> dict[ServerId, int]:
        """Return the in-flight calls of this gateway by backend server."""
        return self._fleet.list_loads()

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._gauges.update(self._metrics, read_clock())
        return self._metrics.render()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain the calls in flight."""
        log_event(
            'start',
            member=self.member,
            zone=self._settings.zone,
            callers=self._settings.callers,
        )
        with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            async with anyio.create_task_group() as group:
                await self._listen()
                self._start_tasks(group)
                await self._await_stop(signals)
                await self._drain()
                group.cancel_scope.cancel()
        log_event('stop', member=self.member)
        self._lines.flush()

    async def _listen(self) -> None:
        """Listen for callers, readiness checks and scrapes of metrics."""
        addresses = (
            (self._settings.callers, self._frontend),
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
        group.start_soon(self._registration.run)
        for watcher in make_watchers(
            self._store,
            self.cluster,
            self._publish_update,
            self._mesh.is_reader,
            self._rng,
            self._metrics.count_event,
            read_clock,
        ):
            group.start_soon(watcher.run)
        group.start_soon(self._prober.run)
        group.start_soon(self._path_checker.run)
        group.start_soon(self._clean_up)

    def _publish_update(self, update: TableUpdate) -> None:
        """Apply an update by this gateway and send it to the others."""
        self._apply_update(update)
        self._mesh.send_update(update)

    def _apply_update(self, update: TableUpdate) -> None:
        """Apply an update by this gateway or another."""
        self.cluster.apply(update, read_clock())
        if update.topic is Topic.MEMBERS:
            self._mesh.update_groups()
            self._registration.check()
        self._apply_limits()

    def _handle_path_change(self) -> None:
        self._metrics.count_event('paths changed')
        self._mesh.paths.announce()
        self._forwarder.repeat_lost()

    def _apply_limits(self) -> None:
        idle_s = self.cluster.config.limits.idle_timeout_s
        for server in self._servers:
            server.config.timeout_keep_alive = math.ceil(idle_s)

    async def _clean_up(self) -> None:
        while True:
            await anyio.sleep(CLEANUP_S)
            await self._fleet.remove_unused()

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

    async def _await_stop(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Wait for the signal to stop; reload the settings on SIGHUP."""
        async for number in signals:
            if number != signal.SIGHUP:
                return
            self._reload()

    def _reload(self) -> None:
        """Reload the settings; keep the current ones if they are invalid."""
        try:
            settings = self._platform.reload()
        except SettingError as error:
            log_event('settings kept as they were', error=str(error))
            return
        self._settings = settings
        self._forwarder.update_retry_limits(settings.retry)
        log_event('settings read again')

    async def _drain(self) -> None:
        """Report not ready, then let all calls finish."""
        shutdown = self._frontend.shutdown
        shutdown.begin(read_clock(), self._settings.grace_s)
        self._forwarder.limit_deadlines(shutdown.answer_by)
        self._handover_server.closed = True
        self._mesh.paths.announce()
        log_event('drain', in_flight=self._frontend.in_flight)
        with anyio.move_on_after(shutdown.exit_at - read_clock()):
            await anyio.sleep(READINESS_DELAY_S)
            for server in self._servers:
                await server.shutdown()
            await self._handover_server.drain()
        log_event('drained', in_flight=self._frontend.in_flight)

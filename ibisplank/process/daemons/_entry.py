"""Entry daemon: serves callers and shares slots with its peers."""

import random
import signal
import time

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from ibisplank.connection import (
    ClaimReply,
    ClaimRequest,
    ConfigChanges,
    ConfigSnapshot,
    DispatchLease,
    Hello,
    HttpServer,
    Message,
    PeerServer,
    PeerTls,
    PermitGrant,
    PermitRequest,
    PermitReturn,
    PermitSharesApplied,
    RosterUpdate,
    ServerUpdate,
    SuspectAck,
    SuspectCleared,
    SuspectReport,
    VmListUpdate,
    make_server,
)
from ibisplank.ids import MemberId, VmState
from ibisplank.process.admission._atmostonce import AtMostOnceRunner
from ibisplank.process.admission._calls import CallDependencies, CallHandler
from ibisplank.process.admission._claimrouter import ClaimRouter
from ibisplank.process.admission._permits import Permits
from ibisplank.process.control._controlstate import ControlState
from ibisplank.process.control._sharedsuspects import SharedSuspects
from ibisplank.process.daemons._clock import make_member_id, read_clock
from ibisplank.process.daemons._metrics import Metrics
from ibisplank.process.daemons._peerlinks import PeerLinks
from ibisplank.process.daemons._settings import EntrySettings, split_address
from ibisplank.process.placing._attempts import AttemptRunner
from ibisplank.process.placing._baselines import make_allocator
from ibisplank.process.placing._scheduler import SlotScheduler
from ibisplank.request import Claims, ClaimWriter
from ibisplank.store import HttpPlatform
from ibisplank.version import Roster, VmList

PERIODIC_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.02
#: Longest wait at shutdown for outcomes to be written to the table.
OUTCOME_TIMEOUT_S = 10.0
#: Time in which the platform's balancer notices that the entry is not ready.
READINESS_DELAY_S = 1.0


class Entry:
    """Entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        self.member = make_member_id(settings.location.vm)
        self._settings = settings
        self._platform = HttpPlatform(settings.platform)
        self._tls = None if settings.tls is None else PeerTls(settings.tls)
        hello = Hello(self.member, settings.peer)
        self._links = PeerLinks(hello, self._sync_member, self._tls)
        self._scheduler = SlotScheduler(
            self.member,
            settings.location.zone,
            random.Random(self.member),
        )
        self._slots = make_allocator(
            self._scheduler,
            self._links,
            read_clock,
            self.member,
            settings.policy,
        )
        self._permits = Permits(self.member)
        self._metrics = Metrics()
        self._suspects = SharedSuspects(self._links, read_clock)
        self._attempts = AttemptRunner(
            self._slots,
            self._suspects,
            self._metrics,
            read_clock,
        )
        self._writer = ClaimWriter(self._platform, time.time)
        self._claim_router = ClaimRouter(self.member, self._writer, self._links)
        claims = Claims(self._claim_router, settings.location.cell, time.time)
        self._once_runner = AtMostOnceRunner(claims, self._attempts)
        dependencies = CallDependencies(
            self._slots,
            self._permits,
            self._once_runner,
            self._attempts,
            self._suspects,
            self._metrics,
            read_clock,
        )
        self._handler = CallHandler(
            dependencies, self.is_ready, settings.body_limit
        )
        self._control = ControlState()
        self._roster = Roster()
        self._stopping = False
        self._probes_sent = 0
        self._probe_seconds = 0.0
        self._group = anyio.create_task_group()

    def is_ready(self) -> bool:
        """Return whether the platform's balancer should send calls here."""
        config = self._control.config
        location = self._settings.location
        if self._stopping or not config.revision or not self._roster.epoch:
            return False
        return not (
            location.zone in config.zones_out or location.vm in config.vms_out
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain calls in flight."""
        host, port = split_address(self._settings.listen, 'listen')
        peer_host, peer_port = split_address(self._settings.peer, 'peer')
        server = make_server(self._handler, host, port, http='httptools')
        peers = PeerServer(self.member, self._receive, self._tls)
        await peers.start(peer_host, peer_port)
        logger.info('entry {} serves callers on {}:{}', self.member, host, port)
        async with self._group as group:
            self._start_tasks(group)
            group.start_soon(self._await_signal, server)
            await server.serve()
            group.cancel_scope.cancel()
        await peers.stop()
        logger.info('entry {} stopped', self.member)

    def _start_tasks(self, group: TaskGroup) -> None:
        self._once_runner.set_task_group(group)
        self._claim_router.set_task_group(group)
        group.start_soon(self._slots.run)
        group.start_soon(self._attempts.run_hedges)
        group.start_soon(self._writer.run)
        group.start_soon(self._run_periodically)
        if self._tls is not None:
            group.start_soon(self._tls.run)

    async def _await_signal(self, server: HttpServer) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as seen:
            async for _ in seen:
                break
        self._stopping = True
        logger.info('entry {} is draining', self.member)
        await anyio.sleep(READINESS_DELAY_S)
        while self._handler.in_flight:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        with anyio.move_on_after(OUTCOME_TIMEOUT_S):
            while self._once_runner.pending_outcomes:
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        server.should_exit = True

    async def _run_periodically(self) -> None:
        while True:
            await anyio.sleep(PERIODIC_INTERVAL_S)
            self._metrics.record_samples()
            self._update_gauges()
            now = read_clock()
            self._slots.perform(self._permits.tick(now))

    def _update_gauges(self) -> None:
        holder = self._scheduler.holder
        gauges = (
            ('slots_held', 'Slots held', len(holder.slots)),
            ('slots_in_use', 'Slots in use', holder.count_used()),
            ('slots_lent', 'Slots in use by others', holder.count_lent()),
            ('probes_sent', 'Probes of backend servers', self._probes_sent),
            ('probe_seconds', 'Time that probes took', self._probe_seconds),
            ('calls_waiting', 'Calls that wait', holder.count_waiting()),
            ('calls_in_flight', 'Calls in flight', self._handler.in_flight),
            ('config_revision', 'Revision', self._control.config.revision),
            ('roster_epoch', 'Epoch of the roster', self._roster.epoch),
            ('roster_members', 'Members', len(self._roster.members)),
            ('suspects', 'Suspect requests', len(self._suspects)),
        )
        for name, help_text, amount in gauges:
            self._metrics.set_gauge(name, help_text, amount)

    # Messages

    def _receive(self, member: MemberId, message: Message) -> None:
        now = read_clock()
        match message:
            case (
                PermitRequest()
                | PermitGrant()
                | PermitReturn()
                | PermitSharesApplied()
            ):
                self._slots.perform(
                    self._permits.receive(member, message, now),
                )
            case Hello():
                self._links.connect_back(message.address, self._group)
            case ClaimRequest() | ClaimReply():
                self._claim_router.receive(member, message)
            case SuspectReport() | SuspectAck() | SuspectCleared():
                self._suspects.receive(member, message)
            case ConfigSnapshot() | ConfigChanges():
                self._update_config(message, now)
            case VmListUpdate():
                self._update_vm_list(message.listing, now)
            case RosterUpdate():
                self._update_roster(message, now)
            case ServerUpdate():
                self._slots.perform(self._scheduler.record_probe(message, now))
            case DispatchLease():
                self._update_dispatch_lease(message, now)
            case _:
                self._slots.receive(member, message)

    def _update_config(
        self,
        message: ConfigSnapshot | ConfigChanges,
        now: float,
    ) -> None:
        if self._control.update_config(message) is None:
            return
        state = self._control.config
        logger.info('configuration revision {} in force', state.revision)
        self._handler.update_config(state)
        self._permits.update_limits(state.find_limits(), now)
        self._configure_servers()
        self._slots.perform(self._scheduler.tick(now))

    def _update_vm_list(self, vm_list: VmList, now: float) -> None:
        if not self._control.update_vm_list(vm_list):
            return
        self._attempts.update_servers(vm_list.servers)
        self._slots.perform(
            self._scheduler.update_servers(vm_list.servers, now),
        )
        self._configure_servers()

    def _update_roster(self, message: RosterUpdate, now: float) -> None:
        if message.roster.epoch < self._roster.epoch:
            return
        fence_at = None
        if message.fenced_s is not None:
            fence_at = now - message.fenced_s
        if message.roster.epoch > self._roster.epoch:
            logger.info('roster epoch {} in force', message.roster.epoch)
        self._roster = message.roster
        addresses = {
            each.entry
            for each in message.roster.members
            if each.member != self.member
        }
        self._links.set_addresses(addresses, self._group)
        self._claim_router.update_roster(message.roster)
        self._permits.update_roster(message.roster, fence_at, now)
        self._slots.perform(
            self._scheduler.update_roster(message.roster, fence_at, now),
        )

    def _update_dispatch_lease(
        self, message: DispatchLease, now: float
    ) -> None:
        self._probes_sent = message.probes
        self._probe_seconds = message.probe_s
        if message.epoch == self._roster.epoch:
            self._permits.dispatch_lease_until = message.until
        self._slots.perform(
            self._scheduler.extend_dispatch_lease(
                message.epoch, message.until, now
            ),
        )

    def _configure_servers(self) -> None:
        """Apply configuration and VM list to the backend servers.

        Those that are out of service or leaving get no new calls.
        """
        config = self._control.config
        self._scheduler.servers.set_warm_answers(config.find_warm_answers())
        blocked = {
            server.server
            for server in self._control.vm_list.servers
            if server.state is VmState.LEAVING
            or server.zone in config.zones_out
            or server.vm in config.vms_out
        }
        self._scheduler.servers.block(blocked)

    def _sync_member(self, member: MemberId) -> None:
        self._slots.perform(self._scheduler.sync_member(member))
        self._slots.perform(self._permits.sync_member(member))
        self._suspects.sync_member(member)

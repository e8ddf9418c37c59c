"""The entry daemon: serves callers, shares slots with its peers."""

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
from ibisplank.process.admission._calls import CallParts, CallPath
from ibisplank.process.admission._claimdesk import ClaimDesk
from ibisplank.process.admission._once import OnceRunner
from ibisplank.process.admission._permits import Permits
from ibisplank.process.daemons._clock import make_member, read_clock
from ibisplank.process.daemons._links import Links
from ibisplank.process.daemons._metrics import Metrics
from ibisplank.process.daemons._settings import EntrySettings, split_address
from ibisplank.process.knowledge._deaths import Deaths
from ibisplank.process.knowledge._known import Known
from ibisplank.process.placing._attempts import AttemptRunner
from ibisplank.process.placing._baselines import make_allocator
from ibisplank.process.placing._scheduler import SlotScheduler
from ibisplank.request import Claims, ClaimWriter
from ibisplank.store import HttpPlatform
from ibisplank.version import Roster, VmList

RECORD_S = 0.25
DRAIN_POLL_S = 0.02
#: Longest wait at a planned stop for outcomes to be in the table.
RECORD_LIMIT_S = 10.0
#: After this, readiness has reached the platform's balancer.
LINGER_S = 1.0


class Entry:
    """One entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        self.member = make_member(settings.place.vm)
        self._settings = settings
        self._platform = HttpPlatform(settings.platform)
        self._tls = None if settings.tls is None else PeerTls(settings.tls)
        hello = Hello(self.member, settings.peer)
        self._links = Links(hello, self._greet, self._tls)
        self._scheduler = SlotScheduler(
            self.member,
            settings.place.zone,
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
        self._deaths = Deaths(self._links, read_clock)
        self._attempts = AttemptRunner(
            self._slots,
            self._deaths,
            self._metrics,
            read_clock,
        )
        self._writer = ClaimWriter(self._platform, time.time)
        self._desk = ClaimDesk(self.member, self._writer, self._links)
        claims = Claims(self._desk, settings.place.cell, time.time)
        self._once = OnceRunner(claims, self._attempts)
        parts = CallParts(
            self._slots,
            self._permits,
            self._once,
            self._attempts,
            self._deaths,
            self._metrics,
            read_clock,
        )
        self._path = CallPath(parts, self.is_ready, settings.body_limit)
        self._known = Known()
        self._roster = Roster()
        self._stopping = False
        self._probes_sent = 0
        self._probe_seconds = 0.0
        self._group = anyio.create_task_group()

    def is_ready(self) -> bool:
        """Tell whether the platform's balancer should send calls here."""
        config = self._known.config
        place = self._settings.place
        if self._stopping or not config.revision or not self._roster.epoch:
            return False
        return not (
            place.zone in config.zones_out or place.vm in config.vms_out
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then let calls in flight finish."""
        host, port = split_address(self._settings.listen, 'listen')
        peer_host, peer_port = split_address(self._settings.peer, 'peer')
        server = make_server(self._path, host, port, http='httptools')
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
        self._once.run_in(group)
        self._desk.run_in(group)
        group.start_soon(self._slots.run)
        group.start_soon(self._attempts.run_hedges)
        group.start_soon(self._writer.run)
        group.start_soon(self._keep_up)
        if self._tls is not None:
            group.start_soon(self._tls.run)

    async def _await_signal(self, server: HttpServer) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as seen:
            async for _ in seen:
                break
        self._stopping = True
        logger.info('entry {} drains', self.member)
        await anyio.sleep(LINGER_S)
        while self._path.in_flight:
            await anyio.sleep(DRAIN_POLL_S)
        with anyio.move_on_after(RECORD_LIMIT_S):
            while self._once.recording:
                await anyio.sleep(DRAIN_POLL_S)
        server.should_exit = True

    async def _keep_up(self) -> None:
        while True:
            await anyio.sleep(RECORD_S)
            self._metrics.record()
            self._show_gauges()
            now = read_clock()
            self._slots.perform(self._permits.tick(now))

    def _show_gauges(self) -> None:
        holder = self._scheduler.holder
        shown = (
            ('slots_held', 'Slots held', len(holder.slots)),
            ('slots_in_use', 'Slots in use', holder.count_used()),
            ('slots_lent', 'Slots in use by others', holder.count_lent()),
            ('probes_sent', 'Probes of backend servers', self._probes_sent),
            ('probe_seconds', 'Time that probes took', self._probe_seconds),
            ('calls_waiting', 'Calls that wait', holder.count_waiting()),
            ('calls_in_flight', 'Calls in flight', self._path.in_flight),
            ('config_revision', 'Revision', self._known.config.revision),
            ('roster_epoch', 'Epoch of the roster', self._roster.epoch),
            ('roster_members', 'Members', len(self._roster.members)),
            ('suspects', 'Suspect requests', len(self._deaths)),
        )
        for name, help_text, amount in shown:
            self._metrics.show(name, help_text, amount)

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
                self._links.welcome(message.address, self._group)
            case ClaimRequest() | ClaimReply():
                self._desk.receive(member, message)
            case SuspectReport() | SuspectAck() | SuspectCleared():
                self._deaths.receive(member, message)
            case ConfigSnapshot() | ConfigChanges():
                self._learn_config(message, now)
            case VmListUpdate():
                self._learn_listing(message.listing, now)
            case RosterUpdate():
                self._learn_roster(message, now)
            case ServerUpdate():
                self._slots.perform(self._scheduler.record_probe(message, now))
            case DispatchLease():
                self._learn_rights(message, now)
            case _:
                self._slots.receive(member, message)

    def _learn_config(
        self,
        message: ConfigSnapshot | ConfigChanges,
        now: float,
    ) -> None:
        if self._known.learn_config(message) is None:
            return
        state = self._known.config
        logger.info('configuration revision {} in force', state.revision)
        self._path.learn_config(state)
        self._permits.learn_limits(state.find_limits(), now)
        self._block()
        self._slots.perform(self._scheduler.tick(now))

    def _learn_listing(self, listing: VmList, now: float) -> None:
        if not self._known.learn_listing(listing):
            return
        self._attempts.update_servers(listing.servers)
        self._slots.perform(
            self._scheduler.update_servers(listing.servers, now),
        )
        self._block()

    def _learn_roster(self, message: RosterUpdate, now: float) -> None:
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
        self._links.want(addresses, self._group)
        self._desk.learn_roster(message.roster)
        self._permits.learn_roster(message.roster, fence_at, now)
        self._slots.perform(
            self._scheduler.update_roster(message.roster, fence_at, now),
        )

    def _learn_rights(self, message: DispatchLease, now: float) -> None:
        self._probes_sent = message.probes
        self._probe_seconds = message.probe_s
        if message.epoch == self._roster.epoch:
            self._permits.rights_until = message.until
        self._slots.perform(
            self._scheduler.extend_rights(message.epoch, message.until, now),
        )

    def _block(self) -> None:
        """Give no new work to servers that are out of service or leaving."""
        config = self._known.config
        self._scheduler.servers.set_warm_answers(config.find_warm_answers())
        blocked = {
            server.server
            for server in self._known.listing.servers
            if server.state is VmState.LEAVING
            or server.zone in config.zones_out
            or server.vm in config.vms_out
        }
        self._scheduler.servers.block(blocked)

    def _greet(self, member: MemberId) -> None:
        self._slots.perform(self._scheduler.make_initial_messages(member))
        self._slots.perform(self._permits.greet(member))
        self._deaths.greet(member)

"""Agent daemon: sends its entry the configuration, roster and leases."""

import signal

import anyio
from loguru import logger

from ibisplank.connection import (
    ConfigChanges,
    ConfigRequest,
    ConfigSnapshot,
    DispatchLease,
    Heartbeat,
    Hello,
    Message,
    PeerServer,
    PeerTls,
    RosterUpdate,
    ServerUpdate,
    VmListUpdate,
)
from ibisplank.ids import MemberId, VmId
from ibisplank.process.control._controlstate import ControlState
from ibisplank.process.control._membership import HEARTBEAT_S, Membership
from ibisplank.process.control._poller import Poller
from ibisplank.process.control._probes import PROBE_COST_S, Prober
from ibisplank.process.daemons._clock import read_clock
from ibisplank.process.daemons._peerlinks import PeerLinks
from ibisplank.process.daemons._settings import AgentSettings, split_address
from ibisplank.store import HttpPlatform
from ibisplank.version import Member, VmList

ENTRY_POLL_INTERVAL_S = 0.05
#: Member id until the agent learns that of its entry.
UNIDENTIFIED_AGENT = MemberId('agent')
#: The entry counts as dead after this many heartbeats without a stream to it.
ENTRY_LOST_HEARTBEATS = 2


class Agent:
    """Agent process, which serves the entry on its VM."""

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self._control = ControlState()
        self._sent_lease_until = 0.0
        self._prober = Prober(self._send_server_update)
        self._group = anyio.create_task_group()
        self._tls = None if settings.tls is None else PeerTls(settings.tls)
        self._entry_links = PeerLinks(
            Hello(UNIDENTIFIED_AGENT), self._on_entry_connected, self._tls
        )
        self._peer_links = PeerLinks(
            Hello(UNIDENTIFIED_AGENT), self._on_peer_connected, self._tls
        )
        self.membership = Membership(UNIDENTIFIED_AGENT)
        self._poller = Poller(
            HttpPlatform(settings.platform),
            settings.location.cell,
            self._control,
            self,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave the roster."""
        async with self._group as group:
            group.start_soon(self._await_signal)
            self._entry_links.set_addresses({self._settings.entry}, group)
            while self.membership.member == UNIDENTIFIED_AGENT:
                await anyio.sleep(ENTRY_POLL_INTERVAL_S)
            await self._serve()

    def update_roster(self, update: RosterUpdate) -> None:
        """Apply a roster and forward it if it is newer."""
        if not self.membership.update_roster(update.roster, read_clock()):
            return
        logger.info('roster epoch {} in force', update.roster.epoch)
        self._mark_replaced()
        addresses = {each.agent for each in update.roster.members}
        addresses.discard(self._settings.peer)
        self._peer_links.set_addresses(
            addresses | set(self._settings.seeds), self._group
        )
        self._peer_links.send_all(RosterUpdate(update.roster))
        self._send_heartbeats()
        self._send_roster()
        self._assign_probes()

    def update_vm_list(self, vm_list: VmList) -> None:
        """Apply a VM list and forward it if it is newer."""
        if not self._control.update_vm_list(vm_list):
            return
        if vm_list.vms:
            live = set(vm_list.vms)
            self.membership.mark_ended(
                {
                    each.member
                    for each in self.membership.roster.members
                    if each.vm not in live
                },
            )
        self._entry_links.send_all(VmListUpdate(vm_list))
        self._peer_links.send_all(VmListUpdate(vm_list))
        self._assign_probes()

    def update_config(self, update: ConfigChanges | ConfigSnapshot) -> None:
        """Apply a configuration update and forward its new part."""
        applied = self._control.update_config(update)
        if applied is None:
            return
        revision = self._control.config.revision
        logger.info('configuration revision {} in force', revision)
        self._entry_links.send_all(applied)
        self._peer_links.send_all(applied)
        self._assign_probes()

    def make_member(self) -> Member:
        """Return this member as the roster lists it."""
        location = self._settings.location
        return Member(
            self.membership.member,
            location.vm,
            location.zone,
            self._settings.entry,
            self._settings.peer,
        )

    async def _serve(self) -> None:
        member = self.membership.member
        hello = Hello(member, self._settings.peer)
        self._peer_links = PeerLinks(hello, self._on_peer_connected, self._tls)
        self._peer_links.set_addresses(set(self._settings.seeds), self._group)
        server = PeerServer(member, self._receive, self._tls)
        host, port = split_address(self._settings.peer, 'peer')
        await server.start(host, port)
        logger.info('agent of {} serves peers on {}:{}', member, host, port)
        if self._tls is not None:
            self._group.start_soon(self._tls.run)
        self._group.start_soon(self._run_heartbeats)
        self._group.start_soon(self._poller.run)
        self._group.start_soon(self._poller.save_snapshots)
        self._group.start_soon(self._poller.clean_claims)
        self._group.start_soon(self._prober.run)

    async def _await_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as seen:
            async for _ in seen:
                break
        await self._leave()

    async def _leave(self) -> None:
        """Leave the roster, so that others take over the slots, and stop."""
        logger.info('agent of {} is leaving the roster', self.membership.member)
        await self._poller.leave()
        await anyio.sleep(HEARTBEAT_S)
        self._group.cancel_scope.cancel()

    # Heartbeats

    async def _run_heartbeats(self) -> None:
        missed = 0
        while missed < ENTRY_LOST_HEARTBEATS:
            self._send_heartbeats()
            await anyio.sleep(HEARTBEAT_S)
            missed = 0 if self._entry_links.connected else missed + 1
        logger.warning(
            'lost connection to entry {}',
            self.membership.member,
        )
        await self._leave()

    def _send_heartbeats(self) -> None:
        now = read_clock()
        for member in self._peer_links.connected:
            heartbeat = self.membership.make_heartbeat(
                member,
                self._control.config.revision,
                self._control.vm_list.serial,
                now,
            )
            self._peer_links.send(member, heartbeat)
        self._send_dispatch_lease()

    def _send_dispatch_lease(self) -> None:
        until = self.membership.find_dispatch_lease_end(read_clock())
        epoch = self.membership.roster.epoch
        self._sent_lease_until = until
        sent = self._prober.sent
        cost_s = sent * PROBE_COST_S
        self._entry_links.send_all(DispatchLease(epoch, until, sent, cost_s))
        self._prober.set_dispatch_lease(until)

    def _send_roster(self) -> None:
        self._entry_links.send_all(self._make_roster_update())
        self._send_dispatch_lease()

    def _make_roster_update(self) -> RosterUpdate:
        now = read_clock()
        fence_at = self.membership.find_fence_time(now)
        fenced_s = None if fence_at is None else now - fence_at
        return RosterUpdate(self.membership.roster, fenced_s)

    # Messages

    def _receive(self, member: MemberId, message: Message) -> None:
        match message:
            case Hello():
                self._peer_links.connect_back(message.address, self._group)
            case Heartbeat():
                self._receive_heartbeat(member, message)
            case RosterUpdate():
                self.update_roster(message)
            case VmListUpdate():
                self.update_vm_list(message.listing)
            case ConfigChanges() | ConfigSnapshot():
                self.update_config(message)
            case ConfigRequest():
                update = self._control.make_config_update(message.after)
                self._peer_links.send(member, update)
            case ServerUpdate():
                self._entry_links.send_all(message)

    def _receive_heartbeat(
        self, member: MemberId, heartbeat: Heartbeat
    ) -> None:
        fence_at = self.membership.find_fence_time(read_clock())
        self.membership.receive(member, heartbeat, read_clock())
        if read_clock() >= self._sent_lease_until - HEARTBEAT_S:
            self._send_dispatch_lease()
        if fence_at is None:
            self._send_roster()
            self._assign_probes()
        if heartbeat.revision > self._control.config.revision:
            request = ConfigRequest(self._control.config.revision)
            self._peer_links.send(member, request)
        if heartbeat.epoch < self.membership.roster.epoch:
            self._peer_links.send(member, RosterUpdate(self.membership.roster))
        if heartbeat.serial < self._control.vm_list.serial:
            self._peer_links.send(member, VmListUpdate(self._control.vm_list))

    def _mark_replaced(self) -> None:
        """Mark earlier members on a VM as ended once a new one has joined."""
        roster = self.membership.roster
        current = {each.vm: each.member for each in roster.members}
        ended = set()
        for past in roster.past:
            for member in past.members:
                vm, _, _ = member.rpartition('.')
                if current.get(VmId(vm), member) != member:
                    ended.add(member)
        self.membership.mark_ended(ended)

    def _assign_probes(self) -> None:
        self._prober.assign(
            self.membership.member,
            self.membership.roster,
            self._control,
            self.membership.find_fence_time(read_clock()),
            read_clock(),
        )

    def _send_server_update(self, update: ServerUpdate) -> None:
        self._entry_links.send_all(update)
        self._peer_links.send_all(update)

    def _on_entry_connected(self, member: MemberId) -> None:
        if self.membership.member == UNIDENTIFIED_AGENT:
            self.membership = Membership(member)
        elif member != self.membership.member:
            logger.info('entry restarted as {}; stopping agent', member)
            self._group.cancel_scope.cancel()
        if self._control.config.revision:
            self._entry_links.send_all(ConfigSnapshot(self._control.config))
        self._entry_links.send_all(VmListUpdate(self._control.vm_list))
        self._send_roster()

    def _on_peer_connected(self, member: MemberId) -> None:
        self._peer_links.send(member, RosterUpdate(self.membership.roster))
        self._send_heartbeats()

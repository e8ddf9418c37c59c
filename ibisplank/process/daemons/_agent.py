"""The agent daemon: keeps an entry's configuration, roster and rights."""

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
from ibisplank.process.daemons._clock import read_clock
from ibisplank.process.daemons._links import Links
from ibisplank.process.daemons._settings import AgentSettings, split_address
from ibisplank.process.knowledge._known import Known
from ibisplank.process.knowledge._membership import BEAT_S, Membership
from ibisplank.process.knowledge._poller import Poller
from ibisplank.process.knowledge._probes import PROBE_COST_S, Prober
from ibisplank.store import HttpPlatform
from ibisplank.version import Member, VmList

MEET_POLL_S = 0.05
AGENT = MemberId('agent')
#: Heartbeats without a stream to the entry after which it counts as dead.
ENTRY_LOST_BEATS = 2


class Agent:
    """One agent process, beside one entry."""

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self._known = Known()
        self._told_rights = 0.0
        self._prober = Prober(self._tell_server)
        self._group = anyio.create_task_group()
        self._tls = None if settings.tls is None else PeerTls(settings.tls)
        self._entry = Links(Hello(AGENT), self._greet_entry, self._tls)
        self._peers = Links(Hello(AGENT), self._greet_peer, self._tls)
        self.membership = Membership(AGENT)
        self._poller = Poller(
            HttpPlatform(settings.platform),
            settings.place.cell,
            self._known,
            self,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave the roster."""
        async with self._group as group:
            group.start_soon(self._await_signal)
            self._entry.want({self._settings.entry}, group)
            while self.membership.member == AGENT:
                await anyio.sleep(MEET_POLL_S)
            await self._serve()

    def learn_roster(self, news: RosterUpdate) -> None:
        """Take in a roster, and pass it on if it is newer."""
        if not self.membership.learn_roster(news.roster, read_clock()):
            return
        logger.info('roster epoch {} in force', news.roster.epoch)
        self._note_replaced()
        addresses = {each.agent for each in news.roster.members}
        addresses.discard(self._settings.peer)
        self._peers.want(addresses | set(self._settings.seeds), self._group)
        self._peers.send_all(RosterUpdate(news.roster))
        self._send_beats()
        self._tell_roster()
        self._assign_probes()

    def learn_listing(self, listing: VmList) -> None:
        """Take in a VM list, and pass it on if it is newer."""
        if not self._known.learn_listing(listing):
            return
        if listing.vms:
            live = set(listing.vms)
            self.membership.learn_gone(
                {
                    each.member
                    for each in self.membership.roster.members
                    if each.vm not in live
                },
            )
        self._entry.send_all(VmListUpdate(listing))
        self._peers.send_all(VmListUpdate(listing))
        self._assign_probes()

    def learn_config(self, news: ConfigChanges | ConfigSnapshot) -> None:
        """Take in configuration, and pass on what is newer."""
        fresh = self._known.learn_config(news)
        if fresh is None:
            return
        revision = self._known.config.revision
        logger.info('configuration revision {} in force', revision)
        self._entry.send_all(fresh)
        self._peers.send_all(fresh)
        self._assign_probes()

    def describe(self) -> Member:
        """Return this member as the roster lists it."""
        place = self._settings.place
        return Member(
            self.membership.member,
            place.vm,
            place.zone,
            self._settings.entry,
            self._settings.peer,
        )

    async def _serve(self) -> None:
        member = self.membership.member
        hello = Hello(member, self._settings.peer)
        self._peers = Links(hello, self._greet_peer, self._tls)
        self._peers.want(set(self._settings.seeds), self._group)
        server = PeerServer(member, self._receive, self._tls)
        host, port = split_address(self._settings.peer, 'peer')
        await server.start(host, port)
        logger.info('agent of {} serves peers on {}:{}', member, host, port)
        if self._tls is not None:
            self._group.start_soon(self._tls.run)
        self._group.start_soon(self._beat)
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
        """Give this member's slots to the others, and stop."""
        logger.info('agent of {} leaves', self.membership.member)
        await self._poller.leave()
        await anyio.sleep(BEAT_S)
        self._group.cancel_scope.cancel()

    # Heartbeats

    async def _beat(self) -> None:
        missed = 0
        while missed < ENTRY_LOST_BEATS:
            self._send_beats()
            await anyio.sleep(BEAT_S)
            missed = 0 if self._entry.reached else missed + 1
        logger.warning('entry of {} is lost', self.membership.member)
        await self._leave()

    def _send_beats(self) -> None:
        now = read_clock()
        for member in self._peers.reached:
            beat = self.membership.make_beat(
                member,
                self._known.config.revision,
                self._known.listing.serial,
                now,
            )
            self._peers.send(member, beat)
        self._tell_rights()

    def _tell_rights(self) -> None:
        until = self.membership.find_rights(read_clock())
        epoch = self.membership.roster.epoch
        self._told_rights = until
        sent = self._prober.sent
        cost_s = sent * PROBE_COST_S
        self._entry.send_all(DispatchLease(epoch, until, sent, cost_s))
        self._prober.extend_rights(until)

    def _tell_roster(self) -> None:
        self._entry.send_all(self._make_roster_news())
        self._tell_rights()

    def _make_roster_news(self) -> RosterUpdate:
        now = read_clock()
        fence = self.membership.find_fence(now)
        fenced_s = None if fence is None else now - fence
        return RosterUpdate(self.membership.roster, fenced_s)

    # Messages

    def _receive(self, member: MemberId, message: Message) -> None:
        match message:
            case Hello():
                self._peers.welcome(message.address, self._group)
            case Heartbeat():
                self._receive_beat(member, message)
            case RosterUpdate():
                self.learn_roster(message)
            case VmListUpdate():
                self.learn_listing(message.listing)
            case ConfigChanges() | ConfigSnapshot():
                self.learn_config(message)
            case ConfigRequest():
                news = self._known.answer_ask(message.after)
                self._peers.send(member, news)
            case ServerUpdate():
                self._entry.send_all(message)

    def _receive_beat(self, member: MemberId, beat: Heartbeat) -> None:
        fenced = self.membership.find_fence(read_clock())
        self.membership.receive(member, beat, read_clock())
        if read_clock() >= self._told_rights - BEAT_S:
            self._tell_rights()
        if fenced is None:
            self._tell_roster()
            self._assign_probes()
        if beat.revision > self._known.config.revision:
            ask = ConfigRequest(self._known.config.revision)
            self._peers.send(member, ask)
        if beat.epoch < self.membership.roster.epoch:
            self._peers.send(member, RosterUpdate(self.membership.roster))
        if beat.serial < self._known.listing.serial:
            self._peers.send(member, VmListUpdate(self._known.listing))

    def _note_replaced(self) -> None:
        """Count earlier runs on a VM as ended once a new one has joined."""
        roster = self.membership.roster
        current = {each.vm: each.member for each in roster.members}
        gone = set()
        for past in roster.past:
            for member in past.members:
                vm, _, _ = member.rpartition('.')
                if current.get(VmId(vm), member) != member:
                    gone.add(member)
        self.membership.learn_gone(gone)

    def _assign_probes(self) -> None:
        self._prober.assign(
            self.membership.member,
            self.membership.roster,
            self._known,
            self.membership.find_fence(read_clock()),
            read_clock(),
        )

    def _tell_server(self, news: ServerUpdate) -> None:
        self._entry.send_all(news)
        self._peers.send_all(news)

    def _greet_entry(self, member: MemberId) -> None:
        if self.membership.member == AGENT:
            self.membership = Membership(member)
        elif member != self.membership.member:
            logger.info('entry restarted as {}; agent stops', member)
            self._group.cancel_scope.cancel()
        if self._known.config.revision:
            self._entry.send_all(ConfigSnapshot(self._known.config))
        self._entry.send_all(VmListUpdate(self._known.listing))
        self._tell_roster()

    def _greet_peer(self, member: MemberId) -> None:
        self._peers.send(member, RosterUpdate(self.membership.roster))
        self._send_beats()

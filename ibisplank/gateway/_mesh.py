"""Streams between gateways: readings, probes, and loads within a group."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import (
    CompressedReading,
    Hello,
    Message,
    PeerServer,
    ServerLoads,
    ServerReport,
)
from ibisplank.gateway._facts import MemberRecord
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._knowledge import Knowledge
from ibisplank.gateway._readers import Readers
from ibisplank.gateway._relays import Relays
from ibisplank.gateway._teller import LoadTeller
from ibisplank.ids import MemberId
from ibisplank.process import PeerLinks, log_event
from ibisplank.store import Reading, Topic

#: Up to so many gateways reach each other directly and tell each other of
#: servers in all zones. Where there are more, each group has servers enough
#: of its own, and readings of the store come through relays.
MESH_LIMIT = 24
#: How often the streams are compared with the members.
LOOK_S = 0.5
#: How often processes that are not members yet are left.
GUEST_S = 5.0


@dataclass(slots=True)
class Mesh:
    """Part of one gateway in the exchange.

    Parameters
    ----------
    own : MemberRecord
        How the others reach this gateway.
    seeds : tuple of str
        Addresses to ask while nothing is known.
    take : callable
        Receives the readings of others.
    """

    own: MemberRecord
    seeds: tuple[str, ...]
    knowledge: Knowledge
    fleet: Fleet
    take: Callable[[Reading], None]
    clock: Callable[[], float]
    readers: Readers = field(init=False)
    relays: Relays = field(init=False)
    _links: PeerLinks = field(init=False)
    _teller: LoadTeller = field(init=False)
    _reading: set[MemberId] = field(default_factory=set)
    _group: TaskGroup | None = None

    def __post_init__(self) -> None:
        """Make what depends on the address."""
        self.readers = Readers(self.own.member)
        self.relays = Relays(self.own.member)
        hello = Hello(self.own.member, self.own.peer)
        self._links = PeerLinks(hello, self._greet)
        self._teller = LoadTeller(self.fleet, self._send_group, self.clock)
        self.fleet.tell_start = self._teller.tell
        self.fleet.tell_end = self._teller.note_end

    def is_reader(self) -> bool:
        """Tell whether this gateway reads for the others."""
        return self.own.member in self._reading

    async def run(self) -> None:
        """Exchange with the other gateways, for ever."""
        host, _, port = self.own.peer.rpartition(':')
        server = PeerServer(self.own.member, self._receive)
        await server.start(host, int(port))
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                group.start_soon(self._teller.run)
                group.start_soon(self._leave_guests)
                await self._follow_members(group)
        finally:
            await server.stop()

    def regroup(self) -> None:
        """Work out groups and readers anew, once any members are known."""
        if self.knowledge.rows[Topic.MEMBERS].version:
            self.fleet.sharing.learn(self.knowledge.members.values())
            self._choose_readers()

    def send_reading(self, reading: Reading) -> None:
        """Pass on what this gateway has read, if others rely on it."""
        if self.is_reader():
            self._links.send_all(
                CompressedReading.compress(self.own.member, reading)
            )

    def send_report(self, report: ServerReport) -> None:
        """Tell the other gateways what a probe showed, or the group."""
        if self._is_small():
            self._links.send_all(report)
            return
        self._send_group(report)

    def list_alive(self) -> frozenset[MemberId]:
        """Return the gateways that are not known to be gone."""
        now = self.clock()
        group = self.fleet.sharing.list_group()
        known = {each.member for each in self.knowledge.members.values()}
        silent = {
            member
            for member in group - {self.own.member}
            if not self.fleet.occupancy.is_heard(member, now)
        }
        return frozenset((known | {self.own.member}) - silent)

    async def _follow_members(self, group: TaskGroup) -> None:
        while True:
            self.regroup()
            self._links.set_addresses(self._list_wanted(), group)
            await anyio.sleep(LOOK_S)

    def _choose_readers(self) -> None:
        members = {**self.knowledge.members, '': self.own}
        unique = {each.member: each for each in members.values()}
        chosen = self.readers.choose(unique.values(), self.clock())
        if chosen != self._reading:
            log_event('readers chosen', readers=sorted(chosen))
        self._reading = chosen

    def _list_wanted(self) -> set[str]:
        """Return the peers that this gateway has something to tell."""
        members = self.knowledge.members.values()
        chosen = set(self.fleet.sharing.list_group()) | self._choose_relays()
        wanted = {
            record.peer
            for record in members
            if self._is_small() or record.member in chosen
        }
        if not self.knowledge.config.version:
            wanted.update(self.seeds)
        return wanted - {self.own.peer}

    def _choose_relays(self) -> set[MemberId]:
        """Return the gateways that pass this one's readings on."""
        if self._is_small() or not self.is_reader():
            return set()
        groups = self.fleet.sharing.list_groups()
        return self.relays.choose(
            groups,
            set(self._links.connected),
            self.clock(),
        )

    def _is_small(self) -> bool:
        return len(self.knowledge.members) <= MESH_LIMIT

    def _greet(self, member: MemberId) -> None:
        """Tell a gateway that has just been reached all that is known."""
        if not self.knowledge.config.version:
            return
        if not self._is_small() and self._is_known(member):
            return
        for topic in Topic:
            reading = self.knowledge.tell(topic)
            message = CompressedReading.compress(self.own.member, reading)
            self._links.send(member, message)

    def _receive(self, member: MemberId, message: Message) -> None:
        match message:
            case Hello(_, address):
                self._welcome(member, address)
            case CompressedReading(reader):
                fresh = self._take_reading(reader, message.decompress())
                if fresh and reader == member:
                    self._relay(message)
            case ServerLoads(counts):
                self.fleet.occupancy.learn(member, counts, self.clock())
            case ServerReport():
                self.fleet.note_probe(message, self.clock())

    def _welcome(self, member: MemberId, address: str) -> None:
        if self._group is None or self._is_known(member):
            return
        if self.knowledge.config.version:
            self._links.connect_back(address, self._group)

    def _take_reading(self, reader: MemberId, reading: Reading) -> bool:
        """Take in a reading; return whether it shows its reader alive."""
        known_s = self.knowledge.freshness[reading.topic].newest_s
        fresh = reading.store_s > known_s - LOOK_S
        if fresh:
            self.readers.hear(reader, self.clock())
        self.take(reading)
        return fresh

    def _relay(self, message: CompressedReading) -> None:
        """Pass a reader's word on to the group, unless it does so itself.

        What the other reader has told already goes too: it shows the group
        that this reader is alive.
        """
        group = self.fleet.sharing.list_group()
        reader = message.reader
        if self._is_small() or reader in group or not self._is_known(reader):
            return
        self._send_group(message)

    def _is_known(self, member: MemberId) -> bool:
        members = self.knowledge.members.values()
        return any(record.member == member for record in members)

    def _send_group(self, message: Message) -> None:
        for member in self.fleet.sharing.list_group():
            self._links.send(member, message)

    async def _leave_guests(self) -> None:
        while True:
            await anyio.sleep(GUEST_S)
            self._links.close_unlisted()

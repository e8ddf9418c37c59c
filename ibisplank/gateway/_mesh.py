"""Streams between gateways: readings, probes, and loads within a group."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import (
    Hello,
    Message,
    PackedReading,
    PeerServer,
    ServerLoads,
    ServerReport,
)
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._publisher import LoadPublisher
from ibisplank.gateway._readers import Readers
from ibisplank.gateway._relays import Relays
from ibisplank.gateway._updates import MemberRecord
from ibisplank.ids import MemberId
from ibisplank.process import Links, log_event
from ibisplank.store import Reading, Topic

#: Up to so many gateways reach each other directly and tell each other of
#: servers in all zones. Where there are more, each group has servers enough
#: of its own, and readings of the store come through relays.
MAX_FULL_MESH = 24
#: How often the streams are compared with the members.
MEMBER_CHECK_S = 0.5
#: How often processes that are not members yet are left.
GUEST_CHECK_S = 5.0


@dataclass(slots=True)
class Mesh:
    """Part of one gateway in the exchange.

    Parameters
    ----------
    own : MemberRecord
        How the others reach this gateway.
    seeds : tuple of str
        Addresses to ask while nothing is known.
    on_reading : callable
        Receives the readings of others.
    """

    own: MemberRecord
    seeds: tuple[str, ...]
    cluster: ClusterState
    fleet: Fleet
    on_reading: Callable[[Reading], None]
    clock: Callable[[], float]
    readers: Readers = field(init=False)
    relays: Relays = field(init=False)
    _links: Links = field(init=False)
    _publisher: LoadPublisher = field(init=False)
    _readers_chosen: set[MemberId] = field(default_factory=set)
    _group: TaskGroup | None = None

    def __post_init__(self) -> None:
        """Make what depends on the address."""
        self.readers = Readers(self.own.member)
        self.relays = Relays(self.own.member)
        hello = Hello(self.own.member, self.own.peer)
        self._links = Links(hello, self._send_snapshots)
        self._publisher = LoadPublisher(
            self.fleet, self._send_group, self.clock
        )
        self.fleet.on_start = self._publisher.publish
        self.fleet.on_end = self._publisher.record_end

    def is_reader(self) -> bool:
        """Tell whether this gateway reads for the others."""
        return self.own.member in self._readers_chosen

    async def run(self) -> None:
        """Exchange with the other gateways, for ever."""
        host, _, port = self.own.peer.rpartition(':')
        server = PeerServer(self.own.member, self._receive)
        await server.start(host, int(port))
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                group.start_soon(self._publisher.run)
                group.start_soon(self._disconnect_guests)
                await self._follow_members(group)
        finally:
            await server.stop()

    def update_groups(self) -> None:
        """Work out groups and readers anew, once any members are known."""
        if self.cluster.rows[Topic.MEMBERS].version:
            self.fleet.partition.update_members(self.cluster.members.values())
            self._choose_readers()

    def send_reading(self, reading: Reading) -> None:
        """Pass on what this gateway has read, if others rely on it."""
        if self.is_reader():
            self._links.send_all(PackedReading.pack(self.own.member, reading))

    def send_report(self, report: ServerReport) -> None:
        """Tell the other gateways what a probe showed, or the group."""
        if self._is_full_mesh():
            self._links.send_all(report)
            return
        self._send_group(report)

    def list_alive(self) -> frozenset[MemberId]:
        """Return the gateways that are not known to be gone."""
        now = self.clock()
        group = self.fleet.partition.list_group()
        known = {each.member for each in self.cluster.members.values()}
        silent = {
            member
            for member in group - {self.own.member}
            if not self.fleet.occupancy.is_alive(member, now)
        }
        return frozenset((known | {self.own.member}) - silent)

    async def _follow_members(self, group: TaskGroup) -> None:
        while True:
            self.update_groups()
            self._links.want(self._list_wanted(), group)
            await anyio.sleep(MEMBER_CHECK_S)

    def _choose_readers(self) -> None:
        members = {**self.cluster.members, '': self.own}
        unique = {each.member: each for each in members.values()}
        chosen = self.readers.choose(unique.values(), self.clock())
        if chosen != self._readers_chosen:
            log_event('readers chosen', readers=sorted(chosen))
        self._readers_chosen = chosen

    def _list_wanted(self) -> set[str]:
        """Return the peers that this gateway has something to tell."""
        members = self.cluster.members.values()
        chosen = set(self.fleet.partition.list_group()) | self._choose_relays()
        wanted = {
            record.peer
            for record in members
            if self._is_full_mesh() or record.member in chosen
        }
        if not self.cluster.config.version:
            wanted.update(self.seeds)
        return wanted - {self.own.peer}

    def _choose_relays(self) -> set[MemberId]:
        """Return the gateways that pass this one's readings on."""
        if self._is_full_mesh() or not self.is_reader():
            return set()
        groups = self.fleet.partition.list_groups()
        return self.relays.choose(
            groups,
            set(self._links.reached),
            self.clock(),
        )

    def _is_full_mesh(self) -> bool:
        return len(self.cluster.members) <= MAX_FULL_MESH

    def _send_snapshots(self, member: MemberId) -> None:
        """Tell a gateway that has just been reached all that is known."""
        if not self.cluster.config.version:
            return
        if not self._is_full_mesh() and self._is_known(member):
            return
        for topic in Topic:
            reading = self.cluster.make_snapshot(topic)
            message = PackedReading.pack(self.own.member, reading)
            self._links.send(member, message)

    def _receive(self, member: MemberId, message: Message) -> None:
        match message:
            case Hello(_, address):
                self._accept_guest(member, address)
            case PackedReading(reader):
                fresh = self._apply_reading(reader, message.unpack())
                if fresh and reader == member:
                    self._relay_to_group(message)
            case ServerLoads(counts):
                self.fleet.occupancy.update(member, counts, self.clock())
            case ServerReport():
                self.fleet.record_probe(message, self.clock())

    def _accept_guest(self, member: MemberId, address: str) -> None:
        if self._group is None or self._is_known(member):
            return
        if self.cluster.config.version:
            self._links.welcome(address, self._group)

    def _apply_reading(self, reader: MemberId, reading: Reading) -> bool:
        """Take in a reading; return whether it shows its reader alive."""
        known_s = self.cluster.freshness[reading.topic].newest_s
        fresh = reading.store_s > known_s - MEMBER_CHECK_S
        if fresh:
            self.readers.record_reading(reader, self.clock())
        self.on_reading(reading)
        return fresh

    def _relay_to_group(self, message: PackedReading) -> None:
        """Pass a reader's word on to the group, unless it does so itself.

        What the other reader has told already goes too: it shows the group
        that this reader is alive.
        """
        group = self.fleet.partition.list_group()
        reader = message.reader
        if (
            self._is_full_mesh()
            or reader in group
            or not self._is_known(reader)
        ):
            return
        self._send_group(message)

    def _is_known(self, member: MemberId) -> bool:
        members = self.cluster.members.values()
        return any(record.member == member for record in members)

    def _send_group(self, message: Message) -> None:
        for member in self.fleet.partition.list_group():
            self._links.send(member, message)

    async def _disconnect_guests(self) -> None:
        while True:
            await anyio.sleep(GUEST_CHECK_S)
            self._links.dismiss()

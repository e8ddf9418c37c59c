"""Exchange of table updates, probe reports and loads between gateways."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import (
    CallCancel,
    CallCrashes,
    CallRequest,
    CompressedTableUpdate,
    Hello,
    Message,
    PathState,
    PeerServer,
    ServerLeaving,
    ServerLoads,
    ServerReport,
    TokenReply,
    TokenRequest,
    UnknownMessage,
)
from ibisplank.gateway._cluster import ClusterState
from ibisplank.gateway._decoding import MemberRecord
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._handover import Handover
from ibisplank.gateway._handoverserver import HandoverServer
from ibisplank.gateway._model import ServerKey
from ibisplank.gateway._partition import MAX_FULL_MESH
from ibisplank.gateway._pathexchange import PathExchange
from ibisplank.gateway._publisher import LoadPublisher
from ibisplank.gateway._readers import Readers
from ibisplank.gateway._relays import Relays
from ibisplank.gateway._suspects import SuspectCalls
from ibisplank.gateway._unknown import UnknownMessages
from ibisplank.ids import MemberId
from ibisplank.process import PeerLinks, log_event
from ibisplank.rendezvous import choose_by_hash
from ibisplank.store import TableUpdate, Topic

#: Interval at which the streams are adjusted to the members.
MEMBER_CHECK_S = 0.5
#: Interval at which streams to processes that are not members are closed.
UNLISTED_CHECK_S = 5.0


@dataclass(slots=True)
class Mesh:
    """Streams of one gateway to and from the others.

    Parameters
    ----------
    own : MemberRecord
        Address of this gateway.
    seeds : tuple of str
        Peer addresses to connect to while there is no config.
    on_update : callable
        Called with each update from another gateway.
    """

    own: MemberRecord
    seeds: tuple[str, ...]
    cluster: ClusterState
    fleet: Fleet
    suspects: SuspectCalls
    handover: Handover
    handover_server: HandoverServer
    on_update: Callable[[TableUpdate], None]
    clock: Callable[[], float]
    readers: Readers = field(init=False)
    relays: Relays = field(init=False)
    paths: PathExchange = field(init=False)
    unknown: UnknownMessages = field(default_factory=UnknownMessages)
    _links: PeerLinks = field(init=False)
    _publisher: LoadPublisher = field(init=False)
    _reader_ids: set[MemberId] = field(default_factory=set)
    _group: TaskGroup | None = None

    def __post_init__(self) -> None:
        """Create the parts that depend on the address."""
        self.readers = Readers(self.own.member)
        self.relays = Relays(self.own.member)
        hello = Hello(self.own.member, self.own.peer)
        self._links = PeerLinks(
            hello, self._send_snapshots, faults=self.cluster.faults
        )
        self._publisher = LoadPublisher(
            self.fleet, self._send_group, self.clock
        )
        self.fleet.tokens.send = self._links.send
        self.suspects.send = self._links.send
        self.fleet.list_connected = lambda: self._links.connected
        self.paths = PathExchange(
            self.fleet, self.handover, self.handover_server, self._links
        )
        self.suspects.send_all = self._links.send_all
        self.fleet.on_leaving = self._send_leaving
        self.fleet.on_start = self._publisher.publish
        self.fleet.on_end = self._publisher.record_end

    def is_reader(self) -> bool:
        """Return whether this gateway reads the store for the others."""
        return self.own.member in self._reader_ids

    async def run(self) -> None:
        """Exchange messages with the other gateways until cancelled."""
        host, _, port = self.own.peer.rpartition(':')
        server = PeerServer(
            self.own.member, self._receive, faults=self.cluster.faults
        )
        self.handover_server.reply = server.reply
        await server.start(host, int(port))
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                group.start_soon(self._publisher.run)
                group.start_soon(self._close_unlisted)
                await self._follow_members(group)
        finally:
            await server.stop()

    def update_groups(self) -> None:
        """Update groups and readers if the members have been read."""
        if self.cluster.rows[Topic.MEMBERS].version:
            self.fleet.partition.update_members(self.cluster.members.values())
            self._choose_readers()

    def send_update(self, update: TableUpdate) -> None:
        """Send an update to the others if this gateway is a reader."""
        if self.is_reader():
            self._links.send_all(
                CompressedTableUpdate.compress(self.own.member, update)
            )

    def send_report(self, report: ServerReport) -> None:
        """Send a probe report to the full mesh, or else to the group."""
        if self._is_full_mesh():
            self._links.send_all(report)
            return
        self._send_group(report)

    def list_alive(self) -> frozenset[MemberId]:
        """Return the gateways that are not known to be down.

        Only failures in this gateway's group are noticed, by missing counts.
        """
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
            self._links.set_addresses(self._list_wanted(), group)
            await anyio.sleep(MEMBER_CHECK_S)

    def _choose_readers(self) -> None:
        members = {**self.cluster.members, '': self.own}
        unique = {each.member: each for each in members.values()}
        chosen = self.readers.choose(unique.values(), self.clock())
        if chosen != self._reader_ids:
            log_event('readers chosen', readers=sorted(chosen))
        self._reader_ids = chosen

    def _list_wanted(self) -> set[str]:
        """Return the addresses of the peers to keep a stream to."""
        members = self.cluster.members.values()
        chosen = set(self.fleet.partition.list_group())
        chosen |= self._choose_relays() | self._choose_uplinks()
        chosen |= self.paths.choose_helpers()
        wanted = {
            record.peer
            for record in members
            if self._is_full_mesh() or record.member in chosen
        }
        if not self.cluster.config.version:
            wanted.update(self.seeds)
        return wanted - {self.own.peer}

    def _choose_relays(self) -> set[MemberId]:
        """Return the gateways that relay the updates of this one."""
        if self._is_full_mesh() or not self.is_reader():
            return set()
        groups = self.fleet.partition.list_groups()
        return self.relays.choose(
            groups,
            set(self._links.connected),
            self.clock(),
        )

    def _choose_uplinks(self) -> set[MemberId]:
        """Return the readers that this gateway connects its group to.

        Relays carry messages from readers to the groups only.
        """
        if self._is_full_mesh():
            return set()
        group = self.fleet.partition.list_group() & self.list_alive()
        return {
            reader
            for reader in self._reader_ids
            if choose_by_hash(f'uplink/{reader}', group) == self.own.member
        }

    def _is_full_mesh(self) -> bool:
        return len(self.cluster.members) <= MAX_FULL_MESH

    def _send_snapshots(self, member: MemberId) -> None:
        """Send what is known to a gateway that has just been connected.

        Without a full mesh, members get the rows from readers and relays.
        """
        for evidence in self.suspects.list_messages():
            self._links.send(member, evidence)
        self.paths.send_states(member)
        for key in self.cluster.directory.list_leaving():
            self._links.send(member, ServerLeaving(*key))
        if not self.cluster.config.version:
            return
        if not self._is_full_mesh() and self._is_known(member):
            return
        for topic in Topic:
            update = self.cluster.make_snapshot(topic)
            message = CompressedTableUpdate.compress(self.own.member, update)
            self._links.send(member, message)

    def _receive(self, member: MemberId, message: Message) -> None:
        match message:
            case Hello(_, address):
                self._connect_back(member, address)
            case CompressedTableUpdate():
                self._receive_update(member, message)
            case ServerLoads(counts):
                self.fleet.occupancy.update(member, counts, self.clock())
            case ServerReport():
                self.fleet.record_probe(message, member, self.clock())
            case CallCrashes():
                self.suspects.receive(member, message)
            case PathState() | CallRequest() | CallCancel():
                if self._group is not None:
                    self.paths.receive(member, message, self._group)
            case ServerLeaving(server, born_ms):
                self.fleet.record_leaving((server, born_ms), member)
            case TokenRequest() | TokenReply():
                self._receive_token(member, message)
            case UnknownMessage(reason):
                self.unknown.record(member, reason)

    def _receive_token(
        self, member: MemberId, message: TokenRequest | TokenReply
    ) -> None:
        match message:
            case TokenRequest(server, number):
                wait_s = self.fleet.grant_token(server, self.clock())
                self._links.send(member, TokenReply(number, wait_s))
            case TokenReply():
                self.fleet.tokens.record_reply(message)

    def _send_leaving(self, key: ServerKey) -> None:
        """Tell the others, which forward it to those not connected here."""
        self._links.send_all(ServerLeaving(*key))

    def _connect_back(self, member: MemberId, address: str) -> None:
        if self._group is None or self._is_known(member):
            return
        if self.cluster.config.version:
            self._links.connect_back(address, self._group)

    def _receive_update(
        self, member: MemberId, message: CompressedTableUpdate
    ) -> None:
        """Apply an update, and relay it if it shows that its reader is up.

        It does unless it is older than the newest one by `MEMBER_CHECK_S` or
        more. A smaller difference is normal, as the newest one may be from the
        other reader.
        """
        try:
            update = message.decompress()
        except ValueError as error:
            self.unknown.record(member, str(error))
            return
        freshness = self.cluster.freshness[update.topic]
        fresh = freshness.is_recent(update.store_s, update.era, MEMBER_CHECK_S)
        if fresh:
            self.readers.record_update(message.reader, self.clock())
        self.on_update(update)
        if fresh and message.reader == member:
            self._relay_to_group(message)

    def _relay_to_group(self, message: CompressedTableUpdate) -> None:
        """Relay an update to the group, unless its reader is in the group.

        Updates that are already known from the other reader are relayed as
        well: they show the group that this reader is up.
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

    async def _close_unlisted(self) -> None:
        while True:
            await anyio.sleep(UNLISTED_CHECK_S)
            self._links.close_unlisted()

"""Several members on one virtual clock, with every fault of the network."""

import random
from dataclasses import dataclass, field

from ibisplank.connection import (
    AnswerReport,
    Beat,
    Message,
    PermitMessage,
    SlotChoice,
    Trust,
)
from ibisplank.ids import (
    CallId,
    CustomerId,
    MemberId,
    Priority,
    ServerId,
    ServiceId,
    StartId,
    VmId,
    ZoneId,
)
from ibisplank.process import (
    GUARD_S,
    Action,
    Assign,
    Broadcast,
    Deliver,
    Lease,
    Ledger,
    Membership,
    Need,
    Permit,
    Permits,
)
from ibisplank.version import Member, Roster, Server

SERVICE = ServiceId('s')
SLOTS = 2
CUSTOMER = CustomerId('c')
LIMIT = 5
ANY = ServerId('')


@dataclass
class Node:
    """One member's decisions."""

    membership: Membership
    ledger: Ledger
    paused: bool = False
    alive: bool = True
    assigned: list[Lease] = field(default_factory=list)
    running: dict[str, Lease] = field(default_factory=dict)
    permits: list[tuple[Permit, float]] = field(default_factory=list)
    shares: Permits = field(default_factory=lambda: Permits(MemberId('')))


@dataclass(frozen=True)
class Parcel:
    """A message on its way."""

    sender: MemberId
    receiver: MemberId
    message: Message


class World:
    """Members, their messages, and what backend servers run."""

    def __init__(self, members: int, servers: int) -> None:
        self.now = 100.0
        self.table = Roster()
        self.nodes: dict[MemberId, Node] = {}
        self.parcels: list[Parcel] = []
        self.calls = 0
        self.runs = 0
        self.admitted = 0
        self.servers = tuple(
            Server(
                ServerId(f'b{number}'),
                VmId(f'vm-b{number}'),
                ZoneId('z'),
                SERVICE,
                '127.0.0.1:1',
                SLOTS,
            )
            for number in range(servers)
        )
        for _ in range(members):
            self.join()

    def join(self, *, table: bool = True) -> None:
        """Start a member that joins, or that only knows the roster."""
        name = MemberId(f'm{len(self.nodes)}.0')
        node = Node(
            Membership(name),
            Ledger(name, ZoneId('z'), random.Random(name)),
        )
        node.shares = Permits(name)
        node.shares.learn_limits({CUSTOMER: (LIMIT, 1e9)}, self.now)
        self.nodes[name] = node
        self.perform(name, node.ledger.learn_servers(self.servers, self.now))
        for server in self.servers:
            told = Trust(server.server, StartId('x'), SLOTS)
            node.ledger.servers.trust[server.server].hear(told, name)
        self.read_table(name)
        if table:
            self.change(name, frozenset(), joins=True)

    def change(
        self,
        name: MemberId,
        leaving: frozenset[MemberId],
        *,
        joins: bool = False,
    ) -> None:
        """Let a member replace the roster, if it has the latest."""
        membership = self.nodes[name].membership
        membership.find_fence_time(self.now)
        vm = VmId(name.rpartition('.')[0])
        me = Member(name, vm, ZoneId('z'), '', '')
        new = membership.propose(
            (me,) if joins else (),
            leaving,
            membership.list_fenced_epochs(self.now - GUARD_S),
        )
        if new is not None and self.table.epoch == membership.roster.epoch:
            self.table = new
            self.read_table(name)

    def read_table(self, name: MemberId) -> None:
        """Let a member take in the roster of the table."""
        node = self.nodes[name]
        node.membership.learn_roster(self.table, self.now)
        self.tell_roster(name)

    def tell_roster(self, name: MemberId) -> None:
        """Pass roster, fence and rights to the ledger."""
        node = self.nodes[name]
        fence = node.membership.find_fence_time(self.now)
        roster = node.membership.roster
        actions = node.ledger.learn_roster(roster, fence, self.now)
        rights = node.membership.find_rights(self.now)
        actions += node.ledger.extend_rights(roster.epoch, rights, self.now)
        node.shares.learn_roster(roster, fence, self.now)
        node.shares.rights_until = rights
        self.perform(name, actions)

    def beat(self, name: MemberId) -> None:
        """Send heartbeats to all."""
        node = self.nodes[name]
        for other in self.nodes:
            if other != name:
                beat = node.membership.make_heartbeat(other, 0, 0, self.now)
                self.parcels.append(Parcel(name, other, beat))

    def request(
        self,
        name: MemberId,
        patience_s: float,
        only: ServerId = ANY,
        avoid: ServerId = ANY,
    ) -> None:
        """Let a member need a slot, perhaps not of every server."""
        self.calls += 1
        need = Need(
            CallId(self.calls),
            SERVICE,
            CUSTOMER,
            Priority.NORMAL,
            self.now + patience_s,
            SlotChoice(only, avoid),
        )
        node = self.nodes[name]
        self.perform(name, node.ledger.request(need, self.now))

    def perform(self, name: MemberId, actions: list[Action]) -> None:
        """Do what a ledger says."""
        for action in actions:
            match action:
                case Assign():
                    self.nodes[name].assigned.append(action.lease)
                case Deliver():
                    parcel = Parcel(name, action.member, action.message)
                    self.parcels.append(parcel)
                case Broadcast():
                    for other in self.nodes:
                        if other != name:
                            parcel = Parcel(name, other, action.message)
                            self.parcels.append(parcel)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver one message; keep a copy to deliver again."""
        if not self.parcels:
            return
        place = index % len(self.parcels)
        parcel = self.parcels[place]
        node = self.nodes.get(parcel.receiver)
        if node is not None and node.alive and node.paused:
            self.parcels.append(self.parcels.pop(place))
            return
        if not keep:
            self.parcels.pop(place)
        if node is None or not node.alive:
            return
        if isinstance(parcel.message, Beat):
            node.membership.receive(parcel.sender, parcel.message, self.now)
            self.tell_roster(parcel.receiver)
            return
        if isinstance(parcel.message, PermitMessage):
            replies = node.shares.receive(
                parcel.sender,
                parcel.message,
                self.now,
            )
            self.perform(parcel.receiver, list(replies))
            return
        actions = node.ledger.receive(parcel.sender, parcel.message, self.now)
        self.perform(parcel.receiver, actions)

    def deliver_all(self) -> None:
        """Deliver messages in order until only paused members have any."""
        while True:
            paused = {n for n, node in self.nodes.items() if node.paused}
            waiting = [each.receiver not in paused for each in self.parcels]
            if not any(waiting):
                return
            self.deliver(waiting.index(True))

    def send(self, name: MemberId) -> None:
        """Let a member send the calls that have a slot."""
        node = self.nodes[name]
        for lease in node.assigned:
            if node.ledger.may_send(lease, self.now):
                self.runs += 1
                node.running[lease.loan] = lease
                continue
            self.perform(name, node.ledger.finish(lease, None, self.now))
        node.assigned = []

    def finish(self, name: MemberId) -> None:
        """Let all running calls of a member end."""
        node = self.nodes[name]
        report = AnswerReport(
            ok=True,
            latency_s=0.001,
            start=StartId('x'),
        )
        leases = list(node.running.values())
        node.running = {}
        for lease in leases:
            self.perform(name, node.ledger.finish(lease, report, self.now))

    def admit(self, name: MemberId, patience_s: float) -> None:
        """Let a member admit a call, or ask for permits."""
        node = self.nodes[name]
        deadline = self.now + patience_s
        permit = node.shares.admit(CUSTOMER, deadline, self.now)
        if permit is None:
            self.perform(name, list(node.shares.ask(CUSTOMER, self.now)))
            return
        self.admitted += 1
        node.permits.append((permit, deadline))

    def end_call(self, name: MemberId) -> None:
        """Let a member end its oldest admitted call."""
        node = self.nodes[name]
        if node.permits:
            permit, _ = node.permits.pop(0)
            node.shares.release(CUSTOMER, permit)

    def count_in_flight(self) -> int:
        """Return how many admitted calls have not reached their deadline."""
        return sum(
            deadline > self.now
            for node in self.nodes.values()
            for _, deadline in node.permits
        )

    def tick(self, name: MemberId) -> None:
        """Let a member do what is due."""
        node = self.nodes[name]
        self.tell_roster(name)
        for permit, deadline in list(node.permits):
            if deadline <= self.now:
                node.permits.remove((permit, deadline))
                node.shares.release(CUSTOMER, permit)
        self.perform(name, list(node.shares.tick(self.now)))
        self.perform(name, node.ledger.tick(self.now))

    def advance(self, seconds: float) -> None:
        """Let time pass; backend servers end calls at their deadlines."""
        self.now += seconds
        for node in self.nodes.values():
            for loan, lease in list(node.running.items()):
                if lease.until <= self.now:
                    node.running.pop(loan)

    def find_shared(self) -> list[tuple[ServerId, int]]:
        """Return the slots that run more than one call."""
        used = [
            (lease.server, lease.index)
            for node in self.nodes.values()
            for lease in node.running.values()
        ]
        return [slot for slot in used if used.count(slot) > 1]

    def find_overruns(self) -> list[str]:
        """Return the servers that run more calls than they have slots."""
        counts: dict[str, int] = {}
        for node in self.nodes.values():
            for lease in node.running.values():
                counts[lease.server] = counts.get(lease.server, 0) + 1
        return [server for server, count in counts.items() if count > SLOTS]


def settle(world: World) -> None:
    """Let all messages arrive and all members act, several times."""
    for _ in range(4):
        for name, node in world.nodes.items():
            if node.alive and not node.paused:
                world.read_table(name)
                world.beat(name)
                world.tick(name)
        world.deliver_all()

"""Model of several members on a virtual clock with a faulty network."""

import random
from dataclasses import dataclass, field

from ibisplank.connection import (
    AttemptReport,
    EarnedSlots,
    Heartbeat,
    Message,
    PermitMessage,
    SlotConstraint,
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
    Membership,
    Permit,
    Permits,
    SlotDemand,
    SlotScheduler,
)
from ibisplank.version import Member, Roster, Server

SERVICE = ServiceId('s')
SLOTS = 2
CUSTOMER = CustomerId('c')
LIMIT = 5
ANY = ServerId('')


@dataclass
class Node:
    """State of one member.

    Attributes
    ----------
    paused : bool
        Whether the member is suspended and handles no messages.
    assigned : list of Lease
        Slots whose calls have not been sent yet.
    running : dict
        Slots that run a call, by loan id.
    admitted_permits : list of tuple
        Permit and deadline of each admitted call.
    """

    membership: Membership
    scheduler: SlotScheduler
    paused: bool = False
    alive: bool = True
    assigned: list[Lease] = field(default_factory=list)
    running: dict[str, Lease] = field(default_factory=dict)
    admitted_permits: list[tuple[Permit, float]] = field(default_factory=list)
    permits: Permits = field(default_factory=lambda: Permits(MemberId('')))


@dataclass(frozen=True)
class Packet:
    """Message in transit."""

    sender: MemberId
    receiver: MemberId
    message: Message


class World:
    """Members, the messages in transit, and the calls on backend servers.

    Attributes
    ----------
    table : Roster
        Roster that the platform's table holds.
    calls : int
        Number of calls that have requested a slot.
    runs : int
        Number of calls sent to a backend server.
    admitted : int
        Number of calls admitted within the customer's limits.
    """

    def __init__(self, members: int, servers: int) -> None:
        self.now = 100.0
        self.table = Roster()
        self.nodes: dict[MemberId, Node] = {}
        self.packets: list[Packet] = []
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
        """Start a member.

        Parameters
        ----------
        table : bool
            Whether it joins the roster in the table, or only reads it.
        """
        name = MemberId(f'm{len(self.nodes)}.0')
        node = Node(
            Membership(name),
            SlotScheduler(name, ZoneId('z'), random.Random(name)),
        )
        node.permits = Permits(name)
        node.permits.update_limits({CUSTOMER: (LIMIT, 1e9)}, self.now)
        self.nodes[name] = node
        self.perform(
            name,
            node.scheduler.update_servers(self.servers, self.now),
        )
        for server in self.servers:
            remote = EarnedSlots(server.server, StartId('x'), SLOTS)
            node.scheduler.servers.health[server.server].merge(remote, name)
        self.read_table(name)
        if table:
            self.replace_roster(name, frozenset(), joins=True)

    def replace_roster(
        self,
        name: MemberId,
        leaving: frozenset[MemberId],
        *,
        joins: bool = False,
    ) -> None:
        """Let a member replace the roster in the table if it has the latest."""
        membership = self.nodes[name].membership
        membership.find_fence_time(self.now)
        vm = VmId(name.rpartition('.')[0])
        own_member = Member(name, vm, ZoneId('z'), '', '')
        new = membership.propose_roster(
            (own_member,) if joins else (),
            leaving,
            membership.list_fenced_epochs(self.now - GUARD_S),
        )
        if new is not None and self.table.epoch == membership.roster.epoch:
            self.table = new
            self.read_table(name)

    def read_table(self, name: MemberId) -> None:
        """Let a member read the roster from the table."""
        node = self.nodes[name]
        node.membership.update_roster(self.table, self.now)
        self.apply_membership(name)

    def apply_membership(self, name: MemberId) -> None:
        """Pass roster, fence time and lease to scheduler and permits."""
        node = self.nodes[name]
        fence = node.membership.find_fence_time(self.now)
        roster = node.membership.roster
        actions = node.scheduler.update_roster(roster, fence, self.now)
        until = node.membership.find_dispatch_lease_end(self.now)
        actions += node.scheduler.extend_dispatch_lease(
            roster.epoch, until, self.now
        )
        node.permits.update_roster(roster, fence, self.now)
        node.permits.dispatch_lease_until = until
        self.perform(name, actions)

    def send_heartbeats(self, name: MemberId) -> None:
        """Send a member's heartbeats to all others."""
        node = self.nodes[name]
        for other in self.nodes:
            if other != name:
                heartbeat = node.membership.make_heartbeat(
                    other, 0, 0, self.now
                )
                self.packets.append(Packet(name, other, heartbeat))

    def request(
        self,
        name: MemberId,
        timeout_s: float,
        only: ServerId = ANY,
        avoid: ServerId = ANY,
    ) -> None:
        """Let a member request a slot, optionally only of some servers."""
        self.calls += 1
        demand = SlotDemand(
            CallId(self.calls),
            SERVICE,
            CUSTOMER,
            Priority.NORMAL,
            self.now + timeout_s,
            SlotConstraint(only, avoid),
        )
        node = self.nodes[name]
        self.perform(name, node.scheduler.request(demand, self.now))

    def perform(self, name: MemberId, actions: list[Action]) -> None:
        """Carry out the actions that a member has returned."""
        for action in actions:
            match action:
                case Assign():
                    self.nodes[name].assigned.append(action.lease)
                case Deliver():
                    packet = Packet(name, action.member, action.message)
                    self.packets.append(packet)
                case Broadcast():
                    for other in self.nodes:
                        if other != name:
                            packet = Packet(name, other, action.message)
                            self.packets.append(packet)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver one message, and keep a copy to deliver again if asked to.

        A message for a paused member moves to the end of the queue.
        """
        if not self.packets:
            return
        position = index % len(self.packets)
        packet = self.packets[position]
        node = self.nodes.get(packet.receiver)
        if node is not None and node.alive and node.paused:
            self.packets.append(self.packets.pop(position))
            return
        if not keep:
            self.packets.pop(position)
        if node is None or not node.alive:
            return
        if isinstance(packet.message, Heartbeat):
            node.membership.receive(packet.sender, packet.message, self.now)
            self.apply_membership(packet.receiver)
            return
        if isinstance(packet.message, PermitMessage):
            replies = node.permits.receive(
                packet.sender,
                packet.message,
                self.now,
            )
            self.perform(packet.receiver, list(replies))
            return
        actions = node.scheduler.receive(
            packet.sender,
            packet.message,
            self.now,
        )
        self.perform(packet.receiver, actions)

    def deliver_all(self) -> None:
        """Deliver messages in order, except those for paused members."""
        while True:
            paused = {n for n, node in self.nodes.items() if node.paused}
            waiting = [each.receiver not in paused for each in self.packets]
            if not any(waiting):
                return
            self.deliver(waiting.index(True))

    def send(self, name: MemberId) -> None:
        """Let a member send the calls that were assigned a slot."""
        node = self.nodes[name]
        for lease in node.assigned:
            if node.scheduler.may_send(lease, self.now):
                self.runs += 1
                node.running[lease.loan] = lease
                continue
            self.perform(name, node.scheduler.release(lease, None, self.now))
        node.assigned = []

    def finish(self, name: MemberId) -> None:
        """End all running calls of a member successfully."""
        node = self.nodes[name]
        report = AttemptReport(
            ok=True,
            latency_s=0.001,
            start=StartId('x'),
        )
        leases = list(node.running.values())
        node.running = {}
        for lease in leases:
            self.perform(name, node.scheduler.release(lease, report, self.now))

    def admit(self, name: MemberId, timeout_s: float) -> None:
        """Let a member admit a call, or ask others for permits if it cannot."""
        node = self.nodes[name]
        deadline = self.now + timeout_s
        permit = node.permits.admit(CUSTOMER, deadline, self.now)
        if permit is None:
            self.perform(name, list(node.permits.request(CUSTOMER, self.now)))
            return
        self.admitted += 1
        node.admitted_permits.append((permit, deadline))

    def end_call(self, name: MemberId) -> None:
        """End the oldest admitted call of a member."""
        node = self.nodes[name]
        if node.admitted_permits:
            permit, _ = node.admitted_permits.pop(0)
            node.permits.release(CUSTOMER, permit)

    def count_in_flight(self) -> int:
        """Return the number of admitted calls before their deadline."""
        return sum(
            deadline > self.now
            for node in self.nodes.values()
            for _, deadline in node.admitted_permits
        )

    def tick(self, name: MemberId) -> None:
        """Run a member's periodic work; release permits after deadlines."""
        node = self.nodes[name]
        self.apply_membership(name)
        for permit, deadline in list(node.admitted_permits):
            if deadline <= self.now:
                node.admitted_permits.remove((permit, deadline))
                node.permits.release(CUSTOMER, permit)
        self.perform(name, list(node.permits.tick(self.now)))
        self.perform(name, node.scheduler.tick(self.now))

    def advance(self, seconds: float) -> None:
        """Advance the clock; backend servers end calls at their deadlines."""
        self.now += seconds
        for node in self.nodes.values():
            for loan, lease in list(node.running.items()):
                if lease.until <= self.now:
                    node.running.pop(loan)

    def find_shared_slots(self) -> list[tuple[ServerId, int]]:
        """Return the slots that run more than one call, once for each call."""
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
    """Let all live members act and deliver all messages, several times."""
    for _ in range(4):
        for name, node in world.nodes.items():
            if node.alive and not node.paused:
                world.read_table(name)
                world.send_heartbeats(name)
                world.tick(name)
        world.deliver_all()

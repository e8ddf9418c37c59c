"""Scheduling of slots for calls: own slots, and loans among members."""

import random
from collections.abc import Iterable

from ibisplank.connection import (
    AttemptReport,
    EarnedSlots,
    IdleSlots,
    Message,
    ServerUpdate,
    SlotGrant,
    SlotHandover,
    SlotRequest,
    SlotRequestCancel,
    SlotReturn,
)
from ibisplank.ids import CallId, LoanId, MemberId, ServiceId, ZoneId
from ibisplank.process.placing._actions import (
    Action,
    Assign,
    Broadcast,
    Deliver,
    Lease,
    Refuse,
)
from ibisplank.process.placing._borrower import Borrower, SlotDemand
from ibisplank.process.placing._holder import Granted, Holder
from ibisplank.process.placing._ownership import Ownership
from ibisplank.process.placing._queue import QueuedCall
from ibisplank.process.placing._servers import Servers
from ibisplank.version import MAX_DEADLINE_S, Roster, Server

#: Slot index recorded at the borrower of a slot. Answers on the slot count
#: towards the level of its server only at the slot's holder.
REMOTE_INDEX = -1
#: Interval of the check for what has expired.
SWEEP_INTERVAL_S = 0.05


class SlotScheduler:
    """Slot scheduling of one member.

    A state machine without I/O: methods return the actions to carry out.

    Parameters
    ----------
    member : MemberId
        Identifies this process as a member.
    zone : ZoneId
        Availability zone of this process.
    source : random.Random
        Random number generator that chooses among equal lenders.
    """

    def __init__(
        self,
        member: MemberId,
        zone: ZoneId,
        source: random.Random,
    ) -> None:
        self.servers = Servers(member)
        self.holder = Holder(member, self.servers.health, self.servers.blocked)
        self._member = member
        self._zone = zone
        self._ownership = Ownership(member)
        self._borrower = Borrower(zone, source)
        self._advertised: dict[ServiceId, int] = {}
        self._swept_at = 0.0

    @property
    def waiting(self) -> int:
        """Number of local calls that wait for a slot."""
        return len(self._borrower.pending)

    def request(self, demand: SlotDemand, now: float) -> list[Action]:
        """Request a slot for a local call."""
        queued = QueuedCall(
            demand.priority,
            demand.deadline,
            self._member,
            demand.call,
            demand.service,
            demand.customer,
            self._zone,
            demand.constraint,
        )
        self._borrower.add(demand, now)
        actions = self._deliver_grants(self.holder.enqueue(queued, now))
        if demand.call in self._borrower.pending:
            requests = self._borrower.ask_first(demand.call, now)
            actions.extend(Deliver(*request) for request in requests)
        return actions

    def withdraw(self, call: CallId) -> list[Action]:
        """Withdraw a local call that has no slot yet."""
        return self._resolve(call, None)

    def release(
        self,
        lease: Lease,
        report: AttemptReport | None,
        now: float,
    ) -> list[Action]:
        """Release a slot.

        Parameters
        ----------
        report : AttemptReport or None
            What the call showed of the server, None if it was not sent.
        """
        if lease.lender == self._member:
            return self._end_loan(lease.loan, report, now)
        release = Deliver(lease.lender, SlotReturn(lease.loan, report))
        server = self.servers.known.get(lease.server)
        if report is None or server is None:
            return [release]
        health = self.servers.health[lease.server]
        if health.record_answer(report, REMOTE_INDEX, server.slots, now):
            return [release, Broadcast(health.make_message(lease.server))]
        return [release]

    def may_send(self, lease: Lease, now: float) -> bool:
        """Tell whether a call may be sent on a leased slot now."""
        return now < lease.until and lease.server not in self.servers.blocked

    def receive(
        self,
        member: MemberId,
        message: Message,
        now: float,
    ) -> list[Action]:
        """Handle a message from another member."""
        match message:
            case SlotRequest():
                return self._receive_request(member, message, now)
            case SlotRequestCancel():
                self.holder.dequeue_any_service(member, message.call)
            case SlotGrant():
                return self._receive_grant(member, message, now)
            case SlotReturn():
                return self._end_loan(message.loan, message.report, now)
            case IdleSlots():
                self._borrower.update_idle(
                    message.service,
                    member,
                    message.count,
                )
            case SlotHandover():
                if self._ownership.receive_handover(member, message):
                    return self._grant_all(now)
            case EarnedSlots():
                health = self.servers.find_health(message.server)
                health.merge(message, member)
                return self._grant_all(now)
        return []

    def sync_member(self, member: MemberId) -> list[Action]:
        """Return the messages to a member that was just connected."""
        actions: list[Action] = [
            Deliver(member, message) for message in self.servers.make_messages()
        ]
        for holder, handover in self._ownership.list_handovers():
            if holder == member:
                actions.append(Deliver(holder, handover))
        return actions

    def update_servers(
        self,
        servers: Iterable[Server],
        now: float,
    ) -> list[Action]:
        """Replace the backend servers of the cell."""
        self.servers.update(servers)
        self._ownership.servers = self.servers.known
        return self._reconcile(now)

    def update_roster(
        self,
        roster: Roster,
        fence_at: float | None,
        now: float,
    ) -> list[Action]:
        """Apply a roster, unless it is older than the current one.

        Parameters
        ----------
        fence_at : float or None
            Time since which no past member can renew its dispatch lease, None
            while one may.
        """
        if not self._ownership.update_roster(roster, fence_at):
            return []
        self.holder.dispatch_lease_until = 0
        return self._reconcile(now)

    def extend_dispatch_lease(
        self,
        epoch: int,
        until: float,
        now: float,
    ) -> list[Action]:
        """Extend the dispatch lease, within which this member may grant slots.

        Parameters
        ----------
        epoch : int
            Epoch of the lease. The lease is ignored if this is not the current
            epoch.
        """
        if epoch != self._ownership.roster.epoch:
            return []
        self.holder.dispatch_lease_until = max(
            self.holder.dispatch_lease_until, until
        )
        return self._grant_all(now)

    def record_probe(self, update: ServerUpdate, now: float) -> list[Action]:
        """Record what a probe showed of a backend server."""
        self.servers.record_probe(update)
        return self._grant_all(now)

    def tick(self, now: float) -> list[Action]:
        """Run the periodic work that is due."""
        actions: list[Action] = []
        if now >= self._swept_at + SWEEP_INTERVAL_S:
            actions.extend(self._sweep(now))
        late = self._borrower.find_unservable(
            self.servers.estimate_latency_s,
            now,
        )
        for call in late:
            actions.append(Refuse(call))
            actions.extend(self.withdraw(call))
        actions.extend(self._grant_all(now))
        for call in self._borrower.pending:
            requests = self._borrower.ask_more(call, now)
            actions.extend(Deliver(*request) for request in requests)
        return actions

    def advertise_idle(self, now: float) -> list[Action]:
        """Broadcast the number of idle slots here, by service.

        A service is broadcast when it gains its first idle slot or loses its
        last.
        """
        actions: list[Action] = []
        for service in self.holder.services:
            idle = self.holder.count_idle(service, now)
            advertised = self._advertised.get(service, 0)
            if bool(idle) != bool(advertised):
                self._advertised[service] = idle
                actions.append(Broadcast(IdleSlots(service, idle)))
        return actions

    def _sweep(self, now: float) -> list[Action]:
        """Drop expired records and queued calls, and end expired loans."""
        self._swept_at = now
        self._ownership.apply_fence(now)
        self._borrower.drop_expired(now)
        self.holder.drop_expired(now)
        actions: list[Action] = []
        for loan in self.holder.list_expired_loans(now):
            actions.extend(self._end_loan(loan, None, now))
        return actions

    def _grant_all(self, now: float) -> list[Action]:
        return self._deliver_grants(self.holder.grant_all(now))

    def _deliver_grants(self, grants: Iterable[Granted]) -> list[Action]:
        actions: list[Action] = []
        for granted in grants:
            actions.extend(self._deliver_grant(granted))
        return actions

    def _deliver_grant(self, granted: Granted) -> list[Action]:
        queued = granted.queued
        slot = granted.slot_id
        if queued.member != self._member:
            grant = SlotGrant(
                queued.call,
                granted.loan,
                slot.server,
                slot.index,
                granted.idle,
            )
            return [Deliver(queued.member, grant)]
        lease = Lease(
            granted.loan,
            self._member,
            slot.server,
            slot.index,
            queued.deadline,
        )
        return self._resolve(CallId(queued.call), lease)

    def _resolve(self, call: CallId, lease: Lease | None) -> list[Action]:
        """End a call's wait for a slot, with a lease or without."""
        pending = self._borrower.remove(call)
        if pending is None:
            return []
        self.holder.dequeue(self._member, call, pending.demand.service)
        actions: list[Action] = []
        others = set(pending.asked)
        if lease is not None:
            actions.append(Assign(call, lease))
            others.discard(lease.lender)
        for member in sorted(others):
            actions.append(Deliver(member, SlotRequestCancel(call)))
        return actions

    def _end_loan(
        self,
        loan: LoanId,
        report: AttemptReport | None,
        now: float,
    ) -> list[Action]:
        found = self.holder.end_loan(loan, report, now)
        if found is None:
            return []
        slot, changed = found
        slot_id = slot.slot_id
        actions: list[Action] = []
        if changed:
            health = self.servers.health[slot_id.server]
            actions.append(Broadcast(health.make_message(slot_id.server)))
        handover = self._ownership.hand_over(slot_id)
        if handover is not None:
            return [*actions, Deliver(*handover)]
        grants = self.holder.grant(slot.server.service, now)
        return actions + self._deliver_grants(grants)

    def _receive_request(
        self,
        member: MemberId,
        request: SlotRequest,
        now: float,
    ) -> list[Action]:
        queued = QueuedCall(
            request.priority,
            now + min(request.remaining_s, MAX_DEADLINE_S),
            member,
            request.call,
            request.service,
            request.customer,
            request.zone,
            request.constraint,
        )
        return self._deliver_grants(self.holder.enqueue(queued, now))

    def _receive_grant(
        self,
        member: MemberId,
        grant: SlotGrant,
        now: float,
    ) -> list[Action]:
        if self._borrower.record_loan(grant):
            return []
        health = self.servers.find_health(grant.server)
        found = self._borrower.assign_loan(member, grant, health, now)
        if found is None:
            return [Deliver(member, SlotReturn(grant.loan))]
        call, until = found
        lease = Lease(
            grant.loan,
            member,
            grant.server,
            grant.index,
            until,
        )
        return self._resolve(call, lease)

    def _reconcile(self, now: float) -> list[Action]:
        """Hold the slots that the roster assigns here, hand over the others."""
        others = self._ownership.reconcile()
        lenders: dict[ServiceId, set[MemberId]] = {}
        for member, slots in others.items():
            for slot in slots:
                service = self.servers.known[slot.server].service
                lenders.setdefault(service, set()).add(member)
        self._borrower.update_lenders(lenders)
        self.holder.update_slots(self._ownership.held)
        actions: list[Action] = [
            Deliver(*handover) for handover in self._ownership.list_handovers()
        ]
        return actions + self._grant_all(now)

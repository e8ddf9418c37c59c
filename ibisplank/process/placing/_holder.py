"""Slots that a member holds, and their loans to calls of any member."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from ibisplank.connection import AttemptReport
from ibisplank.ids import (
    LoanId,
    MemberId,
    ServerId,
    ServiceId,
    ZoneId,
)
from ibisplank.process.placing._health import (
    SAFE_DEVIATIONS,
    SPARE_DEVIATIONS,
    ServerHealth,
)
from ibisplank.process.placing._queue import Queue, QueuedCall
from ibisplank.version import Server, SlotId

#: A lender ends a loan this long after the call's deadline.
LOAN_MARGIN_S = 0.25
#: Added to the cost of a server in another availability zone. It exceeds any
#: latency in seconds, so that servers in the zone of the call go first.
REMOTE_ZONE_PENALTY = 1000.0


class SlotState(Enum):
    """State of a held slot."""

    PENDING = 'pending'
    FREE = 'free'
    LENT = 'lent'


@dataclass(slots=True, eq=False)
class Slot:
    """One held slot.

    Attributes
    ----------
    awaiting : set of MemberId
        Earlier holders that have not handed the slot over yet.
    borrower : MemberId
        Member that got the latest loan.
    until : float
        Time at which the latest loan expires.
    epoch : int
        Latest epoch in which this member is known to have held the slot.
    """

    slot_id: SlotId
    server: Server
    state: SlotState = SlotState.FREE
    borrower: MemberId = MemberId('')
    until: float = 0.0
    awaiting: set[MemberId] = field(default_factory=set)
    epoch: int = 0

    def update_state(self) -> None:
        """Mark a slot without a loan as pending or free.

        It is pending while an earlier holder may still use it.
        """
        if self.state is not SlotState.LENT:
            self.state = SlotState.PENDING if self.awaiting else SlotState.FREE


@dataclass(frozen=True, slots=True)
class Granted:
    """Grant of a slot to a queued call.

    Attributes
    ----------
    idle : int
        Slots of the service that are still idle after the grant.
    """

    queued: QueuedCall
    loan: LoanId
    slot_id: SlotId
    idle: int


class Holder:
    """Grants held slots to calls of all members.

    Parameters
    ----------
    health : dict
        Health of each backend server, shared with the scheduler.
    blocked : set of ServerId
        Backend servers that get no new calls, shared with the scheduler.

    Attributes
    ----------
    dispatch_lease_until : float
        Expiry of the dispatch lease, until which this member may grant its
        slots.
    """

    def __init__(
        self,
        member: MemberId,
        health: dict[ServerId, ServerHealth],
        blocked: set[ServerId],
    ) -> None:
        self.slots: dict[SlotId, Slot] = {}
        self.dispatch_lease_until = 0.0
        self._member = member
        self._health = health
        self._blocked = blocked
        self._services: dict[ServiceId, list[Slot]] = {}
        self._loans: dict[LoanId, Slot] = {}
        self._queues: dict[ServiceId, Queue] = {}
        self._loan_count = 0

    def enqueue(self, queued: QueuedCall, now: float) -> Iterator[Granted]:
        """Queue a call, and grant the idle slots of its service."""
        self._queues.setdefault(queued.service, Queue()).add(queued)
        return self.grant(queued.service, now)

    def dequeue(self, member: MemberId, call: int, service: ServiceId) -> None:
        """Remove a call from its service's queue."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.drop(member, call)

    def dequeue_any_service(self, member: MemberId, call: int) -> None:
        """Remove a call, whichever service it waits for."""
        for queue in self._queues.values():
            queue.drop(member, call)

    def drop_expired(self, now: float) -> None:
        """Remove the calls whose deadlines have passed."""
        for queue in self._queues.values():
            queue.drop_expired(now)

    def grant(self, service: ServiceId, now: float) -> Iterator[Granted]:
        """Grant idle slots of a service in the order of its queue.

        A call that can use no idle slot does not block those behind it.
        """
        queue = self._queues.get(service)
        if not queue or now >= self.dispatch_lease_until:
            return
        idle = self._list_idle(service, now)
        while idle:
            found = self._find_next(queue, idle, now)
            if found is None:
                return
            queued, slot = found
            idle.remove(slot)
            queue.serve(queued)
            loan = self._lend(queued, slot)
            yield Granted(queued, loan, slot.slot_id, len(idle))

    def grant_all(self, now: float) -> Iterator[Granted]:
        """Grant idle slots of all services for which calls wait."""
        waiting = [name for name, queue in self._queues.items() if queue]
        for service in waiting:
            yield from self.grant(service, now)

    def end_loan(
        self,
        loan: LoanId,
        report: AttemptReport | None,
        now: float,
    ) -> tuple[Slot, bool] | None:
        """End a loan.

        Returns
        -------
        tuple or None
            The slot, and whether other members must be told of the health of
            its server. None for a loan that has ended already.
        """
        slot = self._loans.pop(loan, None)
        if slot is None:
            return None
        slot.state = SlotState.FREE
        slot.update_state()
        if report is None:
            return slot, False
        health = self._health[slot.slot_id.server]
        server = slot.server
        changed = health.record_answer(
            report,
            slot.slot_id.index,
            server.slots,
            now,
        )
        return slot, changed

    def list_expired_loans(self, now: float) -> list[LoanId]:
        """Return the loans that have expired."""
        return [loan for loan, slot in self._loans.items() if slot.until <= now]

    def count_idle(self, service: ServiceId, now: float) -> int:
        """Return how many slots of a service a call could start on now."""
        return len(self._list_idle(service, now))

    def count_waiting(self) -> int:
        """Return how many calls of all members are queued here."""
        return sum(len(queue) for queue in self._queues.values())

    def count_used(self) -> int:
        """Return how many held slots are in use, by this or other members."""
        return len(self._loans)

    def count_lent(self) -> int:
        """Return how many held slots other members use."""
        lent = 0
        for slot in self._loans.values():
            if slot.borrower != self._member:
                lent += 1
        return lent

    def update_slots(self, slots: dict[SlotId, Slot]) -> None:
        """Replace the held slots; existing loans are not affected."""
        self.slots = slots
        self._services = {}
        for slot in slots.values():
            held = self._services.setdefault(slot.server.service, [])
            held.append(slot)

    @property
    def services(self) -> list[ServiceId]:
        """Services of which any slot is held."""
        return list(self._services)

    def _lend(self, queued: QueuedCall, slot: Slot) -> LoanId:
        self._loan_count += 1
        loan = LoanId(f'{self._member}:{self._loan_count}')
        slot.state = SlotState.LENT
        slot.borrower = queued.member
        slot.until = queued.deadline + LOAN_MARGIN_S
        self._loans[loan] = slot
        return loan

    def _list_idle(self, service: ServiceId, now: float) -> list[Slot]:
        """Return the slots of a service that a call could start on now."""
        idle = []
        counted: Server | None = None
        allowed = 0
        for slot in self._services.get(service, ()):
            if slot.state is not SlotState.FREE:
                continue
            if slot.server is not counted:
                counted = slot.server
                allowed = self._count_allowed(counted.server, now)
            if slot.slot_id.index < allowed:
                idle.append(slot)
        return idle

    def _count_allowed(self, server: ServerId, now: float) -> int:
        """Return how many slots of a server may start calls now."""
        if server in self._blocked:
            return 0
        return self._health[server].count_allowed(now)

    def _find_next(
        self,
        queue: Queue,
        idle: list[Slot],
        now: float,
    ) -> tuple[QueuedCall, Slot] | None:
        """Return the first queued call that can use an idle slot, and the slot.

        Calls with little time left are considered after all others.
        """
        for deviations in (SAFE_DEVIATIONS, SPARE_DEVIATIONS):
            for queued in queue:
                slot = self._choose(queued, idle, now, deviations)
                if slot is not None:
                    return queued, slot
        return None

    def _choose(
        self,
        queued: QueuedCall,
        idle: list[Slot],
        now: float,
        deviations: float,
    ) -> Slot | None:
        """Return the best idle slot for a call, None if it had better wait."""
        best: Slot | None = None
        lowest = 0.0
        for slot in self._list_suitable(queued, idle, now, deviations):
            cost = self._compute_cost(slot, queued.zone)
            if best is None or cost < lowest:
                best = slot
                lowest = cost
        return best

    def _list_suitable(
        self,
        queued: QueuedCall,
        idle: list[Slot],
        now: float,
        deviations: float,
    ) -> Iterator[Slot]:
        """Yield one slot of each server that is likely to answer in time.

        The first is enough: the slots of a server are adjacent in the list,
        and their cost is the same.
        """
        left_s = queued.deadline - now
        if left_s <= 0:
            return
        seen: Server | None = None
        for slot in idle:
            if slot.server is seen or not queued.constraint.accepts(
                slot.slot_id
            ):
                continue
            seen = slot.server
            if self._health[seen.server].can_finish_within(
                left_s,
                now,
                deviations,
            ):
                yield slot

    def _compute_cost(self, slot: Slot, zone: ZoneId) -> float:
        health = self._health[slot.slot_id.server]
        expected_s = health.latency_s * (1 + health.load)
        distance = 0.0 if slot.server.zone == zone else REMOTE_ZONE_PENALTY
        return distance + expected_s

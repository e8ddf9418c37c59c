"""Local calls that wait for a slot, and their requests for loans."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ibisplank.connection import (
    ANY_SLOT,
    SlotConstraint,
    SlotGrant,
    SlotRequest,
)
from ibisplank.ids import (
    CallId,
    CustomerId,
    LoanId,
    MemberId,
    Priority,
    ServiceId,
    ZoneId,
)
from ibisplank.process.placing._health import SAFE_DEVIATIONS, ServerHealth

#: Number of lenders asked first if none is known to have an idle slot.
FIRST_LENDERS = 2
#: Delay before more lenders are asked; it doubles with each round, as does the
#: number of lenders asked so far.
ASK_MORE_S = 0.004


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Demand of a local call for a slot.

    Attributes
    ----------
    deadline : float
        Time by which the call must be answered, on this process's clock.
    """

    call: CallId
    service: ServiceId
    customer: CustomerId
    priority: Priority
    deadline: float
    constraint: SlotConstraint = ANY_SLOT

    def can_use(
        self,
        requester: 'SlotDemand',
        health: ServerHealth,
        now: float,
    ) -> bool:
        """Tell whether this call can use a loan.

        The requester always can. Another call cannot if either of the two is
        restricted to some slots, or if it would probably be cut off, by its
        own deadline or by the end of the loan.

        Parameters
        ----------
        requester : SlotDemand
            Demand for which the loan was requested.
        health : ServerHealth
            Health of the lent slot's server.
        """
        if self is requester:
            return True
        if self.constraint.restricted or requester.constraint.restricted:
            return False
        if self.service != requester.service:
            return False
        left_s = min(self.deadline, requester.deadline) - now
        return left_s > 0 and health.can_finish_within(
            left_s,
            now,
            SAFE_DEVIATIONS,
        )

    def rank(self, requester: 'SlotDemand') -> tuple[Priority, bool, float]:
        """Return the sort key for the use of a loan; the lowest goes first.

        Within a priority the customer that requested the loan goes first, as
        the lender's fair queue has charged the loan to it.
        """
        return self.priority, self.customer != requester.customer, self.deadline


@dataclass(slots=True)
class PendingCall:
    """A local call that waits for a slot."""

    demand: SlotDemand
    ask_more_at: float
    ask_more_s: float = ASK_MORE_S
    asked: set[MemberId] = field(default_factory=set)


class Borrower:
    """Requests loans from other members, and uses each at most once.

    A loan is a holder's grant of a slot to one call; the holder is its lender.

    Parameters
    ----------
    source : random.Random
        Random number generator that chooses among equal lenders.
    """

    def __init__(self, zone: ZoneId, source: random.Random) -> None:
        self.pending: dict[CallId, PendingCall] = {}
        self._zone = zone
        self._random = source
        self._lenders: dict[ServiceId, list[MemberId]] = {}
        self._idle: dict[tuple[ServiceId, MemberId], int] = {}
        self._requested: dict[CallId, SlotDemand] = {}
        self._seen: dict[LoanId, float] = {}

    def update_lenders(self, lenders: dict[ServiceId, set[MemberId]]) -> None:
        """Replace the other members that hold slots, by service."""
        self._lenders = {name: sorted(ids) for name, ids in lenders.items()}

    def update_idle(
        self,
        service: ServiceId,
        member: MemberId,
        count: int,
    ) -> None:
        """Record how many idle slots a lender has."""
        self._idle[service, member] = count

    def add(self, demand: SlotDemand, now: float) -> None:
        """Add a call that waits for a slot."""
        self.pending[demand.call] = PendingCall(demand, now + ASK_MORE_S)

    def ask_first(
        self,
        call: CallId,
        now: float,
    ) -> list[tuple[MemberId, SlotRequest]]:
        """Return requests to the lenders most likely to grant a loan.

        For a call restricted to one slot they go to all lenders, as only one
        member holds it.
        """
        pending = self.pending[call]
        service = pending.demand.service
        lenders = self._lenders.get(service, [])
        idle = [each for each in lenders if self._idle.get((service, each), 0)]
        if pending.demand.constraint.only:
            chosen = lenders
        elif idle:
            chosen = [self._random.choice(idle)]
            self._idle[service, chosen[0]] -= 1
        else:
            chosen = self._draw(lenders, FIRST_LENDERS)
        return self._ask(pending, chosen, now)

    def ask_more(
        self,
        call: CallId,
        now: float,
    ) -> list[tuple[MemberId, SlotRequest]]:
        """Return requests to further lenders, once the delay is over."""
        pending = self.pending[call]
        if pending.ask_more_at > now:
            return []
        pending.ask_more_s *= 2
        pending.ask_more_at = now + pending.ask_more_s
        lenders = self._lenders.get(pending.demand.service, [])
        left = [each for each in lenders if each not in pending.asked]
        more = max(FIRST_LENDERS, len(pending.asked))
        return self._ask(pending, self._draw(left, more), now)

    def remove(self, call: CallId) -> PendingCall | None:
        """Remove a call that has got a slot or no longer needs one."""
        return self.pending.pop(call, None)

    def assign_loan(
        self,
        member: MemberId,
        grant: SlotGrant,
        health: ServerHealth,
        now: float,
    ) -> tuple[CallId, float] | None:
        """Return the call that gets a loan, and the time the loan ends.

        Returns None if no call can use the loan.

        Parameters
        ----------
        health : ServerHealth
            Health of the lent slot's server.
        """
        demand = self._requested.get(CallId(grant.call))
        if demand is None or demand.deadline <= now:
            return None
        self._idle[demand.service, member] = grant.idle
        call = self._choose(demand, health, now)
        return None if call is None else (call, demand.deadline)

    def record_loan(self, grant: SlotGrant) -> bool:
        """Record a loan; return whether it was on record already."""
        if grant.loan in self._seen:
            return True
        demand = self._requested.get(CallId(grant.call))
        if demand is not None:
            self._seen[grant.loan] = demand.deadline
        return False

    def find_unservable(
        self,
        estimate_s: Callable[[ServiceId, float], float],
        now: float,
    ) -> list[CallId]:
        """Return the calls that have less time left than a call needs.

        Parameters
        ----------
        estimate_s : callable
            Returns the time that a call of a service needs, in seconds.
        """
        services = {each.demand.service for each in self.pending.values()}
        estimates = {service: estimate_s(service, now) for service in services}
        return [
            call
            for call, pending in self.pending.items()
            if pending.demand.deadline
            <= now + estimates[pending.demand.service]
        ]

    def drop_expired(self, now: float) -> None:
        """Drop the records of calls and loans that have expired."""
        self._requested = {
            call: demand
            for call, demand in self._requested.items()
            if demand.deadline > now
        }
        self._seen = {
            loan: until for loan, until in self._seen.items() if until > now
        }

    def _draw(self, lenders: list[MemberId], count: int) -> list[MemberId]:
        return self._random.sample(lenders, min(count, len(lenders)))

    def _ask(
        self,
        pending: PendingCall,
        lenders: Iterable[MemberId],
        now: float,
    ) -> list[tuple[MemberId, SlotRequest]]:
        demand = pending.demand
        request = SlotRequest(
            demand.call,
            demand.service,
            demand.customer,
            demand.priority,
            demand.deadline - now,
            self._zone,
            demand.constraint,
        )
        self._requested[demand.call] = demand
        fresh = [each for each in lenders if each not in pending.asked]
        pending.asked.update(fresh)
        return [(lender, request) for lender in fresh]

    def _choose(
        self,
        requester: SlotDemand,
        health: ServerHealth,
        now: float,
    ) -> CallId | None:
        """Return the pending call that gets a loan, None if none can use it."""
        best: SlotDemand | None = None
        for pending in self.pending.values():
            demand = pending.demand
            if not demand.can_use(requester, health, now):
                continue
            if best is None or demand.rank(requester) < best.rank(requester):
                best = demand
        return None if best is None else best.call

"""Shares of a customer's limits among the members of a cell."""

from ibisplank.connection import (
    PermitGrant,
    PermitMessage,
    PermitRequest,
    PermitReturn,
    PermitSharesApplied,
)
from ibisplank.ids import CustomerId, MemberId, RefusalKind
from ibisplank.process.admission._share import (
    Permit,
    PermitLease,
    Share,
    divide,
    halve,
)
from ibisplank.process.placing._actions import Action, Broadcast, Deliver
from ibisplank.version import (
    DISPATCH_LEASE_S,
    MAX_DEADLINE_S,
    PastRoster,
    Roster,
)

#: A lease serves new calls for this long.
REUSE_S = 5.0
#: Lent permits come back by themselves after this long.
LEASE_S = MAX_DEADLINE_S + REUSE_S
LEASE_MARGIN_S = 0.5
#: A member asks again for permits after this long.
ASK_PAUSE_S = 0.02
#: Longest time for which a fenced member's leases may still be in use.
PERMIT_GUARD_S = DISPATCH_LEASE_S + LEASE_S + LEASE_MARGIN_S
BURST_S = 0.25


class Permits:
    """Admits calls so that no customer exceeds its limits in the cell."""

    def __init__(self, member: MemberId) -> None:
        self.rights_until = 0.0
        self.shares: dict[CustomerId, Share] = {}
        self._member = member
        self._roster = Roster()
        self._fence_at: float | None = None
        self._count = 0
        self._spent: dict[MemberId, int] = {}
        self._settled: dict[MemberId, int] = {}
        self._told_epoch = 0
        self._grown = False

    def learn_limits(
        self,
        limits: dict[CustomerId, tuple[int, float]],
        now: float,
    ) -> None:
        """Take in the calls in flight and calls a second of each customer."""
        for customer, (limit, rate_per_s) in limits.items():
            share = self.shares.setdefault(customer, Share(limit, rate_per_s))
            share.limit = limit
            share.rate_per_s = rate_per_s
        for customer in set(self.shares) - set(limits):
            self.shares.pop(customer)
        self._grown = False
        self._divide(now)

    def learn_roster(
        self,
        roster: Roster,
        fence_at: float | None,
        now: float,
    ) -> None:
        """Take in a roster; one older than the present is passed over."""
        if roster.epoch < self._roster.epoch:
            return
        self._grown = self._grown and roster == self._roster
        self._roster = roster
        self._fence_at = fence_at
        self._divide(now)

    def admit(
        self,
        customer: CustomerId,
        deadline: float,
        now: float,
    ) -> Permit | None:
        """Return a permit for one call, or None where none is free."""
        share = self.shares[customer]
        self._fill(share, now)
        if share.tokens < 1:
            return None
        permit = self._take(share, deadline, now)
        if permit is not None:
            share.tokens -= 1
        return permit

    def explain(self, customer: CustomerId) -> RefusalKind:
        """Return which limit a customer has reached."""
        if self.shares[customer].tokens < 1:
            return RefusalKind.OVER_RATE
        return RefusalKind.OVER_IN_FLIGHT

    def release(self, customer: CustomerId, permit: Permit) -> None:
        """Give a permit back."""
        if permit.lease is not None:
            permit.lease.in_use -= 1
            return
        share = self.shares.get(customer)
        if share is not None:
            share.in_use -= 1

    def ask(self, customer: CustomerId, now: float) -> list[Action]:
        """Ask all members for permits, unless just asked."""
        share = self.shares[customer]
        if now < share.asked_at + ASK_PAUSE_S:
            return []
        share.asked_at = now
        wanted = max(1, share.limit // max(1, len(self._roster.members)))
        message = PermitRequest(customer, wanted, now)
        return [
            Deliver(member, message)
            for member in self._roster.ids
            if member != self._member
        ]

    def receive(
        self,
        member: MemberId,
        message: PermitMessage,
        now: float,
    ) -> list[Action]:
        """Take in a message of another member."""
        if isinstance(message, PermitSharesApplied):
            known = self._settled.get(member, 0)
            self._settled[member] = max(known, message.epoch)
            self._divide(now)
            return []
        share = self.shares.get(message.customer)
        if share is None:
            return []
        match message:
            case PermitRequest():
                return self._lend(member, message, share, now)
            case PermitGrant():
                return self._borrow(member, message, share, now)
            case PermitReturn():
                share.take_part(message.lease, message.kept)
                return self._tell_settled()
        return []

    def tick(self, now: float) -> list[Action]:
        """Return unused leases, and take back those that are over."""
        self._divide(now)
        actions = self._tell_settled()
        for customer, share in self.shares.items():
            share.take_back(now)
            for lease in share.drop_unused(now):
                message = PermitReturn(customer, lease.lease, 0)
                actions.append(Deliver(lease.lender, message))
        return actions

    def greet(self, member: MemberId) -> list[Action]:
        """Return what a member that has just been reached must know."""
        return [Deliver(member, PermitSharesApplied(self._told_epoch))]

    def _tell_settled(self) -> list[Action]:
        """Tell all once no customer has more here than its share."""
        epoch = self._roster.epoch
        if self._told_epoch == epoch:
            return []
        for share in self.shares.values():
            if share.in_use > share.own:
                return []
        self._told_epoch = epoch
        return [Broadcast(PermitSharesApplied(epoch))]

    def _has_settled(self, past: PastRoster) -> bool:
        """Tell whether all members of a past epoch keep to later ones."""
        for member in past.members:
            if member == self._member:
                continue
            if self._settled.get(member, 0) <= past.epoch:
                return False
        return True

    def _take(
        self,
        share: Share,
        deadline: float,
        now: float,
    ) -> Permit | None:
        if share.in_use < share.own and now < self.rights_until:
            share.in_use += 1
            return Permit(None)
        for lease in share.leases:
            if lease.in_use < lease.count and deadline <= lease.until:
                lease.in_use += 1
                lease.used_at = now
                return Permit(lease)
        return None

    def _lend(
        self,
        member: MemberId,
        ask: PermitRequest,
        share: Share,
        now: float,
    ) -> list[Action]:
        spare = 0
        if now < self.rights_until:
            spare = share.own - share.in_use
        count = min(ask.count, halve(spare))
        actions = []
        if count < ask.count:
            actions = self._give_back(ask.customer, share)
        if count < 1:
            return actions
        self._count += 1
        share.lent[self._count] = (count, now + LEASE_S + LEASE_MARGIN_S)
        grant = PermitGrant(ask.customer, count, self._count, ask.asked_at)
        return [*actions, Deliver(member, grant)]

    def _give_back(self, customer: CustomerId, share: Share) -> list[Action]:
        """Return half of what is idle of each lease, for others to use."""
        actions: list[Action] = []
        for lease in list(share.leases):
            idle = lease.count - lease.in_use
            if not idle:
                continue
            lease.count -= halve(idle)
            if not lease.count:
                share.leases.remove(lease)
            message = PermitReturn(customer, lease.lease, lease.count)
            actions.append(Deliver(lease.lender, message))
        return actions

    def _borrow(
        self,
        member: MemberId,
        grant: PermitGrant,
        share: Share,
        now: float,
    ) -> list[Action]:
        until = grant.asked_at + LEASE_S
        if until <= now or grant.lease <= self._spent.get(member, 0):
            return []
        self._spent[member] = grant.lease
        lease = PermitLease(member, grant.lease, grant.count, until, now)
        share.leases.append(lease)
        return []

    def _fill(self, share: Share, now: float) -> None:
        """Add the tokens that the held permits have earned."""
        held = share.count_held(now)
        rate = share.rate_per_s * max(0, held) / share.limit
        elapsed = min(now - share.filled_at, BURST_S)
        share.filled_at = now
        full = max(1.0, rate * BURST_S)
        share.tokens = min(full, share.tokens + rate * elapsed)

    def _divide(self, now: float) -> None:
        """Set own shares; one grows only when no past epoch can act."""
        if self._grown:
            return
        rosters = [self._roster.ids]
        fenced = (
            self._fence_at is not None
            and now >= self._fence_at + PERMIT_GUARD_S
        )
        if not fenced:
            rosters.extend(
                past.members
                for past in self._roster.past
                if not self._has_settled(past)
            )
        self._grown = len(rosters) == 1
        for customer, share in self.shares.items():
            share.base = min(
                divide(share.limit, members, customer).get(self._member, 0)
                for members in rosters
            )

"""Enforces the customers' limits in a cell by permits that members lend."""

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

#: A new lease can serve calls with the longest allowed timeout for this long.
LEASE_REUSE_S = 5.0
#: Lent permits expire after this long.
PERMIT_LEASE_S = MAX_DEADLINE_S + LEASE_REUSE_S
#: A lender reserves lent permits for this much longer than the lease lasts.
LEASE_MARGIN_S = 0.5
#: Minimum interval between requests for permits of one customer.
PERMIT_REQUEST_INTERVAL_S = 0.02
#: Leases of a fenced member may be in use until this long after the fence.
PERMIT_GUARD_S = DISPATCH_LEASE_S + PERMIT_LEASE_S + LEASE_MARGIN_S
#: Tokens of the rate limit accumulate for at most this long.
BURST_S = 0.25


class Permits:
    """Admits calls so that no customer exceeds its limits in the cell.

    The limit of calls in flight is divided into quotas, one for each member.
    A member that has none left borrows permits from the others for a limited
    time. The rate limit is a token bucket that is refilled in proportion to
    the permits that a member holds.

    Attributes
    ----------
    dispatch_lease_until : float
        Expiry of the dispatch lease, until which this member may use and lend
        the permits of its own quotas.
    """

    def __init__(self, member: MemberId) -> None:
        self.dispatch_lease_until = 0.0
        self.shares: dict[CustomerId, Share] = {}
        self._member = member
        self._roster = Roster()
        self._fence_at: float | None = None
        self._last_lease = 0
        self._latest_grants: dict[MemberId, int] = {}
        self._applied_epochs: dict[MemberId, int] = {}
        self._announced_epoch = 0
        self._division_final = False

    def update_limits(
        self,
        limits: dict[CustomerId, tuple[int, float]],
        now: float,
    ) -> None:
        """Apply each customer's limits on calls in flight and on the rate."""
        for customer, (limit, rate_per_s) in limits.items():
            share = self.shares.setdefault(customer, Share(limit, rate_per_s))
            share.limit = limit
            share.rate_per_s = rate_per_s
        for customer in set(self.shares) - set(limits):
            self.shares.pop(customer)
        self._division_final = False
        self._divide_limits(now)

    def update_roster(
        self,
        roster: Roster,
        fence_at: float | None,
        now: float,
    ) -> None:
        """Apply a roster unless it is older than the current one."""
        if roster.epoch < self._roster.epoch:
            return
        self._division_final = self._division_final and roster == self._roster
        self._roster = roster
        self._fence_at = fence_at
        self._divide_limits(now)

    def admit(
        self,
        customer: CustomerId,
        deadline: float,
        now: float,
    ) -> Permit | None:
        """Return a permit for one call, or None if a limit is reached."""
        share = self.shares[customer]
        self._refill(share, now)
        if share.tokens < 1:
            return None
        permit = self._acquire(share, deadline, now)
        if permit is not None:
            share.tokens -= 1
        return permit

    def find_reached_limit(self, customer: CustomerId) -> RefusalKind:
        """Return the refusal kind for the limit that a customer has reached."""
        if self.shares[customer].tokens < 1:
            return RefusalKind.OVER_RATE
        return RefusalKind.OVER_IN_FLIGHT

    def release(self, customer: CustomerId, permit: Permit) -> None:
        """Release the permit of a call that has ended."""
        if permit.lease is not None:
            permit.lease.in_use -= 1
            return
        share = self.shares.get(customer)
        if share is not None:
            share.in_use -= 1

    def request(self, customer: CustomerId, now: float) -> list[Action]:
        """Return permit requests to the other members, unless just sent."""
        share = self.shares[customer]
        if now < share.asked_at + PERMIT_REQUEST_INTERVAL_S:
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
        """Handle a permit message from another member."""
        if isinstance(message, PermitSharesApplied):
            previous = self._applied_epochs.get(member, 0)
            self._applied_epochs[member] = max(previous, message.epoch)
            self._divide_limits(now)
            return []
        share = self.shares.get(message.customer)
        if share is None:
            return []
        match message:
            case PermitRequest():
                return self._lend(member, message, share, now)
            case PermitGrant():
                return self._accept_grant(member, message, share, now)
            case PermitReturn():
                share.reduce_lease(message.lease, message.kept)
                return self._announce_applied()
        return []

    def tick(self, now: float) -> list[Action]:
        """Expire lent leases and give unused borrowed ones back."""
        self._divide_limits(now)
        actions = self._announce_applied()
        for customer, share in self.shares.items():
            share.expire_lent(now)
            for lease in share.drop_unused(now):
                message = PermitReturn(customer, lease.number, 0)
                actions.append(Deliver(lease.lender, message))
        return actions

    def sync_member(self, member: MemberId) -> list[Action]:
        """Return the messages that a newly connected member needs."""
        return [Deliver(member, PermitSharesApplied(self._announced_epoch))]

    def _announce_applied(self) -> list[Action]:
        """Announce once per epoch that calls in flight here fit the quotas."""
        epoch = self._roster.epoch
        if self._announced_epoch == epoch:
            return []
        for share in self.shares.values():
            if share.in_use > share.unlent:
                return []
        self._announced_epoch = epoch
        return [Broadcast(PermitSharesApplied(epoch))]

    def _is_superseded(self, past: PastRoster) -> bool:
        """Return whether all members of a past epoch apply later quotas."""
        for member in past.members:
            if member == self._member:
                continue
            if self._applied_epochs.get(member, 0) <= past.epoch:
                return False
        return True

    def _acquire(
        self,
        share: Share,
        deadline: float,
        now: float,
    ) -> Permit | None:
        if share.in_use < share.unlent and now < self.dispatch_lease_until:
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
        request: PermitRequest,
        share: Share,
        now: float,
    ) -> list[Action]:
        spare = 0
        if now < self.dispatch_lease_until:
            spare = share.unlent - share.in_use
        count = min(request.count, halve(spare))
        actions = []
        if count < request.count:
            actions = self._return_idle(request.customer, share)
        if count < 1:
            return actions
        self._last_lease += 1
        share.lent[self._last_lease] = (
            count,
            now + PERMIT_LEASE_S + LEASE_MARGIN_S,
        )
        grant = PermitGrant(
            request.customer, count, self._last_lease, request.asked_at
        )
        return [*actions, Deliver(member, grant)]

    def _return_idle(self, customer: CustomerId, share: Share) -> list[Action]:
        """Give half of the idle permits of each lease back to its lender."""
        actions: list[Action] = []
        for lease in list(share.leases):
            idle = lease.count - lease.in_use
            if not idle:
                continue
            lease.count -= halve(idle)
            if not lease.count:
                share.leases.remove(lease)
            message = PermitReturn(customer, lease.number, lease.count)
            actions.append(Deliver(lease.lender, message))
        return actions

    def _accept_grant(
        self,
        member: MemberId,
        grant: PermitGrant,
        share: Share,
        now: float,
    ) -> list[Action]:
        until = grant.asked_at + PERMIT_LEASE_S
        if until <= now or grant.lease <= self._latest_grants.get(member, 0):
            return []
        self._latest_grants[member] = grant.lease
        lease = PermitLease(member, grant.lease, grant.count, until, now)
        share.leases.append(lease)
        return []

    def _refill(self, share: Share, now: float) -> None:
        """Refill the token bucket in proportion to the permits held."""
        held = share.count_held(now)
        rate = share.rate_per_s * max(0, held) / share.limit
        elapsed = min(now - share.filled_at, BURST_S)
        share.filled_at = now
        full = max(1.0, rate * BURST_S)
        share.tokens = min(full, share.tokens + rate * elapsed)

    def _divide_limits(self, now: float) -> None:
        """Set this member's quotas.

        While members of a past epoch may still use the quotas of that epoch,
        each quota is the smallest of those in the present and these past
        rosters, so that the quotas in use never sum to more than the limit.
        """
        if self._division_final:
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
                if not self._is_superseded(past)
            )
        self._division_final = len(rosters) == 1
        for customer, share in self.shares.items():
            share.quota = min(
                divide(share.limit, members, customer).get(self._member, 0)
                for members in rosters
            )

"""One customer's permits at one member, and the division of its limit."""

from dataclasses import dataclass, field

from ibisplank.ids import CustomerId, MemberId
from ibisplank.rendezvous import score_by_hash

#: A lease is returned after it has been unused for this long.
UNUSED_LEASE_S = 1.0


@dataclass(slots=True)
class PermitLease:
    """Permits of one customer that another member has lent to this one.

    Attributes
    ----------
    number : int
        Number that the lender gave to the lease.
    until : float
        Deadline by which calls that use these permits must have ended.
    used_at : float
        Time at which a permit was last taken, at first that of the grant.
    """

    lender: MemberId
    number: int
    count: int
    until: float
    used_at: float
    in_use: int = 0


@dataclass(slots=True)
class Permit:
    """Right to have one call in flight.

    Attributes
    ----------
    lease : PermitLease or None
        Lease that the permit belongs to, None for this member's own quota.
    """

    lease: PermitLease | None


@dataclass(slots=True)
class Share:
    """One customer's limits, and what this member has of them.

    Attributes
    ----------
    limit : int
        Customer's limit of calls in flight in the whole cell.
    rate_per_s : float
        Customer's limit of calls per second in the whole cell.
    quota : int
        Permits of the limit that are assigned to this member.
    in_use : int
        Permits of the quota that calls in flight use.
    tokens : float
        Calls that the rate limit allows now.
    lent : dict
        Count and expiry time of each lease to other members, by number.
    leases : list of PermitLease
        Leases that this member has borrowed.
    """

    limit: int
    rate_per_s: float
    quota: int = 0
    in_use: int = 0
    tokens: float = 0.0
    filled_at: float = 0.0
    asked_at: float = 0.0
    lent: dict[int, tuple[int, float]] = field(default_factory=dict)
    leases: list[PermitLease] = field(default_factory=list)

    @property
    def unlent(self) -> int:
        """Permits of the quota that are not lent.

        Negative when the quota has shrunk since permits were lent.
        """
        return self.quota - sum(count for count, _ in self.lent.values())

    def count_held(self, now: float) -> int:
        """Return the number of permits that this member may use now."""
        borrowed = [each.count for each in self.leases if each.until > now]
        return max(0, self.unlent) + sum(borrowed)

    def reduce_lease(self, number: int, kept: int) -> None:
        """Reduce a lent lease to the permits that the borrower keeps.

        Returns that arrive late or out of order never increase the count.
        """
        if number not in self.lent:
            return
        count, until = self.lent.pop(number)
        if kept:
            self.lent[number] = (min(count, kept), until)

    def expire_lent(self, now: float) -> None:
        """Remove the lent leases that have expired."""
        self.lent = {
            number: lent for number, lent in self.lent.items() if lent[1] > now
        }

    def drop_unused(self, now: float) -> list[PermitLease]:
        """Remove and return the borrowed leases that are no longer used."""
        unused = [
            lease
            for lease in self.leases
            if not lease.in_use and now >= lease.used_at + UNUSED_LEASE_S
        ]
        for lease in unused:
            self.leases.remove(lease)
        return unused


def halve(idle: int) -> int:
    """Return half of the idle permits, rounded up, to give to another member.

    >>> halve(3), halve(1), halve(-2)
    (2, 1, 0)
    """
    return max(0, (idle + 1) // 2)


def divide(
    limit: int,
    members: tuple[MemberId, ...],
    customer: CustomerId,
) -> dict[MemberId, int]:
    """Return each member's integer quota; the quotas sum to the limit.

    >>> divide(5, (MemberId('a'), MemberId('b')), CustomerId('c'))
    {'a': 3, 'b': 2}
    """
    if not members:
        return {}
    quota, remainder = divmod(limit, len(members))
    ranked = sorted(
        members,
        key=lambda member: score_by_hash(customer, member),
    )
    extra = set(ranked[:remainder])
    return {member: quota + (member in extra) for member in members}

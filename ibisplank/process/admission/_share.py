"""One customer's permits at one member."""

from dataclasses import dataclass, field

from ibisplank.ids import CustomerId, MemberId
from ibisplank.rendezvous import rank_by_hash

#: An unused lease goes back after this long.
UNUSED_LEASE_S = 1.0


@dataclass(slots=True)
class PermitLease:
    """Permits that this member has borrowed.

    Attributes
    ----------
    until : float
        Calls on these permits must be over by then.
    used_at : float
        Time of the latest use.
    """

    lender: MemberId
    number: int
    count: int
    until: float
    used_at: float
    in_use: int = 0


@dataclass(slots=True)
class Permit:
    """The right to have one call in flight; None is the own share."""

    lease: PermitLease | None


@dataclass(slots=True)
class Share:
    """One customer's permits at this member.

    Attributes
    ----------
    limit : int
        Permits in the whole cell.
    rate_per_s : float
        Calls a second in the whole cell.
    base : int
        Permits that are this member's own.
    lent : dict
        Lease number to its count and the time of its return.
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
        """Permits of the own share that are not lent.

        Below zero where the share has shrunk since they were lent.
        """
        return self.quota - sum(count for count, _ in self.lent.values())

    def count_held(self, now: float) -> int:
        """Return how many permits this member may use now."""
        borrowed = [each.count for each in self.leases if each.until > now]
        return max(0, self.unlent) + sum(borrowed)

    def reduce_lease(self, number: int, kept: int) -> None:
        """Take in what a borrower keeps of a lease; it never grows."""
        if number not in self.lent:
            return
        count, until = self.lent.pop(number)
        if kept:
            self.lent[number] = (min(count, kept), until)

    def expire_lent(self, now: float) -> None:
        """End the lent leases whose time is over."""
        self.lent = {
            number: lent for number, lent in self.lent.items() if lent[1] > now
        }

    def drop_unused(self, now: float) -> list[PermitLease]:
        """Give up the borrowed leases that are no longer needed."""
        unused = [
            lease
            for lease in self.leases
            if not lease.in_use and now >= lease.used_at + UNUSED_LEASE_S
        ]
        for lease in unused:
            self.leases.remove(lease)
        return unused


def halve(idle: int) -> int:
    """Return how many of the idle permits go to another member.

    >>> halve(3), halve(1), halve(-2)
    (2, 1, 0)
    """
    return max(0, (idle + 1) // 2)


def divide(
    limit: int,
    members: tuple[MemberId, ...],
    customer: CustomerId,
) -> dict[MemberId, int]:
    """Divide a limit into whole shares that sum to it.

    >>> divide(5, (MemberId('a'), MemberId('b')), CustomerId('c'))
    {'a': 3, 'b': 2}
    """
    if not members:
        return {}
    share, rest = divmod(limit, len(members))
    ranked = sorted(
        members,
        key=lambda member: rank_by_hash(customer, member),
    )
    extra = set(ranked[:rest])
    return {member: share + (member in extra) for member in members}

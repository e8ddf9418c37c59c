"""In-flight calls of the other gateways of a group, per backend server."""

from dataclasses import dataclass, field

from ibisplank.ids import MemberId, ServerId

#: Counts from a gateway that has sent none for this long are ignored.
EXPIRY_S = 2.5


@dataclass(slots=True)
class Occupancy:
    """In-flight counts of the other gateways of the group.

    Load pattern: servers of two slots slow down as soon as both are taken,
    and several gateways choose among them within the same millisecond. Each
    gateway sends its counts to its group whenever they change, so that two
    gateways rarely choose the same server while another is idle.

    Examples
    --------
    >>> occupancy = Occupancy()
    >>> occupancy.update(MemberId('m'), {ServerId('s'): 2}, now=0.0)
    >>> occupancy.count(ServerId('s'), now=1.0)
    2
    >>> occupancy.count(ServerId('s'), now=9.0)
    0
    """

    _counts: dict[MemberId, dict[ServerId, int]] = field(default_factory=dict)
    _updated_at: dict[MemberId, float] = field(default_factory=dict)

    def update(
        self,
        member: MemberId,
        counts: dict[ServerId, int],
        now: float,
    ) -> None:
        """Replace the in-flight counts of one gateway."""
        self._counts[member] = counts
        self._updated_at[member] = now

    def count(self, server: ServerId, now: float) -> int:
        """Return how many calls the other gateways have on a server."""
        return sum(
            counts.get(server, 0)
            for member, counts in self._counts.items()
            if self._updated_at[member] + EXPIRY_S > now
        )

    def is_alive(self, member: MemberId, now: float) -> bool:
        """Return whether a gateway has sent counts recently."""
        return self._updated_at.get(member, -EXPIRY_S) + EXPIRY_S > now

    def remove_expired(self, now: float) -> None:
        """Remove the counts of gateways that have stopped sending."""
        for member, updated_at in list(self._updated_at.items()):
            if updated_at + EXPIRY_S <= now:
                self._counts.pop(member)
                self._updated_at.pop(member)

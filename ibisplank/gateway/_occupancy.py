"""Calls that the gateways of one group have in flight, by backend server."""

from dataclasses import dataclass, field

from ibisplank.ids import MemberId, ServerId

#: Word of a gateway that is silent for longer is left out.
EXPIRY_S = 2.5


@dataclass(slots=True)
class Occupancy:
    """What the other gateways of the group have in flight.

    Load pattern: servers of two slots slow down as soon as both are taken,
    and several gateways choose among them within the same millisecond. Each
    tells the others of its group what it has in flight whenever that
    changes, so that two seldom take the same server while another is idle.

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
        """Take in all that one gateway has in flight."""
        self._counts[member] = counts
        self._updated_at[member] = now

    def count(self, server: ServerId, now: float) -> int:
        """Return the calls of others that a server runs."""
        return sum(
            counts.get(server, 0)
            for member, counts in self._counts.items()
            if self._updated_at[member] + EXPIRY_S > now
        )

    def is_alive(self, member: MemberId, now: float) -> bool:
        """Tell whether a gateway has spoken lately."""
        return self._updated_at.get(member, -EXPIRY_S) + EXPIRY_S > now

    def remove_expired(self, now: float) -> None:
        """Drop the word of gateways that are gone."""
        for member, updated_at in list(self._updated_at.items()):
            if updated_at + EXPIRY_S <= now:
                self._counts.pop(member)
                self._updated_at.pop(member)

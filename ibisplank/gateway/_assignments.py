"""Gateways that hold a role, and those temporarily excluded from it."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ibisplank.ids import MemberId

#: Time for which a gateway that failed in its role is not chosen again.
EXCLUSION_S = 8.0


@dataclass(slots=True)
class RoleAssignments:
    """Holders of a role with assignment times, and excluded gateways.

    Examples
    --------
    >>> assignments = RoleAssignments()
    >>> assignments.assign([MemberId('m')], 1.0)
    >>> assignments.assign([MemberId('m')], 2.0)
    >>> assignments.list_assigned()
    [('m', 1.0)]
    >>> assignments.exclude(MemberId('m'), 2.0)
    >>> assignments.is_eligible(MemberId('m'), 3.0)
    False
    >>> assignments.is_eligible(MemberId('m'), 2.0 + EXCLUSION_S)
    True
    """

    _since: dict[MemberId, float] = field(default_factory=dict)
    _excluded_until: dict[MemberId, float] = field(default_factory=dict)

    def assign(self, members: Iterable[MemberId], now: float) -> None:
        """Set the holders of the role; those who remain keep their time."""
        self._since = {
            member: self._since.get(member, now) for member in members
        }

    def list_assigned(self) -> list[tuple[MemberId, float]]:
        """Return the holders of the role with their assignment times."""
        return list(self._since.items())

    def exclude(self, member: MemberId, now: float) -> None:
        """Exclude a gateway that has failed in the role."""
        self._excluded_until[member] = now + EXCLUSION_S

    def reinstate(self, member: MemberId) -> None:
        """Lift the exclusion of a gateway."""
        self._excluded_until.pop(member, None)

    def is_eligible(self, member: MemberId, now: float) -> bool:
        """Return whether a gateway is not excluded."""
        return self._excluded_until.get(member, 0.0) <= now

"""Gateways that all choose alike for a task, and those passed over for now."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ibisplank.ids import MemberId

#: A gateway that has failed in its task is considered again after this time.
EXCLUSION_S = 8.0


@dataclass(slots=True)
class RoleAssignments:
    """Since when gateways have had a task, and which of them failed in it.

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
        """Take in who has the task now; those who had it keep their time."""
        self._since = {
            member: self._since.get(member, now) for member in members
        }

    def list_assigned(self) -> list[tuple[MemberId, float]]:
        """Return those who have the task, and since when."""
        return list(self._since.items())

    def exclude(self, member: MemberId, now: float) -> None:
        """Take in that a gateway has failed in the task."""
        self._excluded_until[member] = now + EXCLUSION_S

    def reinstate(self, member: MemberId) -> None:
        """Take in that a gateway does well after all."""
        self._excluded_until.pop(member, None)

    def is_eligible(self, member: MemberId, now: float) -> bool:
        """Tell whether a gateway is not passed over."""
        return self._excluded_until.get(member, 0.0) <= now

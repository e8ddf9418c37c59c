"""The members of a cell at one epoch, and the transitions between epochs."""

import msgspec

from ibisplank.ids import MemberId, VmId, ZoneId

#: An epoch's right to dispatch ends this long after the last confirmation.
DISPATCH_LEASE_S = 4.0
#: Unfenced epochs that a roster carries at most; further changes wait.
MAX_PAST_ROSTERS = 48


class Member(msgspec.Struct, frozen=True, order=True):
    """One run of an entry process and the agent beside it.

    Attributes
    ----------
    entry : str
        IP number and port of the entry's peer stream.
    agent : str
        IP number and port of the agent's peer stream.
    """

    member: MemberId
    vm: VmId
    zone: ZoneId
    entry: str
    agent: str


class PastRoster(msgspec.Struct, frozen=True):
    """An earlier epoch whose members may still act on it."""

    epoch: int
    members: tuple[MemberId, ...]


class Roster(msgspec.Struct, frozen=True):
    """Members that share the slots of the cell.

    Attributes
    ----------
    epoch : int
        Rises by one with every change.
    past : tuple of PastRoster
        Earlier epochs that are not fenced yet.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    past: tuple[PastRoster, ...] = ()

    @property
    def ids(self) -> tuple[MemberId, ...]:
        """Member ids in order."""
        return tuple(member.member for member in self.members)


def change_roster(
    roster: Roster,
    joining: tuple[Member, ...],
    leaving: frozenset[MemberId],
    fenced: frozenset[int],
) -> Roster:
    """Return the next epoch's roster.

    Parameters
    ----------
    fenced : frozenset of int
        Past epochs that no member can act on any more.
    """
    replaced_vms = {member.vm for member in joining}
    kept = [
        member
        for member in roster.members
        if member.member not in leaving and member.vm not in replaced_vms
    ]
    past = [
        past_roster
        for past_roster in roster.past
        if past_roster.epoch not in fenced
    ]
    if roster.members:
        past.append(PastRoster(roster.epoch, roster.ids))
    return Roster(
        epoch=roster.epoch + 1,
        members=tuple(sorted((*kept, *joining))),
        past=tuple(past),
    )


def has_majority(count: int, members: int) -> bool:
    """Tell whether a count is more than half of the members.

    >>> has_majority(2, 3), has_majority(2, 4)
    (True, False)
    """
    return count * 2 > members

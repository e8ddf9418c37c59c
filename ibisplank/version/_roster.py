"""Roster: the members of a cell at one epoch, and the change to the next."""

import msgspec

from ibisplank.ids import MemberId, VmId, ZoneId

#: Duration of a member's dispatch lease. It runs from the time at which the
#: member sent heartbeats of its epoch that a majority has confirmed.
DISPATCH_LEASE_S = 4.0
#: Limit of unfenced past epochs in a roster; further changes wait.
MAX_PAST_ROSTERS = 48


class Member(msgspec.Struct, frozen=True, order=True):
    """One run of an entry process and the agent on the same VM.

    Attributes
    ----------
    entry : str
        IP address and port on which the entry accepts peer streams.
    agent : str
        IP address and port on which the agent accepts peer streams.
    """

    member: MemberId
    vm: VmId
    zone: ZoneId
    entry: str
    agent: str


class PastRoster(msgspec.Struct, frozen=True):
    """Members of an earlier epoch, some of which may still act on it."""

    epoch: int
    members: tuple[MemberId, ...]


class Roster(msgspec.Struct, frozen=True):
    """Members that share the slots of the cell.

    Attributes
    ----------
    epoch : int
        Increases by one with every change.
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
    """Return the roster of the next epoch.

    A joining member replaces any member on the same VM.

    Parameters
    ----------
    fenced : frozenset of int
        Past epochs that no member can act on any longer.
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
    """Return whether a count is more than half of the members.

    >>> has_majority(2, 3), has_majority(2, 4)
    (True, False)
    """
    return count * 2 > members

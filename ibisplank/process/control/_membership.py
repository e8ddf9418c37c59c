"""Which epoch is confirmed, which is fenced, and who is dead."""

from dataclasses import dataclass

from ibisplank.connection import Beat
from ibisplank.ids import MemberId
from ibisplank.version import (
    CONFIRM_S,
    Member,
    PastRoster,
    Roster,
    change_roster,
    has_majority,
)

HEARTBEAT_S = 1.0
#: A member that is silent this long is taken off the roster.
DEAD_AFTER_S = 3.0


@dataclass(slots=True)
class PeerState:
    """What a member said last.

    Attributes
    ----------
    heard_at : float
        Time at which it was heard, on this process's clock.
    confirmed_at : float
        Time at which this process sent what the member answered.
    """

    epoch: int = 0
    received_at: float = 0.0
    confirmed_at: float = 0.0
    sent_at: float = 0.0


class Membership:
    """Heartbeats of one agent.

    An epoch's rights rest on a majority of its members that had not moved
    past it when they last answered; once a majority has moved past it, no
    member can renew its rights.
    """

    def __init__(self, member: MemberId) -> None:
        self.member = member
        self.roster = Roster()
        self._learned_at = 0.0
        self._peers: dict[MemberId, PeerState] = {}
        self._ended: set[MemberId] = set()
        self._fenced_at: dict[int, float] = {}

    def learn_roster(self, roster: Roster, now: float) -> bool:
        """Take in a roster; return whether it is newer."""
        if roster.epoch <= self.roster.epoch:
            return False
        self.roster = roster
        self._learned_at = now
        unfenced = {past.epoch for past in roster.past}
        self._fenced_at = {
            epoch: fenced_at
            for epoch, fenced_at in self._fenced_at.items()
            if epoch in unfenced
        }
        return True

    def mark_ended(self, members: set[MemberId]) -> None:
        """Take in members whose processes certainly have ended."""
        self._ended |= members

    def receive(self, member: MemberId, beat: Beat, now: float) -> None:
        """Take in a heartbeat."""
        peer = self._peers.setdefault(member, PeerState())
        peer.epoch = max(peer.epoch, beat.epoch)
        peer.received_at = now
        peer.sent_at = max(peer.sent_at, beat.sent_at)
        if beat.epoch <= self.roster.epoch:
            peer.confirmed_at = max(peer.confirmed_at, beat.echo)

    def make_heartbeat(
        self,
        member: MemberId,
        revision: int,
        serial: int,
        now: float,
    ) -> Beat:
        """Return the heartbeat for a member."""
        peer = self._peers.get(member, PeerState())
        return Beat(self.roster.epoch, now, peer.sent_at, revision, serial)

    def find_rights(self, now: float) -> float:
        """Return the time until which this member may use its own slots."""
        members = self.roster.ids
        if self.member not in members:
            return 0.0
        times = sorted(
            (self._confirmed_at(member, now) for member in members),
            reverse=True,
        )
        return times[len(members) // 2] + CONFIRM_S

    def find_fence_time(self, now: float) -> float | None:
        """Return the time since when no past epoch can be confirmed."""
        for past in self.roster.past:
            if past.epoch not in self._fenced_at and self._is_fenced(past):
                self._fenced_at[past.epoch] = now
        times = [self._fenced_at.get(past.epoch) for past in self.roster.past]
        latest = 0.0
        for time in times:
            if time is None:
                return None
            latest = max(latest, time)
        return latest

    def list_fenced_epochs(self, before: float) -> frozenset[int]:
        """Return past epochs that were fenced before a time."""
        return frozenset(
            epoch
            for epoch, fenced_at in self._fenced_at.items()
            if fenced_at <= before
        )

    def find_dead(self, now: float) -> frozenset[MemberId]:
        """Return members of the roster that have been silent too long."""
        dead = set()
        for member in self.roster.ids:
            if member == self.member:
                continue
            peer = self._peers.get(member, PeerState())
            since = max(peer.received_at, self._learned_at)
            if now >= since + DEAD_AFTER_S or member in self._ended:
                dead.add(member)
        return frozenset(dead)

    def propose(
        self,
        joining: tuple[Member, ...],
        leaving: frozenset[MemberId],
        fenced: frozenset[int],
    ) -> Roster | None:
        """Return the next roster, None where it would be the same."""
        roster = self.roster
        new = tuple(
            member for member in joining if member.member not in roster.ids
        )
        if not new and not leaving & set(roster.ids):
            return None
        return change_roster(roster, new, leaving, fenced)

    def _confirmed_at(self, member: MemberId, now: float) -> float:
        if member == self.member:
            return now
        peer = self._peers.get(member)
        return 0.0 if peer is None else peer.confirmed_at

    def _is_fenced(self, past: PastRoster) -> bool:
        count = 0
        for member in past.members:
            if self._has_moved_past(member, past.epoch):
                count += 1
        return has_majority(count, len(past.members))

    def _has_moved_past(self, member: MemberId, epoch: int) -> bool:
        if member == self.member or member in self._ended:
            return True
        peer = self._peers.get(member)
        return peer is not None and peer.epoch > epoch

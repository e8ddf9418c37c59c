"""Heartbeat-based membership: confirmed and fenced epochs, dead members."""

from dataclasses import dataclass

from ibisplank.connection import Heartbeat
from ibisplank.ids import MemberId
from ibisplank.version import (
    DISPATCH_LEASE_S,
    Member,
    PastRoster,
    Roster,
    change_roster,
    has_majority,
)

HEARTBEAT_S = 1.0
#: A member is removed from the roster after this long without a heartbeat.
DEAD_AFTER_S = 3.0


@dataclass(slots=True)
class PeerState:
    """Latest heartbeat state of another member.

    Attributes
    ----------
    received_at : float
        Time on this process's clock at which a heartbeat last arrived.
    confirmed_at : float
        Send time of the latest heartbeat of this process that the member has
        echoed while it was not at a later epoch than this process.
    sent_at : float
        Latest send time that the member put into a heartbeat, on its clock.
    """

    epoch: int = 0
    received_at: float = 0.0
    confirmed_at: float = 0.0
    sent_at: float = 0.0


class Membership:
    """Membership state of one agent.

    A member may dispatch in an epoch only while a majority of the epoch's
    members confirms it, that is, has answered heartbeats without having moved
    to a later epoch. Once a majority has moved on, the epoch is fenced: no
    member can renew its dispatch lease.
    """

    def __init__(self, member: MemberId) -> None:
        self.member = member
        self.roster = Roster()
        self._updated_at = 0.0
        self._peers: dict[MemberId, PeerState] = {}
        self._ended: set[MemberId] = set()
        self._fenced_at: dict[int, float] = {}

    def update_roster(self, roster: Roster, now: float) -> bool:
        """Store a roster if it is newer; return whether it was."""
        if roster.epoch <= self.roster.epoch:
            return False
        self.roster = roster
        self._updated_at = now
        unfenced = {past.epoch for past in roster.past}
        self._fenced_at = {
            epoch: fenced_at
            for epoch, fenced_at in self._fenced_at.items()
            if epoch in unfenced
        }
        return True

    def mark_ended(self, members: set[MemberId]) -> None:
        """Record members whose processes have certainly ended."""
        self._ended |= members

    def receive(
        self, member: MemberId, heartbeat: Heartbeat, now: float
    ) -> None:
        """Record a heartbeat from another member."""
        peer = self._peers.setdefault(member, PeerState())
        peer.epoch = max(peer.epoch, heartbeat.epoch)
        peer.received_at = now
        peer.sent_at = max(peer.sent_at, heartbeat.sent_at)
        if heartbeat.epoch <= self.roster.epoch:
            peer.confirmed_at = max(peer.confirmed_at, heartbeat.echo)

    def make_heartbeat(
        self,
        member: MemberId,
        revision: int,
        serial: int,
        now: float,
    ) -> Heartbeat:
        """Return the heartbeat to send to a member."""
        peer = self._peers.get(member, PeerState())
        return Heartbeat(self.roster.epoch, now, peer.sent_at, revision, serial)

    def find_dispatch_lease_end(self, now: float) -> float:
        """Return the expiry of this member's dispatch lease.

        The lease runs from the time at which the confirmed heartbeats were
        sent. The result is 0.0 if the member is not in the roster.
        """
        members = self.roster.ids
        if self.member not in members:
            return 0.0
        times = sorted(
            (self._confirmed_at(member, now) for member in members),
            reverse=True,
        )
        return times[len(members) // 2] + DISPATCH_LEASE_S

    def find_fence_time(self, now: float) -> float | None:
        """Return the time since which all past epochs are fenced.

        None if a past epoch can still be confirmed. Epochs that are found to
        be fenced are recorded for `list_fenced_epochs`.
        """
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
        """Return the past epochs that were fenced by a given time."""
        return frozenset(
            epoch
            for epoch, fenced_at in self._fenced_at.items()
            if fenced_at <= before
        )

    def find_dead(self, now: float) -> frozenset[MemberId]:
        """Return roster members that have ended or been silent too long."""
        dead = set()
        for member in self.roster.ids:
            if member == self.member:
                continue
            peer = self._peers.get(member, PeerState())
            since = max(peer.received_at, self._updated_at)
            if now >= since + DEAD_AFTER_S or member in self._ended:
                dead.add(member)
        return frozenset(dead)

    def propose_roster(
        self,
        joining: tuple[Member, ...],
        leaving: frozenset[MemberId],
        fenced: frozenset[int],
    ) -> Roster | None:
        """Return the next roster, or None if no member joins or leaves."""
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

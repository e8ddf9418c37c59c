"""Choice of the gateways that read the platform's store for all."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ibisplank.gateway._assignments import RoleAssignments
from ibisplank.gateway._decoding import MemberRecord
from ibisplank.ids import MemberId
from ibisplank.rendezvous import score_by_hash

#: Number of readers. They are in different zones if there are several.
READERS = 2
#: A reader that sends no update for this long is excluded.
SILENCE_TIMEOUT_S = 2.5


@dataclass(slots=True)
class Readers:
    """Chooses the readers, without coordination between gateways.

    Load pattern: the cost of the store grows with the number of readers. If a
    reader is partitioned, suspended or refused by the store, changes must
    still reach all gateways in time. All gateways rank the members alike and
    choose the first ones, and each excludes readers that send it no updates.
    Gateways that get updates from the same readers make the same choice.
    """

    own: MemberId
    _last_update_at: dict[MemberId, float] = field(default_factory=dict)
    _assignments: RoleAssignments = field(default_factory=RoleAssignments)

    def record_update(self, member: MemberId, now: float) -> None:
        """Record that a gateway sent a current update."""
        self._last_update_at[member] = now
        self._assignments.reinstate(member)

    def choose(
        self,
        members: Iterable[MemberRecord],
        now: float,
    ) -> set[MemberId]:
        """Return the gateways that should read the store now."""
        ranked = sorted(members, key=_rank_reader, reverse=True)
        self._exclude_silent(now)
        eligible = [
            each for each in ranked if self._is_eligible(each.member, now)
        ]
        chosen: list[MemberRecord] = []
        for each in eligible:
            zones = {other.zone for other in chosen}
            if len(chosen) < READERS and each.zone not in zones:
                chosen.append(each)
        for each in eligible:
            if len(chosen) < READERS and each not in chosen:
                chosen.append(each)
        names = {each.member for each in chosen}
        self._assignments.assign(names, now)
        return names

    def _is_eligible(self, member: MemberId, now: float) -> bool:
        if member == self.own:
            return True
        return self._assignments.is_eligible(member, now)

    def _exclude_silent(self, now: float) -> None:
        for member, chosen_at in self._assignments.list_assigned():
            since = max(chosen_at, self._last_update_at.get(member, 0.0))
            if member != self.own and now - since > SILENCE_TIMEOUT_S:
                self._assignments.exclude(member, now)


def _rank_reader(record: MemberRecord) -> tuple[float, int]:
    """Rank by link bandwidth first, as a reader sends to many peers."""
    return record.link_mbps, score_by_hash('reader', record.member)

"""Which gateways pass readings of the store on to their groups."""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from ibisplank.gateway._assignments import RoleAssignments
from ibisplank.ids import MemberId
from ibisplank.rendezvous import choose_by_hash

#: A relay that is not reached within this time is replaced. It is well under
#: the age at which its group reads the store for itself.
CONNECT_TIMEOUT_S = 0.8


@dataclass(slots=True)
class Relays:
    """One reader's relays, one a group.

    Load pattern: a config of many routes, sent by one reader to a hundred
    gateways, fills the reader's link for longer than a change may take to be
    in force. It sends one copy to each group instead. Two readers choose
    their relays apart, so that one lost relay leaves the other's word.

    Attributes
    ----------
    own : MemberId
        The reader.
    """

    own: MemberId
    _assignments: RoleAssignments = field(default_factory=RoleAssignments)

    def choose(
        self,
        groups: Iterable[frozenset[MemberId]],
        reached: Set[MemberId],
        now: float,
    ) -> set[MemberId]:
        """Return one gateway of each group that this one is not in.

        Parameters
        ----------
        reached : set of MemberId
            Gateways to which a stream is up.
        """
        self._exclude_unreached(reached, now)
        chosen: set[MemberId] = set()
        for group in groups:
            if self.own in group:
                continue
            relay = self._choose_one(group, now)
            if relay is not None:
                chosen.add(relay)
        self._assignments.assign(chosen, now)
        return chosen

    def _choose_one(
        self,
        group: frozenset[MemberId],
        now: float,
    ) -> MemberId | None:
        eligible = [
            member
            for member in group
            if self._assignments.is_eligible(member, now)
        ]
        return choose_by_hash(f'relay/{self.own}', eligible or group)

    def _exclude_unreached(self, reached: Set[MemberId], now: float) -> None:
        for member, chosen_at in self._assignments.list_assigned():
            if member not in reached and now - chosen_at > CONNECT_TIMEOUT_S:
                self._assignments.exclude(member, now)

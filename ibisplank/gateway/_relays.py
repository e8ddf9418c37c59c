"""Choice of the gateways that relay table updates to their groups."""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from ibisplank.gateway._assignments import RoleAssignments
from ibisplank.ids import MemberId
from ibisplank.rendezvous import choose_by_hash

#: A relay without a connection after this time is replaced. It is well below
#: the age at which the gateways of its group read the store themselves.
CONNECT_TIMEOUT_S = 0.8


@dataclass(slots=True)
class Relays:
    """Relays of one reader, one per group.

    Load pattern: sending a config of many routes to a hundred gateways would
    saturate the link of the reader beyond the time limit for a new config.
    The reader sends one copy to each group instead. The two readers choose
    their relays independently, so that a group still gets the updates of one
    reader if the relay of the other fails.

    Attributes
    ----------
    own : MemberId
        Gateway that reads the store.
    """

    own: MemberId
    _assignments: RoleAssignments = field(default_factory=RoleAssignments)

    def choose(
        self,
        groups: Iterable[frozenset[MemberId]],
        reached: Set[MemberId],
        now: float,
    ) -> set[MemberId]:
        """Return one gateway of each group that the reader is not in.

        Parameters
        ----------
        reached : set of MemberId
            Gateways with an open stream.
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

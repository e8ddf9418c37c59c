"""Slots that the roster assigns to a member, and their handover."""

from collections.abc import Iterable, Iterator

from ibisplank.connection import SlotFreed
from ibisplank.ids import MemberId, ServerId
from ibisplank.process.placing._holder import Slot, SlotState
from ibisplank.version import (
    CONFIRM_S,
    MAX_DEADLINE_S,
    Roster,
    Server,
    SlotId,
    find_holder,
)

#: Longest time for which a fenced member's loans may still be in use.
GUARD_S = CONFIRM_S + MAX_DEADLINE_S
NO_EPOCH = -1


class Ownership:
    """Slots of one member, derived from roster and backend servers.

    A slot that moves to this member is pending until every earlier holder has
    handed it over, or until `GUARD_S` after all earlier epochs were fenced.
    """

    def __init__(self, member: MemberId) -> None:
        self.roster = Roster()
        self.servers: dict[ServerId, Server] = {}
        self.held: dict[SlotId, Slot] = {}
        self._member = member
        self._fence_at: float | None = None
        self._draining: dict[SlotId, Slot] = {}
        self._early_handovers: dict[SlotId, dict[MemberId, int]] = {}

    def update_roster(self, roster: Roster, fence_at: float | None) -> bool:
        """Apply a roster; return whether it has changed."""
        if roster.epoch < self.roster.epoch:
            return False
        self._fence_at = fence_at
        if roster == self.roster:
            return False
        self.roster = roster
        return True

    def reconcile(self) -> dict[MemberId, set[SlotId]]:
        """Hold the slots that the roster assigns to this member.

        Returns
        -------
        dict
            Slots of the other members, by member.
        """
        known = {**self._draining, **self.held}
        held: dict[SlotId, Slot] = {}
        others: dict[MemberId, set[SlotId]] = {}
        for name, server in list_slots(self.servers):
            holder = find_holder(name, self.roster.ids)
            if holder is None:
                continue
            if holder == self._member:
                held[name] = self._keep(name, server, known.get(name))
                continue
            others.setdefault(holder, set()).add(name)
        self._draining = {
            name: slot
            for name, slot in known.items()
            if name not in held and slot.state is SlotState.LENT
        }
        self.held = held
        return others

    def list_handovers(self) -> Iterator[tuple[MemberId, SlotFreed]]:
        """Yield the handovers of slots that other members hold now."""
        for name, _ in list_slots(self.servers):
            holder = find_holder(name, self.roster.ids)
            if holder in {None, self._member} or name in self._draining:
                continue
            if holder is not None and self._has_held(name):
                yield holder, self._make_handover(name)

    def hand_over(self, name: SlotId) -> tuple[MemberId, SlotFreed] | None:
        """Return the handover of a slot that is free now, if it has moved."""
        if self._draining.pop(name, None) is None:
            return None
        holder = find_holder(name, self.roster.ids)
        if holder is None:
            return None
        return holder, self._make_handover(name)

    def is_draining(self, name: SlotId) -> bool:
        """Tell whether a slot that has moved is still in use here."""
        return name in self._draining

    def receive_handover(self, member: MemberId, freed: SlotFreed) -> bool:
        """Record a handover; return whether it is of a held slot."""
        name = SlotId(freed.server, freed.index)
        if freed.epoch < self.roster.epoch:
            return False
        if freed.epoch > self.roster.epoch or name not in self.held:
            self._early_handovers.setdefault(name, {})[member] = freed.epoch
            return False
        self.held[name].awaiting.discard(member)
        self.held[name].update_state()
        return True

    def apply_fence(self, now: float) -> None:
        """Free pending slots once no earlier holder can use them."""
        if self._fence_at is None or now < self._fence_at + GUARD_S:
            return
        for slot in self.held.values():
            if slot.state is SlotState.PENDING:
                slot.awaiting.clear()
                slot.update_state()

    def _keep(self, name: SlotId, server: Server, known: Slot | None) -> Slot:
        kept = known or Slot(name, server, epoch=NO_EPOCH)
        kept.server = server
        kept.awaiting = self._past_holders(kept) - self._list_early_handovers(
            name
        )
        kept.epoch = self.roster.epoch
        kept.update_state()
        return kept

    def _past_holders(self, kept: Slot) -> set[MemberId]:
        """Return the earlier holders that may still use a slot.

        A holder in an epoch that this member has applied counts only while its
        handover is outstanding.
        """
        holders = set()
        for past in self.roster.past:
            holder = find_holder(kept.slot, past.members)
            if holder is None or holder == self._member:
                continue
            if past.epoch > kept.epoch or holder in kept.awaiting:
                holders.add(holder)
        return holders

    def _list_early_handovers(self, name: SlotId) -> set[MemberId]:
        """Return who handed a slot over before this member knew the epoch."""
        early = self._early_handovers.get(name, {})
        return {
            member
            for member, epoch in early.items()
            if epoch >= self.roster.epoch
        }

    def _has_held(self, name: SlotId) -> bool:
        for past in self.roster.past:
            if find_holder(name, past.members) == self._member:
                return True
        return False

    def _make_handover(self, name: SlotId) -> SlotFreed:
        return SlotFreed(self.roster.epoch, name.server, name.index)


def list_slots(
    servers: dict[ServerId, Server],
) -> Iterable[tuple[SlotId, Server]]:
    """Yield every slot of some backend servers."""
    for name, server in servers.items():
        for index in range(server.slots):
            yield SlotId(name, index), server

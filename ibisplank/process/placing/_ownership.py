"""Slots that the roster assigns to a member, and their handover."""

from collections.abc import Iterable, Iterator

from ibisplank.connection import SlotHandover
from ibisplank.ids import MemberId, ServerId
from ibisplank.process.placing._holder import Slot, SlotState
from ibisplank.version import (
    DISPATCH_LEASE_S,
    MAX_DEADLINE_S,
    Roster,
    Server,
    SlotId,
    find_holder,
)

#: Longest time after the fencing of an epoch for which its loans may be in use.
GUARD_S = DISPATCH_LEASE_S + MAX_DEADLINE_S
#: Before every epoch.
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
        for slot_id, server in list_slots(self.servers):
            holder = find_holder(slot_id, self.roster.ids)
            if holder is None:
                continue
            if holder == self._member:
                held[slot_id] = self._update_slot(
                    slot_id, server, known.get(slot_id)
                )
                continue
            others.setdefault(holder, set()).add(slot_id)
        self._draining = {
            slot_id: slot
            for slot_id, slot in known.items()
            if slot_id not in held and slot.state is SlotState.LENT
        }
        self.held = held
        return others

    def list_handovers(self) -> Iterator[tuple[MemberId, SlotHandover]]:
        """Yield the handovers of slots that moved from here to others."""
        for slot_id, _ in list_slots(self.servers):
            holder = find_holder(slot_id, self.roster.ids)
            if holder in {None, self._member} or slot_id in self._draining:
                continue
            if holder is not None and self._has_held(slot_id):
                yield holder, self._make_handover(slot_id)

    def hand_over(
        self, slot_id: SlotId
    ) -> tuple[MemberId, SlotHandover] | None:
        """Return the handover of a slot that is free now, if it has moved."""
        if self._draining.pop(slot_id, None) is None:
            return None
        holder = find_holder(slot_id, self.roster.ids)
        if holder is None:
            return None
        return holder, self._make_handover(slot_id)

    def is_draining(self, slot_id: SlotId) -> bool:
        """Tell whether a slot that has moved is still in use here."""
        return slot_id in self._draining

    def receive_handover(
        self, member: MemberId, handover: SlotHandover
    ) -> bool:
        """Record a handover; return whether it is of a held slot."""
        slot_id = SlotId(handover.server, handover.index)
        if handover.epoch < self.roster.epoch:
            return False
        if handover.epoch > self.roster.epoch or slot_id not in self.held:
            self._early_handovers.setdefault(slot_id, {})[member] = (
                handover.epoch
            )
            return False
        self.held[slot_id].awaiting.discard(member)
        self.held[slot_id].update_state()
        return True

    def apply_fence(self, now: float) -> None:
        """Free pending slots once no earlier holder can use them."""
        if self._fence_at is None or now < self._fence_at + GUARD_S:
            return
        for slot in self.held.values():
            if slot.state is SlotState.PENDING:
                slot.awaiting.clear()
                slot.update_state()

    def _update_slot(
        self,
        slot_id: SlotId,
        server: Server,
        known: Slot | None,
    ) -> Slot:
        """Return a slot that this member holds in the current epoch."""
        slot = known or Slot(slot_id, server, epoch=NO_EPOCH)
        slot.server = server
        slot.awaiting = self._find_awaited(slot) - self._find_early(slot_id)
        slot.epoch = self.roster.epoch
        slot.update_state()
        return slot

    def _find_awaited(self, slot: Slot) -> set[MemberId]:
        """Return the earlier holders that may still use a slot.

        A holder in an epoch that this member has applied counts only while its
        handover is outstanding.
        """
        holders = set()
        for past in self.roster.past:
            holder = find_holder(slot.slot_id, past.members)
            if holder is None or holder == self._member:
                continue
            if past.epoch > slot.epoch or holder in slot.awaiting:
                holders.add(holder)
        return holders

    def _find_early(self, slot_id: SlotId) -> set[MemberId]:
        """Return the members that handed a slot over early.

        Their handovers came before this member knew the epoch or the slot.
        """
        early = self._early_handovers.get(slot_id, {})
        return {
            member
            for member, epoch in early.items()
            if epoch >= self.roster.epoch
        }

    def _has_held(self, slot_id: SlotId) -> bool:
        for past in self.roster.past:
            if find_holder(slot_id, past.members) == self._member:
                return True
        return False

    def _make_handover(self, slot_id: SlotId) -> SlotHandover:
        return SlotHandover(self.roster.epoch, slot_id.server, slot_id.index)


def list_slots(
    servers: dict[ServerId, Server],
) -> Iterable[tuple[SlotId, Server]]:
    """Yield every slot of the given backend servers."""
    for name, server in servers.items():
        for index in range(server.slots):
            yield SlotId(name, index), server

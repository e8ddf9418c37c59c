"""Queue of calls that wait for slots of one service."""

import bisect
import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from ibisplank.connection import ANY_SLOT, SlotConstraint
from ibisplank.ids import (
    CustomerId,
    MemberId,
    Priority,
    ServiceId,
    ZoneId,
)

#: Key of a flow of the fair queueing: the calls of one priority and customer.
Flow = tuple[Priority, CustomerId]


@dataclass(frozen=True, slots=True, order=True)
class QueuedCall:
    """A call of any member that waits for a slot.

    Calls of one flow compare in the order in which they are granted slots.

    Attributes
    ----------
    call : int
        Number of the call at its member.
    """

    priority: Priority
    deadline: float
    member: MemberId
    call: int
    service: ServiceId = field(compare=False)
    customer: CustomerId = field(compare=False)
    zone: ZoneId = field(compare=False)
    constraint: SlotConstraint = field(compare=False, default=ANY_SLOT)

    @property
    def flow(self) -> Flow:
        """Priority and customer; within a flow the deadline decides."""
        return self.priority, self.customer


class Queue:
    """Waiting calls in the order in which they are granted slots.

    Calls of a higher priority go first. Within a priority, customers share by
    start-time fair queueing, in which all calls cost the same, and the calls of
    one customer go by deadline.
    """

    def __init__(self) -> None:
        self._flows: dict[Flow, list[QueuedCall]] = {}
        self._next_tags: dict[Flow, int] = {}
        self._virtual_times: dict[Priority, int] = {}

    def __len__(self) -> int:
        """Return how many calls wait."""
        return sum(len(calls) for calls in self._flows.values())

    def __iter__(self) -> Iterator[QueuedCall]:
        """Iterate in order; the queue must not change meanwhile."""
        flows = list(self._flows.values())
        if len(flows) == 1:
            return iter(flows[0])
        return heapq.merge(*flows, key=self._rank)

    def add(self, queued: QueuedCall) -> None:
        """Add a call, unless it is queued already."""
        calls = self._flows.setdefault(queued.flow, [])
        position = bisect.bisect_left(calls, queued)
        if position == len(calls) or calls[position] != queued:
            calls.insert(position, queued)

    def serve(self, queued: QueuedCall) -> None:
        """Remove a call that was granted a slot, and advance its flow's tag."""
        tag = self._find_start_tag(queued.flow)
        self._virtual_times[queued.priority] = tag
        self._next_tags[queued.flow] = tag + 1
        self._remove(queued)

    def drop(self, member: MemberId, call: int) -> None:
        """Remove a call that no longer needs a slot."""
        for calls in self._flows.values():
            for queued in calls:
                if queued.call == call and queued.member == member:
                    self._remove(queued)
                    return

    def drop_expired(self, now: float) -> None:
        """Remove the calls whose deadlines have passed."""
        for calls in list(self._flows.values()):
            while calls and calls[0].deadline <= now:
                self._remove(calls[0])

    def _remove(self, queued: QueuedCall) -> None:
        calls = self._flows[queued.flow]
        calls.remove(queued)
        if calls:
            return
        self._flows.pop(queued.flow)
        if not self._flows:
            self._next_tags.clear()
            self._virtual_times.clear()

    def _find_start_tag(self, flow: Flow) -> int:
        """Return a flow's next start tag; an idle flow saves up no credit."""
        return max(
            self._virtual_times.get(flow[0], 0),
            self._next_tags.get(flow, 0),
        )

    def _rank(self, queued: QueuedCall) -> tuple[Priority, int, QueuedCall]:
        return queued.priority, self._find_start_tag(queued.flow), queued

"""Calls of the cell that wait for slots of one service."""

import bisect
import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from ibisplank.connection import ANY_SLOT, SlotChoice
from ibisplank.ids import (
    CustomerId,
    MemberId,
    Priority,
    ServiceId,
    ZoneId,
)

Line = tuple[Priority, CustomerId]


@dataclass(frozen=True, slots=True, order=True)
class Want:
    """A call of the cell that waits for a slot.

    Wants of one customer and priority compare in the order of granting.
    """

    priority: Priority
    deadline: float
    member: MemberId
    ask: int
    service: ServiceId = field(compare=False)
    customer: CustomerId = field(compare=False)
    zone: ZoneId = field(compare=False)
    choice: SlotChoice = field(compare=False, default=ANY_SLOT)

    @property
    def line(self) -> Line:
        """What the calls that are granted by deadline alone have in common."""
        return self.priority, self.customer


class Queue:
    """Waiting calls in the order of granting.

    Calls of a higher priority go first. Customers take turns among the calls
    of one priority (start-time fair queueing, one unit a call), and the calls
    of one customer go by deadline.
    """

    def __init__(self) -> None:
        self._lines: dict[Line, list[Want]] = {}
        self._turns: dict[Line, int] = {}
        self._served: dict[Priority, int] = {}

    def __len__(self) -> int:
        """Return how many calls wait."""
        return sum(len(wants) for wants in self._lines.values())

    def __iter__(self) -> Iterator[Want]:
        """Return the calls in order; leave the queue alone meanwhile."""
        lines = list(self._lines.values())
        if len(lines) == 1:
            return iter(lines[0])
        return heapq.merge(*lines, key=self._rank)

    def add(self, want: Want) -> None:
        """Queue a call, once."""
        wants = self._lines.setdefault(want.line, [])
        place = bisect.bisect_left(wants, want)
        if place == len(wants) or wants[place] != want:
            wants.insert(place, want)

    def serve(self, want: Want) -> None:
        """Take out a call that has been granted a slot."""
        turn = self._find_turn(want.line)
        self._served[want.priority] = turn
        self._turns[want.line] = turn + 1
        self._remove(want)

    def drop(self, member: MemberId, ask: int) -> None:
        """Take out a call that needs no slot any more."""
        for wants in self._lines.values():
            for want in wants:
                if want.ask == ask and want.member == member:
                    self._remove(want)
                    return

    def drop_late(self, now: float) -> None:
        """Take out the calls whose deadlines have passed."""
        for wants in list(self._lines.values()):
            while wants and wants[0].deadline <= now:
                self._remove(wants[0])

    def _remove(self, want: Want) -> None:
        wants = self._lines[want.line]
        wants.remove(want)
        if wants:
            return
        self._lines.pop(want.line)
        if not self._lines:
            self._turns.clear()
            self._served.clear()

    def _find_turn(self, line: Line) -> int:
        """Return a line's next turn; one that did not wait saves up none."""
        return max(self._served.get(line[0], 0), self._turns.get(line, 0))

    def _rank(self, want: Want) -> tuple[Priority, int, Want]:
        return want.priority, self._find_turn(want.line), want

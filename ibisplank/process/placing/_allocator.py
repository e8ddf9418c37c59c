"""Allocates slots to calls and sends the messages of the scheduler."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ibisplank.connection import AttemptReport, Message
from ibisplank.ids import CallId, MemberId
from ibisplank.process.daemons._peerlinks import PeerLinks
from ibisplank.process.placing._actions import (
    Action,
    Assign,
    Broadcast,
    Deliver,
    Lease,
    Refuse,
)
from ibisplank.process.placing._borrower import SlotDemand
from ibisplank.process.placing._scheduler import SlotScheduler

#: Interval of the scheduler's tick while calls wait or releases are delayed.
BUSY_TICK_S = 0.01
#: Interval of the scheduler's tick otherwise.
IDLE_TICK_S = 0.05
#: Time allowed for a backend server to stop working on a cancelled call.
CANCEL_S = 0.05


class Waiter:
    """A call that waits for a slot."""

    __slots__ = ('event', 'lease')

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.lease: Lease | None = None


@dataclass(frozen=True, slots=True)
class DelayedRelease:
    """Slot of a cancelled call, to be released once the call is over."""

    until: float
    lease: Lease
    report: AttemptReport | None


class SlotAllocator:
    """Allocates slots to calls as the scheduler decides.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(
        self,
        scheduler: SlotScheduler,
        links: PeerLinks,
        clock: Callable[[], float],
    ) -> None:
        self.scheduler = scheduler
        self._links = links
        self._clock = clock
        self._waiters: dict[CallId, Waiter] = {}
        self._delayed: list[DelayedRelease] = []

    async def acquire(self, demand: SlotDemand) -> Lease | None:
        """Return a lease of a slot, or None if there is none in time."""
        waiter = Waiter()
        self._waiters[demand.call] = waiter
        self.perform(self.scheduler.request(demand, self._clock()))
        try:
            if waiter.lease is None:
                with anyio.move_on_after(demand.deadline - self._clock()):
                    await waiter.event.wait()
        except BaseException:
            self._abandon(demand.call, waiter)
            raise
        finally:
            self._waiters.pop(demand.call, None)
        if waiter.lease is None:
            self.perform(self.scheduler.withdraw(demand.call))
        return waiter.lease

    def release(self, lease: Lease, report: AttemptReport | None) -> None:
        """Release a slot, with what its call showed of the server."""
        self.perform(self.scheduler.release(lease, report, self._clock()))

    def release_later(self, lease: Lease, report: AttemptReport | None) -> None:
        """Release the slot of a cancelled call after `CANCEL_S`.

        The server detects the cancellation by the closed connection.
        """
        self._delayed.append(
            DelayedRelease(self._clock() + CANCEL_S, lease, report),
        )

    def receive(self, member: MemberId, message: Message) -> None:
        """Handle a message from another member."""
        self.perform(self.scheduler.receive(member, message, self._clock()))

    def perform(self, actions: list[Action]) -> None:
        """Carry out the scheduler's actions."""
        for action in actions:
            match action:
                case Assign():
                    self._assign(action)
                case Refuse():
                    self._refuse(action.call)
                case Deliver():
                    self._links.send(action.member, action.message)
                case Broadcast():
                    self._links.send_all(action.message)

    async def run(self) -> None:
        """Run the scheduler's periodic work until cancelled."""
        advertise_at = 0.0
        while True:
            await anyio.sleep(BUSY_TICK_S if self._is_busy() else IDLE_TICK_S)
            now = self._clock()
            self._release_due(now)
            self.perform(self.scheduler.tick(now))
            if now >= advertise_at:
                self.perform(self.scheduler.advertise_idle(now))
                advertise_at = now + IDLE_TICK_S

    def _is_busy(self) -> bool:
        waiting = (
            self.scheduler.waiting or self.scheduler.holder.count_waiting()
        )
        return bool(waiting or self._delayed)

    def _release_due(self, now: float) -> None:
        due = [each for each in self._delayed if each.until <= now]
        self._delayed = [each for each in self._delayed if each.until > now]
        for each in due:
            self.release(each.lease, each.report)

    def _assign(self, action: Assign) -> None:
        waiter = self._waiters.get(action.call)
        if waiter is None:
            self.release(action.lease, None)
            return
        waiter.lease = action.lease
        waiter.event.set()

    def _refuse(self, call: CallId) -> None:
        waiter = self._waiters.get(call)
        if waiter is not None:
            waiter.event.set()

    def _abandon(self, call: CallId, waiter: Waiter) -> None:
        """Withdraw a cancelled call and release its slot, if it has one."""
        self.perform(self.scheduler.withdraw(call))
        if waiter.lease is not None:
            self.release(waiter.lease, None)

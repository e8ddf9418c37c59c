"""Runs the ledger of slots: waits for calls, sends its messages."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ibisplank.connection import AnswerReport, Message
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
from ibisplank.process.placing._borrower import Need
from ibisplank.process.placing._ledger import Ledger

BUSY_TICK_S = 0.01
IDLE_TICK_S = 0.05
#: Time in which a backend server ends a call that was cancelled.
CANCEL_S = 0.05


class Waiter:
    """A call that waits for a slot."""

    __slots__ = ('event', 'lease')

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.lease: Lease | None = None


@dataclass(frozen=True, slots=True)
class Rest:
    """A slot whose call was cancelled a moment ago."""

    until: float
    lease: Lease
    report: AnswerReport | None


class Slots:
    """Gives slots to calls.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(
        self,
        ledger: Ledger,
        links: PeerLinks,
        clock: Callable[[], float],
    ) -> None:
        self.ledger = ledger
        self._links = links
        self._clock = clock
        self._waiters: dict[CallId, Waiter] = {}
        self._rests: list[Rest] = []

    async def acquire(self, need: Need) -> Lease | None:
        """Return a slot, or None where none will come in time."""
        waiter = Waiter()
        self._waiters[need.call] = waiter
        self.perform(self.ledger.request(need, self._clock()))
        try:
            if waiter.lease is None:
                with anyio.move_on_after(need.deadline - self._clock()):
                    await waiter.event.wait()
        except BaseException:
            self._abandon(need.call, waiter)
            raise
        finally:
            self._waiters.pop(need.call, None)
        if waiter.lease is None:
            self.perform(self.ledger.withdraw(need.call))
        return waiter.lease

    def finish(self, lease: Lease, report: AnswerReport | None) -> None:
        """End the use of a slot."""
        self.perform(self.ledger.finish(lease, report, self._clock()))

    def rest(self, lease: Lease, report: AnswerReport | None) -> None:
        """End the use of a slot once its cancelled call is over.

        The server learns of the cancellation from the closed connection.
        """
        self._rests.append(Rest(self._clock() + CANCEL_S, lease, report))

    def receive(self, member: MemberId, message: Message) -> None:
        """Take in a message of another member."""
        self.perform(self.ledger.receive(member, message, self._clock()))

    def perform(self, actions: list[Action]) -> None:
        """Do what the ledger says."""
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
        """Let the ledger do what has become due, for ever."""
        hint_at = 0.0
        while True:
            await anyio.sleep(BUSY_TICK_S if self._is_busy() else IDLE_TICK_S)
            now = self._clock()
            self._end_rests(now)
            self.perform(self.ledger.tick(now))
            if now >= hint_at:
                self.perform(self.ledger.hint(now))
                hint_at = now + IDLE_TICK_S

    def _is_busy(self) -> bool:
        waiting = self.ledger.waiting or self.ledger.holder.count_waiting()
        return bool(waiting or self._rests)

    def _end_rests(self, now: float) -> None:
        over = [rest for rest in self._rests if rest.until <= now]
        self._rests = [rest for rest in self._rests if rest.until > now]
        for rest in over:
            self.finish(rest.lease, rest.report)

    def _assign(self, action: Assign) -> None:
        waiter = self._waiters.get(action.call)
        if waiter is None:
            self.finish(action.lease, None)
            return
        waiter.lease = action.lease
        waiter.event.set()

    def _refuse(self, call: CallId) -> None:
        waiter = self._waiters.get(call)
        if waiter is not None:
            waiter.event.set()

    def _abandon(self, call: CallId, waiter: Waiter) -> None:
        """Give back what a cancelled call had or would have had."""
        self.perform(self.ledger.withdraw(call))
        if waiter.lease is not None:
            self.finish(waiter.lease, None)

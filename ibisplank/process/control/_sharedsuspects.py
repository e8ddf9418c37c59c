"""Replicates records of suspect requests to all members."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from loguru import logger

from ibisplank.connection import (
    SuspectAck,
    SuspectCleared,
    SuspectMessage,
    SuspectReport,
)
from ibisplank.ids import MemberId, ServerId
from ibisplank.process.daemons._peerlinks import PeerLinks
from ibisplank.request import Suspects, Verdict, refuse_suspect

#: Longest wait for members to acknowledge a death.
ACK_TIMEOUT_S = 0.25


@dataclass(slots=True)
class PendingAcks:
    """Acknowledgements of one death that are still outstanding.

    Attributes
    ----------
    unacknowledged : set of MemberId
        Members that have not acknowledged yet.
    all_acknowledged : Event
        Set once every member has acknowledged.
    """

    unacknowledged: set[MemberId]
    all_acknowledged: anyio.Event


class SharedSuspects:
    """Suspect requests, replicated to the other members.

    A request is suspect when a backend server died while it ran. It may then
    run only as a trial, that is, as the only suspect request on a server; it
    is refused if a server dies during that trial.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(self, links: PeerLinks, clock: Callable[[], float]) -> None:
        self._suspects = Suspects()
        self._links = links
        self._clock = clock
        self._pending: dict[int, PendingAcks] = {}
        self._numbers = itertools.count(1)

    def judge(self, digest: str) -> Verdict:
        """Return the verdict on a request."""
        return self._suspects.judge(digest, self._clock())

    def check(self, digest: str, *, may_have_run: bool) -> None:
        """Refuse a request during whose trial a backend server died.

        Raises
        ------
        Refused
            The verdict on the request is `Verdict.REFUSED`.
        """
        if self.judge(digest) is Verdict.REFUSED:
            raise refuse_suspect(may_have_run=may_have_run)

    async def report_death(
        self, digest: str, server: ServerId, *, trial: bool
    ) -> None:
        """Record a death and wait until the connected members acknowledge it.

        The caller may resend the request to any entry as soon as it has an
        answer, so the other entries must know of the death before that. The
        wait ends after `ACK_TIMEOUT_S`.
        """
        logger.warning('server {} died during request {}', server, digest)
        now = self._clock()
        self._suspects.record_death(digest, now, trial=trial)
        number = next(self._numbers)
        pending = PendingAcks(set(self._links.connected), anyio.Event())
        if not pending.unacknowledged:
            return
        self._pending[number] = pending
        self._links.send_all(SuspectReport(number, digest, trial))
        with anyio.move_on_after(ACK_TIMEOUT_S):
            await pending.all_acknowledged.wait()
        self._pending.pop(number)

    def clear(self, digest: str) -> None:
        """Clear a suspect request whose trial succeeded, at all members."""
        if self._suspects.clear(digest, self._clock()):
            self._links.send_all(SuspectCleared(digest))

    def receive(self, member: MemberId, message: SuspectMessage) -> None:
        """Handle a suspect message from another member."""
        match message:
            case SuspectReport():
                self._suspects.record_death(
                    message.digest,
                    self._clock(),
                    trial=message.trial,
                )
                self._links.send(member, SuspectAck(message.number))
            case SuspectCleared():
                self._suspects.clear(message.digest, self._clock())
            case SuspectAck():
                self._receive_ack(member, message.number)

    def sync_member(self, member: MemberId) -> None:
        """Send all current records to a newly connected member.

        The reports have the sequence number 0, because nothing waits for their
        acknowledgements.
        """
        for digest, verdict in self._suspects.list_records(self._clock()):
            update = SuspectReport(0, digest, verdict is Verdict.REFUSED)
            self._links.send(member, update)

    def __len__(self) -> int:
        """Return the number of requests on record."""
        return len(self._suspects)

    def _receive_ack(self, member: MemberId, number: int) -> None:
        pending = self._pending.get(number)
        if pending is None:
            return
        pending.unacknowledged.discard(member)
        if not pending.unacknowledged:
            pending.all_acknowledged.set()

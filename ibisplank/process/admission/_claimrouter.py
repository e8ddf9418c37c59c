"""Routes the claims and outcomes of a cell to a single writer."""

import itertools
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import (
    ClaimMessage,
    ClaimReply,
    ClaimRequest,
    ClaimResult,
)
from ibisplank.errors import StoreDown
from ibisplank.ids import MemberId, ServerId
from ibisplank.process.daemons._peerlinks import PeerLinks
from ibisplank.request import (
    AlreadyClaimed,
    ClaimSink,
    ClaimWrite,
    NotOwned,
    decode_claim,
)
from ibisplank.version import Roster, SlotId, find_holder

#: A member writes to the table itself after this long without a reply.
WRITER_TIMEOUT_S = 1.0
#: Key of the rendezvous hash that elects the cell's writer.
WRITER_KEY = SlotId(ServerId('claims'), 0)


@dataclass(slots=True)
class PendingWrite:
    """A write that was sent to the writer and awaits its reply."""

    done: anyio.Event = field(default_factory=anyio.Event)
    reply: ClaimReply | None = None


class ClaimRouter:
    """Sends writes to the member that is elected as the cell's writer.

    Each write carries the token of its attempt, so a write that is made both
    by the writer and by this member takes effect once.

    Parameters
    ----------
    writer : ClaimSink
        Writes to the table from this process.
    timeout_s : float
        Longest wait in seconds for the reply of the cell's writer.
    """

    def __init__(
        self,
        member: MemberId,
        writer: ClaimSink,
        links: PeerLinks,
        timeout_s: float = WRITER_TIMEOUT_S,
    ) -> None:
        self._member = member
        self._writer = writer
        self._links = links
        self._timeout_s = timeout_s
        self._roster = Roster()
        self._group: TaskGroup | None = None
        self._pending: dict[int, PendingWrite] = {}
        self._numbers = itertools.count(1)

    def update_roster(self, roster: Roster) -> None:
        """Apply a roster, from whose members the writer is elected."""
        self._roster = roster

    def set_task_group(self, group: TaskGroup) -> None:
        """Set the task group in which requests of other members are served."""
        self._group = group

    async def submit(self, write: ClaimWrite) -> None:
        """Write a claim or an outcome to the table.

        Raises
        ------
        AlreadyClaimed
            Another attempt has claimed the request id.
        NotOwned
            The row of the outcome now belongs to another attempt.
        StoreDown
            It is not known whether the write is in the table.
        """
        member = find_holder(WRITER_KEY, self._roster.ids)
        if member is not None and member in self._links.connected:
            reply = await self._request_write(member, write)
            if reply is not None and reply.result is not ClaimResult.DOWN:
                _raise_failure(reply)
                return
        await self._writer.submit(write)

    def receive(
        self,
        member: MemberId,
        message: ClaimMessage,
    ) -> None:
        """Handle a claim message from another member."""
        match message:
            case ClaimRequest():
                if self._group is not None:
                    self._group.start_soon(self._serve, member, message)
            case ClaimReply():
                pending = self._pending.get(message.number)
                if pending is not None:
                    pending.reply = message
                    pending.done.set()

    async def _request_write(
        self,
        member: MemberId,
        write: ClaimWrite,
    ) -> ClaimReply | None:
        """Return the writer's reply, or None on timeout."""
        number = next(self._numbers)
        pending = PendingWrite()
        self._pending[number] = pending
        request = ClaimRequest(
            number,
            write.key,
            write.body,
            write.token,
            write.is_outcome,
        )
        self._links.send(member, request)
        try:
            with anyio.move_on_after(self._timeout_s):
                await pending.done.wait()
        finally:
            self._pending.pop(number)
        return pending.reply

    async def _serve(self, member: MemberId, request: ClaimRequest) -> None:
        write = ClaimWrite(
            request.key, request.body, request.token, request.is_outcome
        )
        reply = ClaimReply(request.number, ClaimResult.WRITTEN)
        try:
            await self._writer.submit(write)
        except AlreadyClaimed as claimed:
            body = claimed.record.encode()
            reply = ClaimReply(
                request.number, ClaimResult.ALREADY_CLAIMED, body
            )
        except NotOwned:
            reply = ClaimReply(request.number, ClaimResult.NOT_OWNED)
        except StoreDown:
            reply = ClaimReply(request.number, ClaimResult.DOWN)
        self._links.send(member, reply)


def _raise_failure(reply: ClaimReply) -> None:
    """Raise the exception that corresponds to a failed write."""
    match reply.result:
        case ClaimResult.ALREADY_CLAIMED:
            raise AlreadyClaimed(decode_claim(reply.record))
        case ClaimResult.NOT_OWNED:
            raise NotOwned

"""Takes claims and outcomes of a whole cell to one writer."""

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
from ibisplank.process.daemons._links import Links
from ibisplank.request import (
    AlreadyClaimed,
    ClaimSink,
    ClaimWrite,
    NotOwned,
    decode_claim,
)
from ibisplank.version import Roster, SlotId, find_holder

#: After this without the writer's reply a member writes itself.
WRITER_WAIT_S = 1.0
#: Stands for the writer's duty in the rendezvous hash.
WRITER_DUTY = SlotId(ServerId('claims'), 0)


@dataclass(slots=True)
class Pending:
    """A write that another member was asked for."""

    done: anyio.Event = field(default_factory=anyio.Event)
    reply: ClaimReply | None = None


class ClaimDesk:
    """Sends writes to the member that writes for the cell.

    Every write carries its attempt's token, so that one which is made twice,
    by the writer and by this member, has the effect of one.

    Parameters
    ----------
    writer : ClaimSink
        Writes to the table from here.
    wait_s : float
        Longest wait for the cell's writer.
    """

    def __init__(
        self,
        member: MemberId,
        writer: ClaimSink,
        links: Links,
        wait_s: float = WRITER_WAIT_S,
    ) -> None:
        self._member = member
        self._writer = writer
        self._links = links
        self._wait_s = wait_s
        self._roster = Roster()
        self._group: TaskGroup | None = None
        self._pending: dict[int, Pending] = {}
        self._numbers = itertools.count(1)

    def learn_roster(self, roster: Roster) -> None:
        """Take in the members, of which one writes."""
        self._roster = roster

    def run_in(self, group: TaskGroup) -> None:
        """Serve the other members in a task group."""
        self._group = group

    async def submit(self, write: ClaimWrite) -> None:
        """Return once a write is in the table.

        Raises
        ------
        AlreadyClaimed
            Another attempt owns the request id.
        NotOwned
            The outcome's row belongs to another attempt by now.
        StoreDown
            It could not be settled whether the write is in the table.
        """
        member = find_holder(WRITER_DUTY, self._roster.ids)
        if member is not None and member in self._links.reached:
            reply = await self._ask(member, write)
            if reply is not None and reply.result is not ClaimResult.DOWN:
                _check(reply)
                return
        await self._writer.submit(write)

    def receive(
        self,
        member: MemberId,
        message: ClaimMessage,
    ) -> None:
        """Take in a message of another member."""
        match message:
            case ClaimRequest():
                if self._group is not None:
                    self._group.start_soon(self._serve, member, message)
            case ClaimReply():
                pending = self._pending.get(message.number)
                if pending is not None:
                    pending.reply = message
                    pending.done.set()

    async def _ask(
        self,
        member: MemberId,
        write: ClaimWrite,
    ) -> ClaimReply | None:
        """Return the writer's reply, None where none comes in time."""
        number = next(self._numbers)
        pending = Pending()
        self._pending[number] = pending
        ask = ClaimRequest(
            number,
            write.key,
            write.body,
            write.token,
            write.is_outcome,
        )
        self._links.send(member, ask)
        try:
            with anyio.move_on_after(self._wait_s):
                await pending.done.wait()
        finally:
            self._pending.pop(number)
        return pending.reply

    async def _serve(self, member: MemberId, ask: ClaimRequest) -> None:
        write = ClaimWrite(ask.key, ask.body, ask.token, ask.is_outcome)
        reply = ClaimReply(ask.number, ClaimResult.WRITTEN)
        try:
            await self._writer.submit(write)
        except AlreadyClaimed as resent:
            body = resent.record.encode()
            reply = ClaimReply(ask.number, ClaimResult.RESENT, body)
        except NotOwned:
            reply = ClaimReply(ask.number, ClaimResult.NOT_OWNED)
        except StoreDown:
            reply = ClaimReply(ask.number, ClaimResult.DOWN)
        self._links.send(member, reply)


def _check(reply: ClaimReply) -> None:
    """Raise what the writer met."""
    match reply.result:
        case ClaimResult.RESENT:
            raise AlreadyClaimed(decode_claim(reply.record))
        case ClaimResult.NOT_OWNED:
            raise NotOwned

"""Memory for the bodies of calls, and how they are read into it."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum

import anyio

from ibisplank.connection import Receive, receive_parts
from ibisplank.gateway._headers import Headers, find_header
from ibisplank.gateway._settings import share_memory

#: Part of the VM's memory that the bodies of all calls may take. Each of their
#: bytes is held up to three times: as received, as joined, and in the buffer
#: of the connection to the server.
BODY_MEMORY_SHARE = 0.15


class BodyFailure(Enum):
    """Why a body was not read to its end."""

    TOO_LARGE = 'body too large'
    NO_MEMORY = 'no memory for the body'
    STALLED = 'body not sent in time'


@dataclass(slots=True)
class BodyMemory:
    """Bytes of memory that the bodies of calls share.

    Load pattern: many callers send large bodies at once to a small VM. A body
    is held until its call ends, as the call may have to be sent to another
    server. While too much is held, no further body is read, so that the
    connections of their callers fill up and slow these down; a body that does
    not fit in time is not read at all, and its call is refused.

    Examples
    --------
    >>> memory = BodyMemory(limit=10)
    >>> memory.take(8), memory.take(3)
    (True, False)
    >>> memory.give_back(8)
    >>> memory.take(3)
    True
    """

    limit: int
    held: int = 0
    _freed: anyio.Event = field(default_factory=anyio.Event)

    @classmethod
    def for_vm(cls, memory_mb: float) -> 'BodyMemory':
        """Return the memory for bodies on a VM."""
        return cls(share_memory(memory_mb, BODY_MEMORY_SHARE))

    def take(self, size: int) -> bool:
        """Take some bytes; return whether there is room for them.

        A body larger than the limit fits alone.
        """
        if self.held and self.held + size > self.limit:
            return False
        self.held += size
        return True

    async def take_in_time(self, size: int, wait_s: float) -> bool:
        """Take some bytes, waiting for room; return whether there is room."""
        with anyio.move_on_after(wait_s):
            while not self.take(size):
                await self._freed.wait()
            return True
        return False

    def give_back(self, size: int) -> None:
        """Give bytes back."""
        self.held -= size
        self._freed.set()
        self._freed = anyio.Event()


@dataclass(slots=True)
class HeldBody:
    """Memory that one call has taken for its body.

    Attributes
    ----------
    wait_s : float
        Longest wait for room.
    """

    memory: BodyMemory
    wait_s: float = 0.0
    held: int = 0

    async def reserve(self, size: int) -> bool:
        """Make sure of some bytes in total; return whether there is room."""
        missing = size - self.held
        if missing <= 0:
            return True
        if not await self.memory.take_in_time(missing, self.wait_s):
            return False
        self.held = size
        return True


@contextlib.asynccontextmanager
async def hold_body(memory: BodyMemory) -> AsyncIterator[HeldBody]:
    """Give the memory of a body back when its call has ended."""
    held = HeldBody(memory)
    try:
        yield held
    finally:
        memory.give_back(held.held)


async def read_call_body(
    receive: Receive,
    headers: Headers,
    held: HeldBody,
    most_bytes: int,
    time_s: float,
) -> bytes | BodyFailure:
    """Return the body of a call, or why it was not read to its end.

    Parameters
    ----------
    held : HeldBody
        Takes the memory for the body, before it is read if its length is
        stated.
    most_bytes : int
        Length above which it is not read.
    time_s : float
        Time within which the caller has to send it.

    Raises
    ------
    ConnectionResetError
        The caller disconnected before the body was complete.
    """
    length = _parse_length(find_header(headers, b'content-length'))
    if length > most_bytes:
        return BodyFailure.TOO_LARGE
    if not await held.reserve(length):
        return BodyFailure.NO_MEMORY
    parts: list[bytes] = []
    size = 0
    with anyio.move_on_after(time_s):
        async for part in receive_parts(receive):
            size += len(part)
            if size > most_bytes:
                return BodyFailure.TOO_LARGE
            if not await held.reserve(size):
                return BodyFailure.NO_MEMORY
            parts.append(part)
        return b''.join(parts)
    return BodyFailure.STALLED


def _parse_length(text: bytes | None) -> int:
    """Return the stated length of a body, 0 if there is none.

    >>> _parse_length(b'12'), _parse_length(None)
    (12, 0)
    """
    return int(text) if text is not None and text.isdigit() else 0

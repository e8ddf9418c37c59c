"""Messages that wait for the one task that writes to a stream."""

from typing import Any

import anyio

from ibisplank.connection._messages import Envelope, Message
from ibisplank.errors import PeerStreamLost
from ibisplank.faults import Boundary, FaultLog

#: Maximum number of messages that wait on one stream.
OUTBOX_LIMIT = 10000


class _Frame:
    """Messages that are written together.

    Attributes
    ----------
    ended : Event
        Set when they were written, or never will be.
    """

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.ended = anyio.Event()
        self.written = False


class Outbox:
    """Messages that wait for the task of their stream.

    The stream is written to by that task only, so that its loss ends no other
    task, and no frame is interrupted by another.
    """

    def __init__(self, faults: FaultLog) -> None:
        self._faults = faults
        self._frame = _Frame()
        self._wake = anyio.Event()
        self._closed = False

    def add(self, message: Message) -> bool:
        """Queue a message; return whether the stream is up and has room."""
        if self._closed or len(self._frame.messages) >= OUTBOX_LIMIT:
            return False
        self._frame.messages.append(message)
        self._wake.set()
        return True

    async def deliver(self, message: Message) -> bool:
        """Queue a message, wait for its end; return whether it was written."""
        frame = self._frame
        if not self.add(message):
            return False
        await frame.ended.wait()
        return frame.written

    async def write_to(self, stream: Any) -> None:
        """Write messages until the stream is lost or the task is cancelled.

        Raises
        ------
        PeerStreamLost
            A write failed.
        """
        try:
            while True:
                await self._wake.wait()
                await self._write_frame(stream)
        finally:
            self.close()

    def close(self) -> None:
        """End the messages that have not been written."""
        self._closed = True
        self._frame.ended.set()

    async def _write_frame(self, stream: Any) -> None:
        frame = self._frame
        self._frame = _Frame()
        self._wake = anyio.Event()
        try:
            await stream.send_message(Envelope(tuple(frame.messages)))
            frame.written = True
        except Exception as error:
            # `grpclib` lets through what the event loop and the HTTP/2 library
            # raise when the connection is lost under a writer.
            self._faults.record(Boundary.PEER_WRITE, error)
            raise PeerStreamLost(repr(error)) from error
        finally:
            frame.ended.set()

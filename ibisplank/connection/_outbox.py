"""Messages that wait for the one task that writes to a stream."""

from collections import deque
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

    Parameters
    ----------
    frame_limit : int
        Messages that are written together at most.
    """

    def __init__(
        self, faults: FaultLog, frame_limit: int = OUTBOX_LIMIT
    ) -> None:
        self._faults = faults
        self._frame_limit = frame_limit
        self._frames = deque((_Frame(),))
        self._waiting = 0
        self._wake = anyio.Event()
        self._closed = False

    def add(self, message: Message) -> bool:
        """Queue a message; return whether the stream is up and has room."""
        return self._queue(message) is not None

    async def deliver(self, message: Message) -> bool:
        """Queue a message, wait for its end; return whether it was written."""
        frame = self._queue(message)
        if frame is None:
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
                self._wake = anyio.Event()
                while self._waiting:
                    await self._write_frame(stream)
        finally:
            self._close()

    def _queue(self, message: Message) -> _Frame | None:
        """Queue a message; return its frame, None if there is no room."""
        if self._closed or self._waiting >= OUTBOX_LIMIT:
            return None
        if len(self._frames[-1].messages) >= self._frame_limit:
            self._frames.append(_Frame())
        frame = self._frames[-1]
        frame.messages.append(message)
        self._waiting += 1
        self._wake.set()
        return frame

    async def _write_frame(self, stream: Any) -> None:
        frame = self._frames.popleft()
        self._waiting -= len(frame.messages)
        if not self._frames:
            self._frames.append(_Frame())
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

    def _close(self) -> None:
        """End the messages that have not been written."""
        self._closed = True
        for frame in self._frames:
            frame.ended.set()

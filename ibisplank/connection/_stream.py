"""Network stream with a bound on the bytes of an answer."""

from ssl import SSLContext
from typing import Any

import anyio
import httpcore

from ibisplank.connection._answermemory import AnswerMemory, HeldAnswer

#: Bytes per read. The event loop is blocked while they are parsed.
MAX_READ_BYTES = 16384
#: More than an event loop receives at once.
MAX_RECEIVED_BYTES = 1048576
#: A longer request is written in parts of this size, and an answer awaited
#: meanwhile.
MAX_WRITE_BYTES = 32768
#: Interval of the check for an answer while a request is written.
ANSWER_POLL_S = 0.01


class BoundedStream(httpcore.AsyncNetworkStream):
    """Fails a read if the answer is longer than allowed.

    A server may send bytes without end, which the parser would buffer or skip
    until the deadline of the call.

    Attributes
    ----------
    exceeded : bool
        Whether an answer was longer than allowed.
    rest : bytes
        Bytes that were received and not read so far.
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, memory: AnswerMemory
    ) -> None:
        self.exceeded = False
        self.rest = b''
        self._head: bytearray | None = None
        self._stream = stream
        self._memory = memory
        self._answer = HeldAnswer('')
        self._left = 0

    @property
    def heard(self) -> bool:
        """Whether any byte of the current answer was received."""
        return self._answer.size > 0

    def begin(self, answer: HeldAnswer) -> None:
        """Account for what is read from now on as a new answer."""
        self._answer = answer
        self._head = bytearray()

    def end_head(self) -> bytes:
        """Return what was read of the current answer; keep no more of it."""
        head = self._head or b''
        self._head = None
        return bytes(head)

    def allow(self, most_bytes: int) -> None:
        """Set how many more bytes may be read."""
        self._left = most_bytes

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes.

        Raises
        ------
        httpcore.ReadError
            The answer is longer than allowed.
        """
        if self._left <= 0:
            self.exceeded = True
            raise httpcore.ReadError('the answer is longer than allowed')
        if not self.rest:
            # The library would keep what is over to itself.
            self.rest = await self._stream.read(MAX_RECEIVED_BYTES, timeout)
            self._memory.add(self._answer, len(self.rest))
        most = min(max_bytes, MAX_READ_BYTES)
        received = self.rest[:most]
        self.rest = self.rest[most:]
        self._left -= len(received)
        if self._head is not None:
            self._head += received
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes, and stop if the server answers before it has them all.

        A server may reject a long body early and read on later, or never.

        Raises
        ------
        httpcore.WriteError
            The server has answered or closed the connection, which must not be
            used for another request. `httpcore` reads the answer then.
        """
        if len(buffer) <= MAX_WRITE_BYTES:
            await self._stream.write(buffer, timeout)
            return
        failure: Exception | None = httpcore.WriteError(
            'answered before the body was sent'
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._stop_on_answer, group.cancel_scope)
            try:
                await self._write_parts(buffer, timeout)
            except (httpcore.WriteError, httpcore.WriteTimeout) as error:
                failure = error
            else:
                failure = None
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS; the stream returned is not bounded."""
        return await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )

    def get_extra_info(self, info: str) -> Any:
        """Return information about the stream."""
        if info == 'is_readable' and self.rest:
            return True
        return self._stream.get_extra_info(info)

    async def _write_parts(self, buffer: bytes, timeout: float | None) -> None:
        for start in range(0, len(buffer), MAX_WRITE_BYTES):
            part = buffer[start : start + MAX_WRITE_BYTES]
            await self._stream.write(part, timeout)

    async def _stop_on_answer(self, scope: anyio.CancelScope) -> None:
        """Cancel a scope once there is something to read."""
        while not self.get_extra_info('is_readable'):
            await anyio.sleep(ANSWER_POLL_S)
        scope.cancel()

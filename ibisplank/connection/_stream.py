"""Network stream with a bound on the bytes of an answer."""

from ssl import SSLContext
from typing import Any

import httpcore

#: Bytes per read. The event loop is blocked while they are parsed.
MAX_READ_BYTES = 16384


class BoundedStream(httpcore.AsyncNetworkStream):
    """Fails a read if the answer is longer than allowed.

    A server may send bytes without end, which the parser would buffer or skip
    until the deadline of the call.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._left = 0

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
            raise httpcore.ReadError('the answer is longer than allowed')
        received = await self._stream.read(
            min(max_bytes, MAX_READ_BYTES), timeout
        )
        self._left -= len(received)
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes."""
        await self._stream.write(buffer, timeout)

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
        return self._stream.get_extra_info(info)

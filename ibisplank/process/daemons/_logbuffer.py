"""Structured log lines that are bounded in volume and never block."""

import os
import select
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from loguru import logger

#: Lines that may wait to be written.
MAX_BUFFERED_LINES = 2000
#: Lines a second that are kept in the long run, and a burst of these.
LINES_PER_S = 200.0
BURST_LINES = 400.0
FLUSH_INTERVAL_S = 0.2
#: A pipe that is writable takes this much without blocking.
MAX_WRITE_BYTES = 4096


def log_event(event: str, **fields: object) -> None:
    """Log one structured line at level INFO."""
    logger.bind(**fields).info(event)


@dataclass(slots=True)
class LogRateLimit:
    """Token bucket over log lines.

    Examples
    --------
    >>> limit = LogRateLimit(tokens=1.0)
    >>> limit.take(0.0), limit.take(0.0), limit.dropped
    (True, False, 1)
    """

    tokens: float = BURST_LINES
    dropped: int = 0
    _refilled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Tell whether one more line may be kept."""
        earned = (
            (now - self._refilled_at) * LINES_PER_S
            if self._refilled_at
            else 0.0
        )
        self.tokens = min(BURST_LINES, self.tokens + earned)
        self._refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class LogBuffer:
    """Lines that wait until the stream takes them.

    Parameters
    ----------
    fd : int
        File descriptor of the stream.
    """

    fd: int
    clock: Callable[[], float]
    limit: LogRateLimit = field(default_factory=LogRateLimit)
    _buffer: deque[bytes] = field(default_factory=deque)
    _reported: int = 0

    @property
    def dropped(self) -> int:
        """Lines that were lost to the bounds."""
        return self.limit.dropped

    def add(self, message: Any) -> None:
        """Take a record of `loguru`."""
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.limit.dropped += 1
            return
        if self.limit.take(self.clock()):
            self._buffer.append(format_line(message.record))

    def flush(self) -> None:
        """Write as much as the stream takes without blocking."""
        while self._buffer and self._is_writable():
            chunk = bytearray(self._buffer.popleft())
            while self._buffer:
                if len(chunk) + len(self._buffer[0]) > MAX_WRITE_BYTES:
                    break
                chunk += self._buffer.popleft()
            os.write(self.fd, chunk)

    async def run(self) -> None:
        """Write lines for ever, and tell how many were dropped."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            if self.dropped > self._reported:
                self._reported = self.dropped
                log_event('log lines dropped', total=self.dropped)
            self.flush()

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))


def format_line(record: dict[str, Any]) -> bytes:
    """Return a record as one line of JSON."""
    line = {
        'at': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    return msgspec.json.encode(line, enc_hook=str) + b'\n'

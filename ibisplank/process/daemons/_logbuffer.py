"""Rate-limited, non-blocking buffer for structured log lines."""

import os
import select
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from loguru import logger

#: Maximum number of lines that wait to be written.
MAX_BUFFERED_LINES = 2000
#: Sustained rate of the limit on log lines, and its burst.
LINES_PER_S = 200.0
BURST_LINES = 400.0
FLUSH_INTERVAL_S = 0.2
#: A pipe that polls as writable accepts this many bytes without blocking.
MAX_WRITE_BYTES = 4096


def log_event(event: str, **fields: object) -> None:
    """Log one structured line at level INFO."""
    logger.bind(**fields).info(event)


@dataclass(slots=True)
class LogRateLimit:
    """Token bucket that limits the rate of log lines.

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
        """Take one token; return whether the line may be kept."""
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
    """Log lines that wait until the stream is writable.

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
        """Number of lines dropped by the rate limit or a full buffer."""
        return self.limit.dropped

    def add(self, message: Any) -> None:
        """Buffer a `loguru` record; drop it if a limit is reached."""
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.limit.dropped += 1
            return
        if self.limit.take(self.clock()):
            self._buffer.append(format_line(message.record))

    def flush(self) -> None:
        """Write as many lines as the stream accepts without blocking."""
        while self._buffer and self._is_writable():
            chunk = bytearray(self._buffer.popleft())
            while self._buffer:
                if len(chunk) + len(self._buffer[0]) > MAX_WRITE_BYTES:
                    break
                chunk += self._buffer.popleft()
            os.write(self.fd, chunk)

    async def run(self) -> None:
        """Write lines and log the number dropped, until cancelled."""
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

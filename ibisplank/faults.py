"""Fault boundaries: where an unexpected exception stops.

What enters from outside (a stream, a message, a row, an answer) may cost itself
only. Each is handled within a boundary that logs and counts what it stops.
Tasks without input from outside have no boundary: their failure ends the
process, which is started again.
"""

import contextlib
import traceback
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from loguru import logger

#: Different faults that are logged. All are counted.
MAX_LOGGED = 100
#: Innermost frames of the traceback in a log line.
LOGGED_FRAMES = 4

ErrorTypes = tuple[type[Exception], ...]


class Boundary(Enum):
    """What a fault may cost at most.

    Attributes
    ----------
    PEER_STREAM
        A stream to or from another process, which is opened again.
    PEER_WRITE
        The same, because its connection was lost while a message was written.
    MESSAGE_SENT
        A message that cannot be encoded.
    MESSAGE_RECEIVED
        A message of another process.
    HANDED_OVER_CALL
        A call that another gateway has handed over.
    ROW
        A row of the platform's store.
    STORE_CALL
        A read or write of the platform's store, which is repeated.
    PROBE
        A probe of a backend server.
    PATH_CHECK
        A check which services are reached.
    """

    PEER_STREAM = 'peer_stream'
    PEER_WRITE = 'peer_write'
    MESSAGE_SENT = 'message_sent'
    MESSAGE_RECEIVED = 'message_received'
    HANDED_OVER_CALL = 'handed_over_call'
    ROW = 'row'
    STORE_CALL = 'store_call'
    PROBE = 'probe'
    PATH_CHECK = 'path_check'


@dataclass(slots=True)
class FaultLog:
    """Counts the faults that boundaries have stopped, and logs each kind once.

    Examples
    --------
    >>> faults = FaultLog()
    >>> with faults.contain(Boundary.PROBE, server='s'):
    ...     raise ValueError('odd answer')
    >>> faults.count(Boundary.PROBE)
    1
    """

    _counts: Counter[Boundary] = field(default_factory=Counter)
    _logged: set[tuple[object, ...]] = field(default_factory=set)

    @contextlib.contextmanager
    def contain(
        self,
        boundary: Boundary,
        expected: ErrorTypes = (),
        **context: object,
    ) -> Iterator[None]:
        """Stop exceptions, but not the cancellation of the task.

        Parameters
        ----------
        expected : tuple of exception types
            Types that are stopped without being recorded as faults.
        context : dict
            Fields of the log line.
        """
        try:
            yield
        except Exception as error:
            fault = _remove_expected(error, expected)
            if fault is not None:
                self.record(boundary, fault, **context)

    def record(
        self, boundary: Boundary, error: Exception, **context: object
    ) -> None:
        """Count a fault that was stopped, and log it if it is a new one."""
        self._counts[boundary] += 1
        frames = _format_frames(error)
        kind = (boundary, type(error).__name__, *frames[-1:])
        if kind in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(kind)
        logger.bind(
            boundary=boundary.value,
            error=repr(error),
            frames=frames,
            **context,
        ).error('fault contained')

    def count(self, boundary: Boundary) -> int:
        """Return how many faults a boundary has stopped."""
        return self._counts[boundary]


def _remove_expected(
    error: Exception, expected: ErrorTypes
) -> Exception | None:
    """Return what is left of an exception without the expected types."""
    if isinstance(error, ExceptionGroup):
        return error.split(expected)[1] if expected else error
    return None if isinstance(error, expected) else error


def _format_frames(error: Exception) -> list[str]:
    """Return the innermost frames of an exception, of a group its first."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)[-LOGGED_FRAMES:]
    return [f'{each.filename}:{each.lineno} {each.name}' for each in frames]

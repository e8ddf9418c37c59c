"""Fault of a backend server that answers a request twice."""

import random
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import Any
from weakref import WeakKeyDictionary

import anyio

from ibisplank.connection import Send, find_transport
from ibisplank.gateway import HeaderNames

OK = 200
STATUS_LINES = MappingProxyType(
    {
        OK: b'HTTP/1.1 200 OK',
        500: b'HTTP/1.1 500 Internal Server Error',
    }
)
SECOND_BODY = b'ok'
#: Second answers that come later do so within the one or the other time: while
#: the connection is idle for a moment, or during one of the next requests.
SHORT_DELAY_S = 0.005
LONG_DELAY_S = 1.0


class SecondMoment(Enum):
    """When a server sends its second answer to a request.

    Attributes
    ----------
    AT_ONCE
        Together with the first one.
    LATER
        After a random delay.
    NEXT
        As the next request on the connection arrives, before the answer to it.
    """

    AT_ONCE = 'at once'
    LATER = 'later'
    NEXT = 'next'


@dataclass(frozen=True, slots=True)
class DoubleAnswers:
    """Which second answers a server sends.

    Attributes
    ----------
    share : float
        Share of answers that a second one follows.
    moment : SecondMoment
        When it is sent.
    named : bool
        Whether it has the id of the request that was answered.
    status : int
        Its status, one of `STATUS_LINES`.
    cut : bool
        Whether it ends at a random byte; the connection stays open.
    """

    share: float = 1.0
    moment: SecondMoment = SecondMoment.AT_ONCE
    named: bool = False
    status: int = OK
    cut: bool = False


@dataclass(frozen=True, slots=True)
class OwnAnswer:
    """An answer as a backend server gave it, before any fault.

    Attributes
    ----------
    request_id : str
        Id of the request that it answers.
    status : int
        Status of the answer.
    body : bytes
        Body of the answer.
    """

    request_id: str
    status: int
    body: bytes


@dataclass(slots=True)
class DoubleAnswerWriter:
    """Writes second answers to the connections of one backend server.

    Attributes
    ----------
    rng : Random
        Selects answers, delays and the bytes at which answers are cut.
    header_names : HeaderNames
        Names of the headers of second answers.
    count : int
        Second answers that were written, whole or cut.
    """

    rng: random.Random
    header_names: HeaderNames
    count: int = 0
    _waiting: WeakKeyDictionary[Any, bytes] = field(
        default_factory=WeakKeyDictionary
    )

    def write_waiting(self, send: Send) -> None:
        """Write what waits for the next request on a connection."""
        transport = find_transport(send)
        second = self._waiting.pop(transport, None)
        if second is not None:
            self._write(transport, second)

    async def answer_again(
        self,
        send: Send,
        faults: DoubleAnswers,
        request_id: bytes,
        signature: bytes,
    ) -> None:
        """Send, or keep for the next request, a second answer to a request."""
        if self.rng.random() >= faults.share:
            return
        transport = find_transport(send)
        second = self._render(faults, request_id, signature)
        if faults.cut:
            second = second[: self.rng.randrange(1, len(second))]
        if faults.moment is SecondMoment.NEXT:
            self._waiting[transport] = second
            return
        if faults.moment is SecondMoment.LATER:
            longest_s = self.rng.choice((SHORT_DELAY_S, LONG_DELAY_S))
            await anyio.sleep(self.rng.uniform(0, longest_s))
        self._write(transport, second)

    def _write(self, transport: Any, second: bytes) -> None:
        if not transport.is_closing():
            transport.write(second)
            self.count += 1

    def _render(
        self, faults: DoubleAnswers, request_id: bytes, signature: bytes
    ) -> bytes:
        lines = [
            STATUS_LINES[faults.status],
            b'%b: %b' % (self.header_names.signature, signature),
        ]
        if faults.named:
            lines.append(b'%b: %b' % (self.header_names.request_id, request_id))
        lines.append(b'content-length: %d' % len(SECOND_BODY))
        return b'\r\n'.join((*lines, b'', SECOND_BODY))

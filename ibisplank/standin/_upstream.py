"""Stand-in, with faults, for a backend server of the users' platform."""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import anyio

from ibisplank.connection import (
    Receive,
    Scope,
    Send,
    abort_connection,
    read_body,
    send_answer,
)
from ibisplank.gateway import HeaderNames, ServerEntry
from ibisplank.standin._doubleanswers import (
    DoubleAnswers,
    DoubleAnswerWriter,
    OwnAnswer,
)

OK = 200
MISDIRECTED_REQUEST = 421
INTERNAL_ERROR = 500
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MS_PER_S = 1000.0
PERCENT = 100
#: Longer than any caller waits for an answer.
HANG_S = 3600.0
#: Time after which an aborted connection is closed.
ABORT_S = 0.01
#: Above this share of slots in use, service times are multiplied by
#: `KNEE_FACTOR`.
KNEE_UTILIZATION = 0.8
KNEE_FACTOR = 1.7
COLD_FACTOR = 2.0
#: Standard deviation of the logarithm of the service time.
WORK_SIGMA = 0.3
SIGNATURE_CHARS = 16


class WhenFull(Enum):
    """What a server does with a call that finds its queue full.

    Attributes
    ----------
    REFUSE
        It answers that the call has not run.
    HANG
        It never answers.
    RESET
        It resets the connection.
    """

    REFUSE = 'refuse'
    HANG = 'hang'
    RESET = 'reset'


@dataclass(slots=True)
class UpstreamFaults:
    """Service time, warm-up and faults of one backend server.

    Attributes
    ----------
    work_s : float
        Median service time of a call.
    slow_factor : float
        Multiplies the service time, and is reported in the load header in
        percent.
    when_full : WhenFull
        What becomes of calls that find the queue full.
    fail_share : float
        Share of calls that run and are answered with a signed status 500.
    hang_share : float
        Share of calls that hang until their deadline and then get status 500
        from the HTTP server, without a signature.
    lose_share : float
        Share of calls that run, but whose answer is lost: the HTTP server
        sends status 500 without a signature instead.
    healthy : bool
        Health that the server reports.
    cold_until : float
        Time of the event loop until which the server is cold: calls take twice
        as long, and health answers state the time left.
    crash_target : bytes or None
        Request target of the calls that crash the server as they begin to run.
    crash_silently : bool
        Whether its connections stay open then, without an answer.
    leaving : bool
        Whether all answers say that the server leaves.
    retry_after : bytes or None
        Refuse all calls, and state this as the time to stay away.
    rate_limit : float or None
        Calls per second that all answers state as the limit of the server. It
        is not enforced.
    load_text : bytes or None
        Content of the load header of all answers, whatever the load is.
    double_answers : DoubleAnswers or None
        Second answers that follow the answers to calls, None for no such ones.
    """

    work_s: float = 0.02
    slow_factor: float = 1.0
    when_full: WhenFull = WhenFull.REFUSE
    fail_share: float = 0.0
    hang_share: float = 0.0
    lose_share: float = 0.0
    healthy: bool = True
    cold_until: float = 0.0
    crash_target: bytes | None = None
    crash_silently: bool = False
    leaving: bool = False
    retry_after: bytes | None = None
    rate_limit: float | None = None
    load_text: bytes | None = None
    double_answers: DoubleAnswers | None = None


def _ignore() -> None:
    """Do nothing; the default until the harness sets a crash."""


@dataclass(slots=True)
class UpstreamStandin:
    """ASGI application that behaves like a backend server of the platform.

    Attributes
    ----------
    ran : list of str
        Request ids of the calls that began to run.
    started : list of float
        Times of the event loop at which they began, in the same order.
    arrivals : list of float
        Times of the event loop at which calls arrived.
    answered : list of OwnAnswer
        Answers that the server gave to calls, refusals as well, without second
        answers.
    resets : int
        Calls whose connection was reset as the queue was full.
    crash : callable
        Ends the server.
    silent : bool
        Whether it has ended without closing its connections.
    second_answers : DoubleAnswerWriter
        Writes its second answers.
    """

    entry: ServerEntry
    header_names: HeaderNames
    rng: random.Random
    queue_limit: int = 4
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    ran: list[str] = field(default_factory=list)
    started: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    answered: list[OwnAnswer] = field(default_factory=list)
    running: int = 0
    waiting: int = 0
    resets: int = 0
    crash: Callable[[], None] = _ignore
    silent: bool = False
    second_answers: DoubleAnswerWriter = field(init=False)
    _slot_freed: anyio.Event = field(default_factory=anyio.Event)

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one call or health check."""
        body = await read_body(receive) or b''
        headers = dict(scope['headers'])
        if self.silent:
            await anyio.sleep(HANG_S)
        self.second_answers.write_waiting(send)
        if self.header_names.request_id not in headers:
            await self._answer_health(send)
            return
        self.arrivals.append(anyio.current_time())
        content = scope['raw_path'] + b' ' + body
        refusal = self._find_refusal(headers)
        if refusal is None:
            await self._acquire_slot()
            try:
                await self._run(send, headers, scope['raw_path'], content)
            finally:
                self.running -= 1
                self._slot_freed.set()
                self._slot_freed = anyio.Event()
        else:
            await self._turn_away(send, headers, refusal)
        faults = self.faults.double_answers
        if faults is not None:
            request_id = headers[self.header_names.request_id]
            await self.second_answers.answer_again(
                send, faults, request_id, self._sign(content)
            )

    def __post_init__(self) -> None:
        """Create the writer, which shares the random source."""
        self.second_answers = DoubleAnswerWriter(self.rng, self.header_names)

    async def _turn_away(
        self, send: Send, headers: dict[bytes, bytes], status: int
    ) -> None:
        """Answer a call that does not run, or not."""
        if status == UNAVAILABLE and self._is_full():
            match self.faults.when_full:
                case WhenFull.HANG:
                    await anyio.sleep(HANG_S)
                case WhenFull.RESET:
                    self.resets += 1
                    abort_connection(send)
                    await anyio.sleep(ABORT_S)
                    return
        self._record_answer(headers, status, b'')
        await self._refuse(send, status)

    def _is_full(self) -> bool:
        load = self.running + self.waiting
        return load >= self.entry.slots + self.queue_limit

    def _find_refusal(self, headers: dict[bytes, bytes]) -> int | None:
        """Return the status with which a call is refused, None if it is not."""
        target = headers.get(self.header_names.target_server, b'')
        if target and target != self.entry.server.encode():
            return MISDIRECTED_REQUEST
        if self._is_full():
            return UNAVAILABLE
        return None if self.faults.retry_after is None else UNAVAILABLE

    async def _acquire_slot(self) -> None:
        self.waiting += 1
        try:
            while self.running >= self.entry.slots:
                await self._slot_freed.wait()
        finally:
            self.waiting -= 1
        self.running += 1

    async def _run(
        self,
        send: Send,
        headers: dict[bytes, bytes],
        path: bytes,
        content: bytes,
    ) -> None:
        request_id = headers[self.header_names.request_id]
        self.ran.append(request_id.decode())
        self.started.append(anyio.current_time())
        if path == self.faults.crash_target:
            self.crash()
            await anyio.sleep(HANG_S)
        deadline_ms = int(headers.get(self.header_names.deadline_ms, b'9999'))
        work_s = self._draw_work_s()
        draw = self.rng.random()
        if draw < self.faults.hang_share:
            work_s = HANG_S
        await anyio.sleep(min(work_s, deadline_ms / MS_PER_S))
        if draw < self.faults.hang_share + self.faults.lose_share:
            raise ConnectionResetError
        status = OK if work_s <= deadline_ms / MS_PER_S else GATEWAY_TIMEOUT
        if self.rng.random() < self.faults.fail_share:
            status = INTERNAL_ERROR
        self._record_answer(headers, status, content)
        await send_answer(
            send,
            status,
            content,
            (
                (self.header_names.request_id, request_id),
                (self.header_names.signature, self._sign(content)),
                (self.header_names.server_load, self._render_load()),
                *self._render_statements(),
            ),
        )

    def _record_answer(
        self, headers: dict[bytes, bytes], status: int, body: bytes
    ) -> None:
        request_id = headers[self.header_names.request_id].decode()
        self.answered.append(OwnAnswer(request_id, status, body))

    def _sign(self, content: bytes) -> bytes:
        digest = hashlib.sha256(self.entry.server.encode() + content)
        return digest.hexdigest()[:SIGNATURE_CHARS].encode()

    def _draw_work_s(self) -> float:
        utilization = self.running / self.entry.slots
        knee_factor = KNEE_FACTOR if utilization > KNEE_UTILIZATION else 1.0
        cold_factor = COLD_FACTOR if self._compute_warmup_left_s() else 1.0
        variation = self.rng.lognormvariate(0, WORK_SIGMA)
        return (
            self.faults.work_s
            * self.faults.slow_factor
            * knee_factor
            * cold_factor
            * variation
        )

    def _compute_warmup_left_s(self) -> float:
        return max(0.0, self.faults.cold_until - anyio.current_time())

    def _render_load(self) -> bytes:
        if self.faults.load_text is not None:
            return self.faults.load_text
        slow_factor = round(self.faults.slow_factor * PERCENT)
        fields = (self.running, self.waiting, self.entry.slots, slow_factor)
        return ','.join(map(str, fields)).encode()

    def _render_statements(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that all answers carry."""
        statements = []
        limit = self.faults.rate_limit
        if limit is not None:
            text = f'{limit:.1f}'.encode()
            statements.append((self.header_names.rate_limit, text))
        if self.faults.leaving:
            statements.append((self.header_names.leaving, b'1'))
        return statements

    async def _answer_health(self, send: Send) -> None:
        headers = [
            (self.header_names.server_id, self.entry.server.encode()),
            (self.header_names.server_load, self._render_load()),
            *self._render_statements(),
        ]
        warmup_left_s = self._compute_warmup_left_s()
        if warmup_left_s:
            headers.append(
                (self.header_names.warmup_left, f'{warmup_left_s:.2f}'.encode())
            )
        status = OK if self.faults.healthy else UNAVAILABLE
        await send_answer(send, status, b'', tuple(headers))

    async def _refuse(self, send: Send, status: int) -> None:
        server_id = (self.header_names.server_id, self.entry.server.encode())
        headers = [
            server_id,
            (self.header_names.not_run, b'1'),
            *self._render_statements(),
        ]
        if status == UNAVAILABLE and self.faults.retry_after is not None:
            headers.append(
                (self.header_names.retry_after, self.faults.retry_after)
            )
        await send_answer(send, status, b'', tuple(headers))

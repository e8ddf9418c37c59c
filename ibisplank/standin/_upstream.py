"""Stand-in for a backend server as the users' platform runs them."""

import hashlib
import random
from dataclasses import dataclass, field

import anyio

from ibisplank.connection import Receive, Scope, Send, answer, read_body
from ibisplank.gateway import HeaderNames, ServerEntry

OK = 200
MISDIRECTED = 421
FAILED = 500
UNAVAILABLE = 503
OUT_OF_TIME = 504
MS_PER_S = 1000.0
PERCENT = 100
NEVER_S = 3600.0
#: How much longer work takes where nearly all slots are taken.
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
COLD_FACTOR = 2.0
#: Deviation of the logarithm of a call's work.
WORK_SPREAD = 0.3
SIGNATURE_CHARS = 16


@dataclass(slots=True)
class UpstreamFaults:
    """Behaviour of one backend server.

    Attributes
    ----------
    work_s : float
        Mean time of a call.
    pace : float
        Multiplies it, and is told with the load.
    hang_when_full : bool
        Never answer what can't be queued, rather than refuse it.
    fail_share, hang_share, lose_share : float
        Share of calls that fail, never end, or run without an answer.
    healthy : bool
        What it says of itself.
    cold_until : float
        Loop time until which it works at half its pace and says so.
    """

    work_s: float = 0.02
    pace: float = 1.0
    hang_when_full: bool = False
    fail_share: float = 0.0
    hang_share: float = 0.0
    lose_share: float = 0.0
    healthy: bool = True
    cold_until: float = 0.0


@dataclass(slots=True)
class UpstreamStandin:
    """An application that works like one backend server.

    Attributes
    ----------
    ran : list of str
        Ids of the calls that it began to run.
    """

    entry: ServerEntry
    dialect: HeaderNames
    luck: random.Random
    queue: int = 4
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    ran: list[str] = field(default_factory=list)
    running: int = 0
    waiting: int = 0
    _freed: anyio.Event = field(default_factory=anyio.Event)

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one call, or a question for its health."""
        body = await read_body(receive) or b''
        headers = dict(scope['headers'])
        if self.dialect.request_id not in headers:
            await self._tell_health(send)
            return
        target = headers.get(self.dialect.target_server, b'')
        if target and target != self.entry.server.encode():
            await self._refuse(send, MISDIRECTED)
            return
        if self.running + self.waiting >= self.entry.slots + self.queue:
            if self.faults.hang_when_full:
                await anyio.sleep(NEVER_S)
            await self._refuse(send, UNAVAILABLE)
            return
        await self._take_turn()
        try:
            await self._run(send, headers, scope['raw_path'], body)
        finally:
            self.running -= 1
            self._freed.set()
            self._freed = anyio.Event()

    async def _take_turn(self) -> None:
        self.waiting += 1
        try:
            while self.running >= self.entry.slots:
                await self._freed.wait()
        finally:
            self.waiting -= 1
        self.running += 1

    async def _run(
        self,
        send: Send,
        headers: dict[bytes, bytes],
        path: bytes,
        body: bytes,
    ) -> None:
        name = headers[self.dialect.request_id]
        self.ran.append(name.decode())
        allowed_s = int(headers.get(self.dialect.deadline_ms, b'9999'))
        work_s = self._draw_work_s()
        draw = self.luck.random()
        if draw < self.faults.hang_share:
            work_s = NEVER_S
        await anyio.sleep(min(work_s, allowed_s / MS_PER_S))
        if draw < self.faults.hang_share + self.faults.lose_share:
            raise ConnectionResetError
        status = OK if work_s <= allowed_s / MS_PER_S else OUT_OF_TIME
        if self.luck.random() < self.faults.fail_share:
            status = FAILED
        content = path + b' ' + body
        digest = hashlib.sha256(self.entry.server.encode() + content)
        signature = digest.hexdigest()[:SIGNATURE_CHARS].encode()
        await answer(
            send,
            status,
            content,
            (
                (self.dialect.request_id, name),
                (self.dialect.signature, signature),
                (self.dialect.server_load, self._render_load()),
            ),
        )

    def _draw_work_s(self) -> float:
        full = self.running / self.entry.slots
        knee = KNEE_FACTOR if full > KNEE_SHARE else 1.0
        cold = COLD_FACTOR if self._find_cold_s() else 1.0
        spread = self.luck.lognormvariate(0, WORK_SPREAD)
        return self.faults.work_s * self.faults.pace * knee * cold * spread

    def _find_cold_s(self) -> float:
        return max(0.0, self.faults.cold_until - anyio.current_time())

    def _render_load(self) -> bytes:
        pace = round(self.faults.pace * PERCENT)
        figures = (self.running, self.waiting, self.entry.slots, pace)
        return ','.join(map(str, figures)).encode()

    async def _tell_health(self, send: Send) -> None:
        headers = [
            (self.dialect.server_id, self.entry.server.encode()),
            (self.dialect.server_load, self._render_load()),
        ]
        cold_s = self._find_cold_s()
        if cold_s:
            headers.append((self.dialect.warmup_left, f'{cold_s:.2f}'.encode()))
        status = OK if self.faults.healthy else UNAVAILABLE
        await answer(send, status, b'', tuple(headers))

    async def _refuse(self, send: Send, status: int) -> None:
        named = (self.dialect.server_id, self.entry.server.encode())
        await answer(send, status, b'', (named, (self.dialect.not_run, b'1')))

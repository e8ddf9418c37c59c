"""Sends the calls of a plan."""

import random
import secrets

import anyio

from ibisplank.connection import Exchange, Route
from ibisplank.errors import BackendError
from ibisplank.gateway import HeaderNames
from ibisplank.load._plan import Plan, Stream
from ibisplank.load._report import Report, Tally, make_report
from ibisplank.process import read_clock

MS_PER_S = 1000.0
ID_BYTES = 8
#: Callers wait this much longer than the deadline that they state.
PATIENCE_S = 1.0


class Driver:
    """One run of a plan."""

    def __init__(self, plan: Plan, dialect: HeaderNames | None = None) -> None:
        self.tallies: dict[tuple[str, str], Tally] = {}
        self._plan = plan
        self._dialect = dialect
        self._random = random.Random(plan.seed)
        self._routes = [Route(target, read_clock) for target in plan.targets]
        self._start = read_clock()
        self._end = self._start + plan.warmup_s + plan.duration_s

    async def run(self) -> None:
        """Send all calls and wait for their answers."""
        async with anyio.create_task_group() as group:
            for stream in self._plan.streams:
                tally = Tally(stream.weight)
                self.tallies[stream.customer, stream.klass] = tally
                if stream.rate_per_s:
                    group.start_soon(self._send_at_rate, stream, tally)
                    continue
                for _ in range(stream.callers):
                    group.start_soon(self._send_in_turn, stream, tally)

    async def _send_in_turn(self, stream: Stream, tally: Tally) -> None:
        while read_clock() < self._end:
            await self._send(stream, tally, read_clock())

    async def _send_at_rate(self, stream: Stream, tally: Tally) -> None:
        """Start calls at random times, whether or not earlier ones ended."""
        limiter = anyio.CapacityLimiter(stream.callers)
        due = read_clock()
        async with anyio.create_task_group() as group:
            while due < self._end:
                due += self._random.expovariate(stream.rate_per_s)
                await anyio.sleep(max(0, due - read_clock()))
                if limiter.available_tokens < 1:
                    self._note(tally, due, 0, 'not-sent-too-many-in-flight')
                    continue
                group.start_soon(
                    self._send_limited, limiter, stream, tally, due
                )

    async def _send_limited(
        self,
        limiter: anyio.CapacityLimiter,
        stream: Stream,
        tally: Tally,
        due: float,
    ) -> None:
        borrower = object()
        await limiter.acquire_on_behalf_of(borrower)
        try:
            await self._send(stream, tally, due)
        finally:
            limiter.release_on_behalf_of(borrower)

    async def _send(self, stream: Stream, tally: Tally, due: float) -> None:
        route = self._random.choice(self._routes)
        patience_s = stream.deadline_ms / MS_PER_S + PATIENCE_S
        exchange = Exchange(
            stream.method.encode(),
            stream.path.encode(),
            self._make_headers(stream),
            bytes(stream.body_bytes),
            patience_s,
            proven=False,
        )
        status = 0
        kind = 'no-answer'
        try:
            with anyio.fail_after(patience_s):
                answer = await route.exchange(exchange)
        except (BackendError, TimeoutError):
            self._note(tally, due, status, kind)
            return
        fields = dict(answer.headers)
        kind = fields.get(b'ibisplank-refusal', b'').decode()
        self._note(tally, due, answer.status, kind)

    def _make_headers(self, stream: Stream) -> list[tuple[bytes, bytes]]:
        if self._dialect is None:
            return _make_cell_headers(stream)
        headers = [
            (b'host', stream.host.encode()),
            (self._dialect.request_id, _make_id()),
            (self._dialect.deadline_ms, b'%d' % stream.deadline_ms),
        ]
        return headers + _make_length(stream)

    def _note(self, tally: Tally, due: float, status: int, kind: str) -> None:
        if due >= self._start + self._plan.warmup_s:
            tally.note(status, kind, read_clock() - due)


async def drive(plan: Plan, dialect: HeaderNames | None = None) -> Report:
    """Run a plan and return its figures.

    Parameters
    ----------
    dialect : HeaderNames or None
        Header names of the platform's callers; the cell's where None.
    """
    driver = Driver(plan, dialect)
    await driver.run()
    return make_report(driver.tallies, plan.duration_s)


def _make_id() -> bytes:
    return secrets.token_hex(ID_BYTES).encode()


def _make_length(stream: Stream) -> list[tuple[bytes, bytes]]:
    if stream.method in {'GET', 'HEAD'}:
        return []
    return [(b'content-length', b'%d' % stream.body_bytes)]


def _make_cell_headers(stream: Stream) -> list[tuple[bytes, bytes]]:
    headers = [
        (b'host', stream.host.encode()),
        (b'authorization', b'Bearer ' + stream.key.encode()),
        (b'ibisplank-deadline-ms', b'%d' % stream.deadline_ms),
    ]
    if stream.request_ids:
        headers.append((b'ibisplank-request-id', _make_id()))
    return headers + _make_length(stream)

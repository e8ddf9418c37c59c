"""Sends the calls of a load plan and records their outcomes."""

import random
import secrets

import anyio

from ibisplank.connection import ConnectionPool, Exchange
from ibisplank.errors import BackendError
from ibisplank.gateway import HeaderNames
from ibisplank.load._plan import Plan, Stream
from ibisplank.load._report import Report, Tally, make_report
from ibisplank.process import read_clock

MS_PER_S = 1000.0
REQUEST_ID_BYTES = 8
#: Callers wait for the deadline that they state and this much longer.
TIMEOUT_MARGIN_S = 1.0


class Driver:
    """One run of a load plan."""

    def __init__(
        self, plan: Plan, header_names: HeaderNames | None = None
    ) -> None:
        self.tallies: dict[tuple[str, str], Tally] = {}
        self._plan = plan
        self._header_names = header_names
        self._rng = random.Random(plan.seed)
        self._pools = [
            ConnectionPool(target, read_clock) for target in plan.targets
        ]
        self._started_at = read_clock()
        self._ends_at = self._started_at + plan.warmup_s + plan.duration_s

    async def run(self) -> None:
        """Send all calls and wait for their answers."""
        async with anyio.create_task_group() as group:
            for stream in self._plan.streams:
                tally = Tally(stream.weight)
                self.tallies[stream.customer, stream.klass] = tally
                if stream.rate_per_s:
                    group.start_soon(self._run_open_loop, stream, tally)
                    continue
                for _ in range(stream.callers):
                    group.start_soon(self._run_closed_loop, stream, tally)

    async def _run_closed_loop(self, stream: Stream, tally: Tally) -> None:
        while read_clock() < self._ends_at:
            await self._send(stream, tally, read_clock())

    async def _run_open_loop(self, stream: Stream, tally: Tally) -> None:
        """Start calls at random times, without waiting for earlier ones."""
        limiter = anyio.CapacityLimiter(stream.callers)
        scheduled_at = read_clock()
        async with anyio.create_task_group() as group:
            while scheduled_at < self._ends_at:
                scheduled_at += self._rng.expovariate(stream.rate_per_s)
                await anyio.sleep(max(0, scheduled_at - read_clock()))
                if limiter.available_tokens < 1:
                    self._record(
                        tally, scheduled_at, 0, 'not-sent-too-many-in-flight'
                    )
                    continue
                group.start_soon(
                    self._send_limited, limiter, stream, tally, scheduled_at
                )

    async def _send_limited(
        self,
        limiter: anyio.CapacityLimiter,
        stream: Stream,
        tally: Tally,
        scheduled_at: float,
    ) -> None:
        borrower = object()
        await limiter.acquire_on_behalf_of(borrower)
        try:
            await self._send(stream, tally, scheduled_at)
        finally:
            limiter.release_on_behalf_of(borrower)

    async def _send(
        self, stream: Stream, tally: Tally, scheduled_at: float
    ) -> None:
        pool = self._rng.choice(self._pools)
        timeout_s = stream.deadline_ms / MS_PER_S + TIMEOUT_MARGIN_S
        exchange = Exchange(
            stream.method.encode(),
            stream.path.encode(),
            self._make_headers(stream),
            bytes(stream.body_bytes),
            timeout_s,
            proven=False,
        )
        status = 0
        refusal = 'no-answer'
        try:
            with anyio.fail_after(timeout_s):
                answer = await pool.exchange(exchange)
        except (BackendError, TimeoutError):
            self._record(tally, scheduled_at, status, refusal)
            return
        headers = dict(answer.headers)
        refusal = headers.get(b'ibisplank-refusal', b'').decode()
        self._record(tally, scheduled_at, answer.status, refusal)

    def _make_headers(self, stream: Stream) -> list[tuple[bytes, bytes]]:
        if self._header_names is None:
            return _make_cell_headers(stream)
        headers = [
            (b'host', stream.host.encode()),
            (self._header_names.request_id, _make_request_id()),
            (self._header_names.deadline_ms, b'%d' % stream.deadline_ms),
        ]
        return headers + _make_content_length(stream)

    def _record(
        self, tally: Tally, scheduled_at: float, status: int, refusal: str
    ) -> None:
        if scheduled_at >= self._started_at + self._plan.warmup_s:
            tally.record(status, refusal, read_clock() - scheduled_at)


async def drive(plan: Plan, header_names: HeaderNames | None = None) -> Report:
    """Run a plan and return its report.

    Parameters
    ----------
    header_names : HeaderNames or None
        Header names of the platform; None sends the headers of a cell.
    """
    driver = Driver(plan, header_names)
    await driver.run()
    return make_report(driver.tallies, plan.duration_s)


def _make_request_id() -> bytes:
    return secrets.token_hex(REQUEST_ID_BYTES).encode()


def _make_content_length(stream: Stream) -> list[tuple[bytes, bytes]]:
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
        headers.append((b'ibisplank-request-id', _make_request_id()))
    return headers + _make_content_length(stream)

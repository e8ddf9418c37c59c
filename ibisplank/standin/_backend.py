"""Stand-in for a backend server of a cell, with faults set over HTTP."""

import random
import secrets
from collections.abc import Callable

import anyio
import msgspec

from ibisplank.connection import (
    LOAD_HEADER,
    LoadReport,
    Receive,
    Scope,
    Send,
    format_load,
    read_body,
    send_answer,
    send_torn_answer,
)
from ibisplank.ids import StartId

OK = 200
UNAVAILABLE = 503
MS_PER_S = 1000.0
#: Longer than any caller waits for an answer.
HANG_S = 3600.0
START_ID_BYTES = 4
#: Factor by which calls slow down on a cold server that runs more than one.
COLD_CONTENTION_FACTOR = 10.0
#: The server closes connections that are idle for longer, after which a new
#: connection may come from the same client port. This is uvicorn's default.
KEEP_ALIVE_S = 5.0

ClientAddress = tuple[str, int]


class BackendFaults(msgspec.Struct):
    """Service time, warm-up and faults of one backend server, set over HTTP.

    Attributes
    ----------
    service_ms : float
        Mean service time of a call.
    slow_factor : float
        Multiplies the service time of every call.
    warm_after : int
        Calls after which a cold server is warm: from then on it handles as
        many concurrent calls as it has slots without slowing down.
    silent : bool
        Accept requests and never answer.
    torn : bool
        Truncate every answer.
    shed : bool
        Refuse every call before it runs.
    mixed : bool
        Return the id of another attempt in the header of every answer.
    leaving : bool
        State in load reports that the server accepts no new calls.
    load_lag_s : float
        Age of the load figure in load reports.
    deadly : str
        A request whose body contains this text terminates the server; empty
        for none.
    """

    service_ms: float = 5.0
    slow_factor: float = 1.0
    warm_after: int = 20
    silent: bool = False
    torn: bool = False
    shed: bool = False
    mixed: bool = False
    leaving: bool = False
    load_lag_s: float = 0.0
    deadly: str = ''


class BackendCounters(msgspec.Struct):
    """Start id and counters of one backend server.

    A simulated restart changes `start` and resets `calls`. All other counters
    continue.

    Attributes
    ----------
    start : str
        Start id.
    calls : int
        Calls that began to run since the last restart.
    most : int
        Maximum of `running`.
    overruns : int
        Calls that arrived while all slots were taken.
    cold_overruns : int
        Calls that arrived while the server was cold and ran another call.
    probes : int
        Requests for the load report alone.
    cancelled : int
        Calls whose caller disconnected before the end.
    last_at : float
        Time of the event loop at which the latest call began to run.
    runs : dict
        Number of runs by request id.
    """

    start: str = ''
    calls: int = 0
    running: int = 0
    most: int = 0
    overruns: int = 0
    cold_overruns: int = 0
    probes: int = 0
    cancelled: int = 0
    last_at: float = 0.0
    runs: dict[str, int] = {}


class BackendStandin:
    """ASGI application that behaves like one backend server of a cell.

    Parameters
    ----------
    slots : int
        Calls that it handles concurrently when warm.
    terminate : callable
        Terminates the server.
    """

    def __init__(
        self,
        slots: int,
        rng: random.Random,
        terminate: Callable[[], None],
    ) -> None:
        self.faults = BackendFaults()
        self.counters = BackendCounters()
        self._slots = slots
        self._rng = rng
        self._terminate = terminate
        self._load_history: list[tuple[float, float]] = []
        self._last_request_at: dict[ClientAddress, float] = {}
        self._silenced: set[ClientAddress] = set()
        self.restart()

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        path = scope['path']
        body = await read_body(receive) or b''
        if path.startswith('/standin/'):
            await self._control(path, scope['method'], body, send)
        elif path == '/load':
            self.counters.probes += 1
            await send_answer(send, OK, b'', self._make_headers(scope))
        else:
            await self._serve(scope, body, receive, send)

    def restart(self) -> None:
        """Make the server cold, under a new start id, as after a restart."""
        self.counters.start = secrets.token_hex(START_ID_BYTES)
        self.counters.calls = 0

    async def _control(
        self,
        path: str,
        method: str,
        body: bytes,
        send: Send,
    ) -> None:
        shown: object = self.counters
        if path == '/standin/faults':
            if method == 'PUT':
                self.faults = msgspec.json.decode(body, type=BackendFaults)
            shown = self.faults
        elif path == '/standin/restart':
            self.restart()
        elif path == '/standin/silence':
            self._silenced |= self._last_request_at.keys()
        await send_answer(send, OK, msgspec.json.encode(shown))

    async def _serve(
        self,
        scope: Scope,
        body: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        client = tuple(scope['client'])
        self._track_connection(client, anyio.current_time())
        if client in self._silenced:
            await anyio.sleep(HANG_S)
        if self.faults.shed:
            shed = ((b'ibisplank-shed', b'1'),)
            await send_answer(send, UNAVAILABLE, b'shed', shed)
            return
        if self.faults.deadly and self.faults.deadly.encode() in body:
            self._terminate()
            await anyio.sleep(HANG_S)
        self._record_start(scope)
        try:
            await self._simulate_work(receive)
        finally:
            self.counters.running -= 1
        if self.faults.torn:
            await send_torn_answer(send)
        await send_answer(send, OK, body or b'ok', self._make_headers(scope))

    def _track_connection(self, client: ClientAddress, now: float) -> None:
        """Record a request of a connection, and end silence for a new one.

        After an idle time of `KEEP_ALIVE_S` the same address and port belong
        to a new connection.
        """
        last_request_at = self._last_request_at.get(client, now)
        if now - last_request_at > KEEP_ALIVE_S:
            self._silenced.discard(client)
        self._last_request_at[client] = now

    def _record_start(self, scope: Scope) -> None:
        counters = self.counters
        cold = counters.calls < self.faults.warm_after
        if counters.running >= self._slots:
            counters.overruns += 1
        if cold and counters.running:
            counters.cold_overruns += 1
        counters.calls += 1
        counters.running += 1
        counters.most = max(counters.most, counters.running)
        counters.last_at = anyio.current_time()
        for name, text in scope['headers']:
            if name == b'ibisplank-request-id':
                request_id = text.decode('latin-1')
                runs = counters.runs.get(request_id, 0)
                counters.runs[request_id] = runs + 1

    async def _simulate_work(self, receive: Receive) -> None:
        """Wait for the service time, or until the caller disconnects."""
        mean_s = self.faults.service_ms / MS_PER_S
        work_s = mean_s * self.faults.slow_factor * self._compute_contention()
        if self.faults.silent:
            work_s = HANG_S
        elif work_s:
            work_s = self._rng.expovariate(1 / work_s)
        with anyio.move_on_after(work_s) as scope:
            await receive()
        if not scope.cancelled_caught:
            self.counters.cancelled += 1

    def _compute_contention(self) -> float:
        """Return the slowdown caused by concurrent calls."""
        counters = self.counters
        cold = counters.calls <= self.faults.warm_after
        if cold and counters.running > 1:
            return COLD_CONTENTION_FACTOR
        return max(1.0, counters.running / self._slots)

    def _make_headers(self, scope: Scope) -> tuple[tuple[bytes, bytes], ...]:
        load = LoadReport(
            StartId(self.counters.start),
            self._find_reported_load(),
            self.faults.leaving,
        )
        headers = [(LOAD_HEADER, format_load(load).encode())]
        for name, text in scope['headers']:
            if name == b'ibisplank-attempt':
                echo = b'another' if self.faults.mixed else text
                headers.append((name, echo))
        return tuple(headers)

    def _find_reported_load(self) -> float:
        """Record the load, and return the newest one of age `load_lag_s`.

        Each recorded load is returned at most once; the result is 0 if none
        that is left is old enough.
        """
        now = anyio.current_time()
        self._load_history.append((now, self.counters.running / self._slots))
        load = 0.0
        while (
            self._load_history
            and self._load_history[0][0] <= now - self.faults.load_lag_s
        ):
            load = self._load_history.pop(0)[1]
        return load

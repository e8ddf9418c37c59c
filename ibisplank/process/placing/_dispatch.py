"""Sends one attempt of a call and classifies its outcome."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ibisplank.connection import (
    LOAD_HEADER,
    Answer,
    AttemptReport,
    ConnectionPool,
    Exchange,
    LoadReport,
    parse_load,
)
from ibisplank.errors import (
    BackendError,
    ConnectFailed,
    ConnectTimeout,
    RestartSuspected,
    SilentConnection,
    TornAnswer,
)
from ibisplank.process.placing._actions import Lease
from ibisplank.request import Call, Failure
from ibisplank.version import MS_PER_S

SHED_STATUS = 503
BODILESS_METHODS = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))
ATTEMPT_HEADER = b'ibisplank-attempt'


@dataclass(slots=True)
class Outcome:
    """Outcome of one attempt: an answer, or a failure with its reason.

    Attributes
    ----------
    silent : bool
        Whether the attempt timed out.
    report : AttemptReport or None
        What it showed of the server, None if the server was not contacted.
    cut_off : bool
        Whether the server may still be working on the call.
    """

    answer: Answer | None
    failure: Failure | None = None
    reason: str = ''
    silent: bool = False
    report: AttemptReport | None = None
    cut_off: bool = False


class Dispatcher:
    """Sends calls to backend servers.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock

    async def dispatch(
        self,
        pool: ConnectionPool,
        lease: Lease,
        call: Call,
        body: bytes,
        wait_s: float,
        *,
        proven: bool,
        fresh: bool,
    ) -> Outcome:
        """Send a call and return the outcome.

        Parameters
        ----------
        wait_s : float
            Time-out for the head of the answer.
        proven : bool
            Whether to use only a new connection, or one that answered a
            moment ago.
        fresh : bool
            Whether to use only a new connection: the fault that made one
            connection silent may affect others that answered a moment ago.
        """
        now = self._clock()
        left_s = min(lease.until, call.deadline) - now
        exchange = Exchange(
            method=call.method,
            target=call.target,
            headers=_make_headers(call, body, left_s, lease),
            body=body,
            first_byte_s=min(wait_s, left_s),
            proven=proven,
            fresh=fresh,
            cold=lease.index == 0,
        )
        outcome = await _exchange(pool, exchange, lease, left_s)
        outcome.report = _make_report(outcome, self._clock() - now)
        return outcome


async def _exchange(
    pool: ConnectionPool,
    exchange: Exchange,
    lease: Lease,
    left_s: float,
) -> Outcome:
    try:
        with anyio.fail_after(left_s):
            answer = await pool.exchange(exchange)
    except (ConnectFailed, RestartSuspected) as error:
        late = isinstance(error, ConnectTimeout)
        return Outcome(None, Failure.NOT_SENT, str(error), silent=late)
    except (SilentConnection, TimeoutError):
        reason = 'no answer came in time'
        return Outcome(
            None,
            Failure.UNKNOWN,
            reason,
            silent=True,
            cut_off=True,
        )
    except BackendError as error:
        return Outcome(None, Failure.UNKNOWN, _describe(error))
    return _classify(answer, lease)


def _classify(answer: Answer, lease: Lease) -> Outcome:
    fields = {name.lower(): text for name, text in answer.headers}
    echo = fields.get(ATTEMPT_HEADER)
    if echo is not None and echo != lease.loan.encode():
        return Outcome(
            None,
            Failure.UNKNOWN,
            'answer to another request',
        )
    if answer.status == SHED_STATUS and b'ibisplank-shed' in fields:
        return Outcome(answer, Failure.SHED, 'shed by the backend server')
    return Outcome(answer)


def _describe(error: Exception) -> str:
    if isinstance(error, TornAnswer):
        return 'the answer was torn'
    return 'the backend server closed the connection'


def _make_headers(
    call: Call,
    body: bytes,
    left_s: float,
    lease: Lease,
) -> list[tuple[bytes, bytes]]:
    headers = [
        (b'host', lease.server.encode()),
        *call.forwarded,
        (b'ibisplank-deadline-ms', b'%d' % (left_s * MS_PER_S)),
        (b'ibisplank-retried-above', b'1'),
        (ATTEMPT_HEADER, lease.loan.encode()),
    ]
    if body or call.method not in BODILESS_METHODS:
        headers.append((b'content-length', b'%d' % len(body)))
    return headers


def _make_report(outcome: Outcome, latency_s: float) -> AttemptReport:
    if outcome.silent:
        return AttemptReport(ok=True, latency_s=latency_s, silent=True)
    if outcome.answer is None:
        return AttemptReport(ok=False, latency_s=latency_s)
    reported = LoadReport()
    for name, text in outcome.answer.headers:
        if name.lower() == LOAD_HEADER:
            reported = parse_load(text.decode('latin-1'))
    ok = outcome.failure is None
    return AttemptReport(
        ok,
        latency_s,
        reported.start,
        reported.load,
        reported.leaving,
    )

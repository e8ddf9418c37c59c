"""Attempts of calls on backend servers."""

import functools
from collections.abc import Callable

import anyio

from ibisplank.connection import Answer, ConnectionPool, Exchange
from ibisplank.errors import (
    AttemptUnknown,
    ConnectFailed,
    OverlongAnswer,
    SilentConnection,
    UnusableAnswer,
)
from ibisplank.gateway._activecall import ActiveCall
from ibisplank.gateway._answers import AnswerKind, classify_answer
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._headers import HeaderNames, Headers, find_header
from ibisplank.gateway._incoming import MS_PER_S
from ibisplank.gateway._placing import Candidate
from ibisplank.gateway._plan import Outcome
from ibisplank.gateway._record import (
    parse_load,
    parse_rate_limit,
)
from ibisplank.gateway._statementreader import StatementReader
from ibisplank.gateway._suspects import SuspectCalls
from ibisplank.ids import ServiceId
from ibisplank.process import log_event

#: A call is suspect if its server reports more than this many times the
#: slowdown that was known when the attempt started. The server may already have
#: been that slow when the attempt started, without having reported it yet.
SUSPECT_FACTOR = 2.0
#: Time for the check whether a server that broke a call off still listens.
CRASH_CHECK_S = 0.1
#: Time for which a server gets no calls after an answer that was too long, and
#: after which it gets one at a time until a good answer.
OVERLONG_PAUSE_S = 1.0
#: The deadline that is sent to a server is this much earlier than that of the
#: caller.
DEADLINE_MARGIN_S = 0.005
#: Bytes after an answer that the log shows.
MAX_SHOWN_BYTES = 64


class AttemptRunner:
    """Sends calls to chosen servers and records the outcomes.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        suspects: SuspectCalls,
        header_names: HeaderNames,
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._suspects = suspects
        self._statements = StatementReader(fleet, header_names)
        self._header_names = header_names
        self._clock = clock

    async def run(
        self, active: ActiveCall, chosen: Candidate, sent_at: float
    ) -> None:
        """Send a call to a server and record what comes of it."""
        listener = functools.partial(self._check_probe, active, chosen)
        chosen.stats.probe_listeners.add(listener)
        has_ended = False
        try:
            await self._exchange(active, chosen, sent_at)
            has_ended = True
        finally:
            if not has_ended:
                self._record_silence(active, chosen)
            self._finish_attempt(active, chosen, listener, sent_at)

    def _finish_attempt(
        self,
        active: ActiveCall,
        chosen: Candidate,
        listener: Callable[[], None],
        sent_at: float,
    ) -> None:
        chosen.stats.probe_listeners.discard(listener)
        self._fleet.record_end(chosen)
        self._record_elapsed(active, chosen, sent_at)
        active.wake()

    def _record_silence(self, active: ActiveCall, chosen: Candidate) -> None:
        self._suspects.record_silence(
            active.call.digests,
            chosen.state.entry.key,
            active.call.head.request_id.decode('latin-1'),
        )

    def _check_probe(self, active: ActiveCall, chosen: Candidate) -> None:
        """Mark the call as suspect if its server became slow or unreachable."""
        now = self._clock()
        slowdown = chosen.stats.find_reported_slowdown(now)
        quarantined = chosen.stats.quarantined_until > now
        if quarantined or slowdown > SUSPECT_FACTOR * chosen.reported_slowdown:
            active.plan.mark_suspect(now)
            active.wake()

    def _record_elapsed(
        self, active: ActiveCall, chosen: Candidate, sent_at: float
    ) -> None:
        """Record how long an attempt has run, however it ended."""
        elapsed_s = (self._clock() - sent_at) / chosen.reported_slowdown
        chosen.stats.record_slow(
            elapsed_s / active.plan.median_s, self._clock()
        )

    async def _exchange(
        self, active: ActiveCall, chosen: Candidate, sent_at: float
    ) -> None:
        left_s = active.call.deadline_at - sent_at
        connection_pool = self._fleet.find_connection_pool(chosen)
        try:
            answer = await connection_pool.exchange(
                self._make_exchange(active, chosen, left_s)
            )
        except ConnectFailed as error:
            chosen.stats.record_unreachable(self._clock())
            active.record_failure(
                chosen.server, Outcome.UNSENT, self._clock(), str(error)
            )
        except AttemptUnknown as error:
            chosen.stats.record_failure(self._clock())
            if isinstance(error, UnusableAnswer):
                active.count_step(active.service, error.kind)
            match error:
                case SilentConnection():
                    self._record_silence(active, chosen)
                case OverlongAnswer():
                    self._spare_server(chosen, active)
                case _:
                    await self._check_crash(active, chosen, connection_pool)
            active.record_failure(
                chosen.server, Outcome.UNKNOWN, self._clock(), repr(error)
            )
        else:
            self._handle_answer(active, chosen, answer, sent_at)

    def _spare_server(self, chosen: Candidate, active: ActiveCall) -> None:
        """Send nothing to a server that sends without end, then one call."""
        self._fleet.quiet.record(
            chosen.state.entry.key, OVERLONG_PAUSE_S, self._clock()
        )
        log_event(
            'answer too long',
            id=active.call.head.request_id.decode('latin-1'),
            server=chosen.server,
            held=self._fleet.answers.held,
            cuts=self._fleet.answers.cuts,
        )

    async def _check_crash(
        self, active: ActiveCall, chosen: Candidate, pool: ConnectionPool
    ) -> None:
        """Record a crash if a server that broke a call off is gone.

        If no other server of its service is reached either, the path to them
        may be lost, and only the end of the server's run shows a crash.
        The caller is answered after that, so that its next attempt does not
        overtake the news.
        """
        refused = False
        with anyio.move_on_after(CRASH_CHECK_S):
            refused = await pool.refuses_connections()
        entry = chosen.state.entry
        if not refused or self._fleet.cluster.directory.is_leaving(
            chosen.state
        ):
            return
        if not await self._is_path_confirmed(entry.service):
            self._record_silence(active, chosen)
            return
        active.record_step(chosen.server, 'crashed', self._clock())
        self._suspects.record_crash(
            active.call.digests,
            entry.server,
            entry.born_ms,
            active.call.head.request_id.decode('latin-1'),
        )

    async def _is_path_confirmed(self, service: ServiceId) -> bool:
        with anyio.move_on_after(CRASH_CHECK_S):
            return await self._fleet.confirm_path(service)
        return False

    def _handle_answer(
        self,
        active: ActiveCall,
        chosen: Candidate,
        answer: Answer,
        sent_at: float,
    ) -> None:
        now = self._clock()
        stats = chosen.stats
        kind = classify_answer(answer, self._header_names)
        request_id = active.call.head.request_id.decode('latin-1')
        self._record_statements(chosen, kind, answer, request_id)
        self._record_extra(active, chosen, answer)
        match kind:
            case AnswerKind.GOOD:
                self._record_good(active, chosen, answer, now - sent_at)
            case AnswerKind.FAILURE:
                self._suspects.clear(active.call.digests)
                stats.record_failure(now)
                active.record_step(
                    chosen.server, 'failed', now, self._describe(answer)
                )
                active.plan.record_answer(answer, good=False)
            case AnswerKind.REFUSED:
                stats.record_failure(now)
                active.record_failure(
                    chosen.server, Outcome.REFUSED, now, str(answer.status)
                )
            case AnswerKind.ELSEWHERE:
                stats.record_unreachable(now)
                active.record_failure(
                    chosen.server, Outcome.REFUSED, now, 'another server'
                )
            case AnswerKind.UNUSABLE:
                stats.record_failure(now)
                active.record_failure(
                    chosen.server,
                    Outcome.UNKNOWN,
                    now,
                    f'bad {answer.status}',
                )

    def _record_good(
        self,
        active: ActiveCall,
        chosen: Candidate,
        answer: Answer,
        latency_s: float,
    ) -> None:
        now = self._clock()
        self._suspects.clear(active.call.digests)
        relative_latency = (
            latency_s / active.plan.median_s / chosen.reported_slowdown
        )
        chosen.stats.record_success(relative_latency, now)
        self._fleet.quiet.record_answer(chosen.state.entry.key, now)
        active.latencies.add(latency_s)
        active.record_step(
            chosen.server, 'answered', now, self._describe(answer)
        )
        active.plan.record_answer(answer, good=True)

    def _record_statements(
        self,
        chosen: Candidate,
        kind: AnswerKind,
        answer: Answer,
        request_id: str,
    ) -> None:
        """Record what a server states about itself."""
        now = self._clock()
        headers = list(answer.headers)
        load = find_header(headers, self._header_names.server_load)
        chosen.stats.record_report(
            parse_load(load),
            now,
            self._fleet.occupancy.count(chosen.server, now),
        )
        if kind is not AnswerKind.ELSEWHERE:
            self._statements.read(chosen.state.entry, answer, request_id)
            limit = find_header(headers, self._header_names.rate_limit)
            chosen.stats.limit.record_answer(parse_rate_limit(limit), now)

    def _record_extra(
        self, active: ActiveCall, chosen: Candidate, answer: Answer
    ) -> None:
        """Record that a server sent more than its answer."""
        if not answer.extra:
            return
        active.count_step(active.service, 'bytes after an answer')
        log_event(
            'bytes after an answer',
            id=active.call.head.request_id.decode('latin-1'),
            server=chosen.server,
            size=len(answer.extra),
            begin=answer.extra[:MAX_SHOWN_BYTES].decode('latin-1'),
        )

    def _describe(self, answer: Answer) -> str:
        """Return what the log shows of an answer."""
        described = f'{answer.status} earlier={answer.earlier}'
        name = self._header_names.rate_limit
        rate_limit = find_header(list(answer.headers), name)
        if rate_limit is None:
            return described
        return f'{described} limit={rate_limit.decode("latin-1")}'

    def _make_exchange(
        self,
        active: ActiveCall,
        chosen: Candidate,
        left_s: float,
    ) -> Exchange:
        call = active.call
        left_ms = max(1, int((left_s - DEADLINE_MARGIN_S) * MS_PER_S))
        headers: Headers = [
            *call.head.forwarded,
            (self._header_names.deadline_ms, str(left_ms).encode()),
            (self._header_names.target_server, chosen.server.encode()),
        ]
        if call.body or call.head.method not in {b'GET', b'HEAD'}:
            length = str(len(call.body)).encode()
            headers.append((b'content-length', length))
        return Exchange(
            call.head.method,
            call.head.target,
            headers,
            call.body,
            first_byte_s=left_s,
            proven=False,
            fresh=not call.route.idempotent,
            unsized=True,
            echo=(self._header_names.request_id, call.head.request_id),
        )

"""Execution of calls as attempts on backend servers."""

import functools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import Answer, Exchange
from ibisplank.errors import AttemptUnknown, ConnectFailed
from ibisplank.gateway._answers import AnswerKind, classify_answer
from ibisplank.gateway._budget import RetryLimits, ServiceRetryBudget
from ibisplank.gateway._choice import AttemptNeeds, ServerChoice
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._headers import HeaderNames, Headers, find_header
from ibisplank.gateway._incoming import MS_PER_S, IncomingCall
from ibisplank.gateway._latency import LatencyWindow
from ibisplank.gateway._metrics import GatewayMetrics
from ibisplank.gateway._model import RouteConfig, RouteName
from ibisplank.gateway._placing import Candidate, ServerSelector
from ibisplank.gateway._plan import (
    Action,
    Attempt,
    CallPlan,
    Outcome,
    Respond,
    Wait,
)
from ibisplank.gateway._record import (
    ServerStats,
    parse_load,
    parse_rate_limit,
)
from ibisplank.gateway._routing import TrafficSplitter
from ibisplank.ids import ServerId, ServiceId
from ibisplank.process import log_event

#: Latency that is assumed for a route before its first answer, as a part of
#: its target latency.
INITIAL_LATENCY_SHARE = 0.4
#: A call is suspect if its server reports more than this many times the
#: slowdown that was known when the attempt started. The server may already have
#: been that slow when the attempt started, without having reported it yet.
SUSPECT_FACTOR = 2.0
#: The deadline that is sent to a server is this much earlier than that of the
#: caller.
DEADLINE_MARGIN_S = 0.005


@dataclass(slots=True)
class ActiveCall:
    """A call with its attempts, while it runs.

    Attributes
    ----------
    tried : set of ServerId
        Servers that an attempt was sent to.
    trail : list of str
        Steps of the attempts, for the log line of the call.
    """

    call: IncomingCall
    service: ServiceId
    plan: CallPlan
    group: TaskGroup
    tried: set[ServerId] = field(default_factory=set)
    trail: list[str] = field(default_factory=list)
    woken: anyio.Event = field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Wake the call up to decide its next step."""
        self.woken.set()


class Forwarder:
    """Sends calls to backend servers.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        selector: ServerSelector,
        header_names: HeaderNames,
        retry_limits: RetryLimits,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._choice = ServerChoice(fleet, selector, clock)
        self._header_names = header_names
        self._retry_limits = retry_limits
        self._metrics = metrics
        self._clock = clock
        self._splitter = TrafficSplitter()
        self._rng: random.Random = selector.rng
        self._budgets: dict[ServiceId, ServiceRetryBudget] = {}
        self._latencies: dict[RouteName, LatencyWindow] = {}

    def update_retry_limits(self, retry_limits: RetryLimits) -> None:
        """Replace the limits on retries."""
        self._retry_limits = retry_limits
        for budget in self._budgets.values():
            budget.limits = retry_limits

    async def run(self, call: IncomingCall) -> Respond:
        """Execute a call; return its final answer."""
        service = self._splitter.choose(call.route, self._rng.random())
        self._find_budget(service).record_call(self._clock())
        async with anyio.create_task_group() as group:
            active = ActiveCall(call, service, self._make_plan(call), group)
            response = await self._run_plan(active)
            group.cancel_scope.cancel()
        self._log(active, response)
        return response

    async def _run_plan(self, active: ActiveCall) -> Respond:
        while True:
            active.woken = anyio.Event()
            action = active.plan.decide(self._clock())
            if isinstance(action, Attempt):
                action = await self._start(active, action)
            match action:
                case Respond():
                    return action
                case Wait(until):
                    await self._wait(active, until)

    async def _wait(self, active: ActiveCall, until: float) -> None:
        with anyio.move_on_after(until - self._clock()):
            await active.woken.wait()

    async def _start(self, active: ActiveCall, action: Attempt) -> Action:
        """Start an attempt, or return the next step if that is not possible."""
        chosen = await self._choose(active)
        now = self._clock()
        if now >= active.call.deadline_at:
            return Wait(now)
        if chosen is None:
            return active.plan.deny_attempt(now, room=False)
        if action.is_retry and not self._take_retry(
            active.service, action, now
        ):
            return active.plan.deny_attempt(now, room=True)
        active.tried.add(chosen.server)
        self._record_step(active, chosen, 'sent', chosen.describe(now))
        active.plan.record_start(now)
        self._fleet.record_start(chosen, now)
        active.group.start_soon(self._attempt, active, chosen, now)
        return Wait(now)

    async def _choose(self, active: ActiveCall) -> Candidate | None:
        """Return the best server that may get the call now, if any."""
        needs = AttemptNeeds(
            active.service,
            active.tried,
            at_most_once=not active.call.route.idempotent,
            hedge=active.plan.running > 0,
        )
        chosen, refused = await self._choice.choose(needs)
        for candidate in refused:
            self._record_step(active, candidate, 'no token')
        return chosen

    def _take_retry(
        self, service: ServiceId, action: Attempt, now: float
    ) -> bool:
        budget = self._find_budget(service)
        return budget.spend(now, self._fleet.count_members(), action.reserve)

    async def _attempt(
        self, active: ActiveCall, chosen: Candidate, sent_at: float
    ) -> None:
        listener = functools.partial(self._check_probe, active, chosen)
        chosen.stats.probe_listeners.add(listener)
        try:
            await self._exchange(active, chosen, sent_at)
        finally:
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
            self._record_failure(active, chosen, Outcome.UNSENT, str(error))
        except AttemptUnknown as error:
            chosen.stats.record_failure(self._clock())
            self._record_failure(active, chosen, Outcome.UNKNOWN, repr(error))
        else:
            self._handle_answer(active, chosen, answer, sent_at)

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
        self._record_statements(stats, kind, answer, now)
        match kind:
            case AnswerKind.GOOD:
                latency_s = now - sent_at
                relative_latency = (
                    latency_s / active.plan.median_s / chosen.reported_slowdown
                )
                stats.record_success(relative_latency, now)
                self._find_latencies(active.call.route).add(latency_s)
                self._record_step(
                    active, chosen, 'answered', self._describe(answer)
                )
                active.plan.record_answer(answer, good=True)
            case AnswerKind.FAILURE:
                stats.record_failure(now)
                self._record_step(
                    active, chosen, 'failed', self._describe(answer)
                )
                active.plan.record_answer(answer, good=False)
            case AnswerKind.REFUSED:
                stats.record_failure(now)
                self._record_failure(
                    active, chosen, Outcome.REFUSED, str(answer.status)
                )
            case AnswerKind.ELSEWHERE:
                stats.record_unreachable(now)
                self._record_failure(
                    active, chosen, Outcome.REFUSED, 'another server'
                )
            case AnswerKind.UNUSABLE:
                stats.record_failure(now)
                self._record_failure(
                    active, chosen, Outcome.UNKNOWN, f'bad {answer.status}'
                )

    def _record_statements(
        self, stats: ServerStats, kind: AnswerKind, answer: Answer, now: float
    ) -> None:
        """Record the load and the rate limit that a server states."""
        headers = list(answer.headers)
        load = find_header(headers, self._header_names.server_load)
        stats.record_report(parse_load(load), now)
        if kind is not AnswerKind.ELSEWHERE:
            limit = find_header(headers, self._header_names.rate_limit)
            stats.limit.record_answer(parse_rate_limit(limit), now)

    def _describe(self, answer: Answer) -> str:
        """Return the status and the rate limit of an answer, for the log."""
        name = self._header_names.rate_limit
        rate_limit = find_header(list(answer.headers), name)
        if rate_limit is None:
            return str(answer.status)
        return f'{answer.status} limit={rate_limit.decode("latin-1")}'

    def _record_failure(
        self,
        active: ActiveCall,
        chosen: Candidate,
        outcome: Outcome,
        reason: str,
    ) -> None:
        self._record_step(active, chosen, outcome.value, reason)
        active.plan.record_outcome(outcome)

    def _record_step(
        self,
        active: ActiveCall,
        chosen: Candidate,
        step: str,
        reason: str = '',
    ) -> None:
        """Count a step of an attempt and add it to the trail of the call."""
        self._metrics.count_attempt(active.service, step)
        at_s = self._clock() - active.call.arrived_at
        active.trail.append(
            f'{at_s:.3f} {chosen.server} {step} {reason}'.rstrip(),
        )

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

    def _make_plan(self, call: IncomingCall) -> CallPlan:
        route = call.route
        latencies = self._find_latencies(route)
        return CallPlan(
            route,
            call.arrived_at,
            call.deadline_at,
            latencies.median_s,
            latencies.slow_s,
        )

    def _find_latencies(self, route: RouteConfig) -> LatencyWindow:
        latencies = self._latencies.get(route.name)
        if latencies is None:
            latencies = LatencyWindow(INITIAL_LATENCY_SHARE * route.target_s)
            self._latencies[route.name] = latencies
        return latencies

    def _find_budget(self, service: ServiceId) -> ServiceRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = ServiceRetryBudget(self._retry_limits)
            self._budgets[service] = budget
        return budget

    def _log(self, active: ActiveCall, response: Respond) -> None:
        call = active.call
        now = self._clock()
        cluster = self._fleet.cluster
        took_s = now - call.arrived_at
        self._metrics.observe_call(
            call.route.name, active.service, response, took_s
        )
        status = (
            response.answer.status if response.answer else response.result.value
        )
        log_event(
            'call',
            id=call.head.request_id.decode('latin-1'),
            route=call.route.name,
            service=active.service,
            config=cluster.config.version,
            age=round(cluster.find_age(now), 3),
            took=round(took_s, 4),
            allowed=round(call.deadline_at - call.arrived_at, 4),
            usual=round(active.plan.median_s, 4),
            slow=round(active.plan.slow_s, 4),
            trail=active.trail,
            ends=status,
            retry_after=round(response.retry_after_s, 3),
        )

"""Execution of calls as attempts on backend servers."""

import random

import anyio

from ibisplank.gateway._activecall import ActiveCall
from ibisplank.gateway._attempts import AttemptRunner
from ibisplank.gateway._budget import RetryLimits, ServiceRetryBudget
from ibisplank.gateway._choice import AttemptNeeds, ServerChoice
from ibisplank.gateway._fleet import Fleet
from ibisplank.gateway._handover import Handover
from ibisplank.gateway._headers import HeaderNames
from ibisplank.gateway._incoming import IncomingCall
from ibisplank.gateway._latency import LatencyWindow
from ibisplank.gateway._metrics import GatewayMetrics
from ibisplank.gateway._model import RouteConfig, RouteName
from ibisplank.gateway._placing import Candidate, ServerSelector
from ibisplank.gateway._plan import (
    ELSEWHERE_RETRY_AFTER_S,
    Action,
    Attempt,
    CallPlan,
    CallResult,
    Respond,
    Wait,
)
from ibisplank.gateway._routing import TrafficSplitter
from ibisplank.gateway._suspects import SuspectCalls
from ibisplank.ids import MemberId, ServiceId
from ibisplank.process import log_event

#: Latency that is assumed for a route before its first answer, as a part of
#: its target latency.
INITIAL_LATENCY_SHARE = 0.4


class Forwarder:
    """Sends calls to backend servers, or hands them over to gateways."""

    def __init__(
        self,
        fleet: Fleet,
        selector: ServerSelector,
        suspects: SuspectCalls,
        handover: Handover,
        header_names: HeaderNames,
        retry_limits: RetryLimits,
        metrics: GatewayMetrics,
    ) -> None:
        clock = fleet.clock
        self._fleet = fleet
        self._choice = ServerChoice(fleet, selector, clock)
        self._suspects = suspects
        self._attempts = AttemptRunner(fleet, suspects, header_names, clock)
        self._retry_limits = retry_limits
        self._metrics = metrics
        self._clock = clock
        self._handover = handover
        self._splitter = TrafficSplitter()
        self._rng: random.Random = selector.rng
        self._active: set[ActiveCall] = set()
        self._budgets: dict[ServiceId, ServiceRetryBudget] = {}
        self._latencies: dict[RouteName, LatencyWindow] = {}

    def update_retry_limits(self, retry_limits: RetryLimits) -> None:
        """Replace the limits on retries."""
        self._retry_limits = retry_limits
        for budget in self._budgets.values():
            budget.limits = retry_limits

    def repeat_lost(self) -> None:
        """Send calls again that wait for servers that are not reached."""
        now = self._clock()
        for active in self._active:
            if self._fleet.own_paths.is_lost(active.service):
                active.plan.mark_suspect(now)
                active.wake()

    def find_longest_s(self, route: RouteConfig) -> float:
        """Return the longest recent latency of the calls of a route."""
        return self._find_latencies(route).longest_s

    def limit_deadlines(self, answer_by: float) -> None:
        """Answer all calls by a time, as the gateway stops."""
        for active in self._active:
            active.plan.limit_deadline(answer_by)
            active.wake()

    async def run(self, call: IncomingCall) -> Respond:
        """Execute a call; return its final answer."""
        service = self._choose_service(call)
        if not call.handed_over:
            self._find_budget(service).record_call(self._clock())
        async with anyio.create_task_group() as group:
            latencies = self._find_latencies(call.route)
            active = ActiveCall(
                call,
                service,
                self._make_plan(call, latencies),
                group,
                latencies,
                self._metrics.count_attempt,
            )
            self._active.add(active)
            try:
                response = await self._run_plan(active)
            finally:
                self._active.discard(active)
            group.cancel_scope.cancel()
        self._log(active, response)
        return response

    async def _run_plan(self, active: ActiveCall) -> Respond:
        while True:
            active.woken = anyio.Event()
            self._update_crashes(active)
            action = active.plan.decide(self._clock())
            if isinstance(action, Attempt):
                action = await self._start(active, action)
            match action:
                case Respond():
                    return action
                case Wait(until):
                    await self._wait(active, until)

    def _choose_service(self, call: IncomingCall) -> ServiceId:
        """Return the service that a call goes to.

        The gateway that handed a call over has chosen it, so that the shares of
        a split hold, unless the route no longer leads there.
        """
        allowed = {share.service for share in call.route.shares}
        if call.service is not None and call.service in allowed:
            return call.service
        return self._splitter.choose(call.route, self._rng.random())

    def _update_crashes(self, active: ActiveCall) -> None:
        """Update how many servers crashed under such calls."""
        suspect = self._suspects.assess(active.call.digests)
        if suspect is None:
            active.plan.record_crashes(0, 0.0)
            return
        expire_in_s = suspect.until - self._clock()
        active.plan.record_crashes(suspect.count_crashes(), expire_in_s)

    async def _wait(self, active: ActiveCall, until: float) -> None:
        with anyio.move_on_after(until - self._clock()):
            await active.woken.wait()

    async def _start(self, active: ActiveCall, action: Attempt) -> Action:
        """Start an attempt, or return the next step if that is not possible."""
        peer = self._handover.choose_peer(active)
        if peer is not None:
            return self._hand_over(active, action, peer)
        if self._handover.is_stuck(active):
            return Respond(
                CallResult.NOT_RUN, retry_after_s=ELSEWHERE_RETRY_AFTER_S
            )
        chosen = await self._choose(active)
        now = self._clock()
        if now >= active.call.deadline_at:
            return Wait(now)
        if chosen is None:
            ready_at = self._fleet.find_ready_at(active.service, now)
            return active.plan.deny_attempt(now, room=False, ready_at=ready_at)
        if action.is_retry and not self._take_retry(
            active.service, action, now
        ):
            return active.plan.deny_attempt(now, room=True)
        active.tried.add(chosen.server)
        active.record_step(chosen.server, 'sent', now, chosen.describe(now))
        active.plan.record_start(now)
        self._fleet.record_start(chosen, now)
        active.group.start_soon(self._attempts.run, active, chosen, now)
        return Wait(now)

    def _hand_over(
        self, active: ActiveCall, action: Attempt, peer: MemberId
    ) -> Action:
        """Hand a call over to a gateway that reaches the servers."""
        now = self._clock()
        if action.is_retry and not self._take_retry(
            active.service, action, now
        ):
            return active.plan.deny_attempt(now, room=True)
        active.tried_peers.add(peer)
        active.record_step(peer, 'handed over', now)
        active.plan.record_start(now)
        active.plan.deny_hedges()
        active.group.start_soon(self._handover.run, active, peer, now)
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
            active.record_step(candidate.server, 'no token', self._clock())
        return chosen

    def _take_retry(
        self, service: ServiceId, action: Attempt, now: float
    ) -> bool:
        budget = self._find_budget(service)
        return budget.spend(now, self._fleet.count_members(), action.reserve)

    def _make_plan(
        self, call: IncomingCall, latencies: LatencyWindow
    ) -> CallPlan:
        return CallPlan(
            call.route,
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
            digest=call.digests.own,
            content=call.digests.content,
            crashes=active.plan.crashes,
            handed_over=call.handed_over,
            took=round(took_s, 4),
            allowed=round(call.deadline_at - call.arrived_at, 4),
            usual=round(active.plan.median_s, 4),
            slow=round(active.plan.slow_s, 4),
            trail=active.trail,
            ends=status,
            retry_after=round(response.retry_after_s, 3),
        )

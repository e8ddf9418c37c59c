"""Runs the attempts of calls, with retries and hedging."""

import functools
import itertools
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from ibisplank.connection import (
    Answer,
    AttemptReport,
    ConnectionPool,
    SlotConstraint,
)
from ibisplank.errors import Refused
from ibisplank.ids import (
    CallId,
    CustomerId,
    RefusalKind,
    ServerId,
)
from ibisplank.process.control._sharedsuspects import SharedSuspects
from ibisplank.process.daemons._metrics import Metrics
from ibisplank.process.placing._actions import Lease
from ibisplank.process.placing._allocator import SlotAllocator
from ibisplank.process.placing._borrower import SlotDemand
from ibisplank.process.placing._dispatch import Dispatcher, Outcome
from ibisplank.process.placing._health import MIN_SAMPLES
from ibisplank.process.placing._hedges import HedgeCandidate, Hedger
from ibisplank.process.placing._latency import LatencyAverage
from ibisplank.request import (
    Call,
    Failure,
    RetryBudget,
    Verdict,
    choose_trial_server,
    may_retry,
    refuse_failed,
    refuse_unknown,
)
from ibisplank.version import Server

#: Placeholder where no backend server is meant.
NO_SERVER = ServerId('')
#: An attempt is hedged once it exceeds its class's mean latency by this many
#: deviations.
HEDGE_DEVIATIONS = 4.0
#: Shortest time after which an attempt is hedged.
MIN_HEDGE_S = 0.01


@dataclass(slots=True)
class ClassStats:
    """Retry budget and latency of one class of calls.

    Examples
    --------
    >>> stats = ClassStats()
    >>> stats.record_latency(AttemptReport(ok=True, latency_s=0.5))
    >>> stats.record_latency(
    ...     AttemptReport(ok=True, latency_s=0.25, silent=True)
    ... )
    >>> stats.latency.mean_s
    0.525
    """

    budget: RetryBudget = field(default_factory=RetryBudget)
    latency: LatencyAverage = field(default_factory=LatencyAverage)

    def record_latency(self, report: AttemptReport) -> None:
        """Record an attempt's latency, as a lower bound if no answer came."""
        if report.silent:
            self.latency.add_censored(report.latency_s)
        else:
            self.latency.add(report.latency_s)


@dataclass(frozen=True, slots=True)
class Job:
    """A call with its body and the statistics of its class.

    Attributes
    ----------
    digest : str
        Digest of the request's service, method, target and body.
    """

    call: Call
    body: bytes
    digest: str
    stats: ClassStats


@dataclass(frozen=True, slots=True)
class SlotUse:
    """One attempt's use of a slot.

    Attributes
    ----------
    is_resend : bool
        Whether an earlier attempt of the call may have run or still runs.
    """

    job: Job
    demand: SlotDemand
    lease: Lease
    is_resend: bool

    @property
    def trial(self) -> bool:
        """Whether the attempt is the trial of a suspect request."""
        return bool(self.demand.constraint.only)


class AttemptRunner:
    """Runs calls on slots, with retries and hedging.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(
        self,
        allocator: SlotAllocator,
        suspects: SharedSuspects,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.pools: dict[ServerId, ConnectionPool] = {}
        self._allocator = allocator
        self._suspects = suspects
        self._metrics = metrics
        self._clock = clock
        self._dispatcher = Dispatcher(clock)
        self._hedger = Hedger(clock)
        self._stats: dict[tuple[CustomerId, str], ClassStats] = {}
        self._numbers = itertools.count(1)

    def update_servers(self, servers: Iterable[Server]) -> None:
        """Replace the servers; one with an unchanged address keeps its pool."""
        pools: dict[ServerId, ConnectionPool] = {}
        for server in servers:
            pool = self.pools.get(server.server)
            if pool is None or pool.address != server.address:
                pool = ConnectionPool(server.address, self._clock)
            pools[server.server] = pool
        self.pools = pools

    async def run(self, call: Call, body: bytes, digest: str) -> Answer:
        """Run a call and return its complete answer.

        Raises
        ------
        Refused
            No attempt succeeded, and no further one is allowed.
        """
        key = (call.customer, call.klass.name)
        stats = self._stats.setdefault(key, ClassStats())
        job = Job(call, body, digest, stats)
        may_have_run = False
        while True:
            outcome = await self._attempt(job, is_resend=may_have_run)
            if outcome.failure is None and outcome.answer is not None:
                stats.budget.earn(call.klass.retry_share)
                return outcome.answer
            failure = outcome.failure or Failure.UNKNOWN
            may_have_run = may_have_run or failure is Failure.UNKNOWN
            self._suspects.check(digest, may_have_run=may_have_run)
            if not may_retry(call, failure, stats.budget, self._clock()):
                raise _make_refusal(outcome, may_have_run=may_have_run)
            self._metrics.count_retry(call.customer, call.klass.name)

    async def run_hedges(self) -> None:
        """Start second attempts of slow calls until cancelled."""
        await self._hedger.run()

    async def _attempt(
        self,
        job: Job,
        avoid: ServerId = NO_SERVER,
        *,
        is_resend: bool,
    ) -> Outcome:
        demand = self._make_demand(job, avoid)
        lease = await self._allocator.acquire(demand)
        if lease is None:
            return Outcome(None, Failure.NO_SLOT, 'no slot came free')
        use = SlotUse(job, demand, lease, is_resend)
        outcome = Outcome(None, Failure.UNKNOWN, 'cancelled', cut_off=True)
        try:
            outcome = await self._send(use)
            await self._check_server_death(use, outcome)
        finally:
            self._release(lease, outcome)
        return outcome

    def _release(self, lease: Lease, outcome: Outcome) -> None:
        """Release a slot, with a delay if the server may still use it."""
        if outcome.cut_off:
            self._allocator.release_later(lease, outcome.report)
            return
        self._allocator.release(lease, outcome.report)

    async def _send(self, use: SlotUse) -> Outcome:
        lease = use.lease
        call = use.job.call
        pool = self.pools.get(lease.server)
        now = self._clock()
        ready = self._allocator.scheduler.may_send(lease, now)
        if pool is None or not ready or not self._may_run(use):
            return Outcome(
                None,
                Failure.NOT_SENT,
                'slot withdrawn',
            )
        health = self._allocator.scheduler.servers.health[lease.server]
        wait_s = min(lease.until, call.deadline) - now
        if not call.at_most_once:
            wait_s = health.find_first_byte_timeout_s(wait_s)
        first = self._dispatcher.dispatch(
            pool,
            lease,
            call,
            use.job.body,
            wait_s,
            proven=call.at_most_once,
            fresh=use.is_resend,
        )
        outcome = await self._hedge(use, first, now)
        if outcome.report is not None and outcome.report.ok:
            use.job.stats.record_latency(outcome.report)
        return outcome

    async def _hedge(
        self,
        use: SlotUse,
        first: Awaitable[Outcome],
        now: float,
    ) -> Outcome:
        """Await the first attempt, or a second one that answers first."""
        call = use.job.call
        latency = use.job.stats.latency
        if (
            call.at_most_once
            or call.retried_above
            or use.demand.constraint.restricted
        ):
            return await first
        if latency.count < MIN_SAMPLES:
            return await first
        slow_s = max(MIN_HEDGE_S, latency.upper_bound_s(HEDGE_DEVIATIONS))
        run_second = functools.partial(
            self._attempt,
            use.job,
            use.lease.server,
            is_resend=True,
        )
        spend_token = functools.partial(self._spend_token, use.job)
        candidate = HedgeCandidate(now, now + slow_s, spend_token, run_second)
        return await self._hedger.race(candidate, first)

    def _spend_token(self, job: Job) -> bool:
        """Spend a token of the class's retry budget on a second attempt."""
        if not job.stats.budget.spend():
            return False
        self._metrics.count_hedge(job.call.customer, job.call.klass.name)
        return True

    def _make_demand(self, job: Job, avoid: ServerId) -> SlotDemand:
        """Return a call's demand; a suspect gets slot 0 of one server only.

        All members choose the same server for a suspect request, and slot 0
        runs one call at a time. A server that dies in a trial was therefore
        running no other suspect.
        """
        call = job.call
        only: ServerId | None = None
        if self._suspects.judge(job.digest) is Verdict.SUSPECT:
            healthy = self._allocator.scheduler.servers.list_healthy(
                call.service
            )
            only = choose_trial_server(job.digest, healthy)
        return SlotDemand(
            CallId(next(self._numbers)),
            call.service,
            call.customer,
            call.klass.level,
            call.deadline,
            SlotConstraint(only or NO_SERVER, avoid),
        )

    def _may_run(self, use: SlotUse) -> bool:
        """Check the verdict on a request again, after the wait for a slot."""
        match self._suspects.judge(use.job.digest):
            case Verdict.CLEAR:
                return True
            case Verdict.SUSPECT:
                return use.trial
        return False

    async def _check_server_death(self, use: SlotUse, outcome: Outcome) -> None:
        """Record a server's death, or clear a request after its trial."""
        if outcome.failure is None and use.trial:
            self._suspects.clear(use.job.digest)
        if outcome.failure is not Failure.UNKNOWN or outcome.silent:
            return
        server = use.lease.server
        pool = self.pools.get(server)
        if pool is not None and not await pool.can_connect():
            digest = use.job.digest
            await self._suspects.report_death(digest, server, trial=use.trial)


def _make_refusal(outcome: Outcome, *, may_have_run: bool) -> Refused:
    """Return the refusal of a call whose last attempt failed.

    Parameters
    ----------
    may_have_run : bool
        Whether any attempt may have run.
    """
    if may_have_run:
        return refuse_unknown(outcome.reason)
    kind = RefusalKind.BACKEND_FAILED
    if outcome.failure is Failure.NO_SLOT:
        kind = RefusalKind.NO_SLOT
    return refuse_failed(kind, f'{outcome.reason}; try again later')

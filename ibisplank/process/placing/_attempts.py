"""Attempts of one call on backend servers."""

import functools
import itertools
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from ibisplank.connection import Answer, AnswerReport, Route, SlotChoice
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
from ibisplank.process.placing._average import Average
from ibisplank.process.placing._borrower import Need
from ibisplank.process.placing._dispatch import Dispatcher, Outcome
from ibisplank.process.placing._hedges import Hedges, Watch
from ibisplank.process.placing._slots import Slots
from ibisplank.process.placing._trust import MIN_ANSWERS
from ibisplank.request import (
    Call,
    Failure,
    RetryBudget,
    Verdict,
    choose_trial,
    may_retry,
    refuse_failed,
    refuse_unknown,
)
from ibisplank.version import Server

#: Stands for no backend server.
NO_SERVER = ServerId('')
#: A call is slow so many deviations above its class's mean latency.
HEDGE_DEVIATIONS = 4.0
MIN_HEDGE_S = 0.01


@dataclass(slots=True)
class ClassRecord:
    """What recent calls of one class showed.

    Examples
    --------
    >>> record = ClassRecord()
    >>> record.note(AnswerReport(ok=True, latency_s=0.5))
    >>> record.note(AnswerReport(ok=True, latency_s=0.25, silent=True))
    >>> record.latency.mean_s
    0.525
    """

    budget: RetryBudget = field(default_factory=RetryBudget)
    latency: Average = field(default_factory=Average)

    def note(self, report: AnswerReport) -> None:
        """Take in how long an attempt took, or took at least."""
        if report.silent:
            self.latency.add_cut(report.latency_s)
        else:
            self.latency.add(report.latency_s)


@dataclass(frozen=True, slots=True)
class Job:
    """A call that is to be answered.

    Attributes
    ----------
    digest : str
        Digest of what makes two requests the same.
    """

    call: Call
    body: bytes
    digest: str
    record: ClassRecord


@dataclass(frozen=True, slots=True)
class Use:
    """One attempt's use of a slot.

    Attributes
    ----------
    again : bool
        Whether an earlier attempt of the call has been sent.
    """

    job: Job
    need: Need
    lease: Lease
    again: bool

    @property
    def trial(self) -> bool:
        """Whether a suspect request runs on the slot."""
        return bool(self.need.choice.only)


class Attempts:
    """Runs calls on slots, with retries.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(
        self,
        slots: Slots,
        deaths: SharedSuspects,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.routes: dict[ServerId, Route] = {}
        self._slots = slots
        self._deaths = deaths
        self._metrics = metrics
        self._clock = clock
        self._dispatcher = Dispatcher(clock)
        self._hedges = Hedges(clock)
        self._records: dict[tuple[CustomerId, str], ClassRecord] = {}
        self._numbers = itertools.count(1)

    def learn_servers(self, servers: Iterable[Server]) -> None:
        """Keep a route to each backend server at its present address."""
        routes: dict[ServerId, Route] = {}
        for server in servers:
            route = self.routes.get(server.server)
            if route is None or route.address != server.address:
                route = Route(server.address, self._clock)
            routes[server.server] = route
        self.routes = routes

    async def run(self, call: Call, body: bytes, digest: str) -> Answer:
        """Return the whole answer to a call.

        Raises
        ------
        Refused
            No attempt brought an answer.
        """
        key = (call.customer, call.klass.name)
        record = self._records.setdefault(key, ClassRecord())
        job = Job(call, body, digest, record)
        may_have_run = False
        while True:
            outcome = await self._attempt(job, again=may_have_run)
            if outcome.failure is None and outcome.answer is not None:
                record.budget.earn(call.klass.retry_share)
                return outcome.answer
            failure = outcome.failure or Failure.UNKNOWN
            may_have_run = may_have_run or failure is Failure.UNKNOWN
            self._deaths.check(digest, may_have_run=may_have_run)
            if not may_retry(call, failure, record.budget, self._clock()):
                raise _explain(outcome, may_have_run=may_have_run)
            self._metrics.count_retry(call.customer, call.klass.name)

    async def hedge(self) -> None:
        """Start second attempts of slow calls, for ever."""
        await self._hedges.run()

    async def _attempt(
        self,
        job: Job,
        avoid: ServerId = NO_SERVER,
        *,
        again: bool,
    ) -> Outcome:
        need = self._make_need(job, avoid)
        lease = await self._slots.acquire(need)
        if lease is None:
            return Outcome(None, Failure.NO_SLOT, 'no slot came free')
        use = Use(job, need, lease, again)
        outcome = Outcome(None, Failure.UNKNOWN, 'cancelled', cut_off=True)
        try:
            outcome = await self._send(use)
            await self._judge_death(use, outcome)
        finally:
            self._end(lease, outcome)
        return outcome

    def _end(self, lease: Lease, outcome: Outcome) -> None:
        """Give a slot back, after a while if the server may still work."""
        if outcome.cut_off:
            self._slots.rest(lease, outcome.report)
            return
        self._slots.finish(lease, outcome.report)

    async def _send(self, use: Use) -> Outcome:
        lease = use.lease
        call = use.job.call
        route = self.routes.get(lease.server)
        now = self._clock()
        ready = self._slots.ledger.may_send(lease, now)
        if route is None or not ready or not self._may_run(use):
            return Outcome(None, Failure.NOT_SENT, 'slot withdrawn')
        trust = self._slots.ledger.servers.trust[lease.server]
        wait_s = min(lease.until, call.deadline) - now
        if not call.at_most_once:
            wait_s = trust.first_byte_s(wait_s)
        first = self._dispatcher.dispatch(
            route,
            lease,
            call,
            use.job.body,
            wait_s,
            proven=call.at_most_once,
            fresh=use.again,
        )
        outcome = await self._hedge(use, first, now)
        if outcome.report is not None and outcome.report.ok:
            use.job.record.note(outcome.report)
        return outcome

    async def _hedge(
        self,
        use: Use,
        first: Awaitable[Outcome],
        now: float,
    ) -> Outcome:
        """Await a first attempt, which a second may overtake."""
        call = use.job.call
        latency = use.job.record.latency
        if call.at_most_once or call.retried_above or use.need.choice.choosy:
            return await first
        if latency.count < MIN_ANSWERS:
            return await first
        slow_s = max(MIN_HEDGE_S, latency.bound_s(HEDGE_DEVIATIONS))
        again = functools.partial(
            self._attempt,
            use.job,
            use.lease.server,
            again=True,
        )
        pay = functools.partial(self._pay, use.job)
        watch = Watch(now, now + slow_s, pay, again)
        return await self._hedges.race(watch, first)

    def _pay(self, job: Job) -> bool:
        """Take a hedge from the budget of a call's class."""
        if not job.record.budget.spend():
            return False
        self._metrics.count_hedge(job.call.customer, job.call.klass.name)
        return True

    def _make_need(self, job: Job, avoid: ServerId) -> Need:
        """Return what a call may run on: a suspect, one server's first slot.

        All members choose the same server, and its first slot takes one call
        at a time, so that a server that dies has run no other suspect.
        """
        call = job.call
        only: ServerId | None = None
        if self._deaths.judge(job.digest) is Verdict.SUSPECT:
            sound = self._slots.ledger.servers.list_sound(call.service)
            only = choose_trial(job.digest, sound)
        return Need(
            CallId(next(self._numbers)),
            call.service,
            call.customer,
            call.klass.level,
            call.deadline,
            SlotChoice(only or NO_SERVER, avoid),
        )

    def _may_run(self, use: Use) -> bool:
        """Tell whether a request may run, after the wait for its slot."""
        match self._deaths.judge(use.job.digest):
            case Verdict.CLEAR:
                return True
            case Verdict.SUSPECT:
                return use.trial
        return False

    async def _judge_death(self, use: Use, outcome: Outcome) -> None:
        """Count a death against the request, or clear it after a trial."""
        if outcome.failure is None and use.trial:
            self._deaths.clear(use.job.digest)
        if outcome.failure is not Failure.UNKNOWN or outcome.silent:
            return
        server = use.lease.server
        route = self.routes.get(server)
        if route is not None and not await route.is_open():
            digest = use.job.digest
            await self._deaths.report_death(digest, server, trial=use.trial)


def _explain(outcome: Outcome, *, may_have_run: bool) -> Refused:
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

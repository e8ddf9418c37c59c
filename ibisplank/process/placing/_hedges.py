"""Hedging of slow calls: the first complete answer of two attempts wins."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import Answer, AttemptReport
from ibisplank.process.placing._dispatch import Outcome
from ibisplank.request import Failure

#: Interval of the check for attempts that are due to be hedged.
CHECK_INTERVAL_S = 0.02


@dataclass(slots=True, eq=False)
class HedgeCandidate:
    """A first attempt that may be hedged by a second one.

    Attributes
    ----------
    sent_at : float
        Time at which the attempt was sent.
    hedge_at : float
        Time at which the second attempt is due.
    spend_token : callable
        Spends a token of the retry budget, and returns whether it had one.
    run_second : callable
        Runs the second attempt.
    first_scope : anyio.CancelScope
        Cancels the first attempt.
    second_scope : anyio.CancelScope
        Cancels the second attempt.
    answer : Answer or None
        Answer of the second attempt, if it came first.
    """

    sent_at: float
    hedge_at: float
    spend_token: Callable[[], bool]
    run_second: Callable[[], Awaitable[Outcome]]
    first_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    second_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    answer: Answer | None = None
    finished: bool = False
    hedged: bool = False


class Hedger:
    """Starts second attempts of calls that are slow.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._candidates: list[HedgeCandidate] = []

    async def race(
        self,
        candidate: HedgeCandidate,
        first: Awaitable[Outcome],
    ) -> Outcome:
        """Return the first attempt's outcome, or the second's answer.

        If the first attempt was not sent but a second one was started, the
        call may have run, so the outcome is unknown.
        """
        self._candidates.append(candidate)
        outcome: Outcome | None = None
        try:
            with candidate.first_scope:
                outcome = await first
        finally:
            candidate.finished = True
            candidate.second_scope.cancel()
        if outcome is None:
            return self._make_overtaken(candidate)
        if candidate.hedged and outcome.failure is Failure.NOT_SENT:
            outcome.failure = Failure.UNKNOWN
        return outcome

    async def run(self) -> None:
        """Start second attempts when they are due, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                self._start_due(group)

    def _make_overtaken(self, candidate: HedgeCandidate) -> Outcome:
        latency_s = self._clock() - candidate.sent_at
        report = AttemptReport(
            ok=True,
            latency_s=latency_s,
            silent=True,
            overtaken=True,
        )
        return Outcome(candidate.answer, report=report, cut_off=True)

    def _start_due(self, group: TaskGroup) -> None:
        now = self._clock()
        unfinished = [
            candidate
            for candidate in self._candidates
            if not candidate.finished
        ]
        self._candidates = [
            candidate for candidate in unfinished if candidate.hedge_at > now
        ]
        for candidate in unfinished:
            if candidate.hedge_at <= now and candidate.spend_token():
                candidate.hedged = True
                group.start_soon(_run_second, candidate)


async def _run_second(candidate: HedgeCandidate) -> None:
    with candidate.second_scope:
        outcome = await candidate.run_second()
        if outcome.failure is None and not candidate.finished:
            candidate.answer = outcome.answer
            candidate.first_scope.cancel()

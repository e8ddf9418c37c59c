"""Second attempts of slow calls, of which the first whole answer wins."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ibisplank.connection import Answer, AnswerReport
from ibisplank.process.placing._dispatch import Outcome
from ibisplank.request import Failure

#: Time between two looks for slow calls.
TICK_S = 0.02


@dataclass(slots=True, eq=False)
class Watch:
    """An attempt that a second one may overtake.

    Attributes
    ----------
    started : float
        Time at which the attempt was sent.
    due : float
        Time from which it counts as slow.
    pay : callable
        Takes a hedge from the call's budget, if there is one.
    again : callable
        Runs the second attempt.
    """

    started: float
    due: float
    pay: Callable[[], bool]
    again: Callable[[], Awaitable[Outcome]]
    first: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    second: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    answer: Answer | None = None
    over: bool = False
    hedged: bool = False


class Hedges:
    """Starts second attempts when they are due.

    Parameters
    ----------
    clock : callable
        Boot-time clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._watches: list[Watch] = []

    async def race(self, watch: Watch, first: Awaitable[Outcome]) -> Outcome:
        """Return how a first attempt ended, or the answer that overtook it."""
        self._watches.append(watch)
        outcome: Outcome | None = None
        try:
            with watch.first:
                outcome = await first
        finally:
            watch.over = True
            watch.second.cancel()
        if outcome is None:
            return self._overtake(watch)
        if watch.hedged and outcome.failure is Failure.NOT_SENT:
            outcome.failure = Failure.UNKNOWN
        return outcome

    async def run(self) -> None:
        """Start second attempts for ever."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(TICK_S)
                self._start_due(group)

    def _overtake(self, watch: Watch) -> Outcome:
        latency_s = self._clock() - watch.started
        report = AnswerReport(
            ok=True,
            latency_s=latency_s,
            silent=True,
            overtaken=True,
        )
        return Outcome(watch.answer, report=report, cut_off=True)

    def _start_due(self, group: TaskGroup) -> None:
        now = self._clock()
        left = [watch for watch in self._watches if not watch.over]
        self._watches = [watch for watch in left if watch.due > now]
        for watch in left:
            if watch.due <= now and watch.pay():
                watch.hedged = True
                group.start_soon(_run_second, watch)


async def _run_second(watch: Watch) -> None:
    with watch.second:
        outcome = await watch.again()
        if outcome.failure is None and not watch.over:
            watch.answer = outcome.answer
            watch.first.cancel()

"""Hedging: second attempts of slow calls."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from ibisplank.connection import Answer
from ibisplank.process import HedgeCandidate, Hedger, Outcome
from ibisplank.request import Failure

FAST_S = 0.0
SLOW_S = 0.2
DUE_S = 0.02
NEVER_S = 60.0
ONE = Answer(200, [], b'first')
TWO = Answer(200, [], b'second')
FAILED = Outcome(None, Failure.UNKNOWN, 'torn')


class FakeAttempt:
    """Attempt with a given duration and outcome, unless it is cancelled."""

    def __init__(self, after_s: float, outcome: Outcome) -> None:
        self.after_s = after_s
        self.outcome = outcome
        self.started = False
        self.cancelled = False

    async def run(self) -> Outcome:
        self.started = True
        try:
            await anyio.sleep(self.after_s)
        except BaseException:
            self.cancelled = True
            raise
        return self.outcome


def race(
    first: FakeAttempt,
    second: FakeAttempt,
    spend_token: Callable[[], bool] = lambda: True,
) -> Outcome:
    async def act() -> Outcome:
        hedger = Hedger(anyio.current_time)
        now = anyio.current_time()
        run_second: Callable[[], Awaitable[Outcome]] = second.run
        async with anyio.create_task_group() as group:
            group.start_soon(hedger.run)
            candidate = HedgeCandidate(
                now,
                now + DUE_S,
                spend_token,
                run_second,
            )
            outcome = await hedger.race(candidate, first.run())
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        return outcome

    return anyio.run(act)


def test_fast_call_is_not_hedged() -> None:
    first = FakeAttempt(FAST_S, Outcome(ONE))
    second = FakeAttempt(FAST_S, Outcome(TWO))
    assert race(first, second).answer is ONE
    assert not second.started


def test_second_attempt_that_answers_first_cancels_the_first() -> None:
    first = FakeAttempt(NEVER_S, Outcome(ONE))
    second = FakeAttempt(FAST_S, Outcome(TWO))
    outcome = race(first, second)
    assert outcome.answer is TWO
    assert outcome.failure is None
    assert outcome.cut_off
    assert first.cancelled
    assert outcome.report is not None
    assert outcome.report.silent
    assert outcome.report.latency_s >= DUE_S


def test_first_attempt_that_answers_first_cancels_the_second() -> None:
    first = FakeAttempt(SLOW_S, Outcome(ONE))
    second = FakeAttempt(NEVER_S, Outcome(TWO))
    assert race(first, second).answer is ONE
    assert second.cancelled


def test_no_hedge_starts_without_budget() -> None:
    first = FakeAttempt(SLOW_S, Outcome(ONE))
    second = FakeAttempt(FAST_S, Outcome(TWO))
    assert race(first, second, lambda: False).answer is ONE
    assert not second.started


def test_failed_second_attempt_does_not_cancel_the_first() -> None:
    first = FakeAttempt(SLOW_S, Outcome(ONE))
    second = FakeAttempt(FAST_S, FAILED)
    assert race(first, second).answer is ONE
    assert not first.cancelled


@pytest.mark.parametrize(
    ('after_s', 'failure'),
    [(SLOW_S, Failure.UNKNOWN), (FAST_S, Failure.NOT_SENT)],
)
def test_hedged_call_may_have_run_though_the_first_was_not_sent(
    after_s: float,
    failure: Failure,
) -> None:
    first = FakeAttempt(after_s, Outcome(None, Failure.NOT_SENT, 'refused'))
    outcome = race(first, FakeAttempt(NEVER_S, Outcome(TWO)))
    assert outcome.failure is failure


def test_cancelled_call_cancels_both_attempts() -> None:
    first = FakeAttempt(NEVER_S, Outcome(ONE))
    second = FakeAttempt(NEVER_S, Outcome(TWO))

    async def act() -> None:
        hedger = Hedger(anyio.current_time)
        now = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(hedger.run)
            candidate = HedgeCandidate(
                now,
                now + DUE_S,
                lambda: True,
                second.run,
            )
            with anyio.move_on_after(SLOW_S):
                await hedger.race(candidate, first.run())
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(act)
    assert first.cancelled
    assert second.cancelled

"""One call's steps: what may run again, and what its final answer says."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisplank.connection import Answer
from ibisplank.gateway import Repeat
from ibisplank.gateway._plan import (
    HEDGE_RESERVE,
    RESCUE_WAIT,
    Attempt,
    Await,
    CallPlan,
    Conclude,
    Ending,
    Outcome,
)
from tests.gateways import make_route

USUAL_S = 0.12
SLOW_S = 0.2
GOOD = Answer(200, [], b'body')
FAILURE = Answer(500, [], b'')


def make_plan(
    repeat: Repeat = Repeat.IDEMPOTENT, attempts: int = 2
) -> CallPlan:
    route = make_route(repeat=repeat, max_attempts=attempts)
    return CallPlan(route, 0.0, 1.0, USUAL_S, SLOW_S)


def conclude(plan: CallPlan, now: float) -> Conclude:
    action = plan.decide(now)
    assert isinstance(action, Conclude)
    return action


@pytest.mark.parametrize(
    ('repeat', 'outcome', 'expected'),
    [
        (Repeat.IDEMPOTENT, Outcome.UNSENT, Attempt(again=False)),
        (Repeat.IDEMPOTENT, Outcome.REFUSED, Attempt(again=True)),
        (Repeat.IDEMPOTENT, Outcome.UNKNOWN, Attempt(again=True)),
        (Repeat.ONCE, Outcome.UNSENT, Attempt(again=False)),
        (Repeat.ONCE, Outcome.REFUSED, Attempt(again=True)),
        (Repeat.ONCE, Outcome.UNKNOWN, Conclude(Ending.FAILED)),
    ],
)
def test_what_follows_a_failed_attempt(
    repeat: Repeat,
    outcome: Outcome,
    expected: object,
) -> None:
    plan = make_plan(repeat)
    assert plan.decide(0.0) == Attempt(again=False)
    plan.note_start(0.0)
    plan.note_outcome(outcome)
    assert plan.decide(0.01) == expected


steps = st.lists(
    st.tuples(st.sampled_from(list(Outcome)), st.booleans(), st.floats(0, 0.2)),
    max_size=30,
)


@given(steps, st.sampled_from(list(Repeat)), st.integers(1, 3))
def test_no_call_runs_more_often_than_it_may(
    history: list[tuple[Outcome, bool, float]],
    repeat: Repeat,
    attempts: int,
) -> None:
    plan = make_plan(repeat, attempts)
    now = 0.0
    may_have_run = 0
    running = 0
    for outcome, hold, pause_s in history:
        now += pause_s
        action = plan.decide(now)
        if isinstance(action, Conclude):
            if action.ending is Ending.NOT_RUN:
                assert not may_have_run
                assert not running
            break
        if isinstance(action, Attempt):
            plan.note_start(now)
            running += 1
            limit = attempts if repeat is Repeat.IDEMPOTENT else 1
            assert may_have_run + running <= limit
        if running and not hold:
            plan.note_outcome(outcome)
            running -= 1
            may_have_run += outcome is Outcome.UNKNOWN


def test_a_call_out_of_time_says_whether_it_may_have_run() -> None:
    plan = make_plan()
    assert conclude(plan, 1.0).ending is Ending.NOT_RUN
    plan.note_start(0.9)
    assert conclude(plan, 1.0).ending is Ending.LATE


def test_the_servers_own_failure_is_passed_on_where_nothing_helps() -> None:
    plan = make_plan(attempts=1)
    plan.note_start(0.0)
    plan.note_answer(FAILURE, good=False)
    assert conclude(plan, 0.1).answer == FAILURE
    once = make_plan(Repeat.ONCE)
    once.note_start(0.0)
    once.note_answer(FAILURE, good=False)
    assert conclude(once, 0.1).answer == FAILURE


def test_a_good_answer_goes_before_an_earlier_failure() -> None:
    plan = make_plan()
    plan.note_start(0.0)
    plan.note_answer(FAILURE, good=False)
    assert plan.decide(0.1) == Attempt(again=True)
    plan.note_start(0.1)
    plan.note_answer(GOOD, good=True)
    assert conclude(plan, 0.2).answer == GOOD


def test_a_slowed_server_brings_a_second_attempt_at_once() -> None:
    plan = make_plan()
    plan.note_start(0.0)
    assert isinstance(plan.decide(0.05), Await)
    plan.suspect(0.05)
    assert plan.decide(0.05) == Attempt(again=True)


def test_without_a_sign_a_second_attempt_waits_until_the_call_is_slow() -> None:
    plan = make_plan()
    plan.note_start(0.0)
    slow_at = RESCUE_WAIT * USUAL_S
    assert plan.decide(SLOW_S) == Await(slow_at)
    assert plan.decide(slow_at) == Attempt(again=True, reserve=HEDGE_RESERVE)


def test_a_call_that_may_run_once_is_never_hedged() -> None:
    plan = make_plan(Repeat.ONCE)
    plan.note_start(0.0)
    plan.suspect(0.05)
    assert plan.decide(0.5) == Await(1.0)


def test_a_call_without_a_server_is_refused_after_an_eighth_of_its_target() -> (
    None
):
    plan = make_plan()
    assert isinstance(plan.deny(0.0, room=False), Await)
    refused = plan.deny(0.04, room=False)
    assert isinstance(refused, Conclude)
    assert refused.ending is Ending.NOT_RUN
    assert refused.retry_after_s > 0

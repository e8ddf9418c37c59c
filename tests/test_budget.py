"""The retries of all gateways stay within the limit in any interleaving."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.gateway import RetryLimits
from ibisplank.gateway._budget import ServiceRetryBudget

LIMITS = RetryLimits(ratio=0.2, slack=8.0, window_s=10.0)
MEMBERS = 4

steps = st.lists(
    st.tuples(
        st.integers(0, MEMBERS - 1),
        st.sampled_from(['call', 'retry']),
        st.floats(0, 3),
    ),
    max_size=200,
)


@given(steps)
def test_retries_in_any_window_stay_within_the_limit(
    history: list[tuple[int, str, float]],
) -> None:
    budgets = [ServiceRetryBudget(LIMITS) for _ in range(MEMBERS)]
    now = 0.0
    calls: list[float] = []
    retries: list[float] = []
    for member, kind, pause_s in history:
        now += pause_s
        if kind == 'call':
            budgets[member].record_call(now)
            calls.append(now)
        elif budgets[member].spend(now, MEMBERS):
            retries.append(now)
        in_window = [at for at in retries if at > now - LIMITS.window_s]
        # A retry may use calls from up to one window before it.
        counted = [at for at in calls if at >= now - 2 * LIMITS.window_s]
        allowed = LIMITS.ratio * len(counted) + LIMITS.slack
        assert len(in_window) <= allowed


def test_spend_keeps_the_reserve() -> None:
    budget = ServiceRetryBudget(RetryLimits(ratio=1.0, slack=0.0))
    for _ in range(4):
        budget.record_call(0.0)
    assert budget.spend(0.0, members=1, reserve=2.0)
    assert not budget.spend(0.0, members=1, reserve=2.0)
    assert budget.spend(0.0, members=1)


def test_slack_is_divided_among_members() -> None:
    budget = ServiceRetryBudget(RetryLimits(ratio=0.0, slack=28.0))
    assert budget.count_available(0.0, members=14) < 2.0
    assert budget.count_available(0.0, members=1) > 20.0

"""Retries of all gateways stay within the bound in every interleaving."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.gateway import RetryTerms
from ibisplank.gateway._budget import RetryShare

TERMS = RetryTerms(ratio=0.2, slack=8.0, window_s=10.0)
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
def test_no_window_has_more_retries_than_the_bound(
    history: list[tuple[int, str, float]],
) -> None:
    shares = [RetryShare(TERMS) for _ in range(MEMBERS)]
    now = 0.0
    calls: list[float] = []
    retries: list[float] = []
    for member, kind, pause_s in history:
        now += pause_s
        if kind == 'call':
            shares[member].note_call(now)
            calls.append(now)
        elif shares[member].spend(now, MEMBERS):
            retries.append(now)
        in_window = [at for at in retries if at > now - TERMS.window_s]
        # Calls count from up to one window earlier, as the bound says.
        counted = [at for at in calls if at >= now - 2 * TERMS.window_s]
        allowed = TERMS.ratio * len(counted) + TERMS.slack
        assert len(in_window) <= allowed


def test_a_reserve_is_left_over() -> None:
    share = RetryShare(RetryTerms(ratio=1.0, slack=0.0))
    for _ in range(4):
        share.note_call(0.0)
    assert share.spend(0.0, members=1, reserve=2.0)
    assert not share.spend(0.0, members=1, reserve=2.0)
    assert share.spend(0.0, members=1)


def test_more_members_mean_a_smaller_share() -> None:
    share = RetryShare(RetryTerms(ratio=0.0, slack=28.0))
    assert share.count_left(0.0, members=14) < 2.0
    assert share.count_left(0.0, members=1) > 20.0

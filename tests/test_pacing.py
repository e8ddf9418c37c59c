"""Pacing of cold servers: one pacer, and a limit that holds for two."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.gateway._pacing import ColdServerPacer, choose_pacer
from ibisplank.ids import MemberId, ServerId

#: Required limit on the calls in one second: rate times overshoot, plus slack.
RATE = 4.1
OVERSHOOT = 1.5
SLACK = 5.0
SERVER = ServerId('s')


def count_most(times: list[float]) -> int:
    """Return the most calls within any second."""
    return max(
        (sum(start <= at < start + 1 for at in times) for start in times),
        default=0,
    )


@given(
    st.lists(st.floats(0, 0.3), max_size=300),
    st.floats(0.2, 1),
)
def test_two_pacers_at_once_stay_within_the_limit(
    pauses: list[float],
    handover: float,
) -> None:
    pacers = (ColdServerPacer(), ColdServerPacer())
    times: list[float] = []
    now = 0.0
    for number, pause_s in enumerate(pauses):
        now += pause_s
        both = now < handover * sum(pauses)
        for pacer in pacers if both else pacers[number % 2 :][:1]:
            if pacer.may_send(SERVER, now):
                pacer.record_sent(SERVER, now, RATE)
                times.append(now)
    assert count_most(times) <= RATE * OVERSHOOT + SLACK


@given(st.sets(st.sampled_from('abcdefg'), min_size=1))
def test_choice_of_the_pacer_is_consistent(
    names: set[str],
) -> None:
    members = [MemberId(name) for name in names]
    chosen = choose_pacer(SERVER, members)
    assert chosen == choose_pacer(SERVER, list(reversed(members)))
    for removed in members:
        rest = [each for each in members if each != removed]
        if removed != chosen:
            assert choose_pacer(SERVER, rest) == chosen


def test_no_pacer_without_members() -> None:
    assert choose_pacer(SERVER, []) is None

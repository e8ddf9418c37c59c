"""Server selection prefers local, idle, fast and healthy servers."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisplank.gateway._directory import ServerState
from ibisplank.gateway._placing import Candidate, ServerSelector
from ibisplank.gateway._record import LoadReport, ServerStats
from ibisplank.ids import ServerId, ZoneId
from tests.gateways import make_entry

NOW = 100.0


def make_candidate(
    name: str,
    *,
    zone: str = 'z1',
    in_flight: int = 0,
    peer_calls: int = 0,
    slowdown: float = 1.0,
    failures: int = 0,
    cold: bool = False,
) -> Candidate:
    stats = ServerStats(ServerId(name), in_flight=in_flight)
    stats.record_report(LoadReport(0, 0, 2, slowdown), NOW)
    for _ in range(failures):
        stats.record_failure(NOW)
    state = ServerState(make_entry(name, zone=zone))
    return Candidate(state, stats, cold, peer_calls, slowdown)


def choose(*candidates: Candidate, at_most_once: bool = False) -> str | None:
    selector = ServerSelector(ZoneId('z1'), random.Random(1))
    chosen = selector.choose(candidates, NOW, at_most_once=at_most_once)
    return None if chosen is None else chosen.server


@pytest.mark.parametrize(
    'worse',
    [
        {'in_flight': 1},
        {'peer_calls': 1},
        {'slowdown': 4.0},
        {'failures': 2},
        {'cold': True},
        {'zone': 'z2'},
    ],
)
def test_worse_server_is_not_chosen(
    worse: dict[str, object],
) -> None:
    bad = make_candidate('bad', **worse)  # type: ignore[arg-type]
    assert choose(bad, make_candidate('good')) == 'good'


def test_fast_remote_server_is_preferred_to_a_slow_local_one() -> None:
    near = make_candidate('near', slowdown=4.0)
    far = make_candidate('far', zone='z2')
    assert choose(near, far) == 'far'


def test_full_server_is_not_chosen() -> None:
    assert choose(make_candidate('full', in_flight=2, peer_calls=2)) is None


def test_at_most_once_call_avoids_failures_more() -> None:
    failing = make_candidate('failing', failures=1)
    busy = make_candidate('busy', in_flight=1)
    assert choose(failing, busy) == 'failing'
    assert choose(failing, busy, at_most_once=True) == 'busy'


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.sampled_from([1.0, 4.0])),
        min_size=1,
        max_size=10,
    ),
)
def test_chosen_local_server_has_the_lowest_cost(
    loads: list[tuple[int, float]],
) -> None:
    candidates = [
        make_candidate(f's{number}', in_flight=busy, slowdown=slowdown)
        for number, (busy, slowdown) in enumerate(loads)
    ]
    selector = ServerSelector(ZoneId('z1'), random.Random(1))
    chosen = selector.choose(candidates, NOW, at_most_once=False)
    assert chosen is not None
    costs = [
        selector.estimate_cost(each, NOW, at_most_once=False)
        for each in candidates
    ]
    assert selector.estimate_cost(chosen, NOW, at_most_once=False) == min(costs)

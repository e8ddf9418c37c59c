"""Lookup by longest prefix, and traffic splitting by weight."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.gateway import TrafficShare
from ibisplank.gateway._routing import RouteTable, TrafficSplitter
from ibisplank.ids import ServiceId
from tests.gateways import make_config, make_route


def test_longest_prefix_wins() -> None:
    routes = (make_route('/'), make_route('/a/'), make_route('/a/b/'))
    table = RouteTable(make_config(1, *routes))
    cases = {
        '/x': '/',
        '/a': '/',
        '/a/': '/a/',
        '/a/x/y': '/a/',
        '/a/b/c': '/a/b/',
        '/a/bb': '/a/',
    }
    for path, prefix in cases.items():
        found = table.find('host.example', path)
        assert found is not None
        assert found.prefix == prefix
    assert table.find('other.example', '/a/') is None
    assert (
        RouteTable(make_config(1, routes[1])).find('host.example', '/') is None
    )


segments = st.lists(st.sampled_from(['a', 'b', 'ab']), max_size=4)


@given(st.lists(segments, max_size=8), segments, st.booleans())
def test_lookup_equals_a_linear_search(
    prefixes: list[list[str]],
    path: list[str],
    slash: bool,
) -> None:
    known = {'/' + ''.join(f'{part}/' for part in each) for each in prefixes}
    asked = '/' + '/'.join(path) + ('/' if slash and path else '')
    table = RouteTable(make_config(1, *map(make_route, sorted(known))))
    fitting = [each for each in known if asked.startswith(each)]
    found = table.find('host.example', asked)
    assert (found.prefix if found else '') == max(fitting, key=len, default='')


@given(
    st.lists(st.integers(1, 100), min_size=2, max_size=4),
    st.floats(0, 0.99),
)
def test_split_follows_the_weights(
    weights: list[int],
    phase: float,
) -> None:
    shares = tuple(
        TrafficShare(ServiceId(str(number)), weight)
        for number, weight in enumerate(weights)
    )
    route = make_route(shares=shares)
    splitter = TrafficSplitter()
    calls = 200
    counts = Counter(splitter.choose(route, phase) for _ in range(calls))
    for share in shares:
        due = calls * share.weight / sum(weights)
        assert abs(counts[share.service] - due) <= len(weights)

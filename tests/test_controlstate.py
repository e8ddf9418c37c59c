"""Configuration never reverts, whatever arrives in whatever order."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.connection import ConfigFull, ConfigNews
from ibisplank.ids import Token, VmId
from ibisplank.process import ControlState
from ibisplank.version import Change, ConfigState, VmList, VmMove

LENGTH = 8
CHANGES = tuple(
    Change(
        revision,
        VmMove(VmId(f'v{revision % 3}'), out=revision % 2 == 0),
        'op',
        Token(str(revision)),
        0.0,
    )
    for revision in range(1, LENGTH + 1)
)


def make_state(revision: int) -> ConfigState:
    state = ConfigState()
    for change in CHANGES[:revision]:
        state = state.apply(change)
    return state


revisions = st.integers(0, LENGTH)
fulls = revisions.map(lambda revision: ConfigFull(make_state(revision)))
news = st.tuples(revisions, revisions).map(
    lambda ends: ConfigNews(CHANGES[min(ends) : max(ends)]),
)


@given(st.lists(st.one_of(fulls, news), max_size=30))
def test_the_revision_only_rises(
    messages: list[ConfigFull | ConfigNews],
) -> None:
    state = ControlState()
    for message in messages:
        before = state.config.revision
        state.learn_config(message)
        assert state.config.revision >= before
        assert state.config == make_state(state.config.revision)


@given(st.lists(st.one_of(fulls, news), max_size=10), revisions)
def test_a_peer_that_asks_catches_up(
    messages: list[ConfigFull | ConfigNews],
    behind: int,
) -> None:
    ahead = ControlState()
    for message in messages:
        ahead.learn_config(message)
    late = ControlState()
    late.learn_config(ConfigFull(make_state(behind)))
    late.learn_config(ahead.make_config_update(late.config.revision))
    top = max(behind, ahead.config.revision)
    assert late.config == make_state(top)


def test_an_older_list_is_passed_over() -> None:
    state = ControlState()
    assert state.learn_listing(VmList(serial=2))
    assert not state.learn_listing(VmList(serial=1))
    assert state.listing.serial == 2

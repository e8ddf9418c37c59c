"""Configuration never reverts, whatever arrives in whatever order."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.connection import ConfigChanges, ConfigSnapshot
from ibisplank.ids import Token, VmId
from ibisplank.process import Known
from ibisplank.version import Change, ConfigState, VmList, VmStatusEdit

LENGTH = 8
CHANGES = tuple(
    Change(
        revision,
        VmStatusEdit(VmId(f'v{revision % 3}'), out=revision % 2 == 0),
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
fulls = revisions.map(lambda revision: ConfigSnapshot(make_state(revision)))
news = st.tuples(revisions, revisions).map(
    lambda ends: ConfigChanges(CHANGES[min(ends) : max(ends)]),
)


@given(st.lists(st.one_of(fulls, news), max_size=30))
def test_the_revision_only_rises(
    messages: list[ConfigSnapshot | ConfigChanges],
) -> None:
    known = Known()
    for message in messages:
        before = known.config.revision
        known.learn_config(message)
        assert known.config.revision >= before
        assert known.config == make_state(known.config.revision)


@given(st.lists(st.one_of(fulls, news), max_size=10), revisions)
def test_a_peer_that_asks_catches_up(
    messages: list[ConfigSnapshot | ConfigChanges],
    behind: int,
) -> None:
    ahead = Known()
    for message in messages:
        ahead.learn_config(message)
    late = Known()
    late.learn_config(ConfigSnapshot(make_state(behind)))
    late.learn_config(ahead.answer_ask(late.config.revision))
    top = max(behind, ahead.config.revision)
    assert late.config == make_state(top)


def test_an_older_list_is_passed_over() -> None:
    known = Known()
    assert known.learn_listing(VmList(serial=2))
    assert not known.learn_listing(VmList(serial=1))
    assert known.listing.serial == 2

"""Configuration never reverts, whatever the order of updates."""

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.connection import ConfigChanges, ConfigSnapshot
from ibisplank.ids import Token, VmId
from ibisplank.process import ControlState
from ibisplank.version import Change, ConfigState, VmList, VmStatusEdit

CHANGE_COUNT = 8
CHANGES = tuple(
    Change(
        revision,
        VmStatusEdit(VmId(f'v{revision % 3}'), out=revision % 2 == 0),
        'op',
        Token(str(revision)),
        0.0,
    )
    for revision in range(1, CHANGE_COUNT + 1)
)


def make_state(revision: int) -> ConfigState:
    state = ConfigState()
    for change in CHANGES[:revision]:
        state = state.apply(change)
    return state


revisions = st.integers(0, CHANGE_COUNT)
snapshots = revisions.map(lambda revision: ConfigSnapshot(make_state(revision)))
change_updates = st.tuples(revisions, revisions).map(
    lambda ends: ConfigChanges(CHANGES[min(ends) : max(ends)]),
)


@given(st.lists(st.one_of(snapshots, change_updates), max_size=30))
def test_the_revision_only_rises(
    messages: list[ConfigSnapshot | ConfigChanges],
) -> None:
    state = ControlState()
    for message in messages:
        before = state.config.revision
        state.update_config(message)
        assert state.config.revision >= before
        assert state.config == make_state(state.config.revision)


@given(st.lists(st.one_of(snapshots, change_updates), max_size=10), revisions)
def test_a_peer_that_asks_for_updates_catches_up(
    messages: list[ConfigSnapshot | ConfigChanges],
    peer_revision: int,
) -> None:
    source = ControlState()
    for message in messages:
        source.update_config(message)
    peer = ControlState()
    peer.update_config(ConfigSnapshot(make_state(peer_revision)))
    peer.update_config(source.make_config_update(peer.config.revision))
    expected = max(peer_revision, source.config.revision)
    assert peer.config == make_state(expected)


def test_an_older_vm_list_is_ignored() -> None:
    state = ControlState()
    assert state.update_vm_list(VmList(serial=2))
    assert not state.update_vm_list(VmList(serial=1))
    assert state.vm_list.serial == 2

"""Merging of updates is independent of order and never reverts a row."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ibisplank.gateway._rowset import RowSet
from ibisplank.store import TableUpdate, Topic, VersionedRow

writes = st.lists(
    st.tuples(st.sampled_from('abc'), st.booleans()),
    min_size=1,
    max_size=12,
)


def make_updates(history: list[tuple[str, bool]]) -> list[TableUpdate]:
    """Return the change and a snapshot for each version."""
    updates = []
    rows: dict[str, VersionedRow] = {}
    for number, (key, deleted) in enumerate(history, start=1):
        content = b'' if deleted else str(number).encode()
        row = VersionedRow(key, content, number, deleted)
        rows[key] = row
        updates.append(
            TableUpdate(Topic.SERVERS, (row,), False, number, 0.0, number - 1),
        )
        kept = tuple(each for each in rows.values() if not each.deleted)
        updates.append(TableUpdate(Topic.SERVERS, kept, True, number, 0.0))
    return updates


def read_alive(rows: RowSet) -> dict[str, bytes]:
    return {row.key: row.content for row in rows.list_rows() if not row.deleted}


@given(writes, st.randoms(use_true_random=False))
def test_merge_is_independent_of_order_and_repetition(
    history: list[tuple[str, bool]],
    rng: random.Random,
) -> None:
    updates = make_updates(history)
    ordered = RowSet()
    for update in updates:
        ordered.merge(update)
    mixed = updates * 2
    rng.shuffle(mixed)
    shuffled = RowSet()
    for update in mixed:
        shuffled.merge(update)
    assert read_alive(shuffled) == read_alive(ordered)


@given(writes, st.randoms(use_true_random=False))
def test_rows_never_revert(
    history: list[tuple[str, bool]],
    rng: random.Random,
) -> None:
    updates = make_updates(history)
    rng.shuffle(updates)
    rows = RowSet()
    newest: dict[str, int] = {}
    for update in updates:
        for row in rows.merge(update):
            assert row.version >= newest.get(row.key, 0)
            newest[row.key] = row.version


def test_version_does_not_advance_over_a_gap() -> None:
    rows = RowSet()
    late = VersionedRow('a', b'3', 3)
    gap = TableUpdate(Topic.SERVERS, (late,), False, 3, 0.0, after=2)
    assert not rows.is_contiguous(gap)
    rows.merge(gap)
    assert rows.version == 0
    rows.merge(TableUpdate(Topic.SERVERS, (late,), True, 3, 0.0))
    assert rows.version == 3

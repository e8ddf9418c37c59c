"""Merging of updates is independent of order and never reverts a row."""

import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ibisplank.gateway._rowset import RowSet
from ibisplank.store import TableUpdate, Topic, VersionedRow

writes = st.lists(
    st.tuples(st.sampled_from('abc'), st.booleans()),
    min_size=1,
    max_size=12,
)


class RestorableTable:
    """A table whose writers number their states, and write them again.

    Attributes
    ----------
    updates : list of TableUpdate
        The change and a snapshot for each version of each era.
    """

    def __init__(self) -> None:
        self.updates: list[TableUpdate] = []
        self._era = 1
        self._log: list[VersionedRow] = []
        self._stamps: dict[str, int] = {}
        self._gone: set[str] = set()

    def write(self, key: str, *, deleted: bool) -> None:
        """Write the next state of a row, or delete it for good."""
        if key in self._gone:
            return
        self._stamps[key] = self._stamps.get(key, 0) + 1
        if deleted:
            self._gone.add(key)
        self._add(key, deleted=deleted)

    def restore(self, version: int) -> None:
        """Return to a version; rows that were lost are written again."""
        self._log = self._log[:version]
        self._era += 1
        self._record_snapshot()
        for key in self._stamps:
            if key in self._gone:
                self._add(key, deleted=True)
            else:
                self.write(key, deleted=False)

    def read_alive(self) -> dict[str, bytes]:
        alive = {row.key: row for row in self._log}
        return {
            key: row.content for key, row in alive.items() if not row.deleted
        }

    def _add(self, key: str, *, deleted: bool) -> None:
        stamp = (0, 0) if deleted else (self._stamps[key], 0)
        content = b'' if deleted else str(stamp).encode()
        version = len(self._log) + 1
        row = VersionedRow(key, content, version, deleted, self._era, stamp)
        self._log.append(row)
        self.updates.append(
            TableUpdate(
                Topic.SERVERS,
                (row,),
                False,
                version,
                0.0,
                version - 1,
                self._era,
            )
        )
        self._record_snapshot()

    def _record_snapshot(self) -> None:
        newest = {row.key: row for row in self._log}
        rows = tuple(
            msgspec.structs.replace(row, era=self._era)
            for row in newest.values()
            if not row.deleted
        )
        version = len(self._log)
        self.updates.append(
            TableUpdate(Topic.SERVERS, rows, True, version, 0.0, 0, self._era)
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


restores = st.lists(st.integers(0, 12), max_size=3)


@given(writes, restores, writes, st.randoms(use_true_random=False))
def test_rows_never_revert_over_restores(
    before: list[tuple[str, bool]],
    versions: list[int],
    after: list[tuple[str, bool]],
    rng: random.Random,
) -> None:
    table = RestorableTable()
    for key, deleted in before:
        table.write(key, deleted=deleted)
    for version in versions:
        table.restore(version)
    for key, deleted in after:
        table.write(key, deleted=deleted)
    mixed = table.updates * 2
    rng.shuffle(mixed)
    rows = RowSet()
    newest: dict[str, tuple[int, int]] = {}
    for update in [*mixed, *table.updates[-2:]]:
        for row in rows.merge(update):
            assert row.stamp >= newest.get(row.key, (0, 0))
            newest[row.key] = row.stamp
    assert read_alive(rows) == table.read_alive()


def test_changes_of_another_era_leave_a_gap() -> None:
    """Versions are given out again, so the same number is another change."""
    rows = RowSet()
    known = VersionedRow('a', b'1', 5, era=1, stamp=(1, 0))
    rows.merge(TableUpdate(Topic.SERVERS, (known,), True, 5, 0.0, era=1))
    nothing = TableUpdate(Topic.SERVERS, (), False, 5, 0.0, after=5, era=2)
    assert not rows.is_contiguous(nothing)
    rows.merge(nothing)
    assert (rows.era, rows.version) == (1, 5)
    rewritten = VersionedRow('a', b'2', 4, era=2, stamp=(2, 0))
    rows.merge(TableUpdate(Topic.SERVERS, (rewritten,), True, 4, 0.0, era=2))
    assert (rows.era, rows.version) == (2, 4)
    assert read_alive(rows) == {'a': b'2'}

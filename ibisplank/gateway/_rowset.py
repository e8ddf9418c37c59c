"""Local copy of the rows of one table."""

import msgspec

from ibisplank.store import TableUpdate, VersionedRow


class RowSet:
    """Newest known state of each row.

    Updates may arrive in any order, repeatedly, and from several sources, and
    the store may have been restored from an older copy in between. No row is
    ever replaced by an older state of it.

    Attributes
    ----------
    era, version : int
        All changes up to this version of this era are known.
    """

    def __init__(self) -> None:
        self.era = 0
        self.version = 0
        self._rows: dict[str, VersionedRow] = {}

    def merge(self, update: TableUpdate) -> list[VersionedRow]:
        """Merge an update; return the rows that it changed."""
        merged = [self._put(row) for row in update.rows]
        changed = [row for row in merged if row is not None]
        if update.is_snapshot and update.era >= self.era:
            changed.extend(self._delete_missing(update))
        if self.is_contiguous(update):
            self._advance(update)
        return changed

    def list_superseded(self, update: TableUpdate) -> list[VersionedRow]:
        """Return the rows of an update that are older than the known ones."""
        superseded = []
        for row in update.rows:
            known = self._rows.get(row.key)
            if known is None or known.content == row.content:
                continue
            if not row.deleted and not _supersedes(row, known):
                superseded.append(row)
        return superseded

    def is_contiguous(self, update: TableUpdate) -> bool:
        """Return whether an update leaves no gap after the known changes.

        After a restore only a snapshot does, as versions are given out again.
        """
        if update.is_snapshot:
            return update.era >= self.era
        return update.era == self.era and update.after <= self.version

    def find(self, key: str) -> VersionedRow | None:
        """Return the row with a key, None if it is unknown or deleted."""
        row = self._rows.get(key)
        return None if row is None or row.deleted else row

    def list_rows(self) -> tuple[VersionedRow, ...]:
        """Return all rows, including tombstones of deleted ones."""
        return tuple(self._rows.values())

    def _advance(self, update: TableUpdate) -> None:
        if update.era > self.era:
            self.era = update.era
            self.version = update.version
        self.version = max(self.version, update.version)

    def _put(self, row: VersionedRow) -> VersionedRow | None:
        """Store a state of a row and return it, unless it is not newer."""
        known = self._rows.get(row.key)
        if known is not None:
            row = _inherit_stamp(row, known)
            if not _supersedes(row, known):
                return None
        self._rows[row.key] = row
        return row

    def _delete_missing(self, update: TableUpdate) -> list[VersionedRow]:
        named = {row.key for row in update.rows}
        deleted_rows = []
        for row in list(self._rows.values()):
            if row.key in named or row.deleted:
                continue
            if (row.era, row.version) > (update.era, update.version):
                continue
            tombstone = VersionedRow(
                row.key,
                b'',
                update.version,
                deleted=True,
                era=update.era,
                stamp=row.stamp,
            )
            self._rows[row.key] = tombstone
            deleted_rows.append(tombstone)
        return deleted_rows


def _inherit_stamp(row: VersionedRow, known: VersionedRow) -> VersionedRow:
    """Return a tombstone with the stamp of the state that it deletes."""
    if not row.deleted or row.era < known.era or row.stamp >= known.stamp:
        return row
    return msgspec.structs.replace(row, stamp=known.stamp)


def _supersedes(row: VersionedRow, known: VersionedRow) -> bool:
    """Return whether a state of a row is newer than the known one.

    Within an era versions decide. Those of different eras are not comparable:
    a restored copy contains states that are older than the ones it has lost.
    There the stamp of the writer decides. Whatever has the stamp of a deleted
    state is part of the copy, as a writer that is alive would write a higher
    one. Rows without a stamp are taken from the newer era.
    """
    if row.era == known.era:
        return row.version > known.version
    if known.deleted and row.era < known.era:
        return False
    if row.stamp != known.stamp:
        return row.stamp > known.stamp
    if any(row.stamp) and row.deleted != known.deleted:
        return row.deleted
    return row.era > known.era

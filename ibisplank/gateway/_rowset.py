"""Local copy of the rows of one table."""

from ibisplank.store import TableUpdate, VersionedRow


class RowSet:
    """Newest known version of each row.

    Updates may arrive in any order, repeatedly, and from several sources.
    Each row keeps the highest version seen, so no row is ever replaced by an
    older version.

    Attributes
    ----------
    version : int
        All changes up to this version are known.
    """

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[str, VersionedRow] = {}

    def merge(self, update: TableUpdate) -> list[VersionedRow]:
        """Merge an update; return the rows that it changed."""
        changed = [row for row in update.rows if self._put(row)]
        if update.is_snapshot:
            changed.extend(self._delete_missing(update))
        if self.is_contiguous(update):
            self.version = max(self.version, update.version)
        return changed

    def list_superseded(self, update: TableUpdate) -> list[VersionedRow]:
        """Return the rows of an update that are older than the known ones."""
        return [
            row
            for row in update.rows
            if row.key in self._rows
            and self._rows[row.key].version >= row.version
            and self._rows[row.key].content != row.content
        ]

    def is_contiguous(self, update: TableUpdate) -> bool:
        """Return whether an update leaves no gap after the known changes."""
        return update.is_snapshot or update.after <= self.version

    def list_rows(self) -> tuple[VersionedRow, ...]:
        """Return all rows, including tombstones of deleted ones."""
        return tuple(self._rows.values())

    def _put(self, row: VersionedRow) -> bool:
        known = self._rows.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        self._rows[row.key] = row
        return True

    def _delete_missing(self, update: TableUpdate) -> list[VersionedRow]:
        named = {row.key for row in update.rows}
        deleted_rows = []
        for row in list(self._rows.values()):
            if row.key in named or row.deleted:
                continue
            if row.version > update.version:
                continue
            tombstone = VersionedRow(row.key, b'', update.version, deleted=True)
            self._rows[row.key] = tombstone
            deleted_rows.append(tombstone)
        return deleted_rows

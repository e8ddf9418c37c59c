"""Rows of one table as far as they are known, which never go back."""

from ibisplank.store import Reading, VersionedRow


class RowSet:
    """Newest known version of each row.

    Readings may arrive in any order, twice, and from several sources: each
    row keeps the highest version seen, so what is known never goes back.

    Attributes
    ----------
    version : int
        All changes up to it are known.
    """

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[str, VersionedRow] = {}

    def merge(self, reading: Reading) -> list[VersionedRow]:
        """Take in a reading; return the rows that it changed."""
        changed = [row for row in reading.rows if self._put(row)]
        if reading.whole:
            changed.extend(self._delete_missing(reading))
        if self.is_contiguous(reading):
            self.version = max(self.version, reading.version)
        return changed

    def is_contiguous(self, reading: Reading) -> bool:
        """Tell whether no change is missing between what is known and it."""
        return reading.whole or reading.after <= self.version

    def list_rows(self) -> tuple[VersionedRow, ...]:
        """Return all rows, those that were dropped included."""
        return tuple(self._rows.values())

    def _put(self, row: VersionedRow) -> bool:
        known = self._rows.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        self._rows[row.key] = row
        return True

    def _delete_missing(self, reading: Reading) -> list[VersionedRow]:
        named = {row.key for row in reading.rows}
        dropped = []
        for row in list(self._rows.values()):
            if row.key in named or row.deleted:
                continue
            if row.version > reading.version:
                continue
            gone = VersionedRow(row.key, b'', reading.version, deleted=True)
            self._rows[row.key] = gone
            dropped.append(gone)
        return dropped

"""The roster of a cell in the platform's table."""

import msgspec

from ibisplank.errors import OutcomeUnknown, WriteConflict
from ibisplank.ids import CellId
from ibisplank.store._table import ABSENT, Row, Table, Transaction
from ibisplank.version import Roster


class RosterStore:
    """Reads the roster, and replaces it by compare-and-set.

    Attributes
    ----------
    key : str
        Key of the roster's row.
    """

    def __init__(self, table: Table, cell: CellId) -> None:
        self.key = f'{cell}/roster'
        self._table = table

    async def read(self) -> Roster:
        """Return the roster, with epoch 0 for a new cell."""
        return decode_roster(await self._read_row())

    async def replace(self, old: Roster, new: Roster) -> bool:
        """Replace a roster by one that was derived from it.

        Returns
        -------
        bool
            Whether the write is known to have taken effect. If False, another
            writer came first or the response was lost: read the roster again.
            A write is never applied in part.
        """
        row = await self._read_row()
        if decode_roster(row).epoch != old.epoch:
            return False
        transaction = Transaction(
            checks={self.key: row.version},
            puts={self.key: msgspec.json.encode(new)},
        )
        try:
            await self._table.commit(transaction)
        except (WriteConflict, OutcomeUnknown):
            return False
        return True

    async def _read_row(self) -> Row:
        return (await self._table.read([self.key]))[self.key]


def decode_roster(row: Row) -> Roster:
    """Return the roster in a row, epoch 0 if the row does not exist."""
    if row.version == ABSENT:
        return Roster()
    return msgspec.json.decode(row.body, type=Roster)

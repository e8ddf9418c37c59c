"""In-memory table with fault injection."""

import contextlib
from collections.abc import Sequence

import anyio

from ibisplank.errors import (
    OutcomeUnknown,
    StoreDown,
    WriteConflict,
)
from ibisplank.store import (
    MemoryTable,
    Row,
    Transaction,
)


class FaultyTable(MemoryTable):
    """Table whose commits fail according to a list, one fault per commit.

    Attributes
    ----------
    faults : list of str
        Faults of the next commits. `down`: the commit fails without effect.
        `lost before` and `lost after`: the response is lost, before or after
        the commit takes effect. `late`: the response is lost, and the commit
        takes effect after the next read. `held`: like `late`, but only after
        the read that follows `release_held`. An empty string: no fault.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__()
        self.faults = faults
        self.commits = 0
        self._late: list[Transaction] = []
        self._held: list[Transaction] = []

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        rows = await super().read(keys)
        late, self._late = self._late, []
        for transaction in late:
            with contextlib.suppress(WriteConflict):
                await super().commit(transaction)
        await anyio.sleep(0)
        return rows

    def release_held(self) -> None:
        """Let held commits take effect after the next read."""
        self._late, self._held = self._held, []

    async def commit(self, transaction: Transaction) -> None:
        self.commits += 1
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'down':
            raise StoreDown('test')
        if fault == 'late':
            self._late.append(transaction)
        if fault == 'held':
            self._held.append(transaction)
        if fault in {'lost before', 'late', 'held'}:
            raise OutcomeUnknown('test')
        await super().commit(transaction)
        if fault == 'lost after':
            raise OutcomeUnknown('test')

"""Writes claims and outcomes to the table in batches."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio

from ibisplank.errors import OutcomeUnknown, StoreDown, WriteConflict
from ibisplank.request._claim import (
    AlreadyClaimed,
    ClaimRecord,
    ClaimState,
    ClaimWrite,
    NotOwned,
    decode_claim,
)
from ibisplank.store import ABSENT, Row, Table, Transaction

#: Writes that arrive within this time form a batch.
BATCH_WINDOW_S = 0.002
MAX_BATCH = 50
MAX_COMMIT_TRIES = 3


@dataclass(slots=True)
class PendingWrite:
    """A write that waits for its batch."""

    write: ClaimWrite
    done: anyio.Event = field(default_factory=anyio.Event)
    error: Exception | None = None


class ClaimWriter:
    """Writes to the table, a batch in one transaction.

    Parameters
    ----------
    now : callable
        Wall-clock time in seconds.
    """

    def __init__(
        self,
        table: Table,
        now: Callable[[], float],
        batch: int = MAX_BATCH,
    ) -> None:
        self._table = table
        self._now = now
        self._batch = batch
        self._pending: list[PendingWrite] = []
        self._wake = anyio.Event()
        self._scan_cursor = ''

    async def submit(self, write: ClaimWrite) -> None:
        """Wait until the batch of a write is committed, or raise its error."""
        pending = PendingWrite(write)
        self._pending.append(pending)
        self._wake.set()
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._wake.wait()
            await anyio.sleep(BATCH_WINDOW_S)
            self._wake = anyio.Event()
            while self._pending:
                batch = self._pending[: self._batch]
                self._pending = self._pending[self._batch :]
                await self._write(batch)

    async def clean(self, prefix: str, limit: int) -> int:
        """Delete the expired rows among the next ones; return how many.

        Parameters
        ----------
        prefix : str
            Prefix of the keys of the rows.
        limit : int
            Rows to scan; the next call continues where this one ended.
        """
        rows = await self._table.scan(prefix, limit, self._scan_cursor)
        self._scan_cursor = max(rows) if len(rows) == limit else ''
        expired = {
            key: row.version
            for key, row in rows.items()
            if decode_claim(row.body).expires_at <= self._now()
        }
        if expired:
            await self._table.commit(
                Transaction(checks=expired, puts=dict.fromkeys(expired)),
            )
        return len(expired)

    async def _write(self, batch: list[PendingWrite]) -> None:
        """Commit a batch, except for ids that other attempts own."""
        left = _reject_duplicates(batch)
        for _ in range(MAX_COMMIT_TRIES):
            if not left:
                return
            try:
                left = await self._write_once(left)
            except OutcomeUnknown:
                continue
            except StoreDown as error:
                _finish(left, error)
                return
        _finish(
            left,
            StoreDown('the result of the write could not be confirmed'),
        )

    async def _write_once(
        self,
        batch: list[PendingWrite],
    ) -> list[PendingWrite]:
        rows = await self._table.read([each.write.key for each in batch])
        fresh = [each for each in batch if self._may_write(each, rows)]
        if not fresh:
            return []
        transaction = Transaction(
            checks={
                each.write.key: rows[each.write.key].version for each in fresh
            },
            puts={each.write.key: each.write.body for each in fresh},
        )
        try:
            await self._table.commit(transaction)
        except WriteConflict:
            return fresh
        _finish(fresh, None)
        return []

    def _may_write(
        self,
        pending: PendingWrite,
        rows: Mapping[str, Row],
    ) -> bool:
        """Tell whether a row is to be written; if not, finish its write."""
        row = rows[pending.write.key]
        found = None if row.version == ABSENT else decode_claim(row.body)
        owned = found is not None and found.token == pending.write.token
        if pending.write.is_outcome:
            may_write = owned or (found is None and _is_not_run(pending.write))
            if not may_write:
                _finish([pending], NotOwned())
            return may_write
        if found is None or (self._is_claimable(row) and not owned):
            return True
        _finish([pending], None if owned else AlreadyClaimed(found))
        return False

    def _is_claimable(self, row: Row) -> bool:
        found = decode_claim(row.body)
        if found.state is ClaimState.NOT_RUN:
            return True
        return found.expires_at <= self._now()


def _reject_duplicates(batch: list[PendingWrite]) -> list[PendingWrite]:
    """Reject all but the first write for each request id in a batch."""
    first: dict[str, PendingWrite] = {}
    for each in batch:
        if each.write.key in first:
            owner = first[each.write.key]
            record = ClaimRecord(owner.write.token, ClaimState.CLAIMED, 0)
            _finish([each], AlreadyClaimed(record))
            continue
        first[each.write.key] = each
    return list(first.values())


def _is_not_run(write: ClaimWrite) -> bool:
    """Tell whether a write records that its attempt did not run.

    Such a write is made even if the table holds no claim. A claim that is still
    in transit then finds the row when it arrives, and cannot take the id.
    """
    return decode_claim(write.body).state is ClaimState.NOT_RUN


def _finish(batch: list[PendingWrite], error: Exception | None) -> None:
    for each in batch:
        each.error = error
        each.done.set()

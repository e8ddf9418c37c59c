"""The configuration log of a cell in the platform's table."""

from collections.abc import Callable

import anyio
import msgspec

from ibisplank.errors import (
    EditConflict,
    OutcomeUnknown,
    StoreDown,
    WriteConflict,
)
from ibisplank.ids import CellId, Token
from ibisplank.store._objects import ObjectStore
from ibisplank.store._table import ABSENT, Row, Table, Transaction
from ibisplank.version import (
    Change,
    ConfigState,
    Edit,
    describe_edit,
    name_target,
)

EDIT_ATTEMPTS = 8
RESOLVE_ATTEMPTS = 20
RESOLVE_INTERVAL_S = 0.1
READ_BATCH = 100


class Head(msgspec.Struct, frozen=True):
    """Content of the row that holds the latest revision."""

    revision: int = 0


class ConfigStore:
    """Configuration log of one cell: one row per change, and a head row.

    Parameters
    ----------
    now : callable
        Wall-clock time in seconds.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        cell: CellId,
        now: Callable[[], float],
    ) -> None:
        self._table = table
        self._objects = objects
        self._cell = cell
        self._now = now

    @property
    def head_key(self) -> str:
        """Key of the row that holds the latest revision."""
        return f'{self._cell}/config/head'

    async def read_head(self) -> int:
        """Return the latest revision, 0 for a new cell."""
        rows = await self._table.read([self.head_key])
        return decode_head(rows[self.head_key]).revision

    async def read_changes(self, after: int, head: int) -> list[Change]:
        """Return the changes after a revision, at most `READ_BATCH` of them."""
        last = min(head, after + READ_BATCH)
        keys = [
            self._make_change_key(number)
            for number in range(after + 1, last + 1)
        ]
        rows = await self._table.read(keys)
        return [
            msgspec.json.decode(rows[key].body, type=Change) for key in keys
        ]

    async def catch_up(self, state: ConfigState) -> ConfigState:
        """Return the state with all later changes in the table applied."""
        head = await self.read_head()
        while state.revision < head:
            for change in await self.read_changes(state.revision, head):
                state = state.apply(change)
        return state

    async def load_snapshot(self) -> ConfigState | None:
        """Return the state last saved in the object store, if there is one."""
        body = await self._objects.load(self._snapshot_name)
        if body is None:
            return None
        return msgspec.json.decode(body, type=ConfigState)

    async def save_snapshot(self, state: ConfigState) -> None:
        """Save a state in the object store."""
        await self._objects.save(
            self._snapshot_name, msgspec.json.encode(state)
        )

    async def edit(
        self,
        edit: Edit,
        replaces: int | None,
        author: str,
        token: Token,
    ) -> Change:
        """Append one change to the log.

        Parameters
        ----------
        replaces : int or None
            Revision at which the operator read the target; None for the
            current one.
        token : Token
            Unique to this edit; identifies its rows if the response to the
            write is lost.

        Raises
        ------
        EditConflict
            Another edit of the same target came first, or there were too
            many concurrent edits.
        StoreDown
            The store was unavailable; nothing was written.
        OutcomeUnknown
            The store was unavailable for too long to find out whether the
            edit took effect.
        """
        state = await self.catch_up(ConfigState())
        expected = replaces
        if expected is None:
            expected = state.versions.get(name_target(edit), ABSENT)
        for _ in range(EDIT_ATTEMPTS):
            await self._check_target(edit, expected, state)
            change = Change(
                state.revision + 1,
                edit,
                author,
                token,
                self._now(),
            )
            if await self._append(change):
                return change
            state = await self.catch_up(state)
        raise EditConflict('too many concurrent edits; repeat the command')

    async def _check_target(
        self,
        edit: Edit,
        expected: int,
        state: ConfigState,
    ) -> None:
        current = state.versions.get(name_target(edit), ABSENT)
        if current == expected:
            return
        latest = (await self.read_changes(current - 1, current))[0]
        raise EditConflict(
            f'{name_target(edit)} is at revision {current}, not {expected}: '
            f'{describe_edit(latest.edit)} by {latest.author}; '
            f'read it and repeat with --replaces {current}',
        )

    async def _append(self, change: Change) -> bool:
        rows = await self._table.read([self.head_key])
        head = rows[self.head_key]
        if decode_head(head).revision != change.revision - 1:
            return False
        transaction = Transaction(
            checks={self.head_key: head.version},
            puts={
                self.head_key: msgspec.json.encode(Head(change.revision)),
                self._make_change_key(change.revision): msgspec.json.encode(
                    change
                ),
            },
        )
        try:
            await self._table.commit(transaction)
        except WriteConflict:
            return False
        except OutcomeUnknown:
            return await self._resolve_outcome(change)
        return True

    async def _resolve_outcome(self, change: Change) -> bool:
        """Find out whether a change with a lost response is in the log.

        An absent row alone proves nothing, as the commit may take effect
        later. The head row is therefore rewritten, so that the version that a
        delayed commit expects no longer matches.
        """
        for _ in range(RESOLVE_ATTEMPTS):
            try:
                return await self._read_back(change)
            except (StoreDown, OutcomeUnknown, WriteConflict):
                await anyio.sleep(RESOLVE_INTERVAL_S)
        raise OutcomeUnknown(
            f'edit at revision {change.revision}; see "contract history"',
        )

    async def _read_back(self, change: Change) -> bool:
        key = self._make_change_key(change.revision)
        rows = await self._table.read([self.head_key, key])
        if rows[key].version != ABSENT:
            found = msgspec.json.decode(rows[key].body, type=Change)
            return found.token == change.token
        await self._table.commit(
            Transaction(
                checks={self.head_key: rows[self.head_key].version},
                puts={self.head_key: rows[self.head_key].body or b'{}'},
            ),
        )
        return False

    @property
    def _snapshot_name(self) -> str:
        return f'{self._cell}-config'

    def _make_change_key(self, revision: int) -> str:
        return f'{self._cell}/config/change/{revision:012d}'


def decode_head(row: Row) -> Head:
    """Return the head in a row, revision 0 if the row does not exist."""
    if row.version == ABSENT:
        return Head()
    return msgspec.json.decode(row.body, type=Head)

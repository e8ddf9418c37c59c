"""Rows of the platform's tables: the interface and a twin in memory."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

import anyio
import msgspec

from ibisplank.errors import HistoryGone, StoreDown


class Topic(Enum):
    """What the rows of a table are about."""

    OPERATOR = 'operator'
    SERVERS = 'servers'
    MEMBERS = 'members'


class VersionedRow(msgspec.Struct, frozen=True, array_like=True):
    """One row as of a version.

    Attributes
    ----------
    version : int
        Place of its latest change in the order of all changes.
    deleted : bool
        Whether that change dropped it.
    """

    key: str
    content: bytes
    version: int
    deleted: bool = False


class Reading(msgspec.Struct, frozen=True, array_like=True, tag='rd'):
    """What a read of one table brought.

    Attributes
    ----------
    is_snapshot : bool
        Whether rows that it does not name do not exist.
    after : int
        Version from which on all changes are named, where not is_snapshot.
    version : int
        Newest version of the store at that moment.
    store_s : float
        The store's steady clock at that moment.
    """

    topic: Topic
    rows: tuple[VersionedRow, ...]
    is_snapshot: bool
    version: int
    store_s: float
    after: int = 0


class RowStore(Protocol):
    """Tables of rows that the platform keeps."""

    async def list_rows(self, topic: Topic, timeout_s: float) -> Reading:
        """Return all rows of a table as of one moment."""

    async def await_changes(
        self,
        topic: Topic,
        after: int,
        wait_s: float,
        timeout_s: float,
    ) -> Reading:
        """Return the rows changed since a version, or none after a wait.

        Raises
        ------
        HistoryGone
            The store has dropped that part of its history.
        """

    async def put_row(
        self,
        topic: Topic,
        key: str,
        content: bytes,
        timeout_s: float,
    ) -> None:
        """Write a row, whatever it held."""


class MemoryRowStore:
    """Rows in memory, with switches for faults.

    Attributes
    ----------
    down : bool
        Whether every call fails.
    """

    def __init__(self) -> None:
        self.down = False
        self.calls = 0
        self._version = 0
        self._history_start = 0
        self._rows: dict[Topic, dict[str, VersionedRow]] = {}
        self._changed = anyio.Event()

    def write(self, topic: Topic, key: str, content: bytes | None) -> int:
        """Write a row as the operator or a server would; None drops it."""
        self._version += 1
        row = VersionedRow(key, content or b'', self._version, content is None)
        self._rows.setdefault(topic, {})[key] = row
        self._changed.set()
        self._changed = anyio.Event()
        return self._version

    def truncate_history(self) -> None:
        """Drop the history of changes."""
        self._history_start = self._version

    async def list_rows(self, topic: Topic, timeout_s: float) -> Reading:
        """Return all rows of a table as of one moment."""
        self._check()
        kept = [row for row in self._list_changed(topic, 0) if not row.deleted]
        return self._make_reading(topic, kept, is_snapshot=True)

    async def await_changes(
        self,
        topic: Topic,
        after: int,
        wait_s: float,
        timeout_s: float,
    ) -> Reading:
        """Return the rows changed since a version, or none after a wait."""
        with anyio.move_on_after(wait_s):
            while not self._list_changed(topic, after):
                self._check()
                await self._changed.wait()
        self._check()
        if after < self._history_start:
            raise HistoryGone(topic.value)
        rows = self._list_changed(topic, after)
        return self._make_reading(topic, rows, is_snapshot=False, after=after)

    async def put_row(
        self,
        topic: Topic,
        key: str,
        content: bytes,
        timeout_s: float,
    ) -> None:
        """Write a row, whatever it held."""
        self._check()
        self.write(topic, key, content)

    def _check(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreDown('switched off')

    def _list_changed(self, topic: Topic, after: int) -> list[VersionedRow]:
        rows = self._rows.get(topic, {}).values()
        changed = [row for row in rows if row.version > after]
        return sorted(changed, key=lambda row: row.version)

    def _make_reading(
        self,
        topic: Topic,
        rows: Sequence[VersionedRow],
        *,
        is_snapshot: bool,
        after: int = 0,
    ) -> Reading:
        now = anyio.current_time()
        return Reading(
            topic, tuple(rows), is_snapshot, self._version, now, after
        )

"""The platform's row store: interface and in-memory implementation."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

import anyio
import msgspec

from ibisplank.errors import HistoryGone, StoreDown


class Topic(Enum):
    """Names of the tables, after the subject of their rows."""

    OPERATOR = 'operator'
    SERVERS = 'servers'
    MEMBERS = 'members'


class VersionedRow(msgspec.Struct, frozen=True, array_like=True):
    """One row at a version.

    Attributes
    ----------
    version : int
        Position of its latest change in the store's sequence of changes.
    deleted : bool
        Whether that change deleted the row.
    era : int
        Era in which the row was read.
    stamp : tuple of int
        Version that the writer of the row states in it, as far as versions of
        the store do not show the order; zeros without one.
    """

    key: str
    content: bytes
    version: int
    deleted: bool = False
    era: int = 0
    stamp: tuple[int, int] = (0, 0)


class TableUpdate(msgspec.Struct, frozen=True, array_like=True, tag='rd'):
    """Result of one read of a table: a snapshot, or changes since a version.

    Attributes
    ----------
    is_snapshot : bool
        Whether `rows` is the whole table, so that no other row exists.
    after : int
        For changes: `rows` holds all changes after this version.
    version : int
        Latest version of the store at the time of the read.
    store_s : float
        The store's monotonic clock at the time of the read, in seconds.
    era : int
        Number of times that the store was restored from a copy. Versions are
        comparable within an era only.
    """

    topic: Topic
    rows: tuple[VersionedRow, ...]
    is_snapshot: bool
    version: int
    store_s: float
    after: int = 0
    era: int = 0


class RowStore(Protocol):
    """Tables of versioned rows, with notification of changes."""

    async def list_rows(self, topic: Topic, timeout_s: float) -> TableUpdate:
        """Return all rows of a table, from one consistent snapshot."""

    async def await_changes(
        self,
        topic: Topic,
        after: int,
        wait_s: float,
        timeout_s: float,
    ) -> TableUpdate:
        """Return the rows changed since a version, waiting for a change.

        After `wait_s` without a change, the result holds no rows.

        Raises
        ------
        HistoryGone
            The store has truncated its history after that version.
        """

    async def put_row(
        self,
        topic: Topic,
        key: str,
        content: bytes,
        timeout_s: float,
    ) -> int:
        """Write a row unconditionally; return the era of the store."""


class MemoryRowStore:
    """In-memory row store with fault injection.

    Attributes
    ----------
    down : bool
        Whether every call raises `StoreDown`.
    era : int
        Number of times that it was restored.
    """

    def __init__(self) -> None:
        self.down = False
        self.calls = 0
        self.era = 0
        self._version = 0
        self._history_start = 0
        self._rows: dict[Topic, dict[str, VersionedRow]] = {}
        self._log: list[tuple[Topic, VersionedRow]] = []
        self._changed = anyio.Event()

    @property
    def version(self) -> int:
        """Version of the latest change."""
        return self._version

    def write(self, topic: Topic, key: str, content: bytes | None) -> int:
        """Write a row as an operator or server would, and return its version.

        If `content` is None, the row is deleted.
        """
        self._version += 1
        row = VersionedRow(key, content or b'', self._version, content is None)
        self._log.append((topic, row))
        self._rows.setdefault(topic, {})[key] = row
        self._notify()
        return self._version

    def restore(self, version: int) -> None:
        """Return to the rows of a version, as from a copy taken then.

        Later changes are lost, and their versions are given out again.
        """
        self._version = version
        self._log = [each for each in self._log if each[1].version <= version]
        self._rows = {}
        for topic, row in self._log:
            self._rows.setdefault(topic, {})[row.key] = row
        self.era += 1
        self._notify()

    def truncate_history(self) -> None:
        """Discard the history of changes up to the current version."""
        self._history_start = self._version

    async def list_rows(self, topic: Topic, timeout_s: float) -> TableUpdate:
        """Return all rows of a table, from one consistent snapshot."""
        self._check()
        kept = [row for row in self._list_changed(topic, 0) if not row.deleted]
        return self._make_update(topic, kept, is_snapshot=True)

    async def await_changes(
        self,
        topic: Topic,
        after: int,
        wait_s: float,
        timeout_s: float,
    ) -> TableUpdate:
        """Return the rows changed since a version, waiting for a change."""
        with anyio.move_on_after(wait_s):
            while not self._list_changed(topic, after):
                self._check()
                if after > self._version:
                    break
                await self._changed.wait()
        self._check()
        if after < self._history_start or after > self._version:
            raise HistoryGone(topic.value)
        rows = self._list_changed(topic, after)
        return self._make_update(topic, rows, is_snapshot=False, after=after)

    async def put_row(
        self,
        topic: Topic,
        key: str,
        content: bytes,
        timeout_s: float,
    ) -> int:
        """Write a row unconditionally; return the era of the store."""
        self._check()
        self.write(topic, key, content)
        return self.era

    def _check(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreDown('fault injected')

    def _list_changed(self, topic: Topic, after: int) -> list[VersionedRow]:
        rows = self._rows.get(topic, {}).values()
        changed = [row for row in rows if row.version > after]
        return sorted(changed, key=lambda row: row.version)

    def _make_update(
        self,
        topic: Topic,
        rows: Sequence[VersionedRow],
        *,
        is_snapshot: bool,
        after: int = 0,
    ) -> TableUpdate:
        now = anyio.current_time()
        return TableUpdate(
            topic,
            tuple(msgspec.structs.replace(row, era=self.era) for row in rows),
            is_snapshot,
            self._version,
            now,
            after,
            self.era,
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

"""The platform's transactional table: interface, in-memory implementation."""

from collections.abc import Mapping, Sequence
from typing import Protocol

import msgspec

from ibisplank.errors import WriteConflict

#: Version of a row that does not exist.
ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """One row of the table.

    Attributes
    ----------
    version : int
        Increases with every write of the row; `ABSENT` if it does not exist.
    """

    version: int = ABSENT
    body: bytes = b''


class Transaction(msgspec.Struct, frozen=True):
    """Atomic conditional write of several rows.

    Attributes
    ----------
    checks : mapping of str to int
        Expected version of each key.
    puts : mapping of str to bytes or None
        New body of each key; None deletes the row.
    """

    checks: Mapping[str, int]
    puts: Mapping[str, bytes | None]


class Table(Protocol):
    """Versioned rows, and transactions over several of them.

    Every operation raises `StoreDown` if it failed without effect; `commit`
    raises `OutcomeUnknown` if it may have taken effect.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return one row per key, from one consistent snapshot."""

    async def scan(
        self,
        prefix: str,
        limit: int,
        after: str = '',
    ) -> dict[str, Row]:
        """Return rows with a key prefix that follow a key, in key order."""

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction, or raise `WriteConflict` without any effect."""


class MemoryTable:
    """In-memory table, for tests and the platform stand-in."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._last = ABSENT

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return one row per key, from one consistent snapshot."""
        return {key: self._rows.get(key, Row()) for key in keys}

    async def scan(
        self,
        prefix: str,
        limit: int,
        after: str = '',
    ) -> dict[str, Row]:
        """Return rows with a key prefix that follow a key, in key order."""
        found = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return {key: self._rows[key] for key in found[:limit]}

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction, or raise `WriteConflict` without any effect."""
        changed = [
            key
            for key, version in transaction.checks.items()
            if self._rows.get(key, Row()).version != version
        ]
        if changed:
            raise WriteConflict(changed)
        self._last += 1
        for key, body in transaction.puts.items():
            if body is None:
                self._rows.pop(key, None)
                continue
            self._rows[key] = Row(self._last, body)

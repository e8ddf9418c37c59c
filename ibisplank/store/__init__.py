"""Access to the platform's table, row store, object store and VM list."""

from ibisplank.store._config import ConfigStore, decode_head
from ibisplank.store._http import (
    ConflictReply,
    HttpPlatform,
    ReadReply,
    ReadRequest,
)
from ibisplank.store._objects import MemoryObjectStore, ObjectStore
from ibisplank.store._roster import RosterStore, decode_roster
from ibisplank.store._rows import (
    MemoryRowStore,
    RowStore,
    TableUpdate,
    Topic,
    VersionedRow,
)
from ibisplank.store._table import (
    ABSENT,
    MemoryTable,
    Row,
    Table,
    Transaction,
)

__all__ = (
    'ABSENT',
    'ConfigStore',
    'ConflictReply',
    'HttpPlatform',
    'MemoryObjectStore',
    'MemoryRowStore',
    'MemoryTable',
    'ObjectStore',
    'ReadReply',
    'ReadRequest',
    'RosterStore',
    'Row',
    'RowStore',
    'Table',
    'TableUpdate',
    'Topic',
    'Transaction',
    'VersionedRow',
    'decode_head',
    'decode_roster',
)

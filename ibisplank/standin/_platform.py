"""Stand-in for the platform's table, object store and VM list."""

from enum import Enum

import anyio
import msgspec

from ibisplank.connection import (
    Receive,
    Scope,
    Send,
    read_body,
    send_answer,
    send_torn_answer,
)
from ibisplank.errors import WriteConflict
from ibisplank.store import (
    ConflictReply,
    MemoryObjectStore,
    MemoryTable,
    ReadReply,
    ReadRequest,
    Transaction,
)
from ibisplank.version import VmList

OK = 200
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503
MS_PER_S = 1000


class PlatformFaults(msgspec.Struct):
    """Faults of the stand-in platform, set over HTTP.

    Attributes
    ----------
    down : bool
        Refuse every operation, except a PUT of the VM list, before it takes
        effect.
    delay_ms : float
        Delay of every operation, except a PUT of the VM list.
    lose_answers : int
        Number of further commits to the table that take effect and whose
        answers are lost.
    late_ms : float
        Delay between the effect of a commit to the table and its answer.
    """

    down: bool = False
    delay_ms: float = 0
    lose_answers: int = 0
    late_ms: float = 0


class PlatformCounters(msgspec.Struct):
    """Operations handled since the start.

    Operations that the fault `down` refuses are not counted.

    Attributes
    ----------
    reads : int
        Reads of the table and of objects.
    writes : int
        Commits to the table, including rejected ones, and writes of objects.
    lists : int
        Reads of the VM list.
    """

    reads: int = 0
    writes: int = 0
    lists: int = 0


class OperationPath(Enum):
    """URL paths of the operations on the table and the VM list."""

    READ = '/table/read'
    COMMIT = '/table/commit'
    VMS = '/vms'


class PlatformStandin:
    """ASGI application with a table, objects and a VM list in memory."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.counters = PlatformCounters()
        self._table = MemoryTable()
        self._objects = MemoryObjectStore()
        self._vms = VmList()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        path = scope['path']
        body = await read_body(receive) or b''
        if path in {'/faults', '/counters'}:
            await self._control(path, scope['method'], body, send)
            return
        if scope['method'] == 'PUT' and path == OperationPath.VMS.value:
            self._vms = msgspec.json.decode(body, type=VmList)
            await send_answer(send, OK, b'{}')
            return
        await anyio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.down:
            await send_answer(send, UNAVAILABLE, b'down')
            return
        await self._serve(path, scope['method'], body, send)

    async def _control(
        self,
        path: str,
        method: str,
        body: bytes,
        send: Send,
    ) -> None:
        if path == '/faults' and method == 'PUT':
            self.faults = msgspec.json.decode(body, type=PlatformFaults)
        shown = self.faults if path == '/faults' else self.counters
        await send_answer(send, OK, msgspec.json.encode(shown))

    async def _serve(
        self,
        path: str,
        method: str,
        body: bytes,
        send: Send,
    ) -> None:
        if path == OperationPath.READ.value:
            await self._read(body, send)
        elif path == OperationPath.COMMIT.value:
            await self._commit(body, send)
        elif path == OperationPath.VMS.value:
            self.counters.lists += 1
            await send_answer(send, OK, msgspec.json.encode(self._vms))
        else:
            await self._serve_object(path, method, body, send)

    async def _read(self, body: bytes, send: Send) -> None:
        self.counters.reads += 1
        request = msgspec.json.decode(body, type=ReadRequest)
        if request.prefix is None:
            rows = await self._table.read(request.keys)
        else:
            rows = await self._table.scan(
                request.prefix,
                request.limit,
                request.after,
            )
        await send_answer(send, OK, msgspec.json.encode(ReadReply(rows)))

    async def _commit(self, body: bytes, send: Send) -> None:
        self.counters.writes += 1
        transaction = msgspec.json.decode(body, type=Transaction)
        try:
            await self._table.commit(transaction)
        except WriteConflict as conflict:
            reply = ConflictReply(list(conflict.keys))
            await send_answer(send, CONFLICT, msgspec.json.encode(reply))
            return
        await anyio.sleep(self.faults.late_ms / MS_PER_S)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await send_torn_answer(send)
        await send_answer(send, OK, b'{}')

    async def _serve_object(
        self,
        path: str,
        method: str,
        body: bytes,
        send: Send,
    ) -> None:
        if method == 'PUT':
            self.counters.writes += 1
            await self._objects.save(path, body)
            await send_answer(send, OK, b'{}')
            return
        self.counters.reads += 1
        blob = await self._objects.load(path)
        if blob is None:
            await send_answer(send, NOT_FOUND, b'')
            return
        await send_answer(send, OK, blob)

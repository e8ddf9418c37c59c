"""Stand-in for the platform's row store, with faults."""

from dataclasses import dataclass, field
from enum import Enum

import anyio
import msgspec

from ibisplank.connection import Receive, Scope, Send, read_body, send_answer
from ibisplank.errors import HistoryGone
from ibisplank.platform import (
    FeedRequest,
    ListRequest,
    WriteRequest,
    encode_era,
    encode_history_gone,
    encode_table_update,
    parse_request,
)
from ibisplank.store import MemoryRowStore

OK = 200
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
#: Longer than any caller waits for an answer.
HANG_S = 3600.0
#: `MemoryRowStore` ignores its timeouts.
UNUSED_TIMEOUT_S = 60.0


class StoreFault(Enum):
    """Ways in which the store fails.

    Attributes
    ----------
    BUSY
        Answer every request with status 503.
    MANY
        Answer every request with status 429.
    SILENT
        Neither perform nor answer any request.
    RESET
        Raise an error, on which the HTTP server answers with status 500 and
        closes the connection.
    LOST_WRITES
        Perform writes, but never answer them; reads are not affected.
    """

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    SILENT = 'silent'
    RESET = 'reset'
    LOST_WRITES = 'lost writes'


@dataclass(slots=True)
class StoreStandin:
    """ASGI application that serves rows from memory.

    Attributes
    ----------
    fault : StoreFault
        Fault that is active.
    delay_s : float
        Delay before each request is handled.
    exempt_clients : set of str
        IP addresses of clients that the fault does not affect;
        `LOST_WRITES` affects all clients.
    """

    rows: MemoryRowStore = field(default_factory=MemoryRowStore)
    fault: StoreFault = StoreFault.NONE
    delay_s: float = 0.0
    exempt_clients: set[str] = field(default_factory=set)
    calls: int = 0

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        self.calls += 1
        body = await read_body(receive) or b''
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        if not await self._inject_fault(scope, send):
            request = parse_request(scope['path'], scope['query_string'], body)
            status, content = await self._execute(request)
            if self.fault is StoreFault.LOST_WRITES and request is not None:
                if isinstance(request, WriteRequest):
                    await anyio.sleep(HANG_S)
            era = encode_era(self.rows.era)
            await send_answer(send, status, content, (era,))

    async def _inject_fault(self, scope: Scope, send: Send) -> bool:
        """Apply the active fault, and return whether it replaces the answer.

        `LOST_WRITES` does not: it takes effect after the request is handled.
        """
        client = scope.get('client') or ('', 0)
        if client[0] in self.exempt_clients:
            return False
        match self.fault:
            case StoreFault.BUSY:
                await send_answer(send, UNAVAILABLE, b'')
            case StoreFault.MANY:
                await send_answer(send, TOO_MANY_REQUESTS, b'')
            case StoreFault.SILENT:
                await anyio.sleep(HANG_S)
            case StoreFault.RESET:
                raise ConnectionResetError
            case _:
                return False
        return True

    async def _execute(self, request: object) -> tuple[int, bytes]:
        match request:
            case ListRequest(topic):
                update = await self.rows.list_rows(topic, UNUSED_TIMEOUT_S)
                return encode_table_update(update)
            case FeedRequest():
                return await self._await_changes(request)
            case WriteRequest(rows):
                for topic, key, content in rows:
                    self.rows.write(topic, key, content)
                return OK, msgspec.json.encode({})
        return NOT_FOUND, b''

    async def _await_changes(self, request: FeedRequest) -> tuple[int, bytes]:
        try:
            update = await self.rows.await_changes(
                request.topic,
                request.after,
                request.wait_s,
                UNUSED_TIMEOUT_S,
            )
        except HistoryGone:
            return encode_history_gone()
        return encode_table_update(update)

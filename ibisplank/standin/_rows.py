"""Stand-in for the platform's store of rows, with faults."""

from dataclasses import dataclass, field
from enum import Enum

import anyio
import msgspec

from ibisplank.connection import Receive, Scope, Send, read_body, send_answer
from ibisplank.errors import HistoryGone
from ibisplank.platform import (
    FeedCall,
    ListCall,
    WriteCall,
    parse_call,
    render_gone,
    render_reading,
)
from ibisplank.store import MemoryRowStore

OK = 200
NOT_FOUND = 404
TOO_MANY = 429
UNAVAILABLE = 503
NEVER_S = 3600.0
ANY_TIMEOUT_S = 60.0


class StoreFault(Enum):
    """How the store fails."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    SILENT = 'silent'
    RESET = 'reset'
    LOST_WRITES = 'lost writes'


@dataclass(slots=True)
class RowsStandin:
    """An application that serves rows from memory.

    Attributes
    ----------
    fault : StoreFault
        How it fails now.
    slow_s : float
        Time that each answer takes longer.
    spares : set of str
        IP numbers of callers that see no fault.
    """

    rows: MemoryRowStore = field(default_factory=MemoryRowStore)
    fault: StoreFault = StoreFault.NONE
    slow_s: float = 0.0
    spares: set[str] = field(default_factory=set)
    calls: int = 0

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one call."""
        self.calls += 1
        body = await read_body(receive) or b''
        if self.slow_s:
            await anyio.sleep(self.slow_s)
        if not await self._fail(scope, send):
            call = parse_call(scope['path'], scope['query_string'], body)
            status, content = await self._perform(call)
            if self.fault is StoreFault.LOST_WRITES and call is not None:
                if isinstance(call, WriteCall):
                    await anyio.sleep(NEVER_S)
            await send_answer(send, status, content)

    async def _fail(self, scope: Scope, send: Send) -> bool:
        """Answer as the fault says; return whether it did."""
        client = scope.get('client') or ('', 0)
        if client[0] in self.spares:
            return False
        match self.fault:
            case StoreFault.BUSY:
                await send_answer(send, UNAVAILABLE, b'')
            case StoreFault.MANY:
                await send_answer(send, TOO_MANY, b'')
            case StoreFault.SILENT:
                await anyio.sleep(NEVER_S)
            case StoreFault.RESET:
                raise ConnectionResetError
            case _:
                return False
        return True

    async def _perform(self, call: object) -> tuple[int, bytes]:
        match call:
            case ListCall(topic):
                reading = await self.rows.list_rows(topic, ANY_TIMEOUT_S)
                return render_reading(reading)
            case FeedCall():
                return await self._feed(call)
            case WriteCall(rows):
                for topic, key, content in rows:
                    self.rows.write(topic, key, content)
                return OK, msgspec.json.encode({})
        return NOT_FOUND, b''

    async def _feed(self, call: FeedCall) -> tuple[int, bytes]:
        try:
            reading = await self.rows.await_changes(
                call.topic,
                call.after,
                call.wait_s,
                ANY_TIMEOUT_S,
            )
        except HistoryGone:
            return render_gone()
        return render_reading(reading)

"""Claims of request ids, so that a call runs at most once."""

from collections.abc import Callable

import anyio
import msgspec

from ibisplank.errors import StoreDown
from ibisplank.ids import CellId, CustomerId, RequestId, Token
from ibisplank.request._claim import (
    AlreadyClaimed,
    ClaimRecord,
    ClaimSink,
    ClaimState,
    ClaimWrite,
    NotOwned,
)

RECORD_TRIES = 20
RECORD_PAUSE_S = 0.5
MAX_RECORDED_BYTES = 65536
RETENTION_S = 86400.0


class Claims:
    """Claims request ids and records outcomes.

    Parameters
    ----------
    now : callable
        Wall-clock time in seconds.
    """

    def __init__(
        self,
        sink: ClaimSink,
        cell: CellId,
        now: Callable[[], float],
    ) -> None:
        self._sink = sink
        self._cell = cell
        self._now = now

    async def claim(
        self,
        customer: CustomerId,
        request_id: RequestId,
        token: Token,
    ) -> None:
        """Claim a request id for an attempt.

        Raises
        ------
        AlreadyClaimed
            Another attempt owns the request id.
        StoreDown
            It is unknown whether the claim succeeded, so the call must
            not be sent.
        """
        record = self._make_record(token, ClaimState.CLAIMED)
        key = self._key(customer, request_id)
        body = record.encode()
        await self._sink.submit(ClaimWrite(key, body, token))

    async def record(
        self,
        customer: CustomerId,
        request_id: RequestId,
        record: ClaimRecord,
    ) -> bool:
        """Write the outcome of an attempt; return whether it is on record."""
        key = self._key(customer, request_id)
        for _ in range(RECORD_TRIES):
            body = record.encode()
            try:
                await self._sink.submit(
                    ClaimWrite(key, body, record.token, is_outcome=True),
                )
            except NotOwned:
                return False
            except (StoreDown, AlreadyClaimed):
                await anyio.sleep(RECORD_PAUSE_S)
                continue
            return True
        return False

    def make_outcome(
        self,
        token: Token,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ) -> ClaimRecord:
        """Return the record of a complete answer."""
        whole = len(body) <= MAX_RECORDED_BYTES
        return msgspec.structs.replace(
            self._make_record(token, ClaimState.DONE),
            status=status,
            headers=headers,
            body=body if whole else b'',
            whole=whole,
        )

    def make_not_run(self, token: Token) -> ClaimRecord:
        """Return the record of an attempt that certainly did not run."""
        return self._make_record(token, ClaimState.NOT_RUN)

    def _make_record(self, token: Token, state: ClaimState) -> ClaimRecord:
        return ClaimRecord(token, state, self._now() + RETENTION_S)

    def _key(self, customer: CustomerId, request_id: RequestId) -> str:
        return f'{make_prefix(self._cell)}{customer}/{request_id}'


def make_prefix(cell: CellId) -> str:
    """Return the prefix of the keys of a cell's claims."""
    return f'{cell}/claim/'

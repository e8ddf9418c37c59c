"""HTTP client of the platform's table, object store and VM list."""

from collections.abc import Sequence

import anyio
import httpcore
import msgspec

from ibisplank.errors import OutcomeUnknown, StoreDown, WriteConflict
from ibisplank.store._table import Row, Transaction
from ibisplank.version import VmList

CALL_TIMEOUT_S = 2.0
OK = 200
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of a read request: keys, or a prefix with a limit."""

    keys: list[str] = []
    prefix: str | None = None
    limit: int = 0
    after: str = ''


class ReadReply(msgspec.Struct, frozen=True):
    """Body of the response to a read request."""

    rows: dict[str, Row]


class ConflictReply(msgspec.Struct, frozen=True):
    """Body of a conflict response: keys whose versions differ."""

    keys: list[str]


class HttpPlatform:
    """Client of the table, object store and VM list at one address.

    Parameters
    ----------
    address : str
        IP address and port, joined by a colon.
    """

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._pool = httpcore.AsyncConnectionPool(max_connections=8)

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return one row per key, from one consistent snapshot."""
        return await self._read_rows(ReadRequest(keys=list(keys)))

    async def scan(
        self,
        prefix: str,
        limit: int,
        after: str = '',
    ) -> dict[str, Row]:
        """Return rows with a key prefix that follow a key, in key order."""
        return await self._read_rows(
            ReadRequest(prefix=prefix, limit=limit, after=after),
        )

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction, or raise `WriteConflict` without any effect."""
        body = msgspec.json.encode(transaction)
        response = await self._send_commit(body)
        if response.status == CONFLICT:
            reply = msgspec.json.decode(response.content, type=ConflictReply)
            raise WriteConflict(reply.keys)
        if response.status not in {OK, UNAVAILABLE}:
            raise OutcomeUnknown(
                f'platform responded with status {response.status}'
            )
        _check_status(response)

    async def load(self, name: str) -> bytes | None:
        """Return a blob, or None if it does not exist."""
        response = await self._request('GET', f'/objects/{name}', b'')
        if response.status == NOT_FOUND:
            return None
        _check_status(response)
        return response.content

    async def save(self, name: str, body: bytes) -> None:
        """Write a blob."""
        _check_status(await self._request('PUT', f'/objects/{name}', body))

    async def list_vms(self) -> VmList:
        """Return the platform's list of VMs, which may be outdated."""
        response = await self._request('GET', '/vms', b'')
        _check_status(response)
        return msgspec.json.decode(response.content, type=VmList)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _read_rows(self, request: ReadRequest) -> dict[str, Row]:
        body = msgspec.json.encode(request)
        response = await self._request('POST', '/table/read', body)
        _check_status(response)
        return msgspec.json.decode(response.content, type=ReadReply).rows

    async def _send_commit(self, body: bytes) -> httpcore.Response:
        try:
            return await self._send('POST', '/table/commit', body)
        except httpcore.ConnectError as error:
            raise StoreDown(str(error)) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise OutcomeUnknown(str(error)) from error
        except TimeoutError as error:
            raise OutcomeUnknown('no response within the timeout') from error

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes,
    ) -> httpcore.Response:
        try:
            return await self._send(method, path, body)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise StoreDown(str(error)) from error
        except TimeoutError as error:
            raise StoreDown('no response within the timeout') from error

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
    ) -> httpcore.Response:
        with anyio.fail_after(CALL_TIMEOUT_S):
            return await self._pool.request(
                method,
                self._base + path,
                content=body,
            )


def _check_status(response: httpcore.Response) -> None:
    if response.status == UNAVAILABLE:
        raise StoreDown('platform responded with status 503')
    if response.status != OK:
        raise StoreDown(f'platform responded with status {response.status}')

"""HTTP client of the platform's row store, the only one in this project."""

import base64
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from ibisplank.errors import HistoryGone, OutcomeUnknown, StoreDown
from ibisplank.figures import MAX_INTEGER, Counter, parse_decimal
from ibisplank.platform._names import (
    ERA_HEADER,
    FEED_PATH,
    LIST_PATH,
    MEMBER_TABLE,
    OPERATOR_TABLE,
    SERVER_TABLE,
    WRITE_PATH,
)
from ibisplank.platform._stamps import find_stamp
from ibisplank.process import log_event
from ibisplank.store import TableUpdate, Topic, VersionedRow

OK = 200
GONE = 410
CONNECT_TIMEOUT_S = 0.3
MAX_CONNECTIONS = 8
#: Idle connections are not reused after this time.
KEEPALIVE_EXPIRY_S = 5.0
PAGE_ROWS = 500
#: Listings tried, the first included, if the table changes between pages.
MAX_LISTINGS = 3

CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
REQUEST_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)
_TABLES = MappingProxyType(
    {
        Topic.OPERATOR: OPERATOR_TABLE,
        Topic.SERVERS: SERVER_TABLE,
        Topic.MEMBERS: MEMBER_TABLE,
    },
)


class RowBody(msgspec.Struct, rename='camel'):
    """One row in an answer of the store."""

    key: str
    value: str = ''
    row_version: Counter = 0
    deleted: bool = False


class RowsBody(msgspec.Struct, rename='camel'):
    """Answer of the store to a read."""

    row_version: Counter
    now_s: float
    rows: list[RowBody] = []
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class Page:
    """One answer of the store to a read, with the era in its header."""

    body: RowsBody
    era: int


class HttpRowStore:
    """Reads and writes rows of the platform's store over HTTP.

    Parameters
    ----------
    address : str
        IP address and port, joined by a colon.
    """

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        )

    async def list_rows(self, topic: Topic, timeout_s: float) -> TableUpdate:
        """Return all rows of a table.

        The rows are as of one version, unless the table changes during each
        of `MAX_LISTINGS` listings. The rows of the last listing are then of
        different versions, and the version returned is that of its first
        page: reading the changes after it brings the rows up to date.

        Raises
        ------
        StoreDown
            The store did not answer, or was restored between the pages.
        """
        for _ in range(MAX_LISTINGS):
            pages = await self._list_pages(topic, timeout_s)
            if len({(page.era, page.body.row_version) for page in pages}) == 1:
                break
        if len({page.era for page in pages}) > 1:
            raise StoreDown('restored while a table was listed')
        rows = [row for page in pages for row in page.body.rows]
        # A change between pages comes after the first page's version, so the
        # next read of changes returns it.
        return _make_update(topic, pages[0], rows, is_snapshot=True)

    async def await_changes(
        self,
        topic: Topic,
        after: int,
        wait_s: float,
        timeout_s: float,
    ) -> TableUpdate:
        """Return the rows changed since a version; none if the wait runs out.

        Raises
        ------
        HistoryGone
            The store no longer keeps the changes since that version.
        """
        query = {
            'table': _TABLES[topic],
            'after': after,
            'waitMs': int(wait_s * 1000),
        }
        response = await self._read(FEED_PATH, query, timeout_s)
        if response.status == GONE:
            raise HistoryGone(topic.value)
        page = _decode(response)
        return _make_update(
            topic, page, page.body.rows, is_snapshot=False, after=after
        )

    async def put_row(
        self,
        topic: Topic,
        key: str,
        content: bytes,
        timeout_s: float,
    ) -> int:
        """Write a row unconditionally; return the era of the store.

        Raises
        ------
        StoreDown
            The store was not reached, or did not answer with status 200. The
            write is assumed to have had no effect.
        OutcomeUnknown
            No complete answer came; the write may have taken effect.
        """
        put = {
            'table': _TABLES[topic],
            'part': '',
            'key': key,
            'value': base64.b64encode(content).decode(),
        }
        body = msgspec.json.encode(
            {'expected': [], 'puts': [put], 'delete': []},
        )
        try:
            response = await self._send_request(
                'POST', WRITE_PATH, body, timeout_s
            )
        except CONNECT_ERRORS as error:
            raise StoreDown(repr(error)) from error
        except REQUEST_ERRORS as error:
            raise OutcomeUnknown(repr(error)) from error
        if response.status != OK:
            raise StoreDown(f'answered with status {response.status}')
        return _find_era(response)

    async def _list_pages(
        self,
        topic: Topic,
        timeout_s: float,
    ) -> list[Page]:
        pages: list[Page] = []
        query: dict[str, object] = {
            'table': _TABLES[topic],
            'part': '',
            'limit': PAGE_ROWS,
        }
        while True:
            page = _decode(await self._read(LIST_PATH, query, timeout_s))
            pages.append(page)
            if not page.body.has_more or not page.body.rows:
                return pages
            query['from'] = f'{page.body.rows[-1].key}\0'

    async def _read(
        self,
        path: str,
        query: Mapping[str, object],
        timeout_s: float,
    ) -> httpcore.Response:
        target = f'{path}?{urlencode(query)}'
        try:
            return await self._send_request('GET', target, b'', timeout_s)
        except REQUEST_ERRORS as error:
            raise StoreDown(repr(error)) from error

    async def _send_request(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
    ) -> httpcore.Response:
        headers = [('Content-Type', 'application/json')] if body else []
        with anyio.fail_after(timeout_s):
            return await self._pool.request(
                method,
                f'{self._base}{target}',
                headers=headers,
                content=body or None,
                extensions={'timeout': {'connect': CONNECT_TIMEOUT_S}},
            )


def _decode(response: httpcore.Response) -> Page:
    if response.status != OK:
        raise StoreDown(f'answered with status {response.status}')
    try:
        body = msgspec.json.decode(response.content, type=RowsBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise StoreDown(f'invalid answer: {error}') from error
    return Page(body, _find_era(response))


def _find_era(response: httpcore.Response) -> int:
    """Return the era in the header of an answer, 0 without a valid one."""
    for name, text in response.headers:
        if name.lower() == ERA_HEADER:
            return int(parse_decimal(text, MAX_INTEGER) or 0)
    return 0


def _make_update(
    topic: Topic,
    page: Page,
    rows: list[RowBody],
    *,
    is_snapshot: bool,
    after: int = 0,
) -> TableUpdate:
    return TableUpdate(
        topic,
        tuple(_make_row(topic, row, page.era) for row in rows),
        is_snapshot,
        page.body.row_version,
        page.body.now_s,
        after,
        page.era,
    )


def _decode_content(row: RowBody) -> bytes:
    """Return the content of a row, empty if it is not encoded properly."""
    try:
        return base64.b64decode(row.value)
    except ValueError as error:
        log_event('content not decoded', key=row.key, reason=str(error))
        return b''


def _make_row(topic: Topic, row: RowBody, era: int) -> VersionedRow:
    content = b'' if row.deleted else _decode_content(row)
    return VersionedRow(
        row.key,
        content,
        row.row_version,
        row.deleted,
        era,
        find_stamp(topic, row.key, content),
    )

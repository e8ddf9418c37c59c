"""Pools of HTTP connections to backend servers, with limits on idle time."""

import re
import socket
from collections.abc import Callable

import anyio
import h11
import httpcore
import msgspec

from ibisplank.connection._answer import (
    Answer,
    Headers,
    check_echo,
    check_head,
    holds_second_answer,
)
from ibisplank.connection._answermemory import AnswerMemory
from ibisplank.connection._sentrequests import SentRequests
from ibisplank.connection._stream import BoundedStream
from ibisplank.errors import (
    AttemptUnknown,
    ConnectFailed,
    ConnectTimeout,
    GarbledAnswer,
    OverlongAnswer,
    RestartSuspected,
    SilentConnection,
    TornAnswer,
    UnusableAnswer,
)
from ibisplank.figures import MAX_STATUS

#: A connection that answered this recently may carry requests that must not
#: be repeated.
PROVEN_S = 0.5
#: Connections that were idle for longer are closed instead of reused, unless
#: the server states its own limit.
DEFAULT_IDLE_LIMIT_S = 4.0
#: Upper limit of the idle time, whatever limit the server states.
MAX_IDLE_S = 30.0
#: A connection that was opened longer ago carries no further request.
MAX_AGE_S = 30.0
#: Subtracted from the idle limit that a server states, so that no request is
#: sent on a connection that the server is about to close.
KEEP_ALIVE_MARGIN_S = 1.0
#: Servers keep idle connections at least this long; if one closes a connection
#: earlier, it has probably restarted.
MIN_SERVER_IDLE_S = 2.0
CONNECT_TIMEOUT_S = 0.25
#: A connection on which the head of an answer, or the whole answer, is longer
#: is closed, as its server may send bytes without end.
MAX_HEAD_BYTES = 131072
MAX_ANSWER_BYTES = 4194304
#: Time for which the rest of a second answer is awaited if a body holds what
#: may be its beginning. Segments of one answer arrive closer together.
SECOND_ANSWER_S = 0.05
#: Bytes that the kernel keeps for a connection which is not read. A window of
#: 64 KiB allows 32 MB a second over a round trip of 2 ms.
RECEIVE_BUFFER_BYTES = 65536
SOCKET_OPTIONS = ((socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),)
NO_BODY_STATUSES = frozenset((204, 304))

#: Called with whether a new connection worked.
ConnectionListener = Callable[[bool], None]
_KEEP_ALIVE = re.compile(rb'timeout=(\d{1,9})')


class Exchange(msgspec.Struct, frozen=True):
    """One request to a backend server.

    Attributes
    ----------
    first_byte_s : float
        Timeout of each read, in seconds: longest wait for the first byte of
        the answer, and for each further part of it.
    proven : bool
        Whether the request needs a connection that is new or has answered
        within `PROVEN_S`.
    cold : bool
        Whether the request may be sent to a server that has just restarted.
    fresh : bool
        Whether the request needs a new connection.
    unsized : bool
        Whether an answer that states no length is accepted; it ends when the
        server closes the connection.
    echo : tuple of bytes or None
        Name, in lower case, and content of a header that the answer must
        repeat, so that a late answer to another request is detected.
    most_bytes : int
        Length above which the body of the answer is not read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    first_byte_s: float
    proven: bool
    cold: bool = True
    fresh: bool = False
    unsized: bool = False
    echo: tuple[bytes, bytes] | None = None
    most_bytes: int = MAX_ANSWER_BYTES


class Connection:
    """One HTTP/1.1 connection to a backend server.

    Attributes
    ----------
    opened_at : float
        Time of opening.
    answered_at : float
        Time of the last answer; until the first one, time of opening.
    idle_limit_s : float
        Longest idle time after which the connection may be reused.
    answers : int
        Answers that it has carried.
    """

    def __init__(
        self,
        raw: httpcore.AsyncHTTP11Connection,
        stream: BoundedStream,
        origin: httpcore.URL,
        memory: AnswerMemory,
        now: float,
    ) -> None:
        self.opened_at = now
        self.answered_at = now
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.answers = 0
        self._raw = raw
        self._stream = stream
        self._origin = origin
        self._memory = memory
        self._address = f'{origin.host.decode()}:{origin.port}'

    @property
    def usable(self) -> bool:
        """Whether the connection can carry another request.

        Checks the state of the socket, so call it immediately before use.
        """
        return self._raw.is_available() and not self._raw.has_expired()

    @property
    def idle(self) -> bool:
        """Whether the connection is open and carries no request."""
        return self._raw.is_idle()

    def is_expired(self, now: float) -> bool:
        """Return whether the connection has been idle for too long.

        One that its server may have closed as it restarted is kept until it no
        longer shows that.
        """
        longest_s = max(self.idle_limit_s, MIN_SERVER_IDLE_S)
        return self.answered_at < now - longest_s

    async def send(self, exchange: Exchange) -> Answer:
        """Send a request and return the complete answer.

        Raises
        ------
        SilentConnection
            A read timed out before the head of the answer was complete.
        TornAnswer
            The answer ended early or stalled, its length can't be verified,
            or its status is none.
        AlienAnswer
            The `echo` header has another content or, in a 2xx answer, is
            missing.
        OverlongAnswer
            The answer or its head is too long, or it was cut, as the answers
            of all servers hold too much memory.
        GarbledAnswer
            The head is none, or that of two answers.
        AttemptUnknown
            The connection failed before the head of the answer arrived.
        """
        scope = anyio.CancelScope()
        with self._memory.hold(self._address, scope.cancel) as held:
            self._stream.begin(held)
            with scope:
                return await self._exchange(exchange)
        raise OverlongAnswer('cut, as answers hold too much memory')

    async def aclose(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await self._raw.aclose()

    async def _exchange(self, exchange: Exchange) -> Answer:
        self._stream.allow(MAX_HEAD_BYTES)
        try:
            response = await self._raw.handle_async_request(
                self._make_request(exchange)
            )
        except httpcore.ReadTimeout as error:
            raise SilentConnection('no first byte in time') from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise self._explain_failure(error) from error
        unparsed = len(self._parser.trailing_data[0])
        check_head(self._stream.end_head()[: -unparsed or None])
        self._stream.allow(exchange.most_bytes)
        answer = await self._read_answer(exchange, response)
        if answer.status > MAX_STATUS:
            raise TornAnswer(f'no valid status: {answer.status}')
        check_echo(exchange.echo, answer)
        self.idle_limit_s = _find_idle_limit_s(answer.headers)
        return answer

    async def _read_answer(
        self, exchange: Exchange, response: httpcore.Response
    ) -> Answer:
        try:
            body = await _read_body(exchange, response)
        except TornAnswer as error:
            if self._stream.exceeded:
                raise OverlongAnswer(str(error)) from error
            raise
        extra = self._parser.trailing_data[0] + self._stream.rest
        sized = _is_sized(exchange, response)
        if holds_second_answer(body, extra) and (
            extra or not sized or await self._goes_on()
        ):
            raise TornAnswer('another answer begins within the body')
        return Answer(
            response.status, response.headers, body, self.answers, extra, sized
        )

    async def _goes_on(self) -> bool:
        """Return whether the server sends more after a complete answer."""
        if not self.idle:
            return False
        try:
            received = await self._stream.read(1, SECOND_ANSWER_S)
        except (httpcore.TimeoutException, httpcore.NetworkError):
            return False
        return bool(received)

    @property
    def _parser(self) -> h11.Connection:
        """Parser of the answers, which `httpcore` does not make public."""
        parser: h11.Connection = getattr(self._raw, '_h11_state')  # noqa: B009
        return parser

    def _make_request(self, exchange: Exchange) -> httpcore.Request:
        return httpcore.Request(
            exchange.method,
            httpcore.URL(
                scheme=self._origin.scheme,
                host=self._origin.host,
                port=self._origin.port,
                target=exchange.target,
            ),
            headers=list(exchange.headers),
            content=exchange.body,
            extensions={'timeout': {'read': exchange.first_byte_s}},
        )

    def _explain_failure(self, error: Exception) -> AttemptUnknown:
        """Return why no head of an answer was received."""
        if self._stream.exceeded:
            return OverlongAnswer(str(error))
        if self._stream.heard and isinstance(error, httpcore.ProtocolError):
            return GarbledAnswer(str(error))
        return AttemptUnknown(str(error))


def _find_idle_limit_s(headers: Headers) -> float:
    """Return the idle time within which a connection may be reused.

    >>> _find_idle_limit_s([(b'Keep-Alive', b'timeout=9')])
    8.0
    """
    for name, text in headers:
        stated = _KEEP_ALIVE.search(text.lower())
        if name.lower() == b'keep-alive' and stated:
            stated_s = int(stated.group(1)) - KEEP_ALIVE_MARGIN_S
            return min(MAX_IDLE_S, max(0, stated_s))
    return DEFAULT_IDLE_LIMIT_S


async def _read_body(exchange: Exchange, response: httpcore.Response) -> bytes:
    try:
        body = await response.aread()
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise TornAnswer(str(error)) from error
    except httpcore.ReadTimeout as error:
        raise TornAnswer('no further byte in time') from error
    finally:
        await response.aclose()
    if not _is_sized(exchange, response) and not exchange.unsized:
        raise TornAnswer('neither content-length nor chunked')
    return body


def _is_sized(exchange: Exchange, response: httpcore.Response) -> bool:
    """Return whether an answer says where its body ends."""
    names = {name.lower() for name, _ in response.headers}
    has_length = names & {b'content-length', b'transfer-encoding'}
    bodyless = exchange.method == b'HEAD' or response.status in NO_BODY_STATUSES
    return bool(has_length) or bodyless


def _ignore(_: bool) -> None:
    """Do nothing; the default of a pool."""


class ConnectionPool:
    """Pool of idle connections to one backend server.

    Parameters
    ----------
    address : str
        IP address and port, joined by a colon.
    clock : callable
        Monotonic clock in seconds.
    on_new : callable
        Called when a new connection has carried its first answer, also one
        that is unusable, could not be opened, or was closed before.
    memory : AnswerMemory or None
        What incomplete answers take their memory from.
    """

    def __init__(
        self,
        address: str,
        clock: Callable[[], float],
        on_new: ConnectionListener = _ignore,
        memory: AnswerMemory | None = None,
    ) -> None:
        self.address = address
        self._memory = memory or AnswerMemory()
        self._clock = clock
        self._on_new = on_new
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._origin = httpcore.URL(
            scheme=b'http',
            host=host.encode(),
            port=int(port),
            target=b'/',
        )
        self._network = httpcore.AnyIOBackend()
        self._idle: list[Connection] = []
        self._sent = SentRequests(keep_s=MAX_AGE_S)

    async def exchange(self, exchange: Exchange) -> Answer:
        """Send a request on a connection that meets its requirements.

        Raises
        ------
        ConnectFailed
            No connection could be opened; the request was not sent.
        RestartSuspected
            The server has closed idle connections early; the request was not
            sent.
        AttemptUnknown
            The request may have run.
        """
        is_repeated = self._record_sent(exchange)
        connection = await self._acquire(exchange, fresh=is_repeated)
        try:
            answer = await self._send(connection, exchange)
        except SilentConnection:
            await connection.aclose()
            await self._close_idle_since(connection.answered_at)
            raise
        except AttemptUnknown as error:
            worked = isinstance(error, UnusableAnswer)
            self._report_new(connection, worked=worked)
            await connection.aclose()
            raise
        except BaseException:
            await connection.aclose()
            raise
        self._report_new(connection, worked=True)
        is_clean = not is_repeated and not answer.extra
        await self._release(connection, reusable=is_clean)
        return answer

    async def can_connect(self) -> bool:
        """Return whether the server accepts new connections."""
        try:
            connection = await self._open()
        except ConnectFailed:
            return False
        await connection.aclose()
        return True

    async def refuses_connections(self) -> bool:
        """Return whether nothing listens on the address.

        A timeout does not show this, as the network may have caused it.
        """
        try:
            connection = await self._open()
        except ConnectTimeout:
            return False
        except ConnectFailed:
            return True
        await connection.aclose()
        return False

    async def close_idle(self) -> None:
        """Close all idle connections."""
        idle = self._idle
        self._idle = []
        for connection in idle:
            await connection.aclose()

    async def close_expired(self) -> None:
        """Close connections that have been idle for too long for any call.

        Calls that need a new connection take none from the pool.
        """
        now = self._clock()
        while self._idle and self._idle[0].is_expired(now):
            await self._idle.pop(0).aclose()

    def _report_new(self, connection: Connection, *, worked: bool) -> None:
        if not connection.answers:
            self._on_new(worked)

    async def _send(self, connection: Connection, exchange: Exchange) -> Answer:
        """Send a request and return the complete answer.

        The end of a process closes its connections as the end of an answer
        without a length does, so that such an answer may be incomplete if its
        server is gone.
        """
        answer = await connection.send(exchange)
        if not answer.sized and await self.refuses_connections():
            raise TornAnswer('no length, and its server is gone')
        return answer

    def _record_sent(self, exchange: Exchange) -> bool:
        """Record a request; return whether it was sent before."""
        if exchange.echo is None:
            return False
        return self._sent.record(exchange.echo, self._clock())

    async def _release(self, connection: Connection, *, reusable: bool) -> None:
        if not reusable:
            await connection.aclose()
        connection.answers += 1
        connection.answered_at = self._clock()
        if connection.idle:
            self._idle.append(connection)
        await self.close_expired()

    async def _acquire(self, exchange: Exchange, *, fresh: bool) -> Connection:
        if exchange.fresh or fresh:
            self._check_restart(exchange)
            return await self._open()
        now = self._clock()
        limit = PROVEN_S if exchange.proven else MAX_IDLE_S
        closed = False
        while self._idle:
            connection = self._idle.pop()
            longest_s = min(limit, connection.idle_limit_s)
            recent = connection.answered_at >= now - longest_s
            young = connection.opened_at >= now - MAX_AGE_S
            if recent and young and connection.usable:
                return connection
            closed = closed or _was_closed_early(connection, now)
            await connection.aclose()
        if closed and not exchange.cold:
            raise RestartSuspected('the server closed its connections')
        return await self._open()

    def _check_restart(self, exchange: Exchange) -> None:
        """Raise `RestartSuspected` if an idle connection was closed early.

        All idle connections stay in the pool.
        """
        if exchange.cold:
            return
        now = self._clock()
        if any(_was_closed_early(connection, now) for connection in self._idle):
            raise RestartSuspected('the server closed its connections')

    async def _open(self) -> Connection:
        try:
            stream = await self._network.connect_tcp(
                self._host,
                self._port,
                timeout=CONNECT_TIMEOUT_S,
                socket_options=SOCKET_OPTIONS,
            )
        except httpcore.TimeoutException as error:
            self._on_new(False)
            raise ConnectTimeout('no connection in time') from error
        except httpcore.NetworkError as error:
            self._on_new(False)
            raise ConnectFailed(str(error)) from error
        except AttributeError as error:
            # On uvloop no socket is left to set options of.
            self._on_new(False)
            raise ConnectFailed('reset as it was opened') from error
        origin = httpcore.Origin(b'http', self._host.encode(), self._port)
        bounded = BoundedStream(stream, self._memory)
        raw = httpcore.AsyncHTTP11Connection(origin, bounded)
        return Connection(
            raw, bounded, self._origin, self._memory, self._clock()
        )

    async def _close_idle_since(self, answered_at: float) -> None:
        """Close idle connections that last answered at a given time or earlier.

        The fault that made a connection silent may affect them as well.
        """
        old = [each for each in self._idle if each.answered_at <= answered_at]
        self._idle = [
            each for each in self._idle if each.answered_at > answered_at
        ]
        for connection in old:
            await connection.aclose()


def _was_closed_early(connection: Connection, now: float) -> bool:
    """Return whether a server closed a connection after a short idle time."""
    recent = connection.answered_at >= now - MIN_SERVER_IDLE_S
    return recent and not connection.usable

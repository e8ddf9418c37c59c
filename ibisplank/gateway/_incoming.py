"""Parsing and validation of incoming calls."""

from dataclasses import dataclass

from ibisplank.connection import HOP_BY_HOP_HEADERS, Scope
from ibisplank.gateway._headers import HeaderNames, Headers, find_header
from ibisplank.gateway._model import CallerLimits, OmittedEntry, RouteConfig
from ibisplank.gateway._routing import RouteTable
from ibisplank.ids import ServiceId
from ibisplank.request import CallDigests, digest_request

MS_PER_S = 1000.0
BAD_REQUEST = 400
NOT_FOUND = 404
HEADERS_TOO_LARGE = 431
UNAVAILABLE = 503
#: Bytes of a header line in addition to its name and value.
LINE_BYTES = 4


@dataclass(frozen=True, slots=True)
class CallHead:
    """Parsed request line and headers of a call.

    Attributes
    ----------
    deadline_s : float or None
        Seconds that the caller will wait.
    caller : str
        IP address of the caller.
    forwarded : list
        Headers that are forwarded to the server.
    size : int
        Bytes of the request target and all headers.
    """

    method: bytes
    target: bytes
    host: str
    caller: str
    path: str
    request_id: bytes
    deadline_s: float | None
    forwarded: Headers
    size: int


@dataclass(frozen=True, slots=True)
class Rejection:
    """Status and reason with which a call is rejected.

    Attributes
    ----------
    retry_after_s : float
        Delay after which it may be repeated, 0 for the usual one.
    """

    status: int
    reason: str
    request_id: str = ''
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """A call with its route and complete body.

    Attributes
    ----------
    digests : CallDigests
        Identify the repeats of the call.
    service : ServiceId or None
        Service chosen by the gateway that handed the call over, None if it
        comes from a caller.
    """

    head: CallHead
    route: RouteConfig
    body: bytes
    arrived_at: float
    deadline_at: float
    digests: CallDigests
    service: ServiceId | None = None

    @property
    def handed_over(self) -> bool:
        """Whether another gateway has accepted it and handed it over."""
        return self.service is not None


def parse_head(scope: Scope, header_names: HeaderNames) -> CallHead:
    """Return the head of a call."""
    headers = scope['headers']
    host = find_header(headers, b'host') or b''
    removed = _list_removed(headers, header_names)
    raw = scope['raw_path']
    query = scope['query_string']
    client = scope.get('client') or ('',)
    return CallHead(
        method=scope['method'].encode('latin-1'),
        target=raw + b'?' + query if query else raw,
        host=host.decode('latin-1').lower().partition(':')[0],
        caller=client[0],
        path=raw.decode('latin-1'),
        request_id=find_header(headers, header_names.request_id) or b'',
        deadline_s=_parse_deadline(
            find_header(headers, header_names.deadline_ms)
        ),
        forwarded=[pair for pair in headers if pair[0] not in removed],
        size=len(raw) + len(query) + _count_header_bytes(headers),
    )


def find_route(
    head: CallHead,
    routes: RouteTable,
    limits: CallerLimits,
) -> RouteConfig | Rejection:
    """Return the route of a call, or why it is rejected."""
    request_id = head.request_id.decode('latin-1')
    if head.size > limits.header_bytes:
        return Rejection(HEADERS_TOO_LARGE, 'headers too large', request_id)
    if not head.request_id:
        return Rejection(BAD_REQUEST, 'no request id')
    route = routes.find(head.host, head.path)
    if route is None:
        return Rejection(NOT_FOUND, f'no route for {head.host}', request_id)
    if isinstance(route, OmittedEntry):
        return Rejection(UNAVAILABLE, route.reason, request_id)
    return route


def digest_call(head: CallHead, body: bytes) -> CallDigests:
    """Return the digests that the repeats of a call share."""
    own_scope = f'{head.caller} {head.host}'
    return CallDigests(
        digest_request(own_scope, head.method, head.target, body),
        digest_request(head.host, head.method, head.target, body),
    )


def find_deadline(
    head: CallHead, route: RouteConfig, arrived_at: float
) -> float:
    """Return the time by which the caller has to be answered."""
    allowed_s = route.timeout_s
    if head.deadline_s is not None:
        allowed_s = min(allowed_s, head.deadline_s)
    return arrived_at + allowed_s


def _list_removed(
    headers: Headers, header_names: HeaderNames
) -> frozenset[bytes]:
    removed = HOP_BY_HOP_HEADERS | {
        header_names.deadline_ms,
        header_names.target_server,
    }
    for name, text in headers:
        if name == b'connection':
            named = (part.strip().lower() for part in text.split(b','))
            removed |= frozenset(named) - {b'host', header_names.request_id}
    return removed


def _count_header_bytes(headers: Headers) -> int:
    return sum(len(name) + len(text) + LINE_BYTES for name, text in headers)


def _parse_deadline(text: bytes | None) -> float | None:
    """Return the deadline in seconds, None if the text is invalid."""
    try:
        wait_ms = float(text or b'nan')
    except ValueError:
        return None
    return wait_ms / MS_PER_S if 0 <= wait_ms < float('inf') else None

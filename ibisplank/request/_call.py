"""Parses a call from its HTTP head and the contract."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ibisplank.connection import HOP_BY_HOP_HEADERS, Scope
from ibisplank.errors import Refused
from ibisplank.ids import (
    CustomerId,
    RefusalKind,
    RequestId,
    RunStatus,
    ServiceId,
)
from ibisplank.version import (
    MS_PER_S,
    CallClass,
    Contract,
    digest_key,
    find_class,
)

UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
BAD_REQUEST = 400
HEADERS_TOO_LARGE = 431
MAX_HEAD_BYTES = 32768
MAX_ID_CHARS = 128

REQUEST_ID = b'ibisplank-request-id'
DEADLINE = b'ibisplank-deadline-ms'
CLASS = b'ibisplank-class'
RETRIED_ABOVE = b'ibisplank-retried-above'
_BEARER = 'bearer '
_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {
    b'authorization',
    b'host',
    DEADLINE,
    RETRIED_ABOVE,
}

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Headers of a call, parsed.

    Attributes
    ----------
    deadline_s : float or None
        Longest time that the caller waits, in seconds.
    retried_above : bool
        Whether the caller retries the call itself.
    """

    key: str
    request_id: RequestId | None
    deadline_s: float | None
    klass: str | None
    retried_above: bool
    forwarded: Headers


@dataclass(frozen=True, slots=True)
class Call:
    """A call that the contract allows.

    Attributes
    ----------
    target : bytes
        Path and query below the service.
    deadline : float
        Time by which the call must be answered, on the process's clock.
    """

    customer: CustomerId
    service: ServiceId
    klass: CallClass
    method: bytes
    target: bytes
    forwarded: Headers
    request_id: RequestId | None
    retried_above: bool
    deadline: float

    @property
    def at_most_once(self) -> bool:
        """Whether the call may be sent at most once."""
        return not self.klass.idempotent


def parse_call(
    keys: Mapping[str, Contract],
    scope: Scope,
    now: float,
) -> tuple[Contract, Call]:
    """Return the customer's contract and its call.

    Parameters
    ----------
    keys : mapping of str to Contract
        Contracts by the digests of their callers' keys.

    Raises
    ------
    Refused
        The call's head is malformed, or the contract does not allow it.
    """
    stated = parse_headers(scope['headers'])
    contract = keys.get(digest_key(stated.key))
    if contract is None:
        raise _refuse(
            UNAUTHORIZED,
            RefusalKind.UNKNOWN_KEY,
            'send a key that the contract lists as a bearer token',
        )
    service, rest = _split_path(scope['raw_path'])
    klass = _find_class(contract, service, scope['method'], rest, stated.klass)
    allowed_s = klass.deadline_ms / MS_PER_S
    if stated.deadline_s is not None:
        allowed_s = min(allowed_s, stated.deadline_s)
    query = scope['query_string']
    call = Call(
        customer=contract.customer,
        service=service,
        klass=klass,
        method=scope['method'].encode(),
        target=rest + b'?' + query if query else rest,
        forwarded=stated.forwarded,
        request_id=stated.request_id,
        retried_above=stated.retried_above,
        deadline=now + allowed_s,
    )
    return contract, call


def parse_headers(headers: Iterable[tuple[bytes, bytes]]) -> CallHeaders:
    """Parse the headers of a call.

    Raises
    ------
    Refused
        An ibisplank header is malformed, or the head is too large.
    """
    fields = dict.fromkeys((b'authorization', REQUEST_ID, DEADLINE, CLASS), b'')
    fields[RETRIED_ABOVE] = b''
    dropped = _NOT_FORWARDED
    forwarded: Headers = []
    size = 0
    for name, text in headers:
        size += len(name) + len(text)
        if name in fields:
            fields[name] = text
        if name == b'connection':
            dropped = dropped | _parse_connection(text)
        forwarded.append((name, text))
    if size > MAX_HEAD_BYTES:
        raise _refuse(
            HEADERS_TOO_LARGE,
            RefusalKind.HEADERS_TOO_LARGE,
            f'keep all headers below {MAX_HEAD_BYTES} bytes',
        )
    return CallHeaders(
        key=_read_key(fields[b'authorization']),
        request_id=_read_request_id(fields[REQUEST_ID]),
        deadline_s=_read_deadline(fields[DEADLINE]),
        klass=fields[CLASS].decode('latin-1') or None,
        retried_above=bool(fields[RETRIED_ABOVE]),
        forwarded=[pair for pair in forwarded if pair[0] not in dropped],
    )


def _parse_connection(text: bytes) -> frozenset[bytes]:
    return frozenset(name.strip().lower() for name in text.split(b','))


def _read_key(text: bytes) -> str:
    header = text.decode('latin-1')
    if not header.lower().startswith(_BEARER):
        return ''
    return header[len(_BEARER) :].strip()


def _read_request_id(text: bytes) -> RequestId | None:
    if not text:
        return None
    name = text.decode('latin-1')
    if len(name) > MAX_ID_CHARS or not name.isprintable() or '/' in name:
        raise _refuse(
            BAD_REQUEST,
            RefusalKind.BAD_REQUEST,
            f'ibisplank-request-id: at most {MAX_ID_CHARS} characters, no "/"',
        )
    return RequestId(name)


def _read_deadline(text: bytes) -> float | None:
    if not text:
        return None
    if text.isdigit() and int(text) > 0:
        return int(text) / MS_PER_S
    raise _refuse(
        BAD_REQUEST,
        RefusalKind.BAD_REQUEST,
        'ibisplank-deadline-ms: a whole number of milliseconds above 0',
    )


def _split_path(raw: bytes) -> tuple[ServiceId, bytes]:
    service, slash, rest = raw.lstrip(b'/').partition(b'/')
    return ServiceId(service.decode('latin-1')), b'/' + rest


def _find_class(
    contract: Contract,
    service: ServiceId,
    method: str,
    path: bytes,
    name: str | None,
) -> CallClass:
    terms = contract.services.get(service)
    if terms is None:
        raise _refuse(
            NOT_FOUND,
            RefusalKind.NOT_IN_CONTRACT,
            f'service {service!r} is not in the contract',
        )
    klass = find_class(terms, method, path.decode('latin-1'), name)
    if klass is None:
        raise _refuse(
            FORBIDDEN,
            RefusalKind.NOT_IN_CONTRACT,
            'no class of the contract has this method, path and class name',
        )
    return klass


def _refuse(status: int, kind: RefusalKind, remedy: str) -> Refused:
    return Refused(status, kind, RunStatus.NOT_RUN, remedy)

"""Answers of backend servers, and whether they belong to a request."""

import re
from collections.abc import Sequence

import msgspec

from ibisplank.errors import AlienAnswer, GarbledAnswer

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
#: Longest part of a header that an error message repeats.
MAX_SHOWN_BYTES = 64
#: Length of the version and the status.
STATUS_LINE_BYTES = 12

Headers = Sequence[tuple[bytes, bytes]]
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d [1-5]\d\d')
_STATUS_WITHIN_LINE = re.compile(
    rb'[^\n]HTTP/\d\.\d \d{3}[ \r\n]', re.IGNORECASE
)


class Answer(msgspec.Struct, frozen=True):
    """Complete HTTP response of a backend server.

    Attributes
    ----------
    earlier : int
        Answers that its connection had carried before.
    extra : bytes
        Bytes received with its end that do not belong to it.
    sized : bool
        Whether it states where its body ends; otherwise its connection does.
    """

    status: int
    headers: Headers
    body: bytes
    earlier: int = 0
    extra: bytes = b''
    sized: bool = True


def check_head(head: bytes) -> None:
    r"""Raise `GarbledAnswer` if a head consists of parts of two answers.

    If a server ends an answer within a line and sends another one, a parser
    takes the status of the first and the headers of the second.

    Parameters
    ----------
    head : bytes
        Head of the answer as it was received, with interim answers before it.

    Examples
    --------
    >>> check_head(b'HTTP/1.1 200 OK\r\nVia: HTTP/1.1 192.0.2.1\r\n\r\n')
    >>> check_head(b'HTTP/1.1 200 OHTTP/1.1 500 Error\r\n\r\n')
    Traceback (most recent call last):
    ...
    ibisplank.errors.GarbledAnswer: another answer begins within a line
    """
    if _STATUS_WITHIN_LINE.search(head):
        raise GarbledAnswer('another answer begins within a line')


def holds_second_answer(body: bytes, extra: bytes) -> bool:
    """Return whether another answer begins within a body.

    Parameters
    ----------
    extra : bytes
        What was received after the body.

    Examples
    --------
    >>> holds_second_answer(b'beginHTTP/1.1 5', b'00 Error')
    True
    >>> holds_second_answer(b'the whole body', b'HTTP/1.1 500 Error')
    False
    """
    found = _STATUS_LINE.search(body + extra[:STATUS_LINE_BYTES])
    return found is not None and found.start() < len(body)


def check_echo(echo: tuple[bytes, bytes] | None, answer: Answer) -> None:
    """Raise `AlienAnswer` unless the answer belongs to the request.

    The header may be absent from answers other than 2xx on a new connection.
    Later ones may be an earlier answer that comes again.

    Parameters
    ----------
    echo : tuple of bytes or None
        Name, in lower case, and content of the header that the answer must
        repeat, None if any answer belongs to the request.
    """
    if echo is None:
        return
    name, content = echo
    for each, text in answer.headers:
        if each.lower() == name:
            if text != content:
                named = text[:MAX_SHOWN_BYTES].decode('latin-1')
                raise AlienAnswer(_describe(answer, f'names {named!r}'))
            return
    if answer.earlier or FIRST_SUCCESS <= answer.status < FIRST_REDIRECT:
        raise AlienAnswer(_describe(answer, 'names no request'))


def _describe(answer: Answer, reason: str) -> str:
    return (
        f'{reason}, status {answer.status}, '
        f'{answer.earlier} answers on the connection before'
    )
